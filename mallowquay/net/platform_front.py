"""The platform's callers: SIP over TCP, many calls on a connection, matched by Call-ID alone."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable
from datetime import timedelta

from tornado.ioloop import PeriodicCallback
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

from ..config import ClassConfig
from ..core.calls import Call, Calls, CallState
from ..core.model import Clock, Ending, FinalAnswer, Request, Verdict
from .operation import Operation
from .recent import Recent
from .seldom import Seldom
from .sip.message import (
    BadMessage,
    Header,
    Message,
    copied_headers,
    parse,
    q850_cause,
    read_path,
    user_of,
    write_request,
    write_response,
)
from .statuses import NORMAL_CLEARING, platform_status, release_cause
from .streams import (
    MESSAGE_MOST,
    WRITE_BUFFER_MOST,
    MessageBuffer,
    TooLong,
    at_rest,
    close_gently,
    fill,
    finish_writing,
    gathered_write,
    quiet,
)

log = logging.getLogger(__name__)

MILLISECOND = timedelta(milliseconds=1)
# A connection that has brought no whole message, or half of one, by then is closed: 3 s are allowed.
MESSAGE_WITHIN = timedelta(milliseconds=2200)
WATCH_EVERY = timedelta(milliseconds=200)
NEW_FOR = timedelta(milliseconds=300)
AWAY_GAP = timedelta(milliseconds=500)  # callers that are sent away come back so much later, elsewhere
BAD_MOST = 16  # bad messages on one connection, then it is closed
ID_LENGTH = 16
HEX = frozenset("0123456789abcdefABCDEF")
DESCRIPTION_MOST = MESSAGE_MOST - 512  # as it goes on to a log server, escaped, with room for the rest


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

    def write(self, parts: list[bytes]) -> bool:
        """Send a message; False if the connection is gone."""
        return gathered_write(self.stream, parts)


class PlatformCaller:
    """The caller's side of one call: what its answer and its release repeat."""

    def __init__(self, front: PlatformFront, connection: Connection, invite: Message) -> None:
        self.front, self.connection = front, connection
        self.headers = copied_headers(invite)
        self.uri = invite.uri

    def answer(self, call: Call, answer: FinalAnswer) -> None:
        """Write the final answer on the connection of the set-up."""
        if call.request.id in self.connection.unanswered and not self.connection.stream.closed():
            self.front.answered.add(call.request.id)
        self.connection.unanswered.discard(call.request.id)
        extra: list[Header] = []
        if answer.verdict is Verdict.STANDS:
            self.connection.standing.add(call.request.id)
            parts = write_response(200, self.headers, extra, answer.description.encode("utf-8", "replace"))
        else:
            status = platform_status(answer)
            if answer.retry_after:
                extra = [("P-Gap-Ms", str(-(-answer.retry_after // MILLISECOND)))]
            parts = write_response(status, self.headers, extra)
            self.front.over.add(call.request.id)  # late word on its attempts must not reach the caller
        self.connection.write(parts)
        self.front.leave(self.connection)

    def release(self, call: Call, ending: Ending) -> None:
        """Send the release on the connection of the set-up, else on any."""
        self.connection.standing.discard(call.request.id)
        self.front.send_release(call.request.id, self.uri, release_cause(ending), self.connection)


class PlatformFront(TCPServer):
    """Listens for callers and turns their messages into calls of the core."""

    def __init__(
        self,
        calls: Calls,
        clock: Clock,
        classes: dict[str, ClassConfig],
        end_margin: timedelta,
        most: int,
        operation: Operation,
    ) -> None:
        super().__init__(max_buffer_size=WRITE_BUFFER_MOST, read_chunk_size=16 * 1024)
        self._calls, self._clock, self._classes = calls, clock, classes
        self._margin, self._most, self._operation = end_margin, most, operation
        self._connections: dict[Connection, None] = {}  # the one heard of last at the end
        self._warn_bad, self._warn_most = Seldom(log, clock), Seldom(log, clock)
        self._watch = PeriodicCallback(self.watch, WATCH_EVERY)
        self._watch.start()
        self._unsent: dict[str, list[bytes]] = {}  # releases that found no open connection
        self.over = Recent(4096)  # calls that are over
        self.answered = Recent(4096)  # ids that have had their final answer: they do not come again
        # A release of a call that this process never took.
        self.stray_release: Callable[[str, int], None] = lambda call_id, cause: None
        self.bad_messages = 0

    def settled(self) -> bool:
        """Nothing is sent again on this wire: what is answered is done."""
        return True

    async def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        """Serve one connection until it closes."""
        if len(self._connections) >= self._most and not self._make_room():
            self._warn_most.warning("refused a connection beyond %d", self._most)
            stream.close()
            return
        connection = Connection(quiet(stream), self._clock())
        stream.max_write_buffer_size = WRITE_BUFFER_MOST
        self._connections[connection] = None
        try:
            while True:
                connection.reading = True
                await fill(stream, connection.buffer)
                connection.reading = False
                if connection in self._connections:  # else it gave way as this came, and is closed
                    self._take(connection)
                else:
                    connection.buffer.start = connection.buffer.end
                await asyncio.sleep(0)  # one that sends without a pause leaves the others their turn
        except StreamClosedError:
            pass
        except (TooLong, BadMessage) as fault:
            self._bad(fault)
            connection.closing = True
            if isinstance(fault, BadMessage):
                self._reply_bad(connection, fault)
            self._give_up(connection)
            await close_gently(stream)
        finally:
            self._connections.pop(connection, None)
            stream.close()
            self._give_up(connection)

    def _give_up(self, connection: Connection) -> None:
        """Nobody is left to answer, or will be: no work for nothing, and nothing may come to stand."""
        for call_id in list(connection.unanswered):
            self._calls.caller_left(call_id)

    def _make_room(self) -> bool:
        """Close what is missed least; who has a set-up open or a call standing keeps its place.

        First one that has said nothing for a moment, then the one longest without a word. One that
        came just now may have its first request on the way, so it goes last.
        """
        grace = self._clock() - NEW_FOR
        idle = [known for known in self._connections if not known.unanswered and not known.standing]
        if not idle:
            return False
        old = [known for known in idle if known.closing or (not known.spoke and known.opened_at <= grace)]
        spoke = [known for known in idle if known.spoke]
        least = (old or spoke or idle)[0]
        self._warn_most.warning("closed an idle connection: there are %d", len(self._connections))
        del self._connections[least]  # its place is free at once
        least.stream.close()
        return True

    def leave(self, connection: Connection) -> None:
        """While callers are sent away: close a connection between requests, gently.

        Calls that stand are bound to no connection. What has come and is not read yet is taken first.
        """
        if not self._operation.closing or connection not in self._connections:
            return
        if connection.unanswered or connection.standing:
            return
        buffer = connection.buffer
        if connection.reading and buffer.start == buffer.end and at_rest(connection.stream):
            connection.closing = True
            del self._connections[connection]
            finish_writing(connection.stream)

    def watch(self) -> None:
        """Close connections whose next message does not get whole, and all while callers are sent away."""
        now = self._clock()
        for connection in list(self._connections):
            self.leave(connection)
            since = connection.waiting_since
            if since is not None and now - since >= MESSAGE_WITHIN and not connection.unanswered:
                connection.closing = True
                connection.stream.close()

    def _bad(self, fault: Exception) -> None:
        self.bad_messages += 1
        self._warn_bad.warning("a caller's connection is closed: %s", fault)

    def _reply_bad(self, connection: Connection, fault: BadMessage) -> None:
        if fault.message is not None and fault.message.method and fault.message.method != "ACK":
            status = fault.status or 400
            connection.write(write_response(status, copied_headers(fault.message)))

    def _take(self, connection: Connection) -> None:
        buffer = connection.buffer
        while buffer.start < buffer.end:
            message, buffer.start = parse(buffer.data, buffer.start, buffer.end)
            if message is None:
                break
            if not connection.spoke:
                connection.spoke = True
                for call_id in list(self._unsent):
                    connection.write(self._unsent.pop(call_id))
            connection.waiting_since = None
            try:
                self._message(connection, message)
            except BadMessage as fault:  # whole and well framed, yet wrong: the connection goes on
                fault.message = message
                connection.bad += 1
                if connection.bad >= BAD_MOST:
                    raise
                self.bad_messages += 1
                self._warn_bad.warning("bad message from a caller: %s", fault)
                self._reply_bad(connection, fault)
        if connection.spoke:
            self._connections[connection] = self._connections.pop(connection)
            if buffer.start == buffer.end:
                connection.waiting_since = None
            elif connection.waiting_since is None:
                connection.waiting_since = self._clock()

    def _message(self, connection: Connection, message: Message) -> None:
        if message.status:  # 200 to our BYE
            return
        call_id = message.get("Call-ID")
        if message.method == "OPTIONS":
            self._reply(connection, message, 200 if self._operation.ready else 503)
            return
        if len(call_id) != ID_LENGTH or not HEX.issuperset(call_id):
            raise BadMessage(400, "Call-ID is not 16 hex digits", message)
        match message.method:
            case "INVITE":
                self._invite(connection, message, call_id)
            case "CANCEL":
                self._cancel(connection, message, call_id)
            case "BYE":
                self._bye(connection, message, call_id)
            case "ACK" | "NOTIFY" | "INFO":
                pass
            case _:
                self._reply(connection, message, 501)

    def _reply(self, connection: Connection, message: Message, status: int) -> None:
        connection.write(write_response(status, copied_headers(message)))

    def _invite(self, connection: Connection, message: Message, call_id: str) -> None:
        request = self._to_request(message, call_id)
        known = self._calls.get(call_id)
        if known is None and not self.answered.holds(call_id) and self._operation.refusing:
            gap = ("P-Gap-Ms", str(AWAY_GAP // MILLISECOND))
            connection.write(write_response(503, copied_headers(message), [gap]))
            self._calls.turn_away(request)
            self.answered.add(call_id)
            self.leave(connection)
        elif known is None and not self.answered.holds(call_id):
            # One whose connection closed before its answer may come again, on another connection.
            connection.unanswered.add(call_id)
            self._calls.offer(request, PlatformCaller(self, connection, message))
        elif call_id not in connection.unanswered:  # nor may anybody end or join another's call by its id
            raise BadMessage(482, "the id is taken", message)
        elif known is not None and not same_call(known.request, request):
            # Which of the two is meant cannot be told, and an id has one answer: neither is carried out.
            log.info("call %s came twice with different contents", call_id)
            self._calls.refuse(call_id)
        # else sent again as it was: it will have its answer

    def _to_request(self, message: Message, call_id: str) -> Request:
        kind = self._classes.get(message.get("P-Kind"))
        if kind is None:
            raise BadMessage(400, f"P-Kind names no class: {message.get('P-Kind')[:40]!r}")
        left = message.number("P-Time-Left")
        budget = kind.deadline if left is None else left * MILLISECOND
        if budget > 2 * kind.deadline:
            raise BadMessage(400, f"P-Time-Left is out of range: {left}")
        number = user_of(message.uri)
        if not 0 < len(number) <= ID_LENGTH or not HEX.issuperset(number):
            raise BadMessage(400, "the number called is not hex digits")
        path = read_path(message.get("P-Path"))
        destination = path.get("dest", -1)
        if not 1 <= path.get("width", 1) <= kind.width:
            raise BadMessage(400, f"P-Path asks for a width of {path['width']}")
        if destination < -1 or (kind.destinations and destination not in kind.destinations | {-1}):
            raise BadMessage(400, f"P-Path names no log server: {destination}")
        try:
            description = bytes(message.body).decode()
        except UnicodeDecodeError as fault:
            raise BadMessage(400, "the description is not UTF-8") from fault
        if len(json.dumps(description)) > DESCRIPTION_MOST:
            raise BadMessage(413, "the description does not fit into a message to a log server")
        return Request(
            id=call_id,
            call_class=kind.index,
            class_name=kind.name,
            number=number,
            budget=max(budget - self._margin, timedelta(0)),
            taken_at=self._clock(),
            destination=destination,
            redialled=message.get("P-Second-Try") == "1",
            description=description,
        )

    def _cancel(self, connection: Connection, message: Message, call_id: str) -> None:
        call = self._calls.get(call_id)
        self._reply(connection, message, 481 if call is None else 200)
        if call is None:
            return
        self.over.add(call_id)
        if not self._calls.caller_left(call_id) and call.state is CallState.STANDING:
            # It crossed our answer: the caller has gone, so the call must not stand on.
            log.info("call %s was cancelled as its answer left; it is released", call_id)
            self._calls.caller_released(call_id, NORMAL_CLEARING)
            call.caller.release(call, Ending.COMPLETED)

    def _bye(self, connection: Connection, message: Message, call_id: str) -> None:
        cause = q850_cause(message.get("Reason"), NORMAL_CLEARING)
        self._reply(connection, message, 200)
        call = self._calls.get(call_id)
        if call is not None and self._calls.caller_released(call_id, cause):
            self.over.add(call_id)
            if isinstance(call.caller, PlatformCaller):
                call.caller.connection.standing.discard(call_id)
        elif not self.over.holds(call_id) and self._calls.get(call_id) is None:
            # It may stand since before this process started.
            self.over.add(call_id)
            self.stray_release(call_id, cause)

    def stray_ended(self, call_id: str, cause: int) -> None:
        """A log server ended a call that this process does not hold: a process before it may have."""
        if not self.over.holds(call_id):
            self.send_release(call_id, f"sip:{call_id}@net", cause)

    def send_release(self, call_id: str, uri: str, cause: int, first: Connection | None = None) -> None:
        """BYE for a call that is over: on its own connection, else on any, else on the next."""
        self.over.add(call_id)
        headers = [
            ("Via", "SIP/2.0/TCP gatekeeper"),
            ("Call-ID", call_id),
            ("CSeq", "2 BYE"),
            ("Reason", f"Q.850;cause={cause}"),
        ]
        parts = write_request("BYE", uri, headers)
        if first is not None and first in self._connections and first.write(parts):
            return
        for connection in reversed(self._connections):  # not on one of a crowd that says nothing
            if connection.spoke and connection is not first and connection.write(parts):
                return
        while len(self._unsent) >= 1024:
            self._unsent.pop(next(iter(self._unsent)))
        self._unsent[call_id] = parts


def same_call(one: Request, other: Request) -> bool:
    """Whether two set-ups under one id ask for the same."""
    return all(getattr(one, name) == getattr(other, name) for name in ("number", "call_class", "description"))
