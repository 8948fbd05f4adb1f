"""Districts that are lost, cut off, slow, and come back: real processes, with and without `[sites]`.

    PYTHONPATH=. .venv/bin/python benchmarks/site_endurance.py [--short] [--seed N] [--pairs N]

A pair is one seed's calls and faults, played without `[sites]` and with it. In full: `--pairs` seeds of each
scenario, each at 1.2, 1.5 or 2 times what the log servers that are left can do. `--short` under 50 s: one
pair, six gatekeepers. The last line is JSON with `violations`; exit code 1 where it is not 0. Without
`[sites]` only what always holds counts.
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

from rigs.together import hindsight
from rigs.together.callers import WORTH
from rigs.together.districts import Layout
from rigs.together.scenarios import SCENARIOS, SHORT, Times, play, summary

LOADS = (1.2, 1.5, 2.0)
SMALL = Layout(members=(2, 2, 2))
DEAR = max(WORTH, key=lambda kind: WORTH[kind])
Job = tuple[str, int, float, bool, bool]


def run(job: Job) -> dict[str, Any]:
    """One run: scenario, seed, load, with sites, short."""
    scenario, seed, load, sites, short = job
    times, layout = (SHORT, SMALL) if short else (Times(), Layout())
    events = asyncio.run(play(scenario, seed, load, sites, times, layout)).events
    told = {"scenario": scenario, "seed": seed, "load": load, "sites": sites, **summary(events, sites)}
    calls = hindsight.calls_of(events)
    begin, end = min(call.at_us for call in calls), max(call.at_us for call in calls)
    told["worth"] = hindsight.served(events, begin, end + 1)
    return told


def dear_first(found: dict[str, Any]) -> float | None:
    """The share of the class worth most that stood in time in the first 6 s after the first fault."""
    phases = found["phases"]
    return phases[0]["first_6_s"].get(DEAR, {}).get("stood", 0.0) if phases else None


def compared(pairs: list[tuple[dict[str, Any], dict[str, Any]]]) -> dict[str, Any]:
    """With sites against without: worth served, and the class worth most at first; 95% intervals."""
    found: dict[str, Any] = {"pairs": len(pairs)}
    gains = np.array([on["worth"] / off["worth"] - 1 for off, on in pairs])
    half = 1.96 * gains.std(ddof=1) / len(gains) ** 0.5 if len(gains) > 1 else float("nan")
    found["worth_gained"] = [round(float(gains.mean()), 4), None if np.isnan(half) else round(float(half), 4)]
    for name, of in (("off", 0), ("on", 1)):
        shares = [share for pair in pairs if (share := dear_first(pair[of])) is not None]
        found[f"dear_first_6_s_{name}"] = [round(min(shares), 3), round(float(np.median(shares)), 3)]
        for key in ("of_best_first", "of_best_later"):
            values = [phase[key] for pair in pairs for phase in pair[of]["phases"] if phase[key] is not None]
            if values:
                found[f"{key}_{name}"] = [round(min(values), 3), round(float(np.median(values)), 3)]
    return found


@click.command()
@click.option("--short", is_flag=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--pairs", "count", type=int, default=3, show_default=True, help="Seeds of each scenario.")
@click.option("--only", type=click.Choice(list(SCENARIOS)), multiple=True, help="Of the scenarios, these.")
def main(short: bool, seed: int, count: int, only: tuple[str, ...]) -> None:
    """Play all, and say what was violated."""
    begun = time.monotonic()
    jobs: list[tuple[str, int, float]] = []
    if short:
        jobs = [(only[0] if only else "killed", seed, 1.2)]
    else:
        for number in range(count):
            for place, scenario in enumerate(only or SCENARIOS):
                jobs.append((scenario, seed + number, LOADS[(number + place) % len(LOADS)]))
    pairs: list[tuple[dict[str, Any], dict[str, Any]]] = []
    for scenario, number, load in jobs:
        both: list[Job] = [(scenario, number, load, sites, short) for sites in (False, True)]
        if short:  # side by side, so that it ends in time; in full each has the machine to itself
            with ProcessPoolExecutor(2) as pool:
                off, on = pool.map(run, both)
        else:
            off, on = map(run, both)
        pairs.append((off, on))
        for one in (off, on):
            click.echo(json.dumps(one))
    runs = [one for pair in pairs for one in pair]
    worst = max((on for _, on in pairs), key=lambda one: (one["violations"], -(dear_first(one) or 0.0)))
    line = {
        "violations": sum(one["violations"] for one in runs),
        "seed": seed,
        **compared(pairs),
        "calls": sum(one["calls"] for one in runs),
        "fell": {"off": sum(off["fell"] for off, _ in pairs), "on": sum(on["fell"] for _, on in pairs)},
        "worst": {key: worst[key] for key in ("scenario", "seed", "load", "violations", "found")},
        "seconds": round(time.monotonic() - begun, 1),
    }
    click.echo(json.dumps(line))
    sys.exit(1 if line["violations"] else 0)


if __name__ == "__main__":
    main()
