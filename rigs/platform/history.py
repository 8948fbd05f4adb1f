"""What callers, log servers and the coordinator saw, by the one clock of the rig's process."""

from __future__ import annotations

import asyncio
import time
from collections import defaultdict
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

TICK = 0.01  # seconds between two looks at how late the rig's own loop is
PAGE_SLACK = 0.05  # seconds by which the PROTOCOL page extends every limit
CATCH_UP = 0.1  # seconds in which a process that stood still reads what lay there


@dataclass(frozen=True, slots=True)
class Rules:
    """What the settings of the processes allow; times in seconds."""

    attempts_most: int = 4
    release_wait: float = 0.3  # after a timeout, reset or cancel before the next attempt
    grace: float = 0.5  # after the list has told a server draining or gone
    probes: bool = False
    gap_most: float = 2.0  # that callers are told to stay away; 0: they are told none
    once: frozenset[str] = frozenset()  # classes whose set-ups may not run twice
    # The second front: a call outlives its caller's connection (until no ACK comes) and a log server's death.
    outlives: bool = False


@dataclass(frozen=True, slots=True)
class Seen:
    """One thing that was seen; times in seconds."""

    at: float
    what: str
    process: str = ""
    call: str = ""
    server: str = ""
    text: str = ""
    number: float = 0.0


class History:
    """All that was seen, how late the rig was, and how long each process was kept from running."""

    def __init__(self, rules: Rules | None = None) -> None:
        self.rules = rules or Rules()
        self.seen: list[Seen] = []
        self.late: list[tuple[float, float]] = []  # at, and by how much
        self.kept: dict[str, list[tuple[float, float]]] = defaultdict(list)  # by process: at, for how long
        self.pids: dict[int, str] = {}  # whose each is

    def add(
        self,
        what: str,
        process: str = "",
        call: str = "",
        server: str = "",
        text: str = "",
        number: float = 0.0,
    ) -> None:
        """Something is seen now."""
        self.seen.append(Seen(time.monotonic(), what, process, call, server, text, number))

    async def measure(self) -> None:
        """Measure the rig's lateness, and how long the system kept runnable processes waiting."""
        before: dict[int, float] = {}
        while True:
            due = time.monotonic() + TICK
            await asyncio.sleep(TICK)
            now = time.monotonic()
            if now - due > TICK / 2:
                self.late.append((now, now - due))
            for pid, name in list(self.pids.items()):
                with suppress(OSError, IndexError, ValueError):
                    waited = int(Path(f"/proc/{pid}/schedstat").read_text().split()[1]) / 1e9
                    more, before[pid] = waited - before.get(pid, 0.0), waited
                    if more > TICK / 10:
                        self.kept[name].append((now, more))

    def lateness(self, start: float, end: float) -> float:
        """How late the rig was at most in that time, in seconds."""
        return max((late for at, late in self.late if start <= at and at - late <= end), default=0.0)

    def slack(self, process: str, start: float, end: float) -> float:
        """By how much a limit on what a process did in that time is extended, in seconds."""
        kept = sum(span for at, span in self.kept[process] if start <= at and at - span <= end)
        stood = 0.0
        stopped: float | None = None
        for seen in self.seen:
            if seen.process != process or seen.what not in ("stopped", "continued"):
                continue
            if seen.what == "stopped":
                stopped = seen.at
            elif stopped is not None:
                if stopped <= end and seen.at + CATCH_UP >= start:
                    stood += seen.at - stopped + CATCH_UP
                stopped = None
        return PAGE_SLACK + self.lateness(start, end + PAGE_SLACK) + kept + stood
