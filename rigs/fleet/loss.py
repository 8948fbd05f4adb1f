"""A machine is lost with its disk while calls stand on it: what both sides of these calls hear."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from .rig import Rig

TAKEOVER = "[copies]\nwait_ms = 1000\n[takeover]\nhold_ms = 300\n"
STANDING_CALLS = 25  # on the machine before it is lost
RELEASED_WITHIN = 30.0  # seconds
OTHERS_FROM = 2_000_000  # the first call number of the second machine; see `Traffic`


@dataclass(frozen=True, slots=True)
class Loss:
    """What became of the calls of the lost machine, by what callers and log servers saw."""

    calls: list[str]  # that stood there
    unreleased: list[str]  # of these, the ones whose caller or log server got no BYE in time
    ended: int  # calls that the survivors ended, as they say
    silent_sides: int  # sides that did not answer a survivor's BYE
    others_released: list[str]  # calls of the survivors that were released to their callers
    double_answers: int


def _number(call: str) -> int:
    return int(call, 16)


async def lose_first_machine(rig: Rig) -> Loss:
    """Start the rig, let calls stand on its first machine, and lose that one. Errors: RuntimeError.

    The rig needs `TAKEOVER` in its files. No call is ended by its log server or its caller.
    """
    first, *survivors = rig.names
    report = rig.traffic.report
    rig.traffic.weather.unreleased = 1.0

    def standing() -> list[str]:
        return [
            call
            for call, track in report.calls.items()
            if _number(call) < OTHERS_FROM and any(status == 200 for status, _ in track.finals)
        ]

    await rig.begin(callers=False)
    if not await rig.until(rig.all_well):
        raise RuntimeError("the members did not come to hold one view")
    await rig.traffic.begin()
    if not await rig.until(lambda: len(standing()) >= STANDING_CALLS):
        raise RuntimeError(f"{len(standing())} calls stand on {first}")
    await rig.traffic.pause()
    calls = standing()
    lost_at = asyncio.get_running_loop().time()
    rig.kill(first)
    rig.machines[first].wipe()

    def released(call: str) -> bool:
        track = report.calls[call]
        at_log_server = any(at > lost_at and what.startswith("BYE") for at, what in track.log)
        return at_log_server and any(note.startswith("bye") for note in track.notes)

    await rig.until(lambda: all(map(released, calls)), RELEASED_WITHIN)
    told = [(await rig.ask(name, "/stats"))["takeover"] for name in survivors]
    return Loss(
        calls=calls,
        unreleased=[call for call in calls if not released(call)],
        ended=sum(one["ended"] for one in told),
        silent_sides=sum(one["sides_silent"] for one in told),
        others_released=[
            call
            for call, track in report.calls.items()
            if _number(call) >= OTHERS_FROM and any(note.startswith("bye") for note in track.notes)
        ],
        double_answers=report.faults["two answers"],
    )
