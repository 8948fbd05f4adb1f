"""Whether the log servers at which calls stand still live, as far as what is sent to them anyway shows.

A standing call is bound to no connection, so a connection that closes ends no call. It is replaced: a log
server that refuses the next one has no process any more, and has cut its calls. One that leaves requests
without a word is silent: cut off, gone with its machine, or stopped. Of datagrams some may have been lost.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from datetime import timedelta
from typing import NamedTuple

from ...core.model import Attempt
from ...membership.roster import SILENCE_LIMIT

# A connection that closed sooner after it came up is replaced after a pause, each time twice as long.
RESTED = timedelta(milliseconds=100)
PAUSE_MIN, PAUSE_MAX = timedelta(milliseconds=100), timedelta(milliseconds=1600)
DIAL_INTERVAL = timedelta(milliseconds=500)  # of dials that come to nothing
UNANSWERED_DATAGRAMS_MIN = 4  # over half of the limit on silence at least


class Endpoint(NamedTuple):
    """Where a log server was reached."""

    transport: str
    address: tuple[str, int]


@dataclass(slots=True)
class _Standing:
    attempts: set[Attempt] = field(default_factory=set)
    connected_at: timedelta | None = None  # None: its connection is gone
    dial_at: timedelta | None = None
    pause: timedelta = PAUSE_MIN
    unanswered: int = 0  # requests sent there since it was heard last
    asked_first: timedelta = timedelta(0)  # the first and the last of them
    asked_last: timedelta = timedelta(0)


class Liveness:
    """The calls that stand at each endpoint, and when its connection is to be replaced."""

    def __init__(self) -> None:
        self._endpoints: dict[Endpoint, _Standing] = {}  # only those at which calls stand

    def stands(self, endpoint: Endpoint, attempt: Attempt, now: timedelta) -> None:
        """A call came to stand there; its answer has just come from there."""
        known = self._endpoints.setdefault(endpoint, _Standing(connected_at=now))
        known.attempts.add(attempt)

    def over(self, endpoint: Endpoint, attempt: Attempt) -> None:
        """A call that may have stood there is over."""
        known = self._endpoints.get(endpoint)
        if known is not None:
            known.attempts.discard(attempt)
            if not known.attempts:
                del self._endpoints[endpoint]

    def standing(self, endpoint: Endpoint) -> list[Attempt]:
        """The attempts by which calls stand there."""
        known = self._endpoints.get(endpoint)
        return [] if known is None else list(known.attempts)

    def endpoints(self) -> list[Endpoint]:
        """All endpoints at which calls stand."""
        return list(self._endpoints)

    def connected(self, endpoint: Endpoint, now: timedelta) -> None:
        """Its connection is up."""
        known = self._endpoints.get(endpoint)
        if known is not None and known.connected_at is None:
            known.connected_at, known.dial_at = now, None

    def lost(self, endpoint: Endpoint, now: timedelta) -> bool:
        """Its connection is not up; True if it was until now."""
        known = self._endpoints.get(endpoint)
        if known is None or known.connected_at is None:
            return False
        if now - known.connected_at >= RESTED:
            known.pause, known.dial_at = PAUSE_MIN, now
        else:
            known.dial_at = now + known.pause
            known.pause = min(2 * known.pause, PAUSE_MAX)
        known.connected_at = None
        return True

    def dial_due(self, endpoint: Endpoint, now: timedelta) -> bool:
        """Whether it is to be dialled now; the next dial is due an interval later."""
        known = self._endpoints.get(endpoint)
        if known is None or known.dial_at is None or now < known.dial_at:
            return False
        known.dial_at = now + DIAL_INTERVAL
        return True

    def asked(self, endpoint: Endpoint, now: timedelta) -> None:
        """A request, or a copy of one, has left for it; a dial that was not answered counts as one."""
        known = self._endpoints.get(endpoint)
        if known is not None:
            known.asked_last = now
            if not known.unanswered:
                known.asked_first = now
            known.unanswered += 1

    def heard(self, endpoint: Endpoint) -> None:
        """Something has come from it."""
        known = self._endpoints.get(endpoint)
        if known is not None:
            known.unanswered = 0

    def silent(self, endpoint: Endpoint, now: timedelta) -> bool:
        """Whether it has left requests unanswered for as long as calls may stand unheard."""
        known = self._endpoints.get(endpoint)
        if known is None or not known.unanswered or now - known.asked_first < SILENCE_LIMIT:
            return False
        if endpoint.transport == "tcp":
            return True
        spread = known.asked_last - known.asked_first
        return known.unanswered >= UNANSWERED_DATAGRAMS_MIN and spread >= SILENCE_LIMIT / 2
