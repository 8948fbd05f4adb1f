"""Log servers of the platform: JSON lines over one connection each."""

from __future__ import annotations

import json
import logging
from collections.abc import Callable
from datetime import timedelta
from typing import Any

from tornado.ioloop import IOLoop, PeriodicCallback
from tornado.iostream import IOStream, StreamClosedError

from ..core.calls import Calls, CallState
from ..core.model import Attempt, Clock, Ending, Load, Server, ServerStatus
from .load import read_load
from .roster import Roster
from .statuses import INTERWORKING_CUT, release_ending
from .streams import (
    ConnectFailed,
    MessageBuffer,
    TooLong,
    close_ending,
    fill,
    gathered_write,
    open_stream,
)
from .tasks import Tasks

log = logging.getLogger(__name__)

MILLISECOND = timedelta(milliseconds=1)
LOOK_AGAIN = timedelta(milliseconds=500)  # a lost connection under standing calls is tried anew
# Free lines are told about once a second. A link that says nothing for so long is cut off, and what ended
# behind it could not be told: it must be released within 8 s of its end, known or not.
SILENT_MOST = timedelta(milliseconds=7600)
WATCH_EVERY = timedelta(milliseconds=100)
WORTH_A_WORD = timedelta(seconds=2)
LOST_AFTER = timedelta(seconds=6)  # and after so long they are taken as cut: 8 s are allowed

# Causes of a release before the answer, and after it; any other is a fault or a cut.
BEFORE_ANSWER = {
    17: Ending.FAULT,
    47: Ending.FAULT,
    102: Ending.MOOT,
    41: Ending.SETUP_RESET,
    34: Ending.LINES_FULL,
}
NOTES = {"ovl": Ending.PROCESSOR_FULL, "busy": Ending.NUMBER_BUSY, "nc": Ending.LINES_FULL}


def ending_of(cause: object, note: object, answered: bool) -> Ending:
    """How an attempt or a standing call ended, by the cause and note of its release."""
    number = cause if isinstance(cause, int) else 0
    if answered:
        return release_ending(number)
    told = NOTES.get(note) if isinstance(note, str) else None
    if told is Ending.NUMBER_BUSY or (told is not None and number == 34):
        return told
    return BEFORE_ANSWER.get(number, Ending.FAULT)


class Link:
    """The connection to one log server, opened when it is needed."""

    def __init__(self, side: PlatformServers, server: Server) -> None:
        self.side, self.server = side, server
        self.stream: IOStream | None = None
        self.connecting = False
        self.waiting: list[Attempt] = []  # not sent yet: the connection is coming up
        self.open: dict[str, Attempt] = {}  # sent on this connection, unanswered
        self.heard_at = timedelta(0)
        self.lost_at: timedelta | None = None  # since when standing calls have no connection

    def connect(self) -> None:
        """Open the connection unless it is open or coming."""
        if self.stream is None and not self.connecting:
            self.connecting = True
            self.side.spawn(self._run())

    def write(self, line: dict[str, Any]) -> bool:
        """Send one line; False if there is no connection."""
        if self.stream is None:
            return False
        return gathered_write(self.stream, [json.dumps(line, separators=(",", ":")).encode(), b"\n"])

    def start(self, attempt: Attempt) -> None:
        """Send a set-up, or keep it until the connection is up."""
        if self.stream is None:
            self.waiting.append(attempt)
            self.connect()
            return
        left = max(attempt.wait - (self.side.clock() - attempt.sent_at), timedelta(0))
        request = attempt.request
        fields = {"class": request.class_name, "key": request.number, "left": str(left // MILLISECOND)}
        self.open[request.id] = attempt
        self.write({"t": "new", "ref": request.id, "f": fields, "d": request.description})

    def withdraw(self, attempt: Attempt) -> None:
        """Give a set-up up."""
        if attempt in self.waiting:
            self.waiting.remove(attempt)
        elif self.open.get(attempt.request.id) is attempt:
            del self.open[attempt.request.id]
            self.write({"t": "down", "ref": attempt.request.id, "f": {}, "c": 16})

    async def _run(self) -> None:
        try:
            stream = await open_stream(self.server.address, self.side.connect_timeout)
        except ConnectFailed as failed:
            self._failed(failed.ending)
            return
        self.connecting, self.stream, self.lost_at = False, stream, None
        self.heard_at = self.side.clock()
        waiting, self.waiting = self.waiting, []
        for attempt in waiting:
            # It may have drained while the connection came up: nothing new after that.
            if self.server.status is ServerStatus.READY:
                self.start(attempt)
            else:
                self.side.calls.ended(attempt, Ending.MOOT)
        await self._read(stream)

    def _failed(self, ending: Ending) -> None:
        self.connecting = False
        waiting, self.waiting = self.waiting, []
        for attempt in waiting:
            self.side.calls.ended(attempt, ending)
        self._look_after_standing(refused=ending is Ending.CONNECTION_REFUSED)

    async def _read(self, stream: IOStream) -> None:
        buffer = MessageBuffer()
        ending = None
        try:
            while True:
                await fill(stream, buffer)
                self._heard()
                while (at := buffer.data.find(b"\n", buffer.start, buffer.end)) >= 0:
                    line = bytes(memoryview(buffer.data)[buffer.start : at])
                    buffer.start = at + 1
                    self.side.take(self, line)
        except StreamClosedError:
            pass
        except TooLong as fault:
            log.warning("log server %s: %s", self.server.id, fault)
            ending = Ending.UNREADABLE
        stream.close()
        if self.stream is not stream:
            return
        self.stream = None
        ending = ending or close_ending(stream)
        log.info("log server %s: %s", self.server.id, ending.value)
        broken, self.open = list(self.open.values()), {}
        for attempt in broken:
            self.side.calls.ended(attempt, ending)
        self._look_after_standing(refused=False)

    def _heard(self) -> None:
        now = self.side.clock()
        if now - self.heard_at >= WORTH_A_WORD:
            log.info("log server %s was silent for %s", self.server.id, now - self.heard_at)
        self.heard_at = now

    def silent(self) -> bool:
        """Whether the connection stands and nothing has come on it for too long."""
        return self.stream is not None and self.side.clock() - self.heard_at >= SILENT_MOST

    def _look_after_standing(self, refused: bool) -> None:
        """Standing calls outlive a connection, but not the process: a refused one proves that it died."""
        now = self.side.clock()
        if self.stream is not None or not self.side.calls.standing_at(self.server.id):
            self.lost_at = None
            return
        self.lost_at = now if self.lost_at is None else self.lost_at
        if refused or now - self.lost_at >= LOST_AFTER:
            self.lost_at = None
            self.side.cut_standing(self.server.id, Ending.CONNECTION_RESET)
        elif now == self.lost_at:
            self.connect()
        else:
            self.side.loop.add_timeout(LOOK_AGAIN, self.connect)

    def close(self) -> None:
        """Close the connection of a server that is gone."""
        stream, self.stream = self.stream, None
        if stream is not None:
            stream.close()


class PlatformServers(Roster):
    """All log servers that the list has named."""

    def __init__(self, calls: Calls, loop: IOLoop, clock: Clock, connect_timeout: timedelta) -> None:
        super().__init__(calls)
        self.loop, self.clock = loop, clock
        self.connect_timeout = connect_timeout
        self.links: dict[str, Link] = {}
        self.unreadable = 0
        # A call that this process never took is over.
        self.stray_ended: Callable[[str, int], None] = lambda call_id, cause: None
        self.spawn = Tasks().spawn
        self._watch = PeriodicCallback(self.watch, WATCH_EVERY)
        self._watch.start()

    def watch(self) -> None:
        """Release what stands behind links that are cut off: nobody can tell whether it still does."""
        for link in list(self.links.values()):
            if link.silent():
                self.cut_standing(link.server.id, Ending.CONNECTION_SILENT)

    # --- the server list

    def named(self, server: Server) -> None:
        """Connect to each server that is ready, so that its free lines are told."""
        link = self.links.get(server.id)
        if link is None:
            link = self.links[server.id] = Link(self, server)
        link.server = server
        if server.status is ServerStatus.READY:
            link.connect()

    def removed(self, server: Server) -> None:
        """Close the connection to a server that is gone."""
        self.links.pop(server.id).close()

    # --- the core's side

    def start(self, attempt: Attempt) -> None:
        """Send a set-up."""
        link = self.links.get(attempt.server)
        if link is None or link.server.status is not ServerStatus.READY:
            self.calls.ended(attempt, Ending.MOOT)
            return
        link.start(attempt)

    def withdraw(self, attempt: Attempt) -> None:
        """Give a set-up up."""
        link = self.links.get(attempt.server)
        if link is not None:
            link.withdraw(attempt)

    def release(self, attempt: Attempt, cause: int) -> None:
        """Release a standing call."""
        link = self.links.get(attempt.server)
        if link is not None:
            link.write({"t": "down", "ref": attempt.request.id, "f": {}, "c": cause})

    def hang_up(self, attempt: Attempt) -> None:
        """A standing call is taken as cut: should its server live on, it is to know."""
        self.release(attempt, INTERWORKING_CUT)

    def release_stray(self, call_id: str, cause: int) -> None:
        """A caller ended a call that this process never took: whichever server holds it releases it."""
        for link in self.links.values():
            link.write({"t": "down", "ref": call_id, "f": {}, "c": cause})

    # --- what servers say

    def take(self, link: Link, line: bytes) -> None:
        """One line from a log server; what cannot be read is counted and passed over."""
        try:
            said = json.loads(line) if line.strip() else {"t": ""}
        except (ValueError, RecursionError):
            said = None
        if not isinstance(said, dict):
            self.unreadable += 1
            log.warning("log server %s sent what cannot be read", link.server.id)
            return
        kind, ref = said.get("t"), said.get("ref")
        fields = said.get("f")
        fields = fields if isinstance(fields, dict) else {}
        load = read_load(fields.get("load"))
        if kind == "gauge":
            if load:
                self.calls.load_told(link.server.id, load)
        elif kind == "up" and isinstance(ref, str):
            description = said.get("d")
            self._up(link, ref, description if isinstance(description, str) else "", load)
        elif kind == "down" and isinstance(ref, str):
            self._down(link, ref, said.get("c"), fields.get("note"), load)

    def _up(self, link: Link, ref: str, description: str, load: Load) -> None:
        attempt = link.open.pop(ref, None)
        if attempt is not None and self.calls.stood(attempt, description, load):
            return
        call = self.calls.get(ref)
        if call is None or call.attempt is None or call.attempt.server != link.server.id:
            # It crossed our giving up: the server must not hold it on.
            link.write({"t": "down", "ref": ref, "f": {}, "c": 16})

    def _down(self, link: Link, ref: str, cause: object, note: object, load: Load) -> None:
        attempt = link.open.pop(ref, None)
        if attempt is not None:
            self.calls.ended(attempt, ending_of(cause, note, answered=False), load)
            return
        link.write({"t": "ack", "ref": ref, "f": {}})
        call = self.calls.get(ref)
        if call is None:
            self.stray_ended(ref, cause if isinstance(cause, int) else 41)
        elif call.state is CallState.STANDING and call.attempt is not None:
            # Only what stands here: a word on an attempt given up must not end the next one.
            if call.attempt.server == link.server.id:
                self.calls.ended(call.attempt, ending_of(cause, note, answered=True), load)
