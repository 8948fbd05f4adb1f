"""Closings between real processes: many within a minute, wall clocks that the rig sets, readers everywhere.

`judge` goes by what readers saw alone: the generation that each kind of cache had when it was read.
"""

from __future__ import annotations

import asyncio
import random
import time
from pathlib import Path
from typing import Any

from ..process import ROOT
from .history import Event, now_us
from .rig import Rig
from .schedule import Round

SLACK_US = 5_000  # between two readings of one clock
KINDS = ("ratings", "day-counts", "events")
ZONES = ("Etc/UTC", "Atlantic/Reykjavik", "Africa/Abidjan")  # all of them keep UTC
ANSWERS = (OSError, ValueError, TimeoutError, asyncio.IncompleteReadError)
EVERY_DAY = '["mon", "tue", "wed", "thu", "fri", "sat", "sun"]'


def closings(first: float, count: int, apart: float, purge: tuple[str, ...] = KINDS) -> str:
    """So many closings, the first `first` seconds from now, as the operator's file has them."""
    text = ""
    begin = int(time.time() + first)
    for number in range(count):
        at = time.strftime("%H:%M:%S", time.gmtime(begin + int(number * apart)))
        zone = ZONES[number % len(ZONES)]
        text += f'[[closings]]\nname = "c{number:02d}"\nzone = "{zone}"\nclose = "{at}"\n'
        kinds = ", ".join(f'"{kind}"' for kind in purge)
        text += f"days = {EVERY_DAY}\npurge = [{kinds}]\nclock_error_ms = 150\nfreeze_s = 5\n"
    return text


class DaysRig(Rig):
    """A rig whose wall clocks are off by a little each, and by far at a minority."""

    def __init__(self, seed: int, count: int, extra: str, program: Path = ROOT, rate: float = 4.0) -> None:
        super().__init__(seed, count, rate=rate, program=program, extra=extra)
        self._chance = random.Random(seed)
        self._wrong_most = (count - 1) // 2
        self._wrong: set[str] = set()
        self._readers: list[asyncio.Task[None]] = []

    def set_clocks(self) -> None:
        """Each within 100 ms of the rig's own."""
        for name in self.names:
            self.machines[name].set_clock(self._chance.randint(-100, 100))
        self._wrong = set()

    async def _do_clock(self, names: tuple[str, ...]) -> None:
        """A wall clock steps by far; only a minority may be wrong at a time."""
        name = names[0]
        if len(self._wrong | {name}) > self._wrong_most:
            return
        self._wrong.add(name)
        self.machines[name].set_clock(self._chance.choice((5_000, -5_000, 3_600_000, -3_600_000, 90_000_000)))

    async def mend(self) -> None:
        """Clocks that were wrong are set right, too."""
        self.set_clocks()
        await super().mend()

    def read_all(self) -> None:
        """Readers come to every machine."""
        self._readers = [asyncio.create_task(self._read_days(name)) for name in self.names]

    async def stop_reading(self) -> None:
        """No more of them; every machine is read once more."""
        for task in self._readers:
            task.cancel()
        await asyncio.gather(*self._readers, return_exceptions=True)
        for name in self.names:
            await self.read_day(name)

    async def _read_days(self, name: str) -> None:
        while True:
            await asyncio.sleep(0.06 + 0.06 * self._chance.random())
            if self.machines[name].running:
                await self.read_day(name)

    async def read_day(self, name: str) -> dict[str, Any] | None:
        """What a machine holds now, by kind."""
        process = self.machines[name].process
        begun, wall = now_us(), time.time_ns() // 1000
        try:
            told = await self.ask(name, "/closings")
            held = {one["kind"]: one["generation"] for one in told["held"] if not one["tenant"]}
        except (*ANSWERS, KeyError):
            return None
        self.history.add(
            "day", name, pid=process.pid if process else 0, begun_us=begun, wall_us=wall, held=held,
            fired=[f"{one['name']}/{one['day']}" for one in told["fired"]], standing=told["standing"],
        )  # fmt: skip
        return told


async def play(
    seed: int, count: int, rounds: list[Round], program: Path = ROOT, first: float = 16.0, number: int = 16,
    apart: float = 3.0,
) -> list[Event]:  # fmt: skip
    """Closings all along while faults happen; what was seen."""
    extra = closings(first, number, apart)
    async with DaysRig(seed, count, extra, program) as rig:
        rig.set_clocks()
        end = time.monotonic() + first + number * apart + 2
        await rig.begin()
        rig.read_all()
        await rig.play(rounds)
        await asyncio.sleep(max(0.0, end - time.monotonic()))
        await asyncio.sleep(3)
        await rig.finish()
        await rig.stop_reading()
        rig.history.add("planned", names=[f"c{one:02d}" for one in range(number)])
        return rig.history.events


def judge(events: list[Event]) -> list[str]:
    """What readers saw that may not be."""
    found: list[str] = []
    newest: dict[str, tuple[int, list[Any], str]] = {}  # of each kind: seen by then, the generation, where
    fired: dict[tuple[str, int], list[str]] = {}
    instants = {
        generation[0]
        for event in events if event.what == "day"
        for generation in event.fields["held"].values() if generation is not None
    }  # fmt: skip
    for event in events:
        told = event.fields
        if event.what == "calls":
            found += [f"calls: {key} {told[key]}" for key in ("missing", "double") if told.get(key)]
        if event.what != "day":
            continue
        for kind, generation in told["held"].items():
            if generation is None:
                continue
            known = newest.get(kind)
            if known is not None and generation < known[1] and told["begun_us"] > known[0]:
                found.append(f"{event.name} reads {kind} of {generation} after {known[2]} read {known[1]}")
            if known is None or generation > known[1]:
                newest[kind] = event.at_us, generation, event.name
            # By the rig's clock, which is right: most of the members' are set by it.
            if generation[0] > told["wall_us"] + event.at_us - told["begun_us"] + SLACK_US:
                found.append(f"{event.name} is in {generation} before its time")
            due = max((instant for instant in instants if instant < told["wall_us"] - SLACK_US), default=0)
            if generation[0] < due:
                found.append(f"{event.name} still reads {kind} of {generation} after {due}")
        before = fired.get((event.name, told["pid"]), [])
        fired[event.name, told["pid"]] = told["fired"]
        if len(set(told["fired"])) < len(told["fired"]):
            found.append(f"{event.name} carried one out twice: {told['fired']}")
        if before and told["fired"][: len(before)] != before and len(told["fired"]) < 32:
            found.append(f"{event.name} carried out {told['fired']} after {before}")
    last = {event.name: event.fields for event in events if event.what == "day"}
    ends = {name: told["held"].get("ratings") for name, told in last.items()}
    if len({str(end) for end in ends.values()}) > 1 or None in ends.values():
        found.append(f"not alike at the end: {ends}")
    return found


def figures(events: list[Event]) -> dict[str, Any]:
    """How much there was, and how long from an instant until each machine was seen in the new day."""
    first: dict[tuple[int, str], int] = {}
    away = total = 0
    for event in events:
        if event.what == "day":
            generation = event.fields["held"].get("ratings")
            total += 1
            away += generation is None
            if generation is not None:
                first.setdefault((generation[0], event.name), event.fields["wall_us"])
    late = sorted((seen - instant) / 1000 for (instant, _), seen in first.items() if instant)
    return {
        "readings": total,
        "not_there": round(away / total, 3) if total else None,
        "instants_seen": len({instant for instant, _ in first if instant}),
        "late_ms": [round(late[len(late) // 2]), round(late[-1])] if late else None,
    }
