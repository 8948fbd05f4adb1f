"""Watches the log servers at which calls stand, and tells of those whose calls were cut."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

import structlog
from tornado.ioloop import PeriodicCallback

from ...core.model import Attempt, Clock, Ending
from .liveness import Endpoint, Liveness
from .transport import Address, Connection, Hop, Transport

log = structlog.get_logger(part=__name__)

LOOK_INTERVAL = timedelta(milliseconds=50)

Cut = Callable[[Endpoint, list[Attempt], Ending], None]


class StandingCalls:
    """The calls that stand, by the endpoint of their log server; `cut` is told of those that it has lost."""

    def __init__(self, transport: Transport, clock: Clock, cut: Cut) -> None:
        self._transport, self._clock, self._cut = transport, clock, cut
        self._liveness = Liveness()
        self._periodic = PeriodicCallback(self.look, LOOK_INTERVAL)
        self._periodic.start()
        transport.dialled = self._dialled

    def stands(self, hop: Hop, attempt: Attempt) -> None:
        """A call came to stand."""
        self._liveness.stands(Endpoint(hop.transport, hop.address), attempt, self._clock())

    def over(self, hop: Hop, attempt: Attempt) -> None:
        """A call that may have stood is over."""
        self._liveness.over(Endpoint(hop.transport, hop.address), attempt)

    def asked(self, hop: Hop) -> None:
        """A request, or a copy of one, has left by this hop."""
        self._liveness.asked(Endpoint(hop.transport, hop.address), self._clock())

    def heard(self, hop: Hop) -> None:
        """A message has come by this hop."""
        self._liveness.heard(Endpoint(hop.transport, hop.address))

    def look(self) -> None:
        """Replace each connection that is gone, and cut the calls of whoever is silent."""
        now = self._clock()
        for endpoint in self._liveness.endpoints():
            if self._liveness.silent(endpoint, now):
                self._cut(endpoint, self._liveness.standing(endpoint), Ending.CONNECTION_SILENT)
            elif endpoint.transport == "tcp":
                self._look_at_connection(endpoint, now)

    def _look_at_connection(self, endpoint: Endpoint, now: timedelta) -> None:
        if self._transport.outgoing(endpoint.address) is not None:
            self._liveness.connected(endpoint, now)
            return
        if self._liveness.lost(endpoint, now):
            calls = len(self._liveness.standing(endpoint))
            log.info("connection_of_standing_calls_lost", of="%s:%d" % endpoint.address, calls=calls)
        if self._liveness.dial_due(endpoint, now):
            self._transport.reach(endpoint.address, lambda result: None)

    def _dialled(self, address: Address, result: Connection | Ending) -> None:
        """What came of a dial, whoever asked for it."""
        endpoint = Endpoint("tcp", address)
        if result is Ending.CONNECTION_REFUSED:  # standing calls outlive a connection, but not the process
            self._refused(endpoint)
        elif result is Ending.CONNECTION_SILENT:
            self._liveness.asked(endpoint, self._clock() - self._transport.connect_timeout)
        elif isinstance(result, Connection):
            self._liveness.heard(endpoint)

    def datagrams_refused(self, addresses: set[Address]) -> None:
        """No process listens at these addresses any more."""
        for address in addresses:
            self._refused(Endpoint("udp", address))

    def _refused(self, endpoint: Endpoint) -> None:
        self._cut(endpoint, self._liveness.standing(endpoint), Ending.CONNECTION_RESET)
