"""Accepting connections where descriptors may run out: a pause, never a turn of the loop after the other."""

from __future__ import annotations

import errno
import socket
from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import Any

import structlog
from tornado.ioloop import IOLoop
from tornado.tcpserver import TCPServer

from .clock import monotonic
from .rate_limited import RateLimitedLogger

log = structlog.get_logger(part=__name__)

ACCEPTS_AT_ONCE = 128  # then other work gets its turn
ACCEPT_AGAIN = timedelta(milliseconds=50)
SHORT = frozenset({errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM})


class Acceptor:
    """Accepts from one listening socket; the system may refuse descriptors for a while."""

    def __init__(
        self, sock: socket.socket, take: Callable[[socket.socket, Any], None], make_room: Callable[[], object]
    ) -> None:
        self._loop, self._sock, self._take, self._make_room = IOLoop.current(), sock, take, make_room
        self._warn = RateLimitedLogger(log, monotonic)
        self._paused: object | None = None
        self._open = True
        self._resume()

    def _resume(self) -> None:
        self._paused = None
        self._loop.add_handler(self._sock, self._ready, IOLoop.READ)

    def _ready(self, sock: object, events: int) -> None:
        for _ in range(ACCEPTS_AT_ONCE):
            if not self._open:
                return
            try:
                connection, address = self._sock.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue
            except OSError as fault:
                if fault.errno not in SHORT:
                    raise
                self._warn.warning("no_descriptor_for_a_caller", fault=str(fault))
                self._make_room()
                self._loop.remove_handler(self._sock)
                self._paused = self._loop.add_timeout(ACCEPT_AGAIN, self._resume)
                return
            self._take(connection, address)

    def close(self) -> None:
        """Accept no more."""
        self._open = False
        if self._paused is None:
            self._loop.remove_handler(self._sock)
        else:
            self._loop.remove_timeout(self._paused)


class AcceptingServer(TCPServer):
    """A server that outlives a lack of descriptors."""

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Tornado's way to begin to listen."""
        for sock in sockets:
            self._sockets[sock.fileno()] = sock
            acceptor = Acceptor(sock, self._handle_connection, self.make_room)
            self._handlers[sock.fileno()] = acceptor.close

    def stop(self) -> None:
        """Accept no more, and close the listening sockets; others may be added later."""
        while self._sockets:
            number, sock = self._sockets.popitem()
            self._handlers.pop(number)()
            sock.close()

    def make_room(self) -> object:
        """Close what is missed least, if there is any."""
        return None
