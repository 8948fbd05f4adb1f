"""Closings in virtual worlds: clocks that are off and step, a late book, kills, wiped disks, upgrades.

    PYTHONPATH=. .venv/bin/python benchmarks/closings_worlds.py [--worlds N] [--seed S] [--processes P]

The last line is JSON with `violations`; exit code 1 where it is not 0.
"""

from __future__ import annotations

import json
import sys
import time
from collections import Counter
from multiprocessing import Pool

import click

from mallowquay.emulator.fleet.closings import play
from mallowquay.emulator.fleet.invariants import Broken

CHUNK = 50
PROCESSES_MOST = 3
TOLD_MOST = 20


def worlds(seeds: range) -> tuple[Counter[str], list[tuple[int, str]]]:
    """Figures of these worlds, and what broke in which."""
    figures: Counter[str] = Counter()
    broken = []
    for seed in seeds:
        try:
            found = play(seed)
        except Broken as fault:
            broken.append((seed, str(fault)[:400]))
            continue
        for name in ("fired", "missed", "reads", "withheld", "near", "cancelled"):
            figures[name] += getattr(found, name)
    return figures, broken


@click.command()
@click.option("--worlds", "count", type=int, default=100_000, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--processes", type=click.IntRange(1, PROCESSES_MOST), default=PROCESSES_MOST, show_default=True
)
def main(count: int, seed: int, processes: int) -> None:
    """Play all, and say what was violated."""
    begun = time.monotonic()
    figures: Counter[str] = Counter()
    broken: list[tuple[int, str]] = []
    last = seed + count
    parts = [range(first, min(first + CHUNK, last)) for first in range(seed, last, CHUNK)]
    with Pool(processes) as pool:
        for more, faults in pool.imap_unordered(worlds, parts):
            figures += more
            for number, fault in faults:
                broken.append((number, fault))
                if len(broken) <= TOLD_MOST:
                    click.echo(f"world {number}: {fault}")
    line = {
        "violations": len(broken),
        "seed": seed,
        "worlds": count,
        **figures,
        "seconds": round(time.monotonic() - begun, 1),
    }
    click.echo(json.dumps(line))
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
