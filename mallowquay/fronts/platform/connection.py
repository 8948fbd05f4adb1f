"""One connection from the platform's callers, wherever its socket is read: here or in a successor."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

from tornado.iostream import IOStream

from ...net.streams import MessageBuffer, gathered_write


class Connection:
    """One connection from callers."""

    def __init__(self, stream: IOStream, now: timedelta) -> None:
        self.stream, self.buffer = stream, MessageBuffer()
        self.unanswered: set[str] = set()  # set-ups whose answer is due here and nowhere else
        self.waiting_since: timedelta | None = now  # for the rest of a message; None between messages
        self.opened_at = now
        self.standing: set[str] = set()  # calls that were set up here and stand: their releases come here
        self.spoke = False  # a whole message has come
        self.bad = 0
        self.closing = False  # what still comes is not for us
        self.reading = False  # nothing has been read that is not taken
        self.key = 0  # of one that the process before has handed over
        self.elsewhere: set[str] = set()  # calls of the process before that are open on it
        self.handed: Callable[[list[bytes]], bool] | None = None  # writes where it has been handed to

    @property
    def open(self) -> bool:
        """Whether what is written goes anywhere."""
        return self.handed is not None or not self.stream.closed()

    @property
    def busy(self) -> bool:
        """Whether an answer is due here, or a call stands."""
        return bool(self.unanswered or self.standing or self.elsewhere)

    def write(self, parts: list[bytes]) -> bool:
        """Send a message; False if the connection is gone."""
        return gathered_write(self.stream, parts) if self.handed is None else self.handed(parts)
