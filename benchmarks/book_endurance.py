"""The book under faults: worlds in virtual time, every order of events, and real processes with clients.

    PYTHONPATH=. .venv/bin/python benchmarks/book_endurance.py [--short] [--seed N] [--size]

In full some ten minutes on 8 cores; `--short` under 50 s; `--size` adds what a change costs 5, 50 and 200
members in virtual time. The last line is JSON with `violations`; exit code 1 where it is not 0.
"""

from __future__ import annotations

import asyncio
import json
import sys
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from datetime import timedelta
from pathlib import Path
from typing import Any

import click
import numpy as np

from mallowquay.book.model import Change
from mallowquay.emulator.fleet.book import BookWorld, play_book
from mallowquay.emulator.fleet.explore import Budget, Explorer
from mallowquay.emulator.fleet.invariants import Broken, Invariants, await_healing
from mallowquay.emulator.fleet.schedule import draw as draw_world
from rigs.fleet import notes, schedule
from rigs.fleet.__main__ import summary
from rigs.fleet.history import History
from rigs.fleet.planted import HALVES, RESTARTS, Planted, _round, spoil
from rigs.fleet.rig import Rig
from rigs.fleet.schedule import Round, Step
from rigs.process import ROOT

MEMBERS = [f"g{index + 1}" for index in range(5)]
SECOND = timedelta(seconds=1)
# The book is carried where a part goes by it: a closing on no day that comes.
EXTRA = '[[closings]]\nname = "none"\nzone = "Etc/UTC"\nclose = "00:00"\ndays = ["mon"]\n'
PLANTED = {
    "told when proposed": Planted(
        "mallowquay/book/scribe.py",
        "        self._proposed = (data, [one for one in told if one not in now_known])\n",
        "        self._tell([one for one in told if one not in now_known])\n",
        (HALVES, _round(Step("split", ("g3", "g4"), 300), Step("copy_disk", ("g1",), 2500)), HALVES),
    ),
    "patch not applied": Planted(
        "mallowquay/fleet/views.py",
        "        if after is None or book.digest(after) != patch.digest:\n",
        "        after = accepted.book\n        if after is None:\n",
        (RESTARTS,),
    ),
    "book forgotten at a start": Planted(
        "mallowquay/fleet/member.py",
        "life, before.writes + 1, before.term, before.voted_for, before.accepted, before.agreed,",
        "life, before.writes + 1, before.term, before.voted_for,\n"
        "                __import__('msgspec').structs.replace(before.accepted, book=b''),\n"
        "                __import__('msgspec').structs.replace(before.agreed, book=b''),",
        (RESTARTS, _round(Step("restart", ("g1", "g2", "g3", "g4", "g5"), 300))),
    ),
    "age from the answer": Planted(
        "mallowquay/fleet/views.py",
        "return None if self._known_at is None else max(timedelta(0), now - self._known_at)",
        "return timedelta(0)",
        (HALVES, HALVES),
    ),
}


def world(seed: int) -> tuple[int, Any, str]:
    """A seeded world: what it came to, or what broke."""
    try:
        return seed, play_book(BookWorld(MEMBERS, seed), draw_world(seed, MEMBERS, 20)), ""
    except Broken as fault:
        return seed, None, str(fault)[:300]


def explored(budget: Budget, most: int) -> dict[str, Any]:
    """All orders of events within a budget."""
    explorer = Explorer(budget, most)
    try:
        explorer.walk()
        broken = ""
    except Broken as fault:
        broken = str(fault)
    return {"states": explorer.states, "depth": explorer.deepest, "broken": broken}


async def _play(seed: int, members: int, rounds: list[Round], program: Path) -> History:
    async with Rig(seed, members, rate=4.0, program=program, extra=EXTRA) as rig:
        await rig.begin()
        clients = notes.Notes(seed, rig.names, rig.ask, rig.history, 0.3)
        clients.runs = lambda name: rig.machines[name].running
        clients.begin()
        await rig.play(rounds)
        await asyncio.sleep(1)
        await rig.finish()
        await clients.finish()
        return rig.history


def processes(seed: int, members: int, rounds: int) -> dict[str, Any]:
    """A seed of faults between real processes, with clients of the book and callers."""
    names = [f"g{index + 1}" for index in range(members)]
    history = asyncio.run(_play(seed, members, schedule.draw(seed, names, rounds), ROOT))
    told = summary(history)
    broken = notes.judge(history.events)
    violations = told["violations"] + len(broken)
    return {"seed": seed, **told, "violations": violations, "book_broken": broken[:5],
            "book": notes.figures(history.events)}  # fmt: skip


def found_planted(name: str) -> tuple[str, int]:
    """How often the checker of the clients notices a fault planted in a copy of the program."""
    planted = PLANTED[name]
    with tempfile.TemporaryDirectory() as folder:
        program = spoil(planted, Path(folder) / "program")
        try:
            history = asyncio.run(_play(1, planted.members, list(planted.rounds), program))
        except (OSError, RuntimeError):
            return name, 0
    return name, len(notes.judge(history.events))


def size(members: int) -> dict[str, Any]:
    """What the fleet says for one change a second, and how long until all have it."""
    spent = []
    for changes in (False, True):
        fleet = BookWorld([f"g{index:04d}" for index in range(members)], 1)
        fleet.asks_every = timedelta(days=1)
        fleet._measured = True
        for name in fleet.hosts:
            fleet.start(name)
        await_healing(fleet, Invariants(fleet), 60 * SECOND)
        fleet.run(2 * SECOND)
        host = next(iter(fleet.hosts.values()))
        reached: list[float] = []
        before = fleet.bytes + fleet.book_bytes
        for number in range(10):
            begun = fleet.now
            if changes:
                change = Change(f"c{number}", "note", f"n{number}", b"x" * 100)
                fleet.scribes[host.name].submit(fleet.clock(host), change, lambda outcome: None)
            while changes and any(one.last <= number for one in fleet.scribes.values()):
                fleet.run(timedelta(milliseconds=5))
            reached.append((fleet.now - begun) / timedelta(milliseconds=1))
            fleet.run(begun + SECOND - fleet.now)
        spent.append(fleet.bytes + fleet.book_bytes - before)
    return {"members": members, "bytes_a_change_and_member": round((spent[1] - spent[0]) / 10 / members),
            "all_have_it_ms": [round(float(np.median(reached))), round(max(reached))]}  # fmt: skip


@click.command()
@click.option("--short", is_flag=True)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--size", "sizes", is_flag=True)
def main(short: bool, seed: int, sizes: bool) -> None:
    """Play all, and say what was violated."""
    begun = time.monotonic()
    violations = 0
    line: dict[str, Any] = {"seed": seed}
    with ProcessPoolExecutor(4) as pool:
        budget = Budget(elections=2, changes=0, restarts=1, pages=1, depth=7 if short else 11)
        walk = pool.submit(explored, budget, 10_000 if short else 150_000)
        rigged = pool.submit(processes, seed, 5, 2) if short else None
        worlds = list(pool.map(world, range(seed, seed + (40 if short else 1500)), chunksize=10))
        for number, _, broken in worlds:
            if broken:
                violations += 1
                click.echo(f"world {number}: {broken}")
        whole = [outcome for _, outcome, broken in worlds if not broken]
        line["worlds"] = {
            "played": len(worlds), "asked": sum(one.asked for one in whole),
            "agreed": sum(one.agreed for one in whole), "late": sum(one.late for one in whole),
        }  # fmt: skip
        line["explored"] = walk.result()
        violations += bool(line["explored"]["broken"])
        runs = [rigged.result()] if rigged is not None else []
    if not short:
        for number in range(seed + 10, seed + 13):
            runs.append(processes(number, 7, 5))
            click.echo(json.dumps(runs[-1]))
        with ProcessPoolExecutor(2) as pool:
            line["planted"] = dict(pool.map(found_planted, PLANTED))
        violations += sum(not times for times in line["planted"].values())
    if sizes:
        line["sizes"] = [size(members) for members in (5, 50, 200)]
    for run in runs:
        violations += run["violations"]
    line["processes"] = [
        {key: run[key] for key in ("seed", "violations", "heal_ms", "faults", "book", "book_broken")}
        for run in runs
    ]
    line["seconds"] = round(time.monotonic() - begun, 1)
    click.echo(json.dumps({"violations": violations, **line}))
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
