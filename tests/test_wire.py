"""The codec both ways, malformed frames, and the adapter started as the deploy file says."""

from __future__ import annotations

import ast
import struct
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from quincestand import (
    AttemptEnded,
    CallOffered,
    CancelAttempt,
    Fail,
    ListKind,
    Log,
    Outcome,
    Probe,
    Refuse,
    Send,
    ServerList,
    SetTimer,
    TimerDue,
    WatchList,
)
from quincestand.wire import Codec, WireError, read_settings

ROOT = Path(__file__).parent.parent
CONFIG = """extra.layout=pools
extra.meanHold=8000000
extra.release=200000
extra.repeat=0
groupSize=4
limits.cancelling=true
limits.maxRetryAfter=2000000
limits.mayProbe=true
limits.mostTries=5
limits.retryAfter=true
overShareWorth=0.2
registryMode=pushed
rules.cold=13000000
rules.coldFrom=0.34
rules.drainGrace=500000
rules.fall=2000000
rules.fallMultiple=2
services.count=1
services.0.deadline=9000000
services.0.effect=read_like
services.0.lateWorth=0.25
services.0.onTime=1500000
services.0.worth=1.0
telemetry.fields=free,size,lat_ms
tenants=
some.new.key=never_seen"""
ADDRESS = bytes([10, 18, 74, 7, 0x5B, 0x1B])


def frame(*records: bytes, tail: bytes = b"", number: int = 1, now: int = 5_000_000) -> tuple[bytes, bytes]:
    body = b"".join(record.ljust(48, b"\0") for record in records) + tail
    return struct.pack("<QIII", now, len(body), len(records), number), body


def catalog() -> tuple[bytes, bytes]:
    entry = struct.pack("<6sHHBHfQ", ADDRESS, 0, 0, 2, 0, 1.0, 0)
    return struct.pack("<BHII", 110, 0, 0, 1), entry


QUERY = struct.pack("<BHIBIQIIfffH", 30, 3, 99, 0, 0, 7, 3_000_000, 0, 0.0, 1.0, -1.0, 2)


def test_events_are_decoded():
    codec = Codec()
    record, tail = catalog()
    announce = struct.pack("<BHBIH", 20, 3, 2, 41, 0)
    ended = struct.pack("<BHIB6sHIBIB4f", 50, 3, 99, 0, ADDRESS, 302, 70, 0, 3, 2, 5.0, 9.0, 0, 0)
    batch = codec.decode(*frame(record, announce, QUERY, ended, struct.pack("<BHI", 70, 3, 77), tail=tail))
    (_, listed), (_, offered), (_, outcome), (_, timer) = batch.events
    assert isinstance(listed, ServerList) and listed.kind is ListKind.FULL
    assert listed.entries[0].server == "10.18.74.7:7003"
    assert offered == CallOffered(99, 0, 0, 7, 3_000_000, 0, True, False)
    assert outcome == AttemptEnded(99, 0, "10.18.74.7:7003", Outcome.FULL, 70, False, True, False, (5.0, 9.0))
    assert timer == TimerDue(77)


def test_actions_are_encoded():
    codec = Codec()
    record, tail = catalog()
    codec.decode(*frame(record, tail=tail))
    server = "10.18.74.7:7003"
    actions = [
        Send(99, server, 80_000),
        Refuse(1, 5),
        Fail(2),
        CancelAttempt(3, 1),
        SetTimer(9, 8),
        Probe(server),
        WatchList(),
        Log("two"),
        "fault",
    ]
    reply = codec.encode(12, [(3, action) for action in actions])
    length, count, number = struct.unpack_from("<III", reply)
    assert (length, count, number) == (len(reply) - 12, len(actions), 12)
    assert [reply[12 + 24 * at] for at in range(count)] == [10, 90, 20, 70, 120, 40, 110, 30, 50]
    assert struct.unpack_from("<xHII6s", reply, 12) == (3, 99, 80_000, ADDRESS)
    assert reply.endswith(b"twofault")


@pytest.mark.parametrize(
    "bad",
    [
        frame(b"\xff"),
        (struct.pack("<QIII", 0, 10, 1, 1), b"\0" * 10),
        frame(struct.pack("<BHII", 110, 0, 500, 1)),
        frame(struct.pack("<BHIB6sHIBIB4f", 50, 3, 99, 0, ADDRESS, 999, 70, 0, 3, 0, 0, 0, 0, 0)),
        frame(struct.pack("<BHBIH", 20, 3, 2, 41, 9)),
    ],
)
def test_malformed_frames_are_named(bad):
    with pytest.raises(WireError):
        Codec().decode(*bad)


def test_unknown_settings_are_skipped_and_missing_or_impossible_ones_named():
    assert read_settings(CONFIG).report_fields == ("free", "size", "delay_ms")
    for line in CONFIG.splitlines():
        key = line.split("=")[0]
        if key not in ("tenants", "some.new.key", "extra.meanHold"):
            with pytest.raises(ValueError, match=key.split(".")[-1]):
                read_settings(CONFIG.replace(line + "\n", ""))
    with pytest.raises(ValueError, match="rules.cold=soon"):
        read_settings(CONFIG.replace("rules.cold=13000000", "rules.cold=soon"))
    with pytest.raises(ValueError, match="fall_multiple"):
        read_settings(CONFIG.replace("rules.fallMultiple=2", "rules.fallMultiple=0"))


def adapter(data: bytes) -> subprocess.CompletedProcess:
    deploy = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())
    command = deploy["sim"].replace(".venv/bin/python", sys.executable)
    return subprocess.run(["/bin/sh", "-c", command], input=data, capture_output=True, cwd=ROOT, check=False)


def test_adapter_decides_and_ends_with_its_input():
    config = CONFIG.encode()
    record, entry = catalog()
    start = struct.pack("<BHQII", 10, 3, 1, len(entry), len(config))
    announce = struct.pack("<BHBIH", 20, 3, 2, 41, 0)
    done = adapter(
        b"".join(frame(record, start, announce, QUERY, tail=entry + config)) + b"".join(frame(number=2))
    )
    assert done.returncode == 0 and done.stderr == b""
    assert done.stdout[12] == 10  # the call is sent
    assert done.stdout.endswith(struct.pack("<III", 0, 0, 2))


def test_adapter_reports_a_failing_module():
    config = CONFIG.replace("groupSize=4\n", "").encode()
    done = adapter(b"".join(frame(struct.pack("<BHQII", 10, 3, 1, 0, len(config)), tail=config)))
    assert done.returncode == 0 and done.stdout[12] == 50
    assert done.stdout.endswith(b"ValueError: missing setting groupSize")


@pytest.mark.parametrize("data", [b"\0" * 7, b"".join(frame(QUERY))[:-3], b"".join(frame(b"\xff"))])
def test_adapter_ends_with_one_plain_line_on_a_bad_frame(data):
    done = adapter(data)
    assert done.returncode != 0
    assert done.stderr.startswith(b"quincestand: ") and done.stderr.count(b"\n") == 1


def test_module_size_line_length_and_imports():
    text = (ROOT / "quincestand/logic.py").read_text()
    assert sum(bool(line.strip()) for line in text.splitlines()) <= 750
    assert max(map(len, text.splitlines())) <= 110
    assert "interface.py" in text.split('"""')[1]
    for node in ast.walk(ast.parse(text)):
        if isinstance(node, ast.Import):
            assert all(name.name in sys.stdlib_module_names for name in node.names)
        elif isinstance(node, ast.ImportFrom):
            assert (node.level == 1 and node.module == "interface") or (
                node.module.split(".")[0] in sys.stdlib_module_names
            )


def test_the_example_of_the_readme_runs():
    code = (ROOT / "README.md").read_text().split("```python\n")[1].split("```")[0]
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT, check=False)
    assert done.returncode == 0, done.stderr
    assert "send call 1 to core-1" in done.stdout
