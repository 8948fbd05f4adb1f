"""Copies under faults: worlds in virtual time, and real processes whose clients remember what they were told.

    PYTHONPATH=. .venv/bin/python benchmarks/copies_endurance.py [--short] [--seed N] [--worlds N] [--seeds N]

`--short` under 50 s. The last line is JSON with `violations`; exit code 1 where it is not 0.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time
from concurrent.futures import ProcessPoolExecutor
from typing import Any

import click
import numpy as np

from mallowquay.emulator.fleet.copies import CopiesWorld
from mallowquay.emulator.fleet.copies import play as play_world
from mallowquay.emulator.fleet.invariants import Broken
from mallowquay.emulator.fleet.schedule import draw as draw_world
from rigs.fleet import schedule
from rigs.fleet.__main__ import play, summary
from rigs.process import ROOT

MEMBERS = [f"g{index + 1}" for index in range(5)]


def world(seed: int) -> tuple[int, int, float, str]:
    """A seeded world: promises, the span of healing, or what broke."""
    try:
        found = play_world(CopiesWorld(MEMBERS, seed), draw_world(seed, MEMBERS, 12))
        return seed, found.promised + found.ended, found.healed_after.total_seconds(), ""
    except Broken as fault:
        return seed, 0, 0.0, str(fault)[:400]


def processes(seed: int, rounds: int) -> dict[str, Any]:
    """A seed of faults between real processes."""
    plan = schedule.draw(seed, MEMBERS, rounds, forget_most=1)
    history = asyncio.run(play(seed, 5, plan, 3.0, ROOT, leases=0.05))
    return {"seed": seed, **summary(history)}


@click.command()
@click.option("--short", is_flag=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--worlds", type=int, default=3000, show_default=True)
@click.option("--seeds", type=int, default=20, show_default=True)
def main(short: bool, seed: int, worlds: int, seeds: int) -> None:
    """Play all, and say what was violated."""
    begun = time.monotonic()
    worlds, seeds, rounds = (60, 1, 2) if short else (worlds, seeds, 5)
    violations, promises, spans = 0, 0, []
    with ProcessPoolExecutor(6) as pool:
        rigged = (
            [pool.submit(processes, number, rounds) for number in range(seed, seed + seeds)] if short else []
        )
        for number, promised, span, broken in pool.map(world, range(seed, seed + worlds), chunksize=4):
            promises += promised
            spans.append(span)
            if broken:
                violations += 1
                click.echo(f"world {number}: {broken}")
        runs = [run.result() for run in rigged]
    if not short:
        with ProcessPoolExecutor(2) as pool:  # each run is five processes and the rig
            for run in pool.map(rigged_run, [(number, rounds) for number in range(seed, seed + seeds)]):
                runs.append(run)
                click.echo(json.dumps(run))
    violations += sum(run["violations"] for run in runs)
    worst = max(runs, key=lambda run: run["heal_ms"].get("worst", 0))
    line = {
        "violations": violations,
        "seed": seed,
        "worlds": worlds,
        "promises": promises,
        "heal_s": [round(float(np.quantile(spans, q)), 1) for q in (0.5, 0.99, 1.0)],
        "runs": len(runs),
        "granted": sum(run["leases"]["granted"] for run in runs),
        "revoked": sum(run["leases"]["revoked"] for run in runs),
        "worst": {"seed": worst["seed"], **worst["heal_ms"]},
        "seconds": round(time.monotonic() - begun, 1),
    }
    click.echo(json.dumps(line))
    sys.exit(1 if violations else 0)


def rigged_run(words: tuple[int, int]) -> dict[str, Any]:
    """`processes`, for a pool that takes one word."""
    return processes(*words)


if __name__ == "__main__":
    main()
