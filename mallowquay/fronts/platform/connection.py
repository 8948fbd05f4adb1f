"""One connection from the platform's callers, wherever its socket is read: here or in a successor."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from tornado.iostream import IOStream

from ...core.calls import Call
from ...core.model import Presence
from ...net.streams import MessageBuffer, Unread, far_end_closed, gathered_write, unread, when_written


@dataclass(frozen=True, slots=True)
class Release:
    """The word to a caller that its standing call is over; `parts` are its bytes."""

    call_id: str
    uri: str
    cause: int
    parts: list[bytes]


class Carrier(Protocol):
    """Whoever writes on a connection that has been handed over."""

    def write(self, parts: list[bytes]) -> bool:
        """Pass a message on; False: it does not leave."""

    def answer(self, call_id: str, parts: list[bytes]) -> bool:
        """Pass on the answer by which a call stands; True if word comes once it has left whole."""

    def release(self, release: Release) -> bool:
        """Pass a release on, which is kept until it is known to be carried out; False: nobody is there."""


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
        self.more: asyncio.Future[int] | None = None  # the read under way; none while its bytes are taken
        self.fresh: list[Call] = []  # read, and not placed before all that has come is read
        self.releases: dict[str, Release] = {}  # that have not left whole
        self.leaving: set[str] = set()  # calls that stand by an answer that has not left whole
        self.key = 0  # of one that the process before has handed over
        self.elsewhere: set[str] = set()  # calls of the process before that are open on it
        self.handed: Carrier | None = None  # where it has been handed to

    @property
    def open(self) -> bool:
        """Whether what is written goes anywhere."""
        return self.handed is not None or not self.stream.closed()

    @property
    def busy(self) -> bool:
        """Whether an answer is due here, or a call stands."""
        return bool(self.unanswered or self.standing or self.elsewhere)

    @property
    def arriving(self) -> bool:
        """Whether something has come that is not taken yet."""
        read = self.more is not None and self.more.done()
        return read or unread(self.stream) is Unread.BYTES

    @property
    def idle(self) -> bool:
        """Whether a close cuts nothing off: no message has begun, come or been left unwritten."""
        begun = self.more is None or self.buffer.start < self.buffer.end
        return not begun and not self.stream.writing() and not self.arriving

    def presence(self) -> Presence:
        """Whether whoever opened it is still there; of one handed over the successor tells."""
        if self.handed is not None:
            return Presence.HERE
        if far_end_closed(self.stream):  # whatever it wrote before
            return Presence.GONE
        if self.more is None or self.more.done():
            return Presence.UNREAD
        return PRESENCE[unread(self.stream)]

    def write(self, parts: list[bytes]) -> bool:
        """Send a message; False if the connection is gone."""
        return gathered_write(self.stream, parts) if self.handed is None else self.handed.write(parts)

    def write_answer(self, call_id: str, parts: list[bytes]) -> None:
        """Send the answer by which a call stands; before it has left whole the caller cannot know of it."""
        if self.handed is not None:
            if self.handed.answer(call_id, parts):
                self.leaving.add(call_id)  # until the successor has written it
        elif not self.write(parts):
            self.leaving.add(call_id)  # released as the connection's end is met
        elif self.stream.writing():
            self.leaving.add(call_id)
            when_written(self.stream, lambda: self.leaving.discard(call_id))

    def write_release(self, release: Release) -> bool:
        """Send a release; it is owed until it has left whole. False where nobody would read it."""
        if self.handed is not None:
            return self.handed.release(release)
        if unread(self.stream) is Unread.END or not self.write(release.parts):
            return False
        if self.stream.writing():
            self.releases[release.call_id] = release
            when_written(self.stream, lambda: self._left(release.call_id))
        return True


    def _left(self, call_id: str) -> None:
        self.releases.pop(call_id, None)


PRESENCE = {Unread.NOTHING: Presence.HERE, Unread.BYTES: Presence.UNREAD, Unread.END: Presence.GONE}
