"""Links, disk and file of a member on real sockets and folders; and a fleet of real processes."""

from __future__ import annotations

import asyncio
import json
import random
import subprocess
import sys
from collections import Counter
from datetime import timedelta
from pathlib import Path

import pytest
from support import ROOT

from mallowquay.fleet import links as links_module
from mallowquay.fleet.identity import Disk, InUse, Spoilt, packed, unpacked
from mallowquay.fleet.links import Link, Links, common_format, is_urgent, read_frame
from mallowquay.fleet.model import (
    BEFORE_ALL,
    Bulk,
    Frame,
    Hello,
    Key,
    Lasting,
    Lead,
    Leave,
    Life,
    Ping,
    Refused,
    Rumour,
    State,
    View,
    Welcome,
    decode,
    encode,
)
from mallowquay.net.clock import monotonic
from mallowquay.settings import ConfigError
from mallowquay.settings.operator import load_operator
from rigs.fleet import schedule
from rigs.fleet.checkers import Bounds, judge
from rigs.fleet.history import Event
from rigs.fleet.rig import Rig
from rigs.process import quiet_port

LASTING = Lasting(Life(3, 4, 5), 6, 7, "b", BEFORE_ALL, BEFORE_ALL)
LIFE = Life(1, 2, 3)


class Owner:
    """Takes every greeting, and keeps what comes."""

    def __init__(self, name: str) -> None:
        self.name, self.frames, self.refusals = name, [], []  # type: ignore[var-annotated]
        self.came, self.ups = asyncio.Event(), asyncio.Event()

    def greeting(self, to: str) -> Hello:
        return Hello(1, 1, self.name, to, LIFE)

    def greeted(self, hello: Hello) -> Welcome | Refused:
        found = common_format(hello)
        return Refused("no format") if found is None else Welcome(found, self.name, LIFE)

    def up(self, name: str, life: Life) -> None:
        self.ups.set()

    def refused(self, name: str, word: Refused) -> None:
        self.refusals.append(word)
        self.came.set()

    def frame(self, name: str, frame: Frame) -> None:
        self.frames.append(frame)
        self.came.set()


def ends(count: int = 2) -> tuple[list[Owner], list[Links], list[int]]:
    names = "abc"[:count]
    ports = [quiet_port() for _ in names]
    owners = [Owner(name) for name in names]
    found = [
        Links(name, owner, monotonic, random.Random(1)) for name, owner in zip(names, owners, strict=True)
    ]
    for index, one in enumerate(found):
        one.listen(("127.0.0.1", ports[index]))
        one.configure({name: ("127.0.0.1", ports[i]) for i, name in enumerate(names) if i != index})
    return owners, found, ports


async def spoken(port: int, *data: bytes, end: bool = False) -> bytes:
    """What comes back on a connection that says this."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    for part in data:
        writer.write(part)
    if end:
        writer.write_eof()
    try:
        async with asyncio.timeout(5):
            return await reader.read()
    except ConnectionResetError:
        return b""
    finally:
        writer.close()


def framed(frame: Frame) -> bytes:
    data = encode(frame)
    return len(data).to_bytes(4, "big") + data


def test_two_dial_at_once_and_one_link_stays() -> None:
    async def body() -> None:
        owners, both, _ = ends()
        await asyncio.wait_for(asyncio.gather(*(owner.ups.wait() for owner in owners)), 5)
        both[0].send("b", Ping(1, 2))
        await asyncio.wait_for(owners[1].came.wait(), 5)
        assert owners[1].frames == [Ping(1, 2)]
        assert {one.links[other].dialled_by for one, other in zip(both, "ba", strict=True)} == {"a"}
        for one in both:
            one.close()

    asyncio.run(body())


@pytest.mark.parametrize(
    ("data", "why"),
    [
        ((b"\0\0\0\x02\x91\xc0",), "not_greeted"),  # no frame
        ((b"\xff\xff\xff\xff",), "not_greeted"),  # over its bound
        ((b"\0\0",), "not_greeted"),  # not whole in time
        ((framed(Ping(1, 2)),), "stranger"),  # no greeting
        ((framed(Hello(1, 1, "z", "a", LIFE)),), "stranger"),  # a name that is not in the list
        ((framed(Hello(1, 1, "b", "c", LIFE)),), "stranger"),  # meant for another
        ((framed(Hello(1, 1, "b", "a", LIFE)), b"\0\0\0\x01\xc1"), "garbled"),
        ((framed(Hello(1, 1, "b", "a", LIFE)), b"\x7f\0\0\0"), "garbled"),
        ((framed(Hello(1, 1, "b", "a", LIFE)), b"\0\0\0\x09half"), "frame_not_whole"),
    ],
)
def test_what_is_no_frame_closes_the_connection_and_does_nothing_else(
    data: tuple[bytes, ...], why: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(links_module, "FRAME_WITHIN", timedelta(milliseconds=80))
    monkeypatch.setattr(links_module, "GREETING_WITHIN", timedelta(milliseconds=80))

    async def body() -> None:
        owners, (one, other), ports = ends()
        other.close()
        await spoken(ports[0], *data)
        assert one.counts[why] == 1 and not owners[0].frames, one.counts
        one.close()

    asyncio.run(body())


def test_two_releases_agree_on_a_format_or_part_in_order() -> None:
    assert common_format(Hello(1, 9, "a", "b", LIFE)) == 1
    assert common_format(Hello(2, 9, "a", "b", LIFE)) is None
    # A frame of a later release has more fields at its end.
    later = encode(Ping(1, 2))[1:]
    assert decode(b"\x95" + later + b"\xa3new") == Ping(1, 2)

    async def body() -> None:
        owners, both, ports = ends()
        both[1].close()
        answer = await spoken(ports[0], framed(Hello(7, 9, "b", "a", LIFE)))
        assert decode(answer[4:]) == Refused("no format")
        both[0].close()

    asyncio.run(body())


class Wire:
    """A stream that takes one chunk at a time."""

    def __init__(self) -> None:
        self.chunks: list[bytes] = []
        self.futures: list[asyncio.Future[None]] = []
        self.io_loop = self

    def closed(self) -> bool:
        return False

    def close(self) -> None:
        pass

    def add_timeout(self, *what: object) -> None:
        pass

    remove_timeout = add_timeout

    def write(self, data: bytes) -> asyncio.Future[None]:
        self.chunks.append(data)
        self.futures.append(asyncio.get_running_loop().create_future())
        return self.futures[-1]


def test_a_death_overtakes_heartbeats_and_both_overtake_what_is_long() -> None:
    death = Ping(9, 9, (Rumour("c", LIFE, 0, State.DOWN, "b"),))
    assert is_urgent(death) and is_urgent(Leave(LIFE)) and not is_urgent(Ping(1, 2))

    async def body() -> None:
        wire = Wire()
        link = Link(wire, "b", LIFE, "a", timedelta(0))  # type: ignore[arg-type]
        for number in range(8):
            link.queue(Bulk("x", bytes(16_000)))
        link.queue(Ping(1, 2))
        link.queue(death)
        while len(wire.chunks) < 3:
            wire.futures[-1].set_result(None)
            await asyncio.sleep(0)
        first = encode(death)
        assert len(wire.chunks[0]) < 17_000 and wire.chunks[1][4 : 4 + len(first)] == first
        assert encode(Ping(1, 2)) in wire.chunks[1] and len(wire.chunks[1]) < 33_000
        taken = [link.queue(Bulk("x", bytes(16_000))) for _ in range(60)]
        assert not all(taken) and link.bulk_bytes <= links_module.BULK_MOST
        for number in range(2000):
            link.queue(Ping(number, 2))
        assert len(link.short) + len(link.urgent) <= links_module.QUEUE_MOST and link.dropped > 1000
        assert link.queued_bytes == sum(map(len, [*link.short, *link.urgent]))
        view = View(Key(1, 1, 1), "a", (), (), bytes(links_module.BOOK_MOST))
        for _ in range(10):  # frames as long as they may be, to an end that does not read
            link.queue(Lead(1, view.key, view.key, 1, 1, 1, view))
        assert link.queued_bytes <= links_module.QUEUE_BYTES_MOST < 10 * links_module.BOOK_MOST
        assert link.queued_bytes == sum(map(len, [*link.short, *link.urgent]))

    asyncio.run(body())


def test_a_frame_that_comes_in_pieces_is_read_whole() -> None:
    async def body() -> None:
        owners, both, ports = ends()
        both[1].close()
        reader, writer = await asyncio.open_connection("127.0.0.1", ports[0])
        for byte in framed(Hello(1, 1, "b", "a", LIFE)) + framed(Ping(5, 6)):
            writer.write(bytes([byte]))
            await writer.drain()
        await asyncio.wait_for(owners[0].came.wait(), 5)
        assert owners[0].frames == [Ping(5, 6)]
        writer.close()
        both[0].close()
        assert read_frame is not None

    asyncio.run(body())


# --- the disk


def test_every_flipped_bit_and_every_cut_is_noticed() -> None:
    data = packed(LASTING)
    assert unpacked(data) == LASTING
    for place in range(len(data)):
        for bit in range(8):
            with pytest.raises(Spoilt):
                unpacked(data[:place] + bytes([data[place] ^ 1 << bit]) + data[place + 1 :])
        with pytest.raises(Spoilt):
            unpacked(data[:place])


def test_a_disk_is_read_back_kept_by_one_process_and_a_spoilt_file_is_set_aside(tmp_path: Path) -> None:
    disk = Disk(tmp_path / "new" / "disk")
    assert disk.open() is None
    disk.write(LASTING)
    with pytest.raises(InUse, match="fleet.disk"):
        Disk(disk.folder).open()
    disk.close()
    assert disk.open() == LASTING
    disk.close()
    (disk.folder / "member").write_bytes(b"half of somethi")
    assert disk.open() is None and (disk.folder / "member.spoilt").exists()


def test_a_write_that_fails_leaves_what_was_there(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    disk = Disk(tmp_path)
    disk.open()
    disk.write(LASTING)
    later = Lasting(Life(4, 4, 5), 7, 7, "", BEFORE_ALL, BEFORE_ALL)

    def fails(descriptor: int) -> None:
        raise OSError(5, "the sync failed")

    with monkeypatch.context() as patch:
        patch.setattr("os.fsync", fails)
        with pytest.raises(OSError, match="the sync failed"):
            disk.write(later)
    disk.close()
    assert Disk(tmp_path).open() == LASTING and disk.failures == 1


# --- the file

FLEET = '[fleet]\nname = "a"\nlisten = "127.0.0.1:7101"\ndisk = "d"\n'
MEMBER = '[[fleet.members]]\nname = "{}"\naddress = "{}"\n'
BASE = 'sip.udp = "127.0.0.1:5060"\n'
BASE += '[[classes]]\nname = "x"\naim_ms = 1\ndeadline_ms = 2\n[[servers]]\nid = "s"\n'
BASE += 'address = "127.0.0.1:5"\n'


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        (FLEET, "fleet.members is missing"),
        (FLEET + MEMBER.format("b", "127.0.0.1:1"), "fleet.name: 'a' is none of fleet.members"),
        (FLEET + MEMBER.format("a", "10.0.0.1:1"), "fleet.members.0.address: 10.0.0.1 is not a loopback"),
        (FLEET + MEMBER.format("a", "host:1"), "fleet.members.0.address: host is not a loopback"),
        (FLEET.replace("127.0.0.1", "0.0.0.0") + MEMBER.format("a", "127.0.0.1:1"), "fleet.listen: 0.0.0.0"),
        (FLEET + 2 * MEMBER.format("a", "127.0.0.1:1"), "fleet.members.1.name: 'a' is given twice"),
        (
            FLEET + MEMBER.format("a", "127.0.0.1:1") + MEMBER.format("b", "127.0.0.1:1"),
            "an address is given",
        ),
        (
            FLEET + "lease_ms = 1300\n" + MEMBER.format("a", "127.0.0.1:1"),
            "fleet.lease_ms must be three quar",
        ),
        (FLEET + "beat_ms = 800\n" + MEMBER.format("a", "127.0.0.1:1"), "fleet.beat_ms must be a third"),
        (FLEET + "answer_ms = 300\n" + MEMBER.format("a", "127.0.0.1:1"), "fleet.answer_ms must be half"),
        (FLEET + "nmae = 3\n" + MEMBER.format("a", "127.0.0.1:1"), "fleet.nmae is not known"),
    ],
)
def test_a_fault_in_the_file_names_its_key(text: str, fault: str, tmp_path: Path) -> None:
    file = tmp_path / "f.toml"
    file.write_text(BASE + text)
    with pytest.raises(ConfigError, match=fault.replace(".", r"\.")):
        load_operator(str(file))


def test_without_a_fleet_nothing_of_it_is_loaded() -> None:
    code = "import sys, mallowquay.service; print([m for m in sys.modules if 'fleet' in m or 'xxhash' in m])"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT, check=True)
    assert done.stdout.strip() == "[]"


# --- real processes


def test_five_processes_under_a_seed_of_faults() -> None:
    """Cuts, kills, stops and disks between real processes; the whole is `make fleet-endurance`."""

    async def body() -> Rig:
        async with Rig(4, 5, rate=5.0) as rig:
            await rig.begin()
            await rig.play(schedule.draw(4, rig.names, 2, steps=4))
            await rig.finish()
            return rig

    rig = asyncio.run(body())
    found, spans = judge(rig.history.events)
    assert not any(found.values()), found
    assert len(spans) >= 3
    seen = Counter(event.what for event in rig.history.events)
    assert seen["voted"] >= 2 and seen["leads"] >= 10 and seen["proposed"] >= 2, seen
    assert all(machine.process is None for machine in rig.machines.values())


def test_a_fleet_is_shown_grows_by_its_file_and_survives_the_loss_of_its_majority() -> None:
    async def shown(rig: Rig, name: str, *words: str) -> tuple[int, str]:
        done = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "mallowquay", "fleet", *words, cwd=ROOT, stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )  # fmt: skip
        text, _ = await done.communicate()
        return done.returncode or 0, text.decode()

    async def body() -> None:
        async with Rig(1, 4, rate=0) as rig:
            three, file = rig.names[:3], str(rig.machines["g1"].file)
            for name in three:
                rig.machines[name].write_file(rig.file_of(name, three))
            begun = asyncio.gather(*(rig.start(name) for name in three))
            await begun
            rig._tasks = [asyncio.create_task(rig._watch(name)) for name in rig.names]
            assert await rig.until(lambda: rig.all_well(three))
            code, text = await shown(rig, "g1", "show", file)
            assert code == 0 and "view 1 of term 1, led by g1: holds" in text and text.count("up") == 3, text
            # One more, by the file and SIGHUP; the newcomer's disk is empty.
            for name in rig.names:
                rig.machines[name].write_file(rig.file_of(name, rig.names))
            for name in three:
                rig.machines[name].hang_up()
            await rig.start("g4")
            assert await rig.until(lambda: rig.all_well(rig.names)), rig._latest
            code, text = await shown(rig, "g1", "show", file, "--json")
            assert json.loads(text)["configured"] == rig.names
            # Three of four are lost for good.
            for name in ("g2", "g3", "g4"):
                rig.kill(name)

            def down() -> bool:
                members = rig._latest.get("g1", {}).get("members", ())
                return sum(one["state"] == "down" for one in members) == 3

            assert await rig.until(down), rig._latest
            code, text = await shown(rig, "g1", "show", file)
            assert code == 3 and "NO MAJORITY" in text, text
            code, text = await shown(rig, "g1", "give-up", file, "g1", "--yes")
            assert code == 1 and "still up" in text or "cannot be given up" in text, text
            code, text = await shown(rig, "g1", "give-up", file, "g2", "g3", "g4", "--yes")
            assert code == 0, text
            assert await rig.until(lambda: rig.all_well(["g1"])), rig._latest

    asyncio.run(body())


def test_the_rig_sets_the_wall_clock_of_its_processes_alone(tmp_path: Path) -> None:
    (tmp_path / "clock").write_text("3600000")
    code = "import time; print(time.time(), time.time_ns() / 1e9, time.monotonic())"
    paths = str(ROOT / "rigs" / "fleet" / "clockwork")
    told = []
    for environment in ({}, {"PYTHONPATH": paths, "RIG_CLOCK": str(tmp_path / "clock")}):
        done = subprocess.run([sys.executable, "-c", code], env=environment, capture_output=True, check=True)
        told.append([float(word) for word in done.stdout.split()])
    plain, ahead = told
    assert all(3590 < late - here < 3660 for here, late in zip(plain[:2], ahead[:2], strict=True))
    assert ahead[2] - plain[2] < 60


# --- the checkers themselves


def reading(at: int, name: str, pid: int = 1, **fields: object) -> Event:
    told = {
        "pid": pid, "started_us": at, "life": f"1.{name}{pid}", "number": 1, "disk_mark": name,
        "trust": "trusted",
        "stood_down": None, "term": 1, "view": 1, "view_term": 1, "lease_term": 1, "majority": True,
        "lease_ms": 500, "configured": ["a", "b"], "up": ["a", "b"], "lives": {}, "at_us": at,
    }  # fmt: skip
    return Event(at, "reading", name, {**told, **fields})


S = 1_000_000
GOOD = [
    Event(0, "started", "a", {"pid": 1}),
    Event(0, "started", "b", {"pid": 1}),
    Event(1, "mended", "", {"running": ["a", "b"]}),
    reading(S, "a"),
    reading(S, "b"),
    Event(S, "leads", "a", {"term": 1, "stamp": S, "lease": S // 2}),
    Event(S, "leads", "a", {"term": 1, "stamp": S + S // 4, "lease": S // 2}),
    Event(S, "voted", "a", {"term": 1, "disk": 7, "to": "b"}),
    Event(S, "proposed", "a", {"key": [1, 1], "content": "00"}),
    Event(2 * S, "calls", "", {"taken": 5, "missing": 0}),
]
SPOILT = {
    "one_majority": [reading(S + 100, "b", lease_term=2, term=2)],
    "one_view_a_number": [reading(2 * S, "b", up=["a"])],
    "lives_differ": [reading(2 * S, "b", life="1.a1")],
    "disks_kept": [reading(2 * S, "b", disk_mark="other")],
    "healed": [Event(3 * S, "mended", "", {"running": ["a", "b"]}), reading(4 * S, "a", majority=False)],
    "nobody_falsely_down": [reading(t * S, "a", view=2, up=["a"]) for t in (3, 20, 40, 60)],
    "older_stands_down": [
        Event(3 * S, "twin", "a", {"old": 1, "new": 2}),
        reading(4 * S, "a", 2, life="2.x"),
    ],
    "calls_kept": [Event(3 * S, "calls", "", {"double": 1})],
    "promises_kept": [
        Event(3 * S, "granted", "a", {"key": "k"}),
        Event(4 * S, "leases", "a", {"keys": []}),
    ],
    "no_errors": [Event(3 * S, "errors", "a", {"count": 1, "first": "x"})],
    "one_leader": [Event(S + 100, "leads", "b", {"term": 2, "stamp": S + 100, "lease": S})],
    "one_vote": [Event(S, "voted", "a", {"term": 1, "disk": 7, "to": "c"})],
    "one_proposal": [Event(S, "proposed", "b", {"key": [1, 1], "content": "ff"})],
    "nobody_crashed": [Event(3 * S, "crashed", "a", {"code": 1})],
}


def test_a_good_history_has_no_violation() -> None:
    found, spans = judge(GOOD, Bounds())
    assert not any(found.values()) and spans == [S - 1]
    assert set(found) == set(SPOILT), "every checker has a spoilt history"


@pytest.mark.parametrize("checker", SPOILT)
def test_each_checker_fails_on_a_history_that_was_spoilt(checker: str) -> None:
    found, _ = judge([*GOOD, *SPOILT[checker]], Bounds())
    assert found[checker], found


def test_schedules_repeat_are_written_read_and_shrunk(tmp_path: Path) -> None:
    names = ["a", "b", "c", "d", "e"]
    plan = schedule.draw(7, names, 5)
    assert plan == schedule.draw(7, names, 5) != schedule.draw(8, names, 5)
    schedule.write(plan, tmp_path / "s.json")
    assert schedule.read(tmp_path / "s.json") == plan
    wanted = {plan[1].steps[0], plan[3].steps[-1]}

    def fails(rest: list[schedule.Round]) -> bool:
        return wanted <= {step for one in rest for step in one.steps}

    shorter = schedule.shrink(plan, fails, tries=500)
    assert {step for one in shorter for step in one.steps} == wanted
