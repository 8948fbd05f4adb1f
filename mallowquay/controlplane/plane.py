"""The control plane of one process: list and ratings in, snapshots out to the streams."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import timedelta

import structlog
from tornado.ioloop import PeriodicCallback

from ..core.model import Clock, ListTold, Rating, Server
from .pacing import Board, Pace
from .resources import open_most, snapshot
from .streams import Hub

log = structlog.get_logger(part=__name__)

LOOKS = timedelta(milliseconds=250)  # ratings are looked at so often: as often as the module sets them anew


class Plane:
    """Keeps what is shown, and publishes it when the board says so."""

    def __init__(
        self,
        hub: Hub,
        cluster: str,
        districts: tuple[str, ...],
        pace: Pace,
        ratings: Callable[[], list[Rating]],
        aim: timedelta,
        clock: Clock,
        unix_ms: Callable[[], int],
    ) -> None:
        self._hub, self._cluster, self._districts, self._ratings = hub, cluster, districts, ratings
        self._aim, self._clock, self._unix_ms = aim, clock, unix_ms
        self._board = Board(pace)
        self._servers: dict[str, Server] = {}
        self._sequence = 0
        self._alarm: str | None = None
        self._handle: asyncio.TimerHandle | None = None
        self._looks = PeriodicCallback(self.look, LOOKS)

    def start(self) -> None:
        """Look at the ratings from now on."""
        self._looks.start()

    def list_told(self, told: ListTold) -> None:
        """The list, or a change of it: what is withdrawn leaves before this returns to the loop."""
        if told.whole:
            self._servers.clear()
        self._servers |= {server.id: server for server in told.servers}
        self._board.list_told(self._servers.values(), self._clock(), self._unix_ms())
        self._servers = {name: s for name, s in self._servers.items() if name in self._board.shown}
        if self._board.alarm != self._alarm:
            self._alarm = self._board.alarm
            if self._alarm is not None:  # served all the same: to hide it would send calls to what is gone
                log.error("xds_list_alarm", fault=self._alarm)
        self._publish_when_due()

    def look(self) -> None:
        """Take the module's ratings."""
        self._board.rated(self._ratings(), self._clock())
        self._publish_when_due()

    def _publish_when_due(self) -> None:
        due = self._board.due()
        if due is None:
            return
        now = self._clock()
        if due > now:
            if self._handle is None:
                delay = (due - now).total_seconds()
                self._handle = asyncio.get_running_loop().call_later(delay, self._later)
            return
        self._board.told()
        self._sequence += 1
        takes = sum(rating.takes for rating in self._ratings())
        most = open_most(takes, self._aim.total_seconds())
        self._hub.publish(
            snapshot(
                self._cluster, self._board.shown, self._districts, most, self._sequence, self._board.withdrawn
            )
        )

    def _later(self) -> None:
        self._handle = None
        self._publish_when_due()
