"""A baseline beside the decision module: any log server with a free line, once, and no second thought.

What the formulas of loss speak of is just this. Runs with it show whether a formula fits the model; runs with
the module show what the decisions change.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from datetime import timedelta

from ..core.decisions import Decisions
from ..core.model import Decision, Decline, Dispatch, Ended, ListTold, News, Request, ServerStatus
from .server import LogServer

NO_TIME = timedelta(0)


class Direct(Decisions):
    """Stands where `Decisions` does; it looks into the log servers, which no real sender can."""

    def __init__(
        self, servers: Mapping[str, LogServer], uniform: Callable[[], float], clock: Callable[[], timedelta]
    ) -> None:  # the module is not set up: no call of this class comes to it
        self._servers, self._uniform, self._clock = servers, uniform, clock
        self._ready: dict[str, None] = {}

    def pick(self, request: Request) -> Decision | None:
        """Send the call to any log server that has a free line, else refuse it."""
        free = [
            name for name in self._ready if len(self._servers[name].legs) < self._servers[name].shape.lines
        ]
        if not free:
            return Decline(request.id, NO_TIME, failed=False)
        named = f"log-{request.destination}"
        server = named if named in free else free[int(self._uniform() * len(free))]
        return Dispatch(request.id, 0, server, request.deadline - self._clock())

    def report(self, news: News) -> list[Decision]:
        """An attempt that failed ends its call."""
        if isinstance(news, ListTold):
            for server in news.servers:
                if server.status is ServerStatus.READY:
                    self._ready[server.id] = None
                else:
                    self._ready.pop(server.id, None)
        if isinstance(news, Ended) and not news.closed:
            return [Decline(news.attempt.request.id, NO_TIME, failed=False)]
        return []

    def tick(self, now: timedelta) -> list[Decision]:
        """Nothing is held."""
        return []

    def next_tick(self) -> timedelta | None:
        """Never."""
        return None

    def drop(self, request_id: str) -> None:
        """Nothing is kept of a call."""
