"""A gatekeeper: the real `Calls` and `Decisions` on virtual time, with emulated wires."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from quincestand import Settings

from ..core.calls import Calls
from ..core.decisions import Decisions
from ..core.figures import Figures
from ..core.model import Attempt, Ending, ListTold, Load
from .audit import Audit
from .server import LogServer
from .timeline import Timeline

MICROSECOND = timedelta(microseconds=1)
GUARD_MARGIN, DEFAULT_GAP = timedelta(milliseconds=10), timedelta(seconds=1)


class Leg:
    """One attempt, seen from both ends; what goes back takes the time of the way."""

    __slots__ = ("order", "side", "attempt", "server", "over", "standing")

    def __init__(self, order: int, side: EmulatedServers, attempt: Attempt, server: LogServer) -> None:
        self.order, self.side, self.attempt, self.server = order, side, attempt, server
        self.over = self.standing = False

    def back(self, news: Callable[[], None]) -> None:
        """Tell the gatekeeper, a way later."""
        if not self.server.silent:
            self.side.time.after(self.side.delay, news)

    def fails(self, ending: Ending, load: Load | None = None) -> None:
        """The set-up failed."""
        if not self.over:
            self.over = True
            self.side.audit.ended(self.attempt.request.id, ending, self.side.time.now)
            self.side.calls.ended(self.attempt, ending, load)

    def answers(self, load: Load) -> None:
        """The log server has answered: the call stands, unless it was given up meanwhile."""
        if not self.over and not self.standing:
            self.standing = True
            self.side.audit.ended(self.attempt.request.id, None, self.side.time.now)
            if self.side.calls.stood(self.attempt, "", load):
                self.server.stands(self, self.side.hold_of(self.attempt))

    def ends(self, load: Load) -> None:
        """The call has come to its end."""
        if not self.over:
            self.over = True
            self.side.calls.ended(self.attempt, Ending.COMPLETED, load)

    def breaks(self) -> None:
        """The processor died."""
        if self.standing and not self.over:
            self.over = True
            self.side.calls.ended(self.attempt, Ending.CUT)
        else:
            self.fails(Ending.CONNECTION_RESET)


class EmulatedServers:
    """The side towards log servers."""

    def __init__(
        self, number: int, time: Timeline, delay: int, servers: dict[str, LogServer], audit: Audit,
        hold_of: Callable[[Attempt], int],
    ) -> None:  # fmt: skip
        self.number, self.time, self.delay, self.servers = number, time, delay, servers
        self.audit, self.hold_of = audit, hold_of
        self.calls: Calls
        self._legs = 0

    def start(self, attempt: Attempt) -> None:
        """See core.calls.ServerSide."""
        self.audit.started(self.number, attempt.request.id, attempt.server, self.time.now)
        self._legs += 1
        leg = Leg(self._legs, self, attempt, self.servers[attempt.server])
        attempt.leg = leg
        self.calls.written(attempt)
        self.time.after(self.delay, lambda: leg.server.arrives(leg) if not leg.over else None)

    def withdraw(self, attempt: Attempt) -> None:
        """See core.calls.ServerSide."""
        self._leave(attempt)
        self.audit.ended(attempt.request.id, Ending.WITHDRAWN, self.time.now)

    def release(self, attempt: Attempt, cause: int) -> None:
        """See core.calls.ServerSide."""
        self._leave(attempt)

    def examine(self, server: str) -> None:
        """See core.calls.ServerSide; no scenario allows it."""
        self.calls.examined(server, alive=False)

    def _leave(self, attempt: Attempt) -> None:
        leg = attempt.leg
        if isinstance(leg, Leg):
            leg.over = True
            self.time.after(self.delay, lambda: leg.server.given_up(leg))


class Gatekeeper:
    """One gatekeeper, driven by the timeline as the metronome drives it in service."""

    def __init__(
        self, time: Timeline, settings: Settings, decisions: Decisions, side: EmulatedServers,
        classes: list[str],
    ) -> None:  # fmt: skip
        self._time, self.side, self.decisions = time, side, decisions
        wait = settings.release_wait * MICROSECOND
        self.calls = side.calls = Calls(
            self.decisions, time.clock, wait, GUARD_MARGIN, DEFAULT_GAP, Figures(classes)
        )
        self.calls.attach(side)
        self.calls.wake = self._wake
        self._due: int | None = None

    def told(self, news: ListTold) -> None:
        """The list, or a change of it."""
        for server in news.servers:
            self.side.audit.list_told(
                self.side.number, server.id, server.status.value == "ready", self._time.now
            )
        self.calls.list_told(news)

    def _wake(self) -> None:
        due = self.calls.next_due()
        when = None if due is None else max(due // MICROSECOND, self._time.now)
        if when is not None and (self._due is None or when < self._due):
            self._due = when
            self._time.at(when, lambda: self._tick(when))

    def _tick(self, when: int) -> None:
        if self._due == when:
            self._due = None
            self.calls.tick()
            self._wake()
