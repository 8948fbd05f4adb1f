"""Kills the first machine of a fleet, with its disk, and records how its established calls are released."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from .rig import Rig

TAKEOVER = "[copies]\nwait_ms = 1000\n[takeover]\nhold_ms = 300\n"  # tables of the configuration file
MIN_STANDING_CALLS = 25
RELEASE_TIMEOUT_S = 30.0
# `Traffic` numbers the calls of machine i from i * 1,000,000.
FIRST_CALL_OF_SECOND_MACHINE = 2_000_000


@dataclass(frozen=True, slots=True)
class Loss:
    """What callers, log servers and the surviving machines observed."""

    calls: list[str]  # established on the lost machine
    unreleased: list[str]  # of these, calls whose caller or log server received no BYE in time
    ended: int  # calls ended by the survivors, according to their metrics
    silent_sides: int  # callers and log servers that did not answer a survivor's BYE
    others_released: list[str]  # calls of the survivors whose callers received a BYE
    double_answers: int


async def lose_first_machine(rig: Rig) -> Loss:
    """Start the rig, establish calls on its first machine, and kill that machine.

    The configuration files must contain `TAKEOVER`. Log servers and callers do not end any call themselves.
    Raises RuntimeError if the fleet does not form or too few calls are established.
    """
    first, *survivors = rig.names
    report = rig.traffic.report
    rig.traffic.weather.unreleased = 1.0

    def standing() -> list[str]:
        return [
            call
            for call, track in report.calls.items()
            if not _is_of_survivor(call) and any(status == 200 for status, _ in track.finals)
        ]

    await rig.begin(callers=False)
    if not await rig.until(rig.all_well):
        raise RuntimeError("the members did not agree on a view")
    await rig.traffic.begin()
    if not await rig.until(lambda: len(standing()) >= MIN_STANDING_CALLS):
        raise RuntimeError(f"only {len(standing())} calls were established on {first}")
    await rig.traffic.pause()
    calls = standing()
    killed_at = asyncio.get_running_loop().time()
    rig.kill(first)
    rig.machines[first].wipe()

    def released(call: str) -> bool:
        track = report.calls[call]
        at_log_server = any(at > killed_at and what.startswith("BYE") for at, what in track.log)
        return at_log_server and any(note.startswith("bye") for note in track.notes)

    await rig.until(lambda: all(map(released, calls)), RELEASE_TIMEOUT_S)
    metrics = [(await rig.ask(name, "/stats"))["takeover"] for name in survivors]
    return Loss(
        calls=calls,
        unreleased=[call for call in calls if not released(call)],
        ended=sum(one["ended"] for one in metrics),
        silent_sides=sum(one["sides_silent"] for one in metrics),
        others_released=[
            call
            for call, track in report.calls.items()
            if _is_of_survivor(call) and any(note.startswith("bye") for note in track.notes)
        ],
        double_answers=report.faults["two answers"],
    )


def _is_of_survivor(call: str) -> bool:
    return int(call, 16) >= FIRST_CALL_OF_SECOND_MACHINE
