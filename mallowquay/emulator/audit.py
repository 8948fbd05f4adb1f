"""The rules of a call, checked on every emulated run whatever the core believes."""

from __future__ import annotations

from dataclasses import dataclass

from ..core.model import Ending

DRAIN_GRACE = 500_000  # microseconds
ATTEMPTS_MOST = 4
WAITS = frozenset({Ending.TIMED_OUT, Ending.WITHDRAWN, Ending.CONNECTION_RESET, Ending.SETUP_RESET,
                   Ending.SERVER_GONE, Ending.CONNECTION_MUTE, Ending.CONNECTION_CLOSED})  # fmt: skip
SHOWN_MOST = 100


@dataclass(frozen=True, slots=True)
class Violation:
    """A broken rule: which, in whose run, at which call and when (microseconds)."""

    rule: str
    seed: int
    call: str
    at: int


class Audit:
    """Follows every call by what crosses its border."""

    def __init__(self, seed: int, release_wait: int) -> None:
        self._seed, self._release_wait = seed, release_wait
        self._open: dict[str, int] = {}  # calls that are owed an answer, and until when
        self._out: set[str] = set()
        self._attempts: dict[str, int] = {}
        self._not_before: dict[str, int] = {}
        self._told: dict[tuple[int, str], int] = {}  # (gatekeeper, server): told draining or gone
        self.found: list[Violation] = []
        self.count = 0

    def _broken(self, rule: str, call: str, now: int) -> None:
        self.count += 1
        if len(self.found) < SHOWN_MOST:
            self.found.append(Violation(rule, self._seed, call, now))

    def taken(self, call: str, gives_up: int) -> None:
        """A call is offered."""
        self._open[call] = gives_up

    def answered(self, call: str, now: int) -> None:
        """Its caller has a final answer."""
        gives_up = self._open.pop(call, None)
        if gives_up is None:
            self._broken("one final answer", call, now)
        elif now > gives_up:
            self._broken("an answer before the caller gives up", call, now)
        self._attempts.pop(call, None)
        self._not_before.pop(call, None)

    def started(self, gatekeeper: int, call: str, server: str, now: int) -> None:
        """An attempt leaves."""
        if call not in self._open:
            self._broken("no attempt for a call that is answered", call, now)
        if call in self._out:
            self._broken("one attempt out", call, now)
        if now < self._not_before.get(call, 0):
            self._broken("300 ms before a resend", call, now)
        attempts = self._attempts[call] = self._attempts.get(call, 0) + 1
        if attempts > ATTEMPTS_MOST:
            self._broken("4 attempts at most", call, now)
        if now > self._told.get((gatekeeper, server), now) + DRAIN_GRACE:
            self._broken("nothing new to a server told draining or gone", call, now)
        self._out.add(call)

    def ended(self, call: str, ending: Ending | None, now: int) -> None:
        """An attempt is over; None for one that was answered."""
        self._out.discard(call)
        if ending in WAITS and call in self._open:
            self._not_before[call] = now + self._release_wait

    def list_told(self, gatekeeper: int, server: str, usable: bool, now: int) -> None:
        """A gatekeeper hears of a log server."""
        if usable:
            self._told.pop((gatekeeper, server), None)
        else:
            self._told.setdefault((gatekeeper, server), now)

    def close(self, now: int) -> None:
        """All is over: whoever still waits got no answer."""
        for call, gives_up in self._open.items():
            if gives_up < now:
                self._broken("one final answer", call, now)
