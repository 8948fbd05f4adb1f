"""Log servers of the platform: JSON lines over one connection each."""

from __future__ import annotations

import asyncio
import json
import random
import re
import secrets
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

import structlog
from tornado.ioloop import IOLoop, PeriodicCallback
from tornado.iostream import IOStream, StreamClosedError

from ...core.calls import Call, Calls, CallState
from ...core.model import Attempt, Clock, Ending, Load, Server, ServerStatus
from ...errors import Fault
from ...membership.roster import SILENCE_LIMIT, Roster
from ...net.streams import (
    LINGER,
    ConnectFailed,
    MessageBuffer,
    TooLong,
    close_ending,
    fill,
    finish_writing,
    gathered_write,
    open_stream,
    when_written,
    whole_lines,
)
from ...net.tasks import Tasks
from ..load import read_load
from ..statuses import INTERWORKING_CUT, NORMAL_CLEARING, release_ending
from .retired import RetiredConnections
from .rhythm import Rhythm

log = structlog.get_logger(part=__name__)

MILLISECOND = timedelta(milliseconds=1)
LOOK_AGAIN = timedelta(milliseconds=500)  # a lost connection is tried anew
SPREAD = 0.25  # of a pause before a redial, either way: a cut ends for many links and processes at once
WATCH_EVERY = timedelta(milliseconds=50)
# A line that has begun is whole at once: one that is not so by now has been cut off; nothing behind it can
# be read.
LINE_WITHIN = timedelta(milliseconds=200)
# One that broke sooner after it came up is opened anew after this pause, each time twice as long.
RESTED, RESTED_MOST = timedelta(milliseconds=100), timedelta(milliseconds=1600)
# A release is kept until it is heard: acknowledged, or followed so long after by any word of the log server.
HEARD_AFTER = timedelta(milliseconds=200)
OWED_FOR, OWED_MOST = timedelta(seconds=15), 1024  # a log server that cannot be reached is owed no more
START_SLACK = timedelta(milliseconds=100)  # a start is told in whole milliseconds of another machine's clock
ID_MOST = 64  # characters: what is kept by id is no larger than its number of entries allows

ASKED_FOR = timedelta(seconds=1)  # after its first word: what was told before comes first of all
DOWN = b'"down"'

WITH_REPORT = 1  # the cause of a test that is answered with a report of the load
SETUP_BROKEN = 41  # the cause of a reset, before the answer and after it
PASSED = 1  # the cause of the answer to a test that was passed

# Causes of a release before the answer, and after it; any other is a fault or a cut.
BEFORE_ANSWER = {
    17: Ending.FAULT,
    47: Ending.FAULT,
    102: Ending.MOOT,
    SETUP_BROKEN: Ending.SETUP_RESET,
    34: Ending.LINES_FULL,
}
# A line that was cut off may still say whose release it was to be: its cause, and its id or the start of it.
CUT_CAUSE, CUT_ID = re.compile(rb'"c":\s*(\d+)\s*,'), re.compile(rb'"ref":\s*"([0-9a-fA-F]{8,})')
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


def cut_release(line: bytes, known: list[str]) -> tuple[str, int] | None:
    """The call whose release this begins, and its cause: the far end has told it, and does not again.

    None unless half of the id is there, and exactly one of the calls known there goes by it.
    """
    cause, begun = CUT_CAUSE.search(line), CUT_ID.search(line)
    if cause is None or begun is None or b'"d"' in line:
        return None
    start = begun.group(1).decode()
    meant = [call_id for call_id in known if call_id.startswith(start)]
    return (meant[0], int(cause.group(1))) if len(meant) == 1 else None


def read_line(line: bytes) -> dict[str, Any]:
    """The message that a line holds; Unreadable if it is none."""
    try:
        said = json.loads(line)
    except (ValueError, RecursionError) as fault:
        raise Unreadable(f"a line is not JSON: {fault}") from fault
    if not isinstance(said, dict) or not isinstance(said.get("t"), str):
        raise Unreadable("a line is no message")
    return said


def read_id(said: dict[str, Any]) -> str:
    """The call that a message is about; Unreadable if it names none."""
    ref = said.get("ref")
    if not isinstance(ref, str) or not ref.isascii() or len(ref) > ID_MOST:
        raise Unreadable(f"{said['t']} without an id")
    return ref


def read_description(text: object) -> str:
    """The description of an answer; one that is spoilt must never be passed on as good."""
    if not isinstance(text, str):
        raise Unreadable("an answer without a description")
    try:
        text.encode()
    except UnicodeEncodeError as fault:  # half of a surrogate pair
        raise Unreadable(f"a description that is no text: {fault}") from fault
    return text


class Unreadable(Fault):
    """A log server sent what cannot be read; nothing more that comes on the connection is trusted."""

    code = "log-server.unreadable"
    remedy = (
        "Look at the log server that is named: its release, its memory, and what stands between it and "
        "here."
    )


@dataclass(slots=True)
class Release:
    """A release that a log server may not have heard yet."""

    cause: int
    kept_at: timedelta
    sent_at: timedelta | None = None  # on the connection that is open, or the one before
    withdrawn: bool = False  # of a set-up on the connection that is open: its answer may cross it


class Link:
    """The connection to one log server, opened when it is needed."""

    def __init__(self, side: PlatformServers, server: Server) -> None:
        self.side, self.server = side, server
        self.stream: IOStream | None = None
        self.connecting = self.closed = False
        # Not sent yet: the connection is coming up, or the far end does not read. What has gone into a
        # write buffer would arrive though its caller has left meanwhile.
        self.waiting: list[Attempt] = []
        self.open: dict[str, Attempt] = {}  # sent on this connection, unanswered
        self.heard_at = self.opened_at = self.side.clock()
        self.line_since: timedelta | None = None  # since when a line has begun and is not whole
        self.rhythm = Rhythm()  # of free lines: a connection that misses them is of no further use
        self.owed: dict[str, Release] = {}  # by call, the oldest first
        self._withdrawals_heard = False  # on this connection, withdrawals are acknowledged
        # What the last look found: this process may have been stopped (SIGSTOP, no core), with all unread.
        # Acted on if the next look finds the same.
        self._doubt: tuple[Ending | None, bool] = (None, False)
        self.buffer = MessageBuffer(0)  # what has come and is not taken
        self.retired = RetiredConnections(
            take=lambda line, retired_at: side.take_retired(self, line, retired_at),
            unreadable=Unreadable,
            spawn=side.spawn,
            clock=side.clock,
            keep_for=SILENCE_LIMIT,
        )
        self._asked = ""  # the id of the test that is out: one at a time
        self._redial: object | None = None  # the timer, one at a time
        self._pause = RESTED

    def connect(self) -> None:
        """Open the connection unless it is open or coming."""
        if self.stream is None and not self.connecting and not self.closed and not self.side.leaving:
            self.connecting = True
            self.side.spawn(self._run())

    def write(self, line: dict[str, Any]) -> bool:
        """Send one line; False if there is no connection."""
        if self.stream is None:
            return False
        return gathered_write(self.stream, [json.dumps(line, separators=(",", ":")).encode(), b"\n"])

    def start(self, attempt: Attempt) -> None:
        """Send a set-up, or keep it until the connection is up and takes it at once."""
        stream = self.stream
        if stream is None or stream.closed() or stream.writing():
            self.waiting.append(attempt)
            if stream is None:
                self.connect()
            elif len(self.waiting) == 1 and not stream.closed():  # closed, it comes up anew in a moment
                when_written(stream, self._send_waiting)
            return
        left = attempt.wait - (self.side.clock() - attempt.sent_at)
        if left < MILLISECOND:  # its time ran out in this turn: nobody would wait for the answer
            self.side.calls.ended(attempt, Ending.MOOT)
            return
        request = attempt.request
        fields = {"class": request.class_name, "key": request.number, "left": str(left // MILLISECOND)}
        self.open[request.id] = attempt
        if self.write({"t": "new", "ref": request.id, "f": fields, "d": request.description}):
            when_written(stream, lambda: self.side.calls.written(attempt))

    def _send_waiting(self) -> None:
        # One at a time: what is sent may end another that waits.
        while self.waiting and self.stream is not None and not self.stream.writing():
            if self.stream.closed():
                return
            self.side.calls.start(self.waiting.pop(0))  # if its caller still waits
        if self.waiting and self.stream is not None and not self.stream.closed():
            when_written(self.stream, self._send_waiting)

    def withdraw(self, attempt: Attempt) -> None:
        """Give a set-up up."""
        if attempt in self.waiting:
            self.waiting.remove(attempt)
        elif self.open.get(attempt.request.id) is attempt:
            del self.open[attempt.request.id]
            self.release(attempt.request.id, NORMAL_CLEARING, withdrawn=True)

    def drained(self) -> None:
        """Nothing new goes there: what is not sent yet never will be."""
        waiting, self.waiting = self.waiting, []
        for attempt in waiting:
            self.side.calls.ended(attempt, Ending.MOOT)

    # --- releases

    def release(self, call_id: str, cause: int, withdrawn: bool = False) -> None:
        """Tell the log server that a call is over; kept for the next connection until it is heard."""
        now = self.side.clock()
        self.owed.pop(call_id, None)
        while len(self.owed) >= OWED_MOST:
            del self.owed[next(iter(self.owed))]
        owed = self.owed[call_id] = Release(cause, now, withdrawn=withdrawn)
        if self.stream is not None:
            self._send_release(call_id, owed, now)
        elif self._redial is None:
            self.side.loop.add_callback(self._dial_if_owing)

    def _send_release(self, call_id: str, owed: Release, now: timedelta) -> None:
        owed.sent_at = now
        self.write({"t": "down", "ref": call_id, "f": {}, "c": owed.cause})

    def release_heard(self, call_id: str) -> None:
        """The log server has acknowledged a release."""
        owed = self.owed.pop(call_id, None)
        if owed is not None and owed.withdrawn:
            self._withdrawals_heard = True

    def crossed(self, call_id: str) -> bool:
        """Whether word of a call is on a set-up that was given up, whatever else is out under its id.

        Told in one order: what comes before the acknowledgement was sent before the withdrawal arrived.
        Of a log server that acknowledges no withdrawals this cannot be known.
        """
        owed = self.owed.get(call_id)
        return owed is not None and owed.withdrawn and self._withdrawals_heard

    def _drop_heard(self, now: timedelta) -> None:
        unread = self.stream is None or self.stream.writing()
        while self.owed:
            call_id, owed = next(iter(self.owed.items()))
            heard = not unread and owed.sent_at is not None and self.heard_at - owed.sent_at >= HEARD_AFTER
            if not heard and now - owed.kept_at < OWED_FOR:
                return
            del self.owed[call_id]

    @property
    def settled(self) -> bool:
        """Whether nothing that is owed to the log server is yet to be written."""
        if self.stream is None or self.stream.closed():
            return not self.owed
        return not self.stream.writing()

    def _owing(self) -> bool:
        return bool(self.owed or self.waiting or self.side.calls.standing_at(self.server.id))

    def _dial_if_owing(self) -> None:
        if self._owing():
            self.connect()

    def _redial_after(self, pause: timedelta) -> None:
        if self._redial is None:
            pause *= random.uniform(1 - SPREAD, 1 + SPREAD)
            self._redial = self.side.loop.add_timeout(pause, self._redial_due)

    def _redial_due(self) -> None:
        self._redial = None
        self.connect()  # to one that drains as well: it tells the ends of calls on the next connection

    # --- the connection

    def examine(self) -> None:
        """Test the log server; the answer, or that none came in time, is told."""
        if self._asked:
            return
        asked = self._asked = secrets.token_hex(8)
        self.side.loop.add_timeout(self.side.connect_timeout, lambda: self.passed(asked, False, {}))
        if not self.write(self._test()):
            self.connect()

    def _test(self) -> dict[str, Any]:
        return {"t": "hb", "ref": self._asked, "f": {}, "c": WITH_REPORT}

    def passed(self, asked: str, alive: bool, load: Load) -> None:
        """The test of this id has ended; any other is none of ours."""
        if asked and asked == self._asked:
            self._asked = ""
            self.side.calls.examined(self.server.id, alive, load)

    async def _run(self) -> None:
        address = self.server.address
        try:
            stream = await open_stream(address, self.side.connect_timeout)
        except ConnectFailed as failed:
            self._failed(failed.ending, address)
            return
        self.connecting = False
        if self.closed or self.side.leaving or address != self.server.address:  # it is gone, or moved
            if self.closed:
                stream.close()
            else:  # ends may be told on it, as it is the next one
                self.retired.retire(stream, MessageBuffer())
            self.connect()
            return
        now = self.side.clock()
        self.stream, self.opened_at = stream, now
        self.line_since, self._doubt = None, (None, False)
        self._withdrawals_heard = False
        self.rhythm.opened(now)
        if self._asked:
            self.write(self._test())
        for call_id, owed in self.owed.items():  # first: a set-up that waits may be of the same call
            owed.withdrawn = False
            self._send_release(call_id, owed, now)
        self._send_waiting()
        await self._read(stream)

    def _failed(self, ending: Ending, address: tuple[str, int]) -> None:
        self.connecting = False
        if address != self.server.address and not self.closed:
            self.connect()  # says nothing of where it is now
            return
        waiting, self.waiting = self.waiting, []
        for attempt in waiting:
            self.side.calls.ended(attempt, ending)
        self.passed(self._asked, False, {})
        if self.closed:
            return
        if ending is Ending.CONNECTION_REFUSED:  # standing calls outlive a connection, but not the process
            self.side.cut_standing(self.server.id, Ending.CONNECTION_RESET)
            self.owed.clear()
        if self._owing() and not self.connecting:
            self._redial_after(LOOK_AGAIN)

    async def _read(self, stream: IOStream) -> None:
        buffer = self.buffer = MessageBuffer()
        ending = None
        try:
            while True:
                await fill(stream, buffer)
                if self.stream is not stream:
                    return
                self.heard_at, self._doubt = self.side.clock(), (None, False)
                for line in whole_lines(buffer):
                    self.line_since = None
                    self.side.take(self, line)
                    if self.stream is not stream:
                        return
                if buffer.start < buffer.end and self.line_since is None:
                    self.line_since = self.side.clock()
        except StreamClosedError:
            ending = close_ending(stream)
        except (TooLong, Unreadable) as fault:
            self.side.unreadable += 1
            log.warning("server_unreadable", server=self.server.id, **fault.told())
            ending = Ending.UNREADABLE
        self._broken(stream, ending)

    def _broken(self, stream: IOStream, ending: Ending, read_on: bool = False) -> None:
        """The connection is over: so is each attempt on it, and a new one comes up at once.

        `read_on`: its process may live, and tell on it how calls that stand have ended.
        """
        if self.stream is not stream:
            stream.close()
            return
        if read_on:
            self.retired.retire(stream, self.buffer)
        else:
            stream.close()
        self.stream = None
        log.info(
            "server_connection_ended", server=self.server.id, ending=ending.name, retired=len(self.retired)
        )
        broken, self.open = list(self.open.values()), {}
        for attempt in broken:  # its answer may have been on its way: what stands there is to end
            self.release(attempt.request.id, NORMAL_CLEARING)
        for attempt in broken:
            self.side.calls.ended(attempt, ending)
        if self.side.leaving:
            return
        if self.side.clock() - self.opened_at >= RESTED:
            self._pause = RESTED
            if self._redial is None:
                self._redial_due()
        else:
            self._redial_after(self._pause)
            self._pause = min(2 * self._pause, RESTED_MOST)
        if self.waiting:
            self.connect()

    def watch(self) -> None:
        """Leave a connection that is of no further use, and release what cannot be told any more."""
        now = self.side.clock()
        self._drop_heard(now)
        self.retired.expire(now)
        ending, silent = self._of_no_use(now), now - self._word_at() >= SILENCE_LIMIT
        before, self._doubt = self._doubt, (ending, silent)
        if self.stream is not None and ending is not None and ending is before[0]:
            begun = bytes(memoryview(self.buffer.data)[self.buffer.start : self.buffer.end])
            tried = list(self.open)
            if ending is Ending.CONNECTION_MUTE:
                self.rhythm.mute()
            self._broken(self.stream, ending, read_on=True)
            if ending is Ending.UNREADABLE:
                self.side.cut_off(self, begun, tried)
        if silent and before[1]:
            self.side.cut_standing(self.server.id, Ending.CONNECTION_SILENT)

    def _word_at(self) -> timedelta:
        """When anything has come last, on whatever connection."""
        return max(self.heard_at, self.retired.heard_at or self.heard_at)

    def _of_no_use(self, now: timedelta) -> Ending | None:
        if self.stream is None:
            return None
        if self.line_since is not None and now - self.line_since >= LINE_WITHIN:
            return Ending.UNREADABLE
        return Ending.CONNECTION_MUTE if self._missed_word(now) else None

    def _missed_word(self, now: timedelta) -> bool:
        # One that drains need not tell its free lines, and calls stand there and end.
        return self.server.status is ServerStatus.READY and self.rhythm.missed(now, self.heard_at)

    def follow(self, server: Server) -> None:
        """What the list says of it now; a connection to its process or address before is left."""
        before, self.server = self.server, server
        anew, moved = server.started != before.started, server.address != before.address
        if self.stream is not None:
            # It may be told late: the connection may have broken and lead to the new process already.
            stale = anew and (server.started is None or self.opened_at < server.started + START_SLACK)
            if moved or stale:
                self._broken(self.stream, Ending.SERVER_GONE, read_on=not anew)
        if anew and server.started is not None:  # what is owed since is owed to the new process
            started = server.started
            self.owed = {call: owed for call, owed in self.owed.items() if owed.kept_at >= started}

    async def ask(self) -> None:
        """Open a further connection for a moment: ends told to a process that is gone come on it.

        A log server that stands still tells them as it goes on.
        """
        try:
            stream = await open_stream(self.server.address, self.side.connect_timeout)
        except ConnectFailed:
            return
        buffer = MessageBuffer()
        clock = asyncio.get_running_loop().time
        until = clock() + SILENCE_LIMIT.total_seconds()
        try:
            while not self.closed:
                async with asyncio.timeout_at(until):
                    await fill(stream, buffer)
                until = min(until, clock() + ASKED_FOR.total_seconds())
                for line in whole_lines(buffer):
                    if DOWN in line:  # its free lines are heard on the connection that lasts
                        self.side.take(self, line)
        except TimeoutError:
            pass
        except (StreamClosedError, TooLong, Unreadable):
            stream.close()
        if self.closed:
            stream.close()
        else:  # a close with something unread would be a reset, and lose an end told just now
            self.retired.retire(stream, buffer)

    def leave(self) -> None:
        """Write nothing more, and read what the log server has written until it closes, or for a moment."""
        if self.stream is not None and not self.stream.closed():
            finish_writing(self.stream)

    def close(self) -> None:
        """Leave a server that is gone; should it live on, what was written to it still arrives."""
        self.closed = True
        self.owed.clear()
        self.retired.close()
        stream, self.stream = self.stream, None
        if stream is not None and not stream.closed():
            self.side.loop.add_timeout(LINGER, stream.close)
            when_written(stream, lambda: None if stream.closed() else finish_writing(stream))


class PlatformServers(Roster):
    """All log servers that the list has named."""

    def __init__(self, calls: Calls, loop: IOLoop, clock: Clock, connect_timeout: timedelta) -> None:
        super().__init__(calls)
        self.loop, self.clock = loop, clock
        self.connect_timeout = connect_timeout
        self.links: dict[str, Link] = {}
        self.unreadable = 0
        self.leaving = False  # no connection is opened any more
        # A call that this process never took is over.
        self.stray_ended: Callable[[str, int], None] = lambda call_id, cause: None
        self.spawn = Tasks().spawn
        self._watch = PeriodicCallback(self.watch, WATCH_EVERY)
        self._watch.start()

    def watch(self) -> None:
        """Look after each connection."""
        for link in list(self.links.values()):
            link.watch()

    # --- the server list

    def anew_since(self, server: Server) -> timedelta | None:
        """Since the connection is up, if the process was there by then: told late, calls stand there already.

        The told start alone is not trusted: clocks step, and what is kept wrongly stands for ever.
        """
        link = self.links[server.id]
        if link.stream is None or server.started is None:
            return None
        return max(link.opened_at, server.started + START_SLACK)

    def named(self, server: Server) -> None:
        """Connect to each server that is ready, so that its free lines are told.

        To one that drains as well where it is new here: calls of a process before this one may stand there,
        and their ends are told on an open connection or on the next one.
        """
        link = self.links.get(server.id)
        new = link is None
        if link is None:
            link = self.links[server.id] = Link(self, server)
        link.follow(server)
        if server.status is ServerStatus.READY or new:
            link.connect()

    def closing(self, server: Server) -> None:
        """Nothing new goes to a server that drains."""
        self.links[server.id].drained()

    def removed(self, server: Server) -> None:
        """Close the connection to a server that is gone."""
        self.links.pop(server.id).close()

    # --- the core's side

    def start(self, attempt: Attempt) -> None:
        """Send a set-up."""
        server = self.servers.get(attempt.server)  # one that is being removed has its link still
        if server is None or server.status is not ServerStatus.READY:
            self.calls.ended(attempt, Ending.MOOT)
            return
        self.links[attempt.server].start(attempt)

    def withdraw(self, attempt: Attempt) -> None:
        """Give a set-up up."""
        link = self.links.get(attempt.server)
        if link is not None:
            link.withdraw(attempt)

    def examine(self, server: str) -> None:
        """Test a log server. Only the module asks for it, where the settings allow it."""
        link = self.links.get(server)
        if link is None or link.server.status is not ServerStatus.READY:
            self.calls.examined(server, alive=False)
        else:
            link.examine()

    def release(self, attempt: Attempt, cause: int) -> None:
        """Release a standing call."""
        link = self.links.get(attempt.server)
        if link is not None:
            link.release(attempt.request.id, cause)

    def hang_up(self, attempt: Attempt) -> None:
        """A standing call is taken as cut: should its server live on, it is to know."""
        self.release(attempt, INTERWORKING_CUT)

    def release_stray(self, call_id: str, cause: int) -> None:
        """A caller ended a call that this process never took: whichever server holds it releases it."""
        for link in self.links.values():
            link.release(call_id, cause)

    def leave(self) -> bool:
        """Leave all connections; True once nothing more can come on them.

        A log server may tell on one the end of a call that is the successor's: it tells that once.
        """
        if not self.leaving:
            self.leaving = True
            for link in self.links.values():
                link.leave()
        return all(link.stream is None and not link.connecting for link in self.links.values())

    def ask(self, servers: set[str]) -> None:
        """Hear the ends that these may have told a process that is gone: they tell on the next connection."""
        for link in [self.links[server] for server in servers if server in self.links]:
            self.spawn(link.ask())

    def come_back(self) -> None:
        """Connect again: the successor is gone."""
        if self.leaving:
            self.leaving = False
            for link in self.links.values():
                if link.server.status is ServerStatus.READY:
                    link.connect()

    def settled(self) -> bool:
        """Whether nothing that is owed to a log server on the list is yet to be written."""
        return self.leaving or all(link.settled for link in self.links.values())

    # --- what servers say

    def take(self, link: Link, line: bytes) -> None:
        """One line from a log server; Unreadable if it is not what the protocol says."""
        if not line.strip():
            return
        said = read_line(line)
        kind, ref, fields = said["t"], said.get("ref"), said.get("f", {})
        if kind == "ack" and isinstance(ref, str):
            link.release_heard(ref)
        if kind not in ("gauge", "up", "down", "hb_ok"):
            return  # free, or not for us
        if not isinstance(fields, dict):
            raise Unreadable(f"the fields of {kind} are no object")
        load = read_load(fields.get("load"))
        if kind == "gauge":
            link.rhythm.told(link.heard_at)
            if load:
                self.calls.load_told(link.server.id, load)
        elif kind == "hb_ok":
            link.passed(ref if isinstance(ref, str) else "", said.get("c") == PASSED, load)
        elif kind == "up":
            self._up(link, read_id(said), read_description(said.get("d")), load)
        else:
            self._down(link, read_id(said), said.get("c"), fields.get("note"), load)

    def take_retired(self, link: Link, line: bytes, retired_at: timedelta) -> None:
        """One line on a connection given up before: the end of a call that was set up by then counts.

        All else is of attempts that went with it.
        """
        if DOWN not in line:
            return
        said = read_line(line)
        if said["t"] != "down":
            return
        call_id, cause = read_id(said), said.get("c")
        call = self.calls.get(call_id)
        if call is None:
            self.stray_ended(call_id, cause if isinstance(cause, int) else SETUP_BROKEN)
        elif self._stands(link, call) and call.attempt is not None and call.sent_before(retired_at):
            log.info("release_on_retired_connection", call=call_id, server=link.server.id)
            link.owed.pop(call_id, None)
            self.calls.ended(call.attempt, ending_of(cause, None, answered=True))

    def _up(self, link: Link, ref: str, description: str, load: Load) -> None:
        if link.crossed(ref):
            return  # dropped there as the withdrawal arrives: the answer to the attempt that is out follows
        attempt = link.open.pop(ref, None)
        if attempt is not None and self.calls.stood(attempt, description, load):
            link.owed.pop(ref, None)  # of an attempt before: sent again, it would cut this one
            return
        if not self._stands(link, self.calls.get(ref)):
            # It crossed our giving up: the server must not hold it on.
            link.release(ref, NORMAL_CLEARING)

    @staticmethod
    def _stands(link: Link, call: Call | None) -> bool:
        """Whether the call was answered by the link's log server and is not over."""
        if call is None or call.state not in (CallState.STANDING, CallState.PROMISING):
            return False
        return call.attempt is not None and call.attempt.server == link.server.id

    def cut_off(self, link: Link, begun: bytes, tried: list[str]) -> None:
        """A line was not whole in time: if it released a call that stands, and tells which, that is over.

        `tried`: ids of set-ups that were unanswered there; their ends are known with the connection's.
        """
        standing = [call.request.id for call in self.calls.standing_at(link.server.id)]
        released = cut_release(begun, standing + tried)
        if released is not None and released[0] in standing:
            log.info("release_cut_off", call=released[0], server=link.server.id)
            self._down(link, released[0], released[1], None, {})

    def _down(self, link: Link, ref: str, cause: object, note: object, load: Load) -> None:
        crossed = link.crossed(ref)
        link.owed.pop(ref, None)  # it knows that the call is over
        if crossed:
            link.write({"t": "ack", "ref": ref, "f": {}})
            return
        attempt = link.open.pop(ref, None)
        if attempt is not None:
            self.calls.ended(attempt, ending_of(cause, note, answered=False), load)
            return
        link.write({"t": "ack", "ref": ref, "f": {}})
        call = self.calls.get(ref)
        if call is None:
            self.stray_ended(ref, cause if isinstance(cause, int) else SETUP_BROKEN)
        elif self._stands(link, call) and call.attempt is not None:
            # Only what stands here: a word on an attempt given up must not end the next one.
            self.calls.ended(call.attempt, ending_of(cause, note, answered=True), load)
