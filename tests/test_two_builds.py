"""Tests of the checks in benchmarks/two_builds.py."""

from __future__ import annotations

import socket
import sys
from typing import Any

import pytest

from quincestand.logic import KEPT_OF_VIEW, KEPT_OWN
from rigs.platform import successor
from rigs.platform.successor import handover_state, schema_of
from rigs.process import ROOT

sys.path.insert(0, str(ROOT / "benchmarks"))
from two_builds import compare_books, settings  # noqa: E402

BOOK = {"last": 6, "notes": {"g1": "written"}, "numbers": {"note/g1": 5, "closing/frontier": 6}}


def test_handover_state_contains_the_memory_of_the_module() -> None:
    state = handover_state(ROOT)
    module = state["module"]
    assert sorted(module["own"]) == sorted(KEPT_OWN)
    (view,) = module["servers"].values()
    assert sorted(view) == sorted(KEPT_OF_VIEW)
    assert [server["id"] for server in state["servers"]] == list(module["servers"])


def test_a_packet_that_does_not_end_is_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(successor, "MAX_PACKET_BYTES", 20)
    process, reader = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    with process, reader:
        for _ in range(3):
            process.send(b"+" + b"x" * 10)
        with pytest.raises(ValueError, match="longer than 20 bytes"):
            successor._read_packet(reader)


def test_schema_replaces_values_by_type_names() -> None:
    assert schema_of({"b": [1, "x"], "a": {"c": None}}) == {"a": {"c": "NoneType"}, "b": ["int", "str"]}
    assert schema_of({"a": 1}) == schema_of({"a": 2}) != schema_of({"a": 1.0})


@pytest.mark.parametrize(
    ("change", "fault"),
    [
        ({}, None),
        ({"last": 7}, None),
        ({"last": 5}, "version decreased"),
        ({"notes": {}}, "the notes changed"),
        ({"numbers": {"note/g1": 5}}, "entries are missing: ['closing/frontier']"),
    ],
)
def test_lost_changes_of_the_book_are_reported(change: dict[str, Any], fault: str | None) -> None:
    found = compare_books(BOOK, BOOK | change)
    assert (found == []) if fault is None else (len(found) == 1 and fault in found[0])


def test_a_build_reads_configuration_files_like_itself() -> None:
    found = settings({"this": ROOT, "other": ROOT})
    assert found.violations == []
    assert found.figures["usable"] >= 4, "deploy/sip.toml and three files in deploy/fleet"
