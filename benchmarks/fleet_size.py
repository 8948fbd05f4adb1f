"""A fleet in virtual time, by size and loss: messages and bytes, detection, false suspicions, a view
after a loss.

    PYTHONPATH=. .venv/bin/python benchmarks/fleet_size.py [--sizes 5,50,200] [--seconds 30] [--seeds 3]

The machines are those of the program; time, network and disks are those of `mallowquay/emulator/fleet`.
"""

from __future__ import annotations

import json
import statistics
from concurrent.futures import ProcessPoolExecutor
from datetime import timedelta
from typing import Any

import click
from tabulate import tabulate

from mallowquay.emulator.fleet.invariants import Invariants, await_healing
from mallowquay.emulator.fleet.world import Host, Weather, World
from mallowquay.fleet.model import Event

SECOND = timedelta(seconds=1)


def measure(size: int, loss: float, seconds: int, seed: int) -> dict[str, Any]:
    """One fleet: calm running with this loss, then one member is killed."""
    names = [f"g{index:04d}" for index in range(size)]
    world = World(names, seed, measured=True)
    invariants = Invariants(world)
    suspicions, downs = 0, 0
    told: dict[str, Any] = {}
    viewed: dict[str, Any] = {}
    judge = world.on_event
    killed = names[size // 2]

    def event(host: Host, what: Event) -> None:
        nonlocal suspicions, downs
        judge(host, what)
        if what.what == "fleet_member" and what.fields["member"] != killed:
            suspicions += what.fields["state"] == "suspected"
            downs += what.fields["state"] == "down"
        if what.what == "fleet_member" and what.fields["state"] == "down" and what.fields["member"] == killed:
            told.setdefault(host.name, world.now)
        if what.what == "fleet_view" and killed not in what.fields["up"]:
            viewed.setdefault(host.name, world.now)

    for name in names:
        world.start(name)
    formed = await_healing(world, invariants, timedelta(seconds=60))
    world.weather = Weather(loss=loss)
    world.on_event = event
    before, bytes_before = sum(world.messages.values()), world.bytes
    world.run(seconds * SECOND)
    spent = sum(world.messages.values()) - before
    sent = world.bytes - bytes_before
    false_suspicions, false_downs = suspicions, downs
    begun = world.now
    world.kill(killed)
    world.run(20 * SECOND)
    while len(told) < size - 1 and world.now - begun < timedelta(seconds=120):
        world.run(SECOND)
    delays = sorted((when - begun).total_seconds() for when in told.values())
    return {
        "formed_s": formed.total_seconds(),
        "messages_s": spent / seconds / size,
        "bytes_s": sent / seconds / size,
        "false_suspicions_h": false_suspicions * 3600 / seconds / size,
        "false_downs": false_downs,
        "first_s": delays[0] if delays else None,
        "all_s": delays[-1] if len(delays) == size - 1 else None,
        "heard_by": len(delays) / (size - 1),
        "view_s": max((when - begun).total_seconds() for when in viewed.values()) if viewed else None,
    }


@click.command()
@click.option("--sizes", default="5,50,200", show_default=True)
@click.option("--losses", default="0,0.01,0.05,0.2", show_default=True)
@click.option("--seconds", default=30, show_default=True)
@click.option("--seeds", default=3, show_default=True)
def main(sizes: str, losses: str, seconds: int, seeds: int) -> None:
    """Print a table, and JSON of it."""
    cells = [(int(size), float(loss)) for size in sizes.split(",") for loss in losses.split(",")]
    rows = []
    with ProcessPoolExecutor() as pool:
        jobs = {cell: [pool.submit(measure, *cell, seconds, seed) for seed in range(seeds)] for cell in cells}
        for (size, loss), runs in jobs.items():
            found = [run.result() for run in runs]
            row: dict[str, Any] = {"members": size, "loss": loss}
            for key in found[0]:
                values = [one[key] for one in found if one[key] is not None]
                row[key] = round(statistics.median(values), 2) if values else None
            rows.append(row)
    click.echo(tabulate(rows, headers="keys", missingval="-"))
    click.echo(json.dumps(rows))


if __name__ == "__main__":
    main()
