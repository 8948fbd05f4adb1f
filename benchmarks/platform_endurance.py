"""Several real processes of the platform's front under faults by seed, judged by what outsiders saw.

    PYTHONPATH=. .venv/bin/python benchmarks/platform_endurance.py --seed N --processes 4 --seconds 20

Prints one line of JSON with counts and `violations`; exit code 1 where there are any. `HISTORY=file` keeps
what was seen, a line each. With `--other CHECKOUT` successive processes at each address
alternate between this build and that one.
"""

from __future__ import annotations

import json
import os
import sys
from collections import Counter
from dataclasses import asdict
from pathlib import Path
from typing import Any

import click

from rigs.platform.checker import Checker
from rigs.platform.history import Rules
from rigs.platform.rig import run
from rigs.process import ROOT
from rigs.sip.rig import run as run_second


def judged(
    seed: int, processes: int, seconds: float, drawn: bool = False, second: bool = False,
    other: Path | None = None,
) -> dict[str, Any]:  # fmt: skip
    """One seed's counts and violations, of the platform's front or the second one."""
    rig: Any
    if second:
        rig, history = run_second(seed, processes, seconds)
    else:
        checkouts = (ROOT,) if other is None else (ROOT, other)
        rig, history = run(seed, processes, seconds, drawn, checkouts)
    checker = Checker(history)
    violations = checker.violations()
    seen = Counter(one.what for one in history.seen)
    finals = Counter(one.text for one in history.seen if one.what == "final")
    waited = [span for spans in history.kept.values() for _, span in spans]
    if path := os.environ.get("HISTORY"):
        Path(path).write_text("".join(f"{one}\n" for one in history.seen))
    return {
        "seed": seed, "processes": processes, "seconds": seconds, "rules": rules_told(history.rules),
        "set_ups": seen["invite"],
        "finals": dict(sorted(finals.items())), "attempts": seen["new"], "answers": seen["up"],
        "releases": seen["bye_in"] + seen["bye_out"], "excused": checker.excused, "resent": seen["resent"],
        "faults": dict(sorted(rig.faults.items())),
        "rig_late_ms": round(1000 * max((late for _, late in history.late), default=0.0)),
        "kept_waiting_ms": round(1000 * max(waited, default=0.0)),
        "exits": rig.faulty, "violations": len(violations),
        "checks": dict(Counter(one.check for one in violations)),
        "first": [f"{one.check} {one.call}: {one.why}" for one in violations[:5]],
    }  # fmt: skip


def rules_told(rules: Rules) -> dict[str, Any]:
    """In JSON's terms."""
    return {**asdict(rules), "once": sorted(rules.once)}


@click.command()
@click.option("--seed", default=1, show_default=True, help="Of faults, callers and log servers.")
@click.option("--processes", default=4, show_default=True, type=click.IntRange(2, 8))
@click.option("--seconds", default=20.0, show_default=True, type=click.FloatRange(2, 120), help="Of traffic.")
@click.option("--drawn", is_flag=True, help="Settings of some other deployment, drawn from the seed.")
@click.option("--second", is_flag=True, help="The second front, SIP over UDP and TCP.")
@click.option(
    "--other",
    type=click.Path(exists=True, file_okay=False, resolve_path=True, path_type=Path),
    help="A checkout of another build of the program, for the platform's front.",
)
def main(seed: int, processes: int, seconds: float, drawn: bool, second: bool, other: Path | None) -> None:
    """Several real processes under faults."""
    if second and other is not None:
        raise click.UsageError("--other is for the platform's front: the second one has no upgrades")
    told = judged(seed, processes, seconds, drawn, second, other)
    print(json.dumps(told))
    sys.exit(1 if told["violations"] or told["exits"] else 0)


if __name__ == "__main__":
    main()
