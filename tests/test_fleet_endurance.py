"""The short form of the fleet's endurance run, as `make fleet-endurance SHORT=1` plays it."""

from __future__ import annotations

import json
import subprocess
import sys

from rigs.process import ROOT


def test_the_short_form_ends_without_a_violation() -> None:
    command = [sys.executable, "benchmarks/fleet_endurance.py", "--short"]
    done = subprocess.run(
        command, cwd=ROOT, env={"PYTHONPATH": "."}, capture_output=True, text=True, timeout=170
    )
    line = json.loads(done.stdout.splitlines()[-1])
    assert done.returncode == 0 and line["violations"] == 0, done.stdout[-3000:] + done.stderr[-2000:]
    assert line["worlds"]["played"] == 150 and line["explored"]["states"] > 10_000
    assert line["processes"][0]["calls"]["served"] > 100
