"""Closings under faults, between real processes: readers never see old after new, and each comes once.

    PYTHONPATH=. .venv/bin/python benchmarks/closings_endurance.py [--short] [--seed N] [--seeds N]

`--short` under 50 s: five processes, one round of faults. In full: nine processes, `--seeds` of them, then
faults planted in copies of the program. The last line is JSON with `violations`; exit code 1 where not 0.
Worlds in virtual time: `benchmarks/closings_worlds.py`.
"""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import click

from rigs.fleet import days, schedule
from rigs.fleet.planted import Planted, spoil
from rigs.process import ROOT

PLANTED = {
    "no commit wait": Planted(
        "mallowquay/closings/machine.py",
        "self._final[0].planned.instant_us <= now.earliest:\n            self.ledger",
        "self._final[0].planned.instant_us <= now.latest:\n            self.ledger",
        (),
    ),
    "old until it is swept": Planted(
        "mallowquay/closings/machine.py",
        "if now is None or now.latest >= until or generation > self._saved:",
        "if now is None or generation > self._saved:",
        (),
    ),
    "the own clock alone": Planted(
        "mallowquay/closings/clocks.py",
        "        for low, high, taken in self._samples.values():\n",
        "        self.clocks = 1\n        for low, high, taken in ():\n",
        (schedule.Round(tuple(schedule.Step("clock", (name,), 9000) for name in ("g1", "g2"))),),
    ),
}


def run(seed: int, members: int, rounds: list[Any], number: int, program: Path = ROOT) -> dict[str, Any]:
    """One run, judged."""
    begun = time.monotonic()
    events = asyncio.run(days.play(seed, members, rounds, program, number=number))
    broken = days.judge(events)
    return {"seed": seed, "violations": len(broken), "broken": broken[:5], **days.figures(events),
            "faults": sum(event.what == "fault" for event in events),
            "seconds": round(time.monotonic() - begun, 1)}  # fmt: skip


def found_planted(name: str) -> int:
    """How often readers notice it."""
    planted = PLANTED[name]
    with tempfile.TemporaryDirectory() as folder:
        program = spoil(planted, Path(folder) / "program")
        return int(run(1, 5, list(planted.rounds), 8, program)["violations"])


@click.command()
@click.option("--short", is_flag=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--seeds", type=int, default=20, show_default=True)
@click.option("--planted/--no-planted", default=True, show_default=True)
def main(short: bool, seed: int, seeds: int, planted: bool) -> None:
    """Play them, and say what was violated."""
    line: dict[str, Any] = {"seed": seed}
    members, rounds, number = (5, 1, 6) if short else (9, 6, 24)
    names = [f"g{index + 1}" for index in range(members)]
    runs = []
    for one in range(seed, seed + (1 if short else seeds)):
        runs.append(run(one, members, schedule.draw(one, names, rounds), number))
        click.echo(json.dumps(runs[-1]))
    violations = sum(one["violations"] for one in runs)
    line["worst_late_ms"] = max((one["late_ms"][1] for one in runs if one["late_ms"]), default=None)
    line["readings"] = sum(one["readings"] for one in runs)
    if planted and not short:
        line["planted"] = {name: found_planted(name) for name in PLANTED}
        violations += sum(not times for times in line["planted"].values())
    click.echo(json.dumps({"violations": violations, **line}))
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
