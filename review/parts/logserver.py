"""One log server as a process of its own, so that it can be stopped and continued: NUMBER PORT HOLD ZERO.

What it does goes to standard output, a JSON list a line: when, what, call, text. ZERO is the start of the record.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time

import kit


class Told:
    """A record that goes to whoever started this process."""

    def __init__(self, zero: float) -> None:
        self.zero = zero

    def now(self) -> float:
        """Seconds since the start of the record."""
        return time.monotonic() - self.zero

    def add(self, who: str, what: str, call: str = "", text: str = "") -> float:
        """A line."""
        at = self.now()
        print(json.dumps([at, who, what, call, text]), flush=True)
        return at


async def serve(number: int, port: int, hold: float, zero: float) -> None:
    """Until it is killed."""
    server = kit.LogServer(Told(zero), number)  # type: ignore[arg-type]
    server.port, server.hold = port, hold
    await server.listen()
    server.record.add(server.name, "listens")
    await asyncio.sleep(300)


asyncio.run(serve(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3]), float(sys.argv[4])))
