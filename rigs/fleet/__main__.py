"""`python -m rigs.fleet`: play seeds of faults on real processes, and judge what outsiders saw."""

from __future__ import annotations

import asyncio
import json
import sys
import time
from pathlib import Path
from typing import Any

import click
import msgspec
import numpy as np

from . import schedule
from .checkers import Bounds, judge
from .history import History
from .rig import Rig
from .schedule import Round


async def play(
    seed: int, count: int, rounds: list[Round], rate: float, program: Path, fleet: bool = True,
    pause: float | None = None,
    leases: float = 0.0,
    well: bool = False,
) -> History:  # fmt: skip
    """One run; its history."""
    async with Rig(seed, count, fleet, rate, program, leases=leases) as rig:
        rig.traffic.weather.well = well
        await rig.begin(callers=rate > 0)
        await rig.play(rounds, pause)
        if leases and not await rig.finish_leases():
            told = {name: await rig.ask(name, "/copies") for name in rig.names}
            rig.history.add("errors", "copies", count=1, first=f"not all copied in time: {told}"[:3000])
        if rate > 0:
            await rig.finish()
        return rig.history


def summary(history: History) -> dict[str, Any]:
    """What a run came to: violations by checker, spans of healing, calls."""
    found, spans = judge(history.events, Bounds())
    calls = next((event.fields for event in history.events if event.what == "calls"), {})
    violations = {name: texts for name, texts in found.items() if texts}
    return {
        "violations": sum(map(len, found.values())),
        "found": violations,
        "heal_ms": {name: round(float(value) / 1000) for name, value in zip(
            ("median", "worst"), (np.median(spans), max(spans)), strict=True)} if spans else {},
        "rounds": len(spans),
        "calls": {name: calls[name] for name in ("taken", "served", "refused", "excused", "missing", "double")
                  if name in calls},
        "leases": {
            what: sum(event.what == what for event in history.events) for what in ("granted", "revoked")
        },
        "faults": sum(event.what == "fault" for event in history.events),
    }  # fmt: skip


@click.command()
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--seeds", type=int, default=1, show_default=True, help="So many seeds, one after the other.")
@click.option("--members", type=int, default=7, show_default=True)
@click.option("--rounds", type=int, default=6, show_default=True)
@click.option("--rate", type=float, default=8.0, show_default=True, help="Calls a second and machine.")
@click.option("--schedule", "file", type=click.Path(exists=True), help="Play this file instead of a seed's.")
@click.option("--write", "written", type=click.Path(), help="Write the schedule that is played.")
@click.option("--keep", type=click.Path(), help="Write the history.")
@click.option(
    "--shrink", "shorter", type=click.Path(), help="Where it fails: the shortest schedule that does."
)
@click.option("--leases", default=0.0, show_default=True, help="Seconds between requests for copied leases.")
@click.option(
    "--program", type=click.Path(exists=True), default=".", help="A checkout, or a spoilt copy of one."
)
def main(
    seed: int, seeds: int, members: int, rounds: int, rate: float, file: str | None, written: str | None,
    keep: str | None, shorter: str | None, leases: float, program: str,
) -> None:  # fmt: skip
    """Faults between real processes. The last line is JSON; exit code 1 where anything was violated."""
    names = [f"g{index + 1}" for index in range(members)]
    total, results = 0, []
    for number in range(seed, seed + seeds):
        most = 1 if leases else None
        plan = schedule.read(Path(file)) if file else schedule.draw(number, names, rounds, forget_most=most)
        if written:
            schedule.write(plan, Path(written))
        begun = time.monotonic()
        history = asyncio.run(play(number, members, plan, rate, Path(program).resolve(), leases=leases))
        if keep:
            history.write(Path(keep))
        found = {"seed": number, "seconds": round(time.monotonic() - begun, 1), **summary(history)}
        click.echo(json.dumps(found))
        violations = found["violations"]
        total += violations
        results.append(found)
        if violations and shorter:

            def fails(rest: list[Round], number: int = number) -> bool:
                folder = Path(program).resolve()
                again = asyncio.run(play(number, members, rest, rate, folder, leases=leases))
                return sum(map(len, judge(again.events, Bounds())[0].values())) > 0

            plan = schedule.shrink(plan, fails)
            schedule.write(plan, Path(shorter))
            click.echo(f"shrunk to {sum(len(one.steps) for one in plan)} steps")
    worst_ms, worst_seed = max((one["heal_ms"].get("worst", 0), one["seed"]) for one in results)
    line = {"violations": total, "seed": seed, "seeds": seeds, "members": members, "worst_heal_ms": worst_ms,
            "worst_seed": worst_seed}  # fmt: skip
    click.echo(msgspec.json.encode(line).decode())
    sys.exit(1 if total else 0)


if __name__ == "__main__":
    main()
