"""Two builds of the program together: settings and disks of one under the other, mixed fleets, upgrades.

    PYTHONPATH=. .venv/bin/python benchmarks/two_builds.py --other CHECKOUT [--seed N] [--part NAME ...]

`--other` names a checkout of the other build, which runs on the same interpreter. Parts:

- settings: `check` of both builds on every file in `deploy/` of either tells the same.
- state: what a process tells its successor, the module's memory included, has the same keys and kinds.
- disks: a fleet of three is killed, and goes on by its disks under the other build, in both directions.
- takeover: in a fleet of both builds, whose members show the same settings of each other, a machine is lost
  with its disk; the others end its calls on both sides.
- upgrades: processes of one address are of both builds in turn, under calls and faults.

Each run prints a line of JSON. The last line has `violations`; exit code 1 where it is not 0.
"""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Any
from urllib.parse import urlencode

import click
from platform_endurance import judged

from rigs.fleet.checkers import judge
from rigs.fleet.loss import STANDING_CALLS, TAKEOVER, lose_first_machine
from rigs.fleet.rig import Rig
from rigs.platform.successor import shape, told_to_successor
from rigs.process import ROOT

COMMAND_WITHIN = 60.0  # seconds
WRITES_FOR = 4.0  # seconds that a fleet serves before it is killed
LEASE_EVERY = 0.2  # seconds between two requests of a machine's client
CLOSINGS = """
[[closings]]
name = "business-day"
zone = "Atlantic/Reykjavik"
close = "17:00"
"""


@dataclass(frozen=True, slots=True)
class Finding:
    """One run: what was played, its figures, and what was violated."""

    part: str
    run: str
    figures: dict[str, Any]
    violations: list[str]

    def line(self) -> str:
        """The run as one line of JSON."""
        return json.dumps({"part": self.part, "run": self.run, **self.figures, "violations": self.violations})


def command(checkout: Path, *arguments: str) -> tuple[int, str]:
    """The exit code and standard output of a command of one build."""
    done = subprocess.run(
        [sys.executable, "-m", "mallowquay", *arguments],
        cwd=checkout, capture_output=True, text=True, timeout=COMMAND_WITHIN, check=False,
    )  # fmt: skip
    return done.returncode, done.stdout


def settings(builds: dict[str, Path]) -> Finding:
    """Every file is read alike, and its defaults are the same."""
    files = [path for checkout in builds.values() for path in sorted((checkout / "deploy").rglob("*.toml"))]
    violations, usable = [], 0
    for path in files:
        told = [command(checkout, "check", str(path)) for checkout in builds.values()]
        usable += told[0][0] == 0
        if told[0] != told[1]:
            violations.append(f"{path.parent.name}/{path.name} is told differently: {told}"[:2000])
    if not usable:
        violations.append("no file could be used")
    return Finding("settings", "both", {"files": len(files), "usable": usable}, violations)


def state(builds: dict[str, Path]) -> Finding:
    """What a successor is told has one form, whichever build tells it."""
    shapes = {build: shape(told_to_successor(checkout)) for build, checkout in builds.items()}
    this, other = shapes["this"], shapes["other"]
    violations = [] if this == other else [f"a successor is told {this} by this build, {other} by the other"]
    views = [view for told in shapes.values() for view in told["module"]["servers"].values()]
    if len(views) != len(builds):
        violations.append(f"the module's memory holds {len(views)} log servers, not one of each build")
    return Finding("state", "both", {"keys": len(this), "of_a_log_server": len(views[0])}, violations)


async def _settings_shown(rig: Rig, name: str) -> dict[str, str]:
    """By member, the hash of its settings as this member shows it."""
    told = await rig.ask(name, "/fleet")
    facts = {member["name"]: json.loads(member["facts"] or "{}") for member in told["members"]}
    return {member: str(fact.get("settings", "")) for member, fact in facts.items()}


async def _book(rig: Rig) -> dict[str, Any]:
    told = await rig.ask(rig.names[0], "/book")
    return {key: told[key] for key in ("last", "entries", "notes", "numbers")}


async def _write_notes(rig: Rig) -> None:
    for name in rig.names:
        told = await rig.ask(name, "/book/put", urlencode({"names": f"note/{name}=written by {name}"}))
        if not told.get("done"):
            raise RuntimeError(f"{name} did not write its note: {told}")


def _record(rig: Rig, name: str) -> Path:
    return rig.machines[name].folder / "traffic"


def _with_record(rig: Rig) -> None:
    """Each machine keeps a record of its traffic."""
    for name, machine in rig.machines.items():
        table = f'[traffic]\nfile = "{_record(rig, name)}"\ninterval_ms = 500\n'
        machine.write_file(machine.file.read_text() + table)


def _record_faults(rig: Rig, builds: dict[str, Path]) -> list[str]:
    """Both builds read each record, and tell the same of it."""
    found = []
    for name in rig.names:
        told = {build: command(checkout, "traffic", "show", str(_record(rig, name)), "--json")
                for build, checkout in builds.items()}  # fmt: skip
        if len(set(told.values())) > 1 or any(code for code, _ in told.values()):
            found.append(f"the record of {name} is told differently: {told}"[:2000])
    return found


def book_faults(before: dict[str, Any], after: dict[str, Any]) -> list[str]:
    """Nothing that was agreed is gone."""
    found = []
    if after["last"] < before["last"]:
        found.append(f"the book went back from {before['last']} to {after['last']}")
    if after["notes"] != before["notes"]:
        found.append(f"the notes were {before['notes']} and are {after['notes']}")
    missing = sorted(before["numbers"].keys() - after["numbers"].keys())
    if missing:
        found.append(f"entries of the book are gone: {missing[:5]}")
    return found


async def disks(seed: int, builds: dict[str, Path], order: tuple[str, str]) -> Finding:
    """A fleet that was killed goes on by its disks under another build."""
    first, then = (builds[build] for build in order)
    async with Rig(seed, 3, rate=8.0, program=first, extra=CLOSINGS, leases=LEASE_EVERY) as rig:
        _with_record(rig)
        await rig.begin()
        if not await rig.until(rig.all_well):
            raise RuntimeError("the members did not come to hold one view")
        await _write_notes(rig)
        await asyncio.sleep(WRITES_FOR)
        book, view = await _book(rig), await rig.ask(rig.names[0], "/fleet")
        for name in rig.names:
            rig.kill(name)
            rig.machines[name].use(then)
        await asyncio.gather(*(rig.start(name) for name in rig.names))
        rig.history.add("mended", running=rig.names)
        await rig.settle()
        book_after, view_after = await _book(rig), await rig.ask(rig.names[0], "/fleet")
        copied = await rig.finish_leases()
        await rig.finish()
        violations = book_faults(book, book_after)
        if view_after["view"] < view["view"]:
            violations.append(f"the view went back from {view['view']} to {view_after['view']}")
        if not copied:
            violations.append("not every record was copied again in time")
        judged_faults, _ = judge(rig.history.events)
        violations += [f"{check}: {text}" for check, texts in judged_faults.items() for text in texts]
        for name in rig.names:
            rig.kill(name)  # a record that is still written would be read at two moments
        violations += _record_faults(rig, builds)
        granted = sum(event.what == "granted" for event in rig.history.events)
        figures = {"view": [view["view"], view_after["view"]], "book": [book["last"], book_after["last"]],
                   "entries": book["entries"], "leases_granted": granted}  # fmt: skip
    return Finding("disks", " then ".join(order), figures, violations)


async def takeover(seed: int, builds: dict[str, Path], order: tuple[str, ...]) -> Finding:
    """The first machine of a mixed fleet is lost with its disk."""
    async with Rig(seed, len(order), rate=20.0, extra=TAKEOVER) as rig:
        for build, machine in zip(order, rig.machines.values(), strict=True):
            machine.use(builds[build])
        loss = await lose_first_machine(rig)
        shown = await _settings_shown(rig, rig.names[-1])
    violations = [f"{call} was not released on both sides" for call in loss.unreleased]
    violations += [f"{call} stood elsewhere and was released" for call in loss.others_released]
    if loss.ended < len(loss.calls):
        violations.append(f"{loss.ended} of {len(loss.calls)} calls were ended")
    if len(set(shown.values())) != 1 or "" in shown.values():
        violations.append(f"members with one file show different settings: {shown}")
    if loss.silent_sides:
        violations.append(f"{loss.silent_sides} sides did not answer")
    if loss.double_answers:
        violations.append(f"{loss.double_answers} calls had two answers")
    figures = {"calls": len(loss.calls), "ended": loss.ended, "calls_wanted": STANDING_CALLS}
    return Finding("takeover", ", ".join(order), figures, violations)


def upgrades(seed: int, builds: dict[str, Path]) -> Finding:
    """Processes of both builds succeed each other under calls."""
    told = judged(seed, 4, 20.0, other=builds["other"])
    violations = [*told["first"], *told["exits"]]
    if told["violations"] > len(told["first"]):
        violations.append(f"and {told['violations'] - len(told['first'])} more")
    figures = {key: told[key] for key in ("set_ups", "answers", "releases", "faults")}
    return Finding("upgrades", f"seed {seed}", figures, violations)


PARTS = ("settings", "state", "disks", "takeover", "upgrades")
DISK_ORDERS = (("other", "this"), ("this", "other"))
FLEETS = (("other", "this", "other"), ("this", "other", "this"))


def played(part: str, seed: int, seeds: int, builds: dict[str, Path]) -> Iterator[Finding]:
    """The runs of one part, each as it ends."""
    if part == "settings":
        yield settings(builds)
    elif part == "state":
        yield state(builds)
    elif part == "disks":
        for order in DISK_ORDERS:
            yield asyncio.run(disks(seed, builds, order))
    elif part == "takeover":
        for fleet in FLEETS:
            yield asyncio.run(takeover(seed, builds, fleet))
    else:
        for number in range(seed, seed + seeds):
            yield upgrades(number, builds)


@click.command()
@click.option(
    "--other",
    required=True,
    type=click.Path(exists=True, file_okay=False, resolve_path=True, path_type=Path),
    help="A checkout of the other build.",
)
@click.option("--part", "parts", multiple=True, type=click.Choice(PARTS), help="Only this; all without it.")
@click.option("--seed", default=1, show_default=True)
@click.option("--seeds", default=3, show_default=True, help="Of upgrades.")
def main(other: Path, parts: tuple[str, ...], seed: int, seeds: int) -> None:
    """Play the parts, and say what was violated."""
    builds = {"this": ROOT, "other": other}
    violations = 0
    for part in parts or PARTS:
        for finding in played(part, seed, seeds, builds):
            print(finding.line(), flush=True)
            violations += len(finding.violations)
    print(json.dumps({"violations": violations}))
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
