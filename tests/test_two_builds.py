"""The checks that compare two builds of the program: each finds what it is there for."""

from __future__ import annotations

import sys
from typing import Any

import pytest

from quincestand.logic import KEPT_OF_VIEW, KEPT_OWN
from rigs.platform.successor import shape, told_to_successor
from rigs.process import ROOT

sys.path.insert(0, str(ROOT / "benchmarks"))
from two_builds import book_faults, settings  # noqa: E402

BOOK = {"last": 6, "notes": {"g1": "written"}, "numbers": {"note/g1": 5, "closing/frontier": 6}}


def test_a_successor_is_told_all_that_the_module_keeps() -> None:
    told = told_to_successor(ROOT)
    module = told["module"]
    assert sorted(module["own"]) == sorted(KEPT_OWN)
    (view,) = module["servers"].values()
    assert sorted(view) == sorted(KEPT_OF_VIEW)
    assert [server["id"] for server in told["servers"]] == list(module["servers"])


def test_a_shape_has_keys_and_kinds_but_no_values() -> None:
    assert shape({"b": [1, "x"], "a": {"c": None}}) == {"a": {"c": "NoneType"}, "b": ["int", "str"]}
    assert shape({"a": 1}) == shape({"a": 2}) != shape({"a": 1.0})


@pytest.mark.parametrize(
    ("change", "fault"),
    [
        ({}, None),
        ({"last": 7}, None),
        ({"last": 5}, "went back"),
        ({"notes": {}}, "the notes were"),
        ({"numbers": {"note/g1": 5}}, "entries of the book are gone: ['closing/frontier']"),
    ],
)
def test_nothing_that_was_agreed_may_be_gone(change: dict[str, Any], fault: str | None) -> None:
    found = book_faults(BOOK, BOOK | change)
    assert (found == []) if fault is None else (len(found) == 1 and fault in found[0])


def test_a_build_reads_every_file_as_itself() -> None:
    found = settings({"this": ROOT, "other": ROOT})
    assert found.violations == [] and found.figures["usable"] == found.figures["files"] // 2
