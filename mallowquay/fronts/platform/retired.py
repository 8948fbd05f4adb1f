"""Connections to one log server that are written no more, and read until nothing can come on them."""

from __future__ import annotations

import socket
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from datetime import timedelta

import structlog
from tornado.iostream import IOStream, StreamClosedError

from ...core.model import Clock
from ...net.streams import (
    WRITE_BUFFER_MOST,
    MessageBuffer,
    TooLong,
    Unread,
    fill,
    unread,
    whole_lines,
)

log = structlog.get_logger(part=__name__)

MAX_RETIRED = 3  # beside the one in use: a log server tells its free lines on at most four


@dataclass(slots=True, eq=False)
class Retired:
    """One of them; `at`: when it was given up."""

    stream: IOStream
    at: timedelta


class RetiredConnections:
    """A log server that stood still goes on where it was: ends of calls come on connections given up since.

    The far end sees the close, by which the set-ups open there are given up, and what it still writes is
    taken. `take` gets each whole line with the moment at which its connection was given up; whatever it
    raises of its own kind, `unreadable`, ends that connection alone.
    """

    def __init__(
        self,
        take: Callable[[bytes, timedelta], None],
        unreadable: type[Exception],
        spawn: Callable[[Coroutine[object, object, None]], object],
        clock: Clock,
        keep_for: timedelta,
    ) -> None:
        self._take, self._unreadable, self._spawn = take, unreadable, spawn
        self._clock, self._keep_for = clock, keep_for
        self._all: list[Retired] = []
        self.heard_at: timedelta | None = None  # when anything has come on one of them

    def __len__(self) -> int:
        return len(self._all)

    def retire(self, stream: IOStream, buffer: MessageBuffer) -> None:
        """Write nothing more, drop what is not written yet, and read on; `buffer` has what has come.

        Where there is no place or no descriptor for it the connection is closed.
        """
        try:
            sock = stream.socket.dup() if len(self._all) < MAX_RETIRED and not stream.closed() else None
        except OSError:
            sock = None
        stream.close()
        if sock is None:
            return
        try:
            sock.shutdown(socket.SHUT_WR)
        except OSError:  # the far end has reset it
            sock.close()
            return
        retired = Retired(IOStream(sock, max_buffer_size=WRITE_BUFFER_MOST), self._clock())
        self._all.append(retired)
        self._spawn(self._read(retired, buffer))

    async def _read(self, retired: Retired, buffer: MessageBuffer) -> None:
        try:
            while True:
                for line in whole_lines(buffer):
                    self._take(line, retired.at)
                await fill(retired.stream, buffer)
                self.heard_at = self._clock()
        except (StreamClosedError, TooLong):
            pass
        except self._unreadable as fault:
            log.warning("retired_connection_unreadable", fault=str(fault))
        finally:
            retired.stream.close()
            if retired in self._all:
                self._all.remove(retired)

    def expire(self, now: timedelta) -> None:
        """Close those that were kept for long enough, but not on something that has come and is not read."""
        for retired in list(self._all):
            if now - retired.at >= self._keep_for and unread(retired.stream) is not Unread.BYTES:
                retired.stream.close()

    def close(self) -> None:
        """Close all."""
        for retired in list(self._all):
            retired.stream.close()
