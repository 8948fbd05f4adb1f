"""Runs two builds of the program together and reports where they are incompatible.

    PYTHONPATH=. .venv/bin/python benchmarks/two_builds.py --other CHECKOUT [--seed N] [--part NAME ...]

`--other` is a checkout of the other build; both run on the same interpreter. Parts:

- settings: `check` prints the same for every file in `deploy/` of either checkout.
- state: the state handed over to a successor, including the module's memory, has the same keys and types.
- disks: a fleet of three is killed and restarted from its disks with the other build, in both directions.
- takeover: in a mixed fleet one machine is lost with its disk, and the survivors release its calls on both
  sides. Members with the same settings must report the same hash of them.
- upgrades: successive processes at one address alternate between the builds, under calls and faults.

Each run prints a line of JSON. The last line has the number of `violations`; the exit code is 1 if there are
any.
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
from rigs.fleet.loss import TAKEOVER, lose_first_machine
from rigs.fleet.rig import Rig
from rigs.platform.successor import handover_state, schema_of
from rigs.process import ROOT

COMMAND_TIMEOUT_S = 60.0
SERVING_S = 4.0  # before a fleet is killed
LEASE_REQUEST_INTERVAL_S = 0.2  # per machine
MAX_TEXT = 2000  # characters of a violation
CLOSINGS = """
[[closings]]
name = "business-day"
zone = "Atlantic/Reykjavik"
close = "17:00"
"""


@dataclass(frozen=True, slots=True)
class Finding:
    """The result of one run."""

    part: str
    run: str
    figures: dict[str, Any]
    violations: list[str]

    def line(self) -> str:
        """The result as one line of JSON."""
        return json.dumps({"part": self.part, "run": self.run, **self.figures, "violations": self.violations})


def command(checkout: Path, *arguments: str) -> tuple[int, str]:
    """Run a command of one build; return its exit code and standard output."""
    done = subprocess.run(
        [sys.executable, "-m", "mallowquay", *arguments],
        cwd=checkout, capture_output=True, text=True, timeout=COMMAND_TIMEOUT_S, check=False,
    )  # fmt: skip
    return done.returncode, done.stdout


def settings(builds: dict[str, Path]) -> Finding:
    """Compare how both builds read configuration files, including the defaults they fill in."""
    checkouts = dict.fromkeys(builds.values())
    files = [path for checkout in checkouts for path in sorted((checkout / "deploy").rglob("*.toml"))]
    violations, usable = [], 0
    for path in files:
        this, other = (command(checkout, "check", str(path)) for checkout in builds.values())
        usable += this[0] == 0
        if this != other:
            name = f"{path.parent.name}/{path.name}"
            violations.append(f"the builds read {name} differently: {(this, other)}"[:MAX_TEXT])
    if not usable:
        violations.append("no configuration file was valid")
    return Finding("settings", "both", {"files": len(files), "usable": usable}, violations)


def state(builds: dict[str, Path]) -> Finding:
    """Compare the structure of the state that each build hands over to a successor."""
    schemas = {build: schema_of(handover_state(checkout)) for build, checkout in builds.items()}
    this, other = schemas["this"], schemas["other"]
    violations = [] if this == other else [f"this build hands over {this}, the other build {other}"]
    servers = [server for schema in schemas.values() for server in schema["module"]["servers"].values()]
    if len(servers) != len(builds):
        violations.append(f"{len(servers)} log servers in the module's memory, expected one per build")
    return Finding("state", "both", {"keys": len(this), "keys_per_server": len(servers[0])}, violations)


async def _settings_hashes(rig: Rig, name: str) -> dict[str, str]:
    """The hash of each member's settings, as reported by one member."""
    fleet = await rig.ask(name, "/fleet")
    facts = {member["name"]: json.loads(member["facts"] or "{}") for member in fleet["members"]}
    return {member: str(fact.get("settings", "")) for member, fact in facts.items()}


async def _book(rig: Rig) -> dict[str, Any]:
    book = await rig.ask(rig.names[0], "/book")
    return {key: book[key] for key in ("last", "entries", "notes", "numbers")}


async def _write_notes(rig: Rig) -> None:
    for name in rig.names:
        response = await rig.ask(name, "/book/put", urlencode({"names": f"note/{name}=written by {name}"}))
        if not response.get("done"):
            raise RuntimeError(f"{name} did not write its note: {response}")


def _traffic_file(rig: Rig, name: str) -> Path:
    return rig.machines[name].folder / "traffic"


def _enable_traffic_records(rig: Rig) -> None:
    for name, machine in rig.machines.items():
        table = f'[traffic]\nfile = "{_traffic_file(rig, name)}"\ninterval_ms = 500\n'
        machine.write_file(machine.file.read_text() + table)


def _compare_traffic_records(rig: Rig, builds: dict[str, Path]) -> list[str]:
    """Check that both builds print the same summary of each traffic record."""
    violations = []
    for name in rig.names:
        file = str(_traffic_file(rig, name))
        outputs = [command(checkout, "traffic", "show", file, "--json") for checkout in builds.values()]
        if outputs[0] != outputs[1] or outputs[0][0] != 0:
            violations.append(f"the builds read the record of {name} differently: {outputs}"[:MAX_TEXT])
    return violations


def compare_books(before: dict[str, Any], after: dict[str, Any]) -> list[str]:
    """Check that no agreed change of the book was lost."""
    violations = []
    if after["last"] < before["last"]:
        violations.append(f"the book's version decreased from {before['last']} to {after['last']}")
    if after["notes"] != before["notes"]:
        violations.append(f"the notes changed from {before['notes']} to {after['notes']}")
    missing = sorted(before["numbers"].keys() - after["numbers"].keys())
    if missing:
        violations.append(f"entries are missing: {missing[:5]}")
    return violations


async def disks(seed: int, builds: dict[str, Path], order: tuple[str, str]) -> Finding:
    """Kill a fleet, and restart it from its disks with another build."""
    first, then = (builds[build] for build in order)
    async with Rig(seed, 3, rate=8.0, program=first, extra=CLOSINGS, leases=LEASE_REQUEST_INTERVAL_S) as rig:
        _enable_traffic_records(rig)
        await rig.begin()
        if not await rig.until(rig.all_well):
            raise RuntimeError("the members did not agree on a view")
        await _write_notes(rig)
        await asyncio.sleep(SERVING_S)
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
        violations = compare_books(book, book_after)
        if view_after["view"] < view["view"]:
            violations.append(f"the view number decreased from {view['view']} to {view_after['view']}")
        if not copied:
            violations.append("some records were not replicated again in time")
        judged_faults, _ = judge(rig.history.events)
        violations += [f"{check}: {text}" for check, texts in judged_faults.items() for text in texts]
        for name in rig.names:
            rig.kill(name)  # otherwise the records would grow between the two reads
        violations += _compare_traffic_records(rig, builds)
        granted = sum(event.what == "granted" for event in rig.history.events)
        figures = {"view": [view["view"], view_after["view"]], "book": [book["last"], book_after["last"]],
                   "entries": book["entries"], "leases_granted": granted}  # fmt: skip
    return Finding("disks", " then ".join(order), figures, violations)


async def takeover(seed: int, builds: dict[str, Path], order: tuple[str, ...]) -> Finding:
    """Lose the first machine of a mixed fleet, with its disk."""
    async with Rig(seed, len(order), rate=20.0, extra=TAKEOVER) as rig:
        for build, machine in zip(order, rig.machines.values(), strict=True):
            machine.use(builds[build])
        loss = await lose_first_machine(rig)
        hashes = await _settings_hashes(rig, rig.names[-1])
    violations = [f"{call} was not released on both sides" for call in loss.unreleased]
    violations += [f"{call} was released although its machine was not lost" for call in loss.others_released]
    if loss.ended < len(loss.calls):
        violations.append(f"{loss.ended} of {len(loss.calls)} calls were ended by the survivors")
    if len(set(hashes.values())) != 1 or "" in hashes.values():
        violations.append(f"members with equal settings report different hashes: {hashes}")
    if loss.silent_sides:
        violations.append(f"{loss.silent_sides} callers or log servers did not answer a BYE")
    if loss.double_answers:
        violations.append(f"{loss.double_answers} calls received two answers")
    figures = {"calls": len(loss.calls), "ended": loss.ended}
    return Finding("takeover", ", ".join(order), figures, violations)


def upgrades(seed: int, builds: dict[str, Path]) -> Finding:
    """Upgrade and restart processes, alternating between the builds."""
    result = judged(seed, 4, 20.0, other=builds["other"])
    violations = [*result["first"], *result["exits"]]
    if result["violations"] > len(result["first"]):
        violations.append(f"and {result['violations'] - len(result['first'])} more")
    figures = {key: result[key] for key in ("set_ups", "answers", "releases", "faults")}
    return Finding("upgrades", f"seed {seed}", figures, violations)


PARTS = ("settings", "state", "disks", "takeover", "upgrades")
DISK_ORDERS = (("other", "this"), ("this", "other"))
FLEETS = (("other", "this", "other"), ("this", "other", "this"))


def run_part(part: str, seed: int, seeds: int, builds: dict[str, Path]) -> Iterator[Finding]:
    """Run one part; yields each result as it is available."""
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
@click.option(
    "--part", "parts", multiple=True, type=click.Choice(PARTS), help="Run only this part; may be repeated."
)
@click.option("--seed", default=1, show_default=True)
@click.option("--seeds", default=3, show_default=True, help="Number of seeds for upgrades.")
def main(other: Path, parts: tuple[str, ...], seed: int, seeds: int) -> None:
    """Run the parts and print their results."""
    builds = {"this": ROOT, "other": other}
    violations = 0
    for part in parts or PARTS:
        for finding in run_part(part, seed, seeds, builds):
            print(finding.line(), flush=True)
            violations += len(finding.violations)
    print(json.dumps({"violations": violations}))
    sys.exit(1 if violations else 0)


if __name__ == "__main__":
    main()
