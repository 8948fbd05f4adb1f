"""Wall clocks and calendars of a run: closings that fall into its seconds, and clocks that are wrong.

Each process of the rig has a wall clock of its own (`rigs.fleet.clockwork`): `Machine.set_clock` moves it
while it runs, monotonic clocks stay. `stepped` notes that in the history, so that judges know whose clock was
off, and by how much. `calendar` writes `[[closings]]` whose instants lie so many seconds ahead, in zones of
the operator's choice.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from datetime import UTC, datetime, timedelta
from zoneinfo import ZoneInfo

from ..fleet.history import Event
from ..fleet.rig import Rig

ZONES = (
    "Atlantic/Reykjavik",
    "Asia/Kathmandu",
    "America/New_York",
)  # none, a half-hour's kin, and summer time
DAYS = '["mon", "tue", "wed", "thu", "fri", "sat", "sun"]'


@dataclass(frozen=True, slots=True)
class Planned:
    """A closing of the run."""

    name: str
    zone: str
    at: datetime  # the instant, in UTC, whole seconds


def calendar(begin: datetime, after_s: Sequence[float], zones: Sequence[str] = ZONES) -> list[Planned]:
    """One closing for each of these spans from `begin` on, in one zone after the other."""
    return [
        Planned(f"closing-{number}", zones[number % len(zones)],
                (begin + timedelta(seconds=after)).astimezone(UTC).replace(microsecond=0))
        for number, after in enumerate(after_s)
    ]  # fmt: skip


def tables(plan: Sequence[Planned], purge: Sequence[str] = ("ratings", "day-counts", "events"),
           clock_error_ms: int = 250, freeze_s: int = 5) -> str:  # fmt: skip
    """The plan as `[[closings]]` of an operator's file; each closes every day, at its own local time."""
    text = ""
    for one in plan:
        local = one.at.astimezone(ZoneInfo(one.zone))
        kinds = ", ".join(f'"{kind}"' for kind in purge)
        text += f'\n[[closings]]\nname = "{one.name}"\nzone = "{one.zone}"\n'
        text += f'close = "{local:%H:%M:%S}"\ndays = {DAYS}\npurge = [{kinds}]\n'
        text += f"clock_error_ms = {clock_error_ms}\nfreeze_s = {freeze_s}\n"
    return text


def stepped(rig: Rig, name: str, ahead_ms: int) -> None:
    """A machine's wall clock is so far ahead (or behind) from now on."""
    rig.machines[name].set_clock(ahead_ms)
    rig.history.add("clock", name, ahead_ms=ahead_ms)


def ahead_at(events: Sequence[Event], name: str, at_us: int) -> int:
    """By how many milliseconds a machine's wall clock was ahead at a moment of the history."""
    told = [
        event for event in events if event.what == "clock" and event.name == name and event.at_us <= at_us
    ]
    return int(told[-1].fields["ahead_ms"]) if told else 0


def planned_in(rig: Rig, plan: Sequence[Planned]) -> None:
    """What the files of a run plan, for `fired_once`."""
    for one in plan:
        rig.history.add("closing", one.name, at_ms=round(one.at.timestamp() * 1000), zone=one.zone)


EARLY_MS, LATE_MS = 400, 5_000  # by what a member with a right clock may be off


def fired_once(events: Sequence[Event], through: Sequence[str]) -> tuple[list[str], list[int]]:
    """By what clients were told: each closing once a member, none early, all of `through` in time; how late.

    `through`: members that ran all the time with clocks that were right.
    """
    planned = {event.name: event.fields["at_ms"] for event in events if event.what == "closing"}
    found: list[str] = []
    late: list[int] = []
    by_client: dict[str, dict[tuple[str, str], list[int]]] = {}
    for event in events:
        if event.what == "stream" and event.fields["line"] == "event":
            told = event.fields["told"]
            if told["kind"] == "closing.fired":
                of_one = by_client.setdefault(event.name, {})
                of_one.setdefault((told["member"], told["name"]), []).append(told["at_ms"])
    for client, fired in by_client.items():
        for (member, name), times in fired.items():
            if len(times) > 1 and member in through:
                found.append(f"{client}: {name} was fired {len(times)} times by {member}")
            if member in through and times[0] < planned.get(name, 0) - EARLY_MS:
                found.append(f"{client}: {member} fired {name} {planned[name] - times[0]} ms early")
        for name, at in planned.items():
            for member in through:
                when = fired.get((member, name))
                if when is None or when[0] > at + LATE_MS:
                    found.append(f"{client}: {member} had not fired {name} within {LATE_MS} ms: {when}")
                else:
                    late.append(when[0] - at)
    return found, late
