"""Sites, events and closings together: a district is lost in the second of its close, clients on both sides.

    PYTHONPATH=. .venv/bin/python benchmarks/together_endurance.py [--short] [--seed N] [--seeds N]

Each seed: gatekeepers in three districts with `[sites]`, `[events]`, `[copies]` (`promise = "copied"`),
`[takeover]` and a calendar of closings a few seconds apart; at the second closing all of a district is killed
with its disks and log servers. Judges read what callers, log servers and clients of the events saw. `--short`
under 50 s. The last line is JSON with `violations`; exit code 1 where it is not 0.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

import click
import numpy as np

from rigs.process import ROOT
from rigs.together import clocks
from rigs.together.callers import planned
from rigs.together.checkers import judge, ratios
from rigs.together.clients import (
    EventClients,
    Wanted,
    nothing_missing,
    only_what_matches,
    some_filters,
    streams_of,
    told_once,
)
from rigs.together.districts import DistrictRig, Layout, until_at

COPIED = '\n[copies]\nwait_ms = 300\npromise = "copied"\n[takeover]\n'
CLOSES_S = (20.0, 25.0, 30.0)  # after the files are written
FIRED = Wanted('kind == "closing.fired"', lambda event: event["kind"] == "closing.fired")
RATE = 60.0  # calls a second of all districts
STARTED_WITHIN = 12.0  # seconds: later, a closing would be planned for the next day


async def play(seed: int, layout: Layout, seconds: float, program: Path) -> dict[str, Any]:
    """One seed; what was violated, and figures."""
    calendar = clocks.calendar(datetime.now(UTC), CLOSES_S)
    plan = planned(seed, list(layout.districts), lambda at: RATE, 3600, RATE)
    extra = COPIED + clocks.tables(calendar)
    begun = time.monotonic()
    async with DistrictRig(seed, layout, plan, True, program, extra, events=True) as rig:
        clocks.planned_in(rig, calendar)
        await rig.begin(callers=False)
        await rig.settle()
        if time.monotonic() - begun > STARTED_WITHIN:
            raise RuntimeError(f"the fleet took {time.monotonic() - begun:.0f} s to start")
        site = layout.districts[seed % len(layout.districts)]
        clients, wanted = EventClients(rig.history), {}
        filters = [FIRED, *some_filters()]
        for number, name in enumerate(rig.names):
            for one in (FIRED, filters[number % len(filters)]):
                label = f"{name}-{len(wanted)}"
                wanted[label] = one
                clients.open(label, rig.events[name], one)
        await asyncio.sleep(1.0)
        await rig.traffic.begin()
        early = calendar[1].at.timestamp() - time.time()
        await asyncio.sleep(max(0.0, early))
        await rig.lose(site)
        await until_at(rig, seconds)
        await rig.finish()
        await asyncio.sleep(2.5)
        await clients.close_all()
        events = rig.history.events
        lost = set(rig.members_of(site))
        found = judge(events, sites=False)
        kept = {label: one for label, one in wanted.items() if label.split("-")[0] not in lost}
        mine = [event for event in events if event.what != "stream" or event.name in kept]
        found["told_once"] = told_once(mine)
        found["only_what_matches"] = only_what_matches(mine, kept)
        found["nothing_missing"] = nothing_missing(mine, kept)
        found["fired_once"], late = clocks.fired_once(
            [e for e in mine if e.what != "stream" or kept[e.name] is FIRED],
            [name for name in rig.names if name not in lost],
        )
        found["no_errors"] = [
            f"{event.name}: {event.fields}" for event in events if event.what in ("errors", "crashed")
        ]
        best = [(first, later) for _, _, _, first, later in ratios(events)]
        return {
            "seed": seed,
            "violations": sum(map(len, found.values())),
            "found": {name: texts[:3] for name, texts in found.items() if texts},
            "calls": sum(event.what == "call" for event in events),
            "streams": len(streams_of(mine)),
            "told": sum(event.what == "stream" and event.fields["line"] == "event" for event in mine),
            "gaps": sum(event.what == "stream" and event.fields["line"] == "gap" for event in mine),
            "fired_late_ms": [int(np.median(late)), max(late)] if late else [],
            "of_best": best,
        }


@click.command()
@click.option("--short", is_flag=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--seeds", type=int, default=20, show_default=True)
@click.option(
    "--program", type=click.Path(exists=True), default=str(ROOT), help="A checkout, or a spoilt copy."
)
def main(short: bool, seed: int, seeds: int, program: str) -> None:
    """Play all, and say what was violated."""
    begun = time.monotonic()
    layout = Layout(members=(2, 2, 2)) if short else Layout()
    runs = []
    for number in range(seed, seed + (1 if short else seeds)):
        runs.append(asyncio.run(play(number, layout, 22.0 if short else 40.0, Path(program).resolve())))
        click.echo(json.dumps(runs[-1]))
    worst = max(runs, key=lambda run: run["violations"])
    line = {
        "violations": sum(run["violations"] for run in runs),
        "seed": seed,
        "runs": len(runs),
        "calls": sum(run["calls"] for run in runs),
        "told": sum(run["told"] for run in runs),
        "gaps": sum(run["gaps"] for run in runs),
        "fired_late_ms": max((run["fired_late_ms"][1] for run in runs if run["fired_late_ms"]), default=None),
        "worst": worst["seed"],
        "seconds": round(time.monotonic() - begun, 1),
    }
    click.echo(json.dumps(line))
    sys.exit(1 if line["violations"] else 0)


if __name__ == "__main__":
    main()
