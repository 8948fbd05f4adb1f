"""What befalls districts, as a timetable; the calls of a run; and what the run came to.

python -m rigs.together.scenarios --scenario killed --load 1.2 --seed 1 [--sites] [--keep FILE]
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any

import click
import numpy as np

from ..fleet.history import Event, History
from ..process import ROOT
from . import hindsight
from .callers import Rate, planned
from .checkers import Bounds, busy, judge, phases, ratios
from .districts import DistrictRig, Layout, until_at

LOADED = 0.8  # of what all log servers can do, at most, while nothing is amiss


@dataclass(frozen=True, slots=True)
class Times:
    """Seconds from the first call."""

    loss: float = 8.0
    back: float = 30.0
    end: float = 56.0


SHORT = Times(3.0, 14.0, 19.0)
Play = Callable[[DistrictRig, str, Times], Awaitable[None]]


async def killed(rig: DistrictRig, site: str, times: Times) -> None:
    """All of it gone, with disks and log servers; it comes back cold and empty."""
    await until_at(rig, times.loss)
    await rig.lose(site)
    await until_at(rig, times.back)
    await rig.bring_back(site)


async def cut_off(rig: DistrictRig, site: str, times: Times) -> None:
    """Nothing passes its border for a while."""
    await until_at(rig, times.loss)
    await rig.cut_off(site)
    await until_at(rig, times.back)
    await rig.join(site)


async def slow(rig: DistrictRig, site: str, times: Times) -> None:
    """Its log servers and border are two seconds late for a while."""
    await until_at(rig, times.loss)
    await rig.slow(site)
    await until_at(rig, times.back)
    await rig.join(site)


async def lost_meanwhile(rig: DistrictRig, site: str, times: Times) -> None:
    """Another one is lost while it returns."""
    other = next(name for name in rig.layout.districts if name != site)
    await until_at(rig, times.loss)
    await rig.lose(site)
    half = (times.back - times.loss) / 2
    await until_at(rig, times.loss + half)
    await rig.bring_back(site)
    await until_at(rig, times.loss + half + 4)
    await rig.lose(other)
    await until_at(rig, times.back + 4)
    await rig.bring_back(other)


async def flapping(rig: DistrictRig, site: str, times: Times) -> None:
    """Its border closes and opens, again and again."""
    step = (times.back - times.loss) / 6
    for number in range(3):
        await until_at(rig, times.loss + 2 * number * step)
        await rig.cut_off(site)
        await until_at(rig, times.loss + (2 * number + 1) * step)
        await rig.join(site)


SCENARIOS: dict[str, Play] = {
    "killed": killed,
    "cut_off": cut_off,
    "slow": slow,
    "lost_meanwhile": lost_meanwhile,
    "flapping": flapping,
    "leader": killed,
    "majority": killed,
}


def layout_of(scenario: str, layout: Layout) -> Layout:
    """Most members in the district that is lost, where that is the point."""
    return replace(layout, members=(5, 2, 2)) if scenario == "majority" else layout


def rate_of(load: float, layout: Layout, times: Times) -> tuple[Rate, float]:
    """`load` times what is left while a district is away; before and after, LOADED of all at most."""
    left = load * layout.set_ups_per_s * (len(layout.districts) - 1)
    calm = min(left, LOADED * layout.set_ups_per_s * len(layout.districts))
    return lambda at: left if times.loss <= at < times.back else calm, max(left, calm)


async def play(
    scenario: str, seed: int, load: float, sites: bool, times: Times = Times(), layout: Layout = Layout(),
    program: Path = ROOT,
) -> History:  # fmt: skip
    """One run; its history."""
    layout = layout_of(scenario, layout)
    rate, most = rate_of(load, layout, times)
    plan = planned(seed, list(layout.districts), rate, times.end, most)
    async with DistrictRig(seed, layout, plan, sites, program) as rig:
        await rig.begin(callers=False)
        settled = await rig.settle()
        rig.history.add("settled", well=settled)
        site = layout.districts[seed % len(layout.districts)]
        if scenario == "leader":
            site = rig.where.get(await rig.leader(), site)
        elif scenario == "majority":
            site = layout.districts[0]
        await rig.traffic.begin()
        await SCENARIOS[scenario](rig, site, times)
        await until_at(rig, times.end)
        await rig.finish()
        return rig.history


def summary(events: list[Event], sites: bool, bounds: Bounds = Bounds()) -> dict[str, Any]:
    """What a run came to: violations, and by phase what was served."""
    found = judge(events, bounds, sites)
    best = {(at, name): (first, later) for at, name, _, first, later in ratios(events, bounds)}
    layout = next(event.fields for event in events if event.what == "layout")
    told = []
    for at, name, end in phases(events):
        first, later = best.get((at, name), (None, None))
        lost = {member for member, site in layout["where"].items() if site == name.rpartition(" ")[2]}
        word = hindsight.word_of_view(events, lost, at) if first is not None else None
        up = [server for server, (site, _) in layout["servers"].items()
              if first is None or site != name.rpartition(" ")[2]]  # fmt: skip
        even = hindsight.even_after(events, at, end, up)
        told.append({
            "phase": name, "seconds": round((end - at) / 1e6, 1),
            "first_6_s": hindsight.shares(events, at, min(end, at + 6_000_000)),
            "then": hindsight.shares(events, min(end, at + 6_000_000), min(end, at + 21_000_000)),
            "of_best_first": first and round(first, 3), "of_best_later": later and round(later, 3),
            "word_after_s": word and round((word - at) / 1e6, 2), "even_after_s": even,
            "most_per_s": {server: round(float(np.convolve(row, [1, 1], "valid").max()), 1) if row.size > 1
                           else float(row.sum())
                           for server, row in hindsight.loads(events, at, end).items()},
        })  # fmt: skip
    return {
        "violations": sum(map(len, found.values())),
        "found": {name: texts[:3] for name, texts in found.items() if texts},
        "phases": told,
        "calls": len(hindsight.calls_of(events)),
        "fell": sum(event.what == "server_fell" for event in events),
        "void": [name for at, name, end in phases(events) if busy(events, at, end) > bounds.busy],
        "late_rig_s": round(sum(event.fields["us"] for event in events if event.what == "lag") / 1e6, 2),
        "inside": _inside(events),
        "errors": [event.fields["first"] for event in events if event.what in ("errors", "crashed")
                   and "first" in event.fields],
    }  # fmt: skip


def _inside(events: list[Event]) -> list[dict[str, Any]]:
    """Calls of each side that was cut off."""
    return [{"district": district, **hindsight.shares(events, begin, end, district)}
            for district, begin, end in hindsight.servers_of(events).cut]  # fmt: skip


@click.command()
@click.option("--scenario", type=click.Choice(list(SCENARIOS)), default="killed", show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--load", type=float, default=1.2, show_default=True, help="Times what is left.")
@click.option("--sites", is_flag=True, help="With [sites] in the files.")
@click.option("--short", is_flag=True, help="Six gatekeepers, and less time.")
@click.option("--keep", type=click.Path(), help="Write the history.")
@click.option(
    "--program", type=click.Path(exists=True), default=str(ROOT), help="A checkout, or a spoilt copy."
)
def main(
    scenario: str, seed: int, load: float, sites: bool, short: bool, keep: str | None, program: str
) -> None:  # fmt: skip
    """One run. The last line is JSON; exit code 1 where anything was violated."""
    begun = time.monotonic()
    layout = Layout(members=(2, 2, 2)) if short else Layout()
    times = SHORT if short else Times()
    history = asyncio.run(play(scenario, seed, load, sites, times, layout, Path(program).resolve()))
    if keep:
        history.write(Path(keep))
    found = summary(history.events, sites)
    for phase in found.pop("phases"):
        click.echo(json.dumps(phase))
    said = {"seed": seed, "scenario": scenario, "load": load, "sites": sites}
    line = {"violations": found["violations"], **said, **found}
    line["seconds"] = round(time.monotonic() - begun, 1)
    click.echo(json.dumps(line))
    sys.exit(1 if found["violations"] else 0)


if __name__ == "__main__":
    main()
