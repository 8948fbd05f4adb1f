"""Resident memory and start time of the run line, of this checkout against others (git worktrees).

    .venv/bin/python benchmarks/start.py [OTHER_CHECKOUT ...]

Starts each in turn, several times, and prints medians, and this one's ratio to the others.
"""

from __future__ import annotations

import json
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]
from support import SETTINGS, free_port  # noqa: E402

ROUNDS = 7
SETTLES = 0.5  # seconds until what is read at the start is in memory


def start(checkout: Path) -> tuple[float, int]:
    """Seconds until it accepts a connection, and resident kB a moment later."""
    port = free_port()
    document = {
        "name": "n",
        "listen": f"127.0.0.1:{port}",
        "coordinator": "127.0.0.1:1",
        "seed": "1",
        "known": {"index": 1, "updates": []},
        "settings": SETTINGS,
        "limits": {"sockets": 1024},
    }
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        json.dump(document, file)
        file.flush()
        began = time.monotonic()
        process = subprocess.Popen(
            [sys.executable, "-m", "mallowquay"],
            cwd=checkout,
            stderr=subprocess.DEVNULL,
            env={**os.environ, "LB_CONFIG": file.name},
        )
        try:
            while time.monotonic() < began + 10:
                try:
                    socket.create_connection(("127.0.0.1", port)).close()
                    break
                except ConnectionRefusedError:
                    time.sleep(0.002)
            took = time.monotonic() - began
            time.sleep(SETTLES)
            status = Path(f"/proc/{process.pid}/status").read_text()
        finally:
            process.kill()
            process.wait()
    return took, next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmRSS"))


def main() -> None:
    """Print a line a checkout."""
    checkouts = [ROOT, *map(Path, sys.argv[1:])]
    found: dict[Path, list[tuple[float, int]]] = {checkout: [] for checkout in checkouts}
    for _ in range(ROUNDS):
        for checkout in checkouts:
            found[checkout].append(start(checkout))
    own_time, own_memory = (statistics.median(column) for column in zip(*found[ROOT]))
    for index, checkout in enumerate(checkouts):
        took, memory = (statistics.median(column) for column in zip(*found[checkout]))
        print(
            f"{'this' if not index else f'other {index}'}: start {took:.3f} s, resident {memory:.0f} kB; "
            f"this is {own_time / took:.2f} x in time, {own_memory / memory:.3f} x in memory"
        )


if __name__ == "__main__":
    main()
