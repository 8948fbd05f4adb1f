"""The platform's callers: SIP over TCP, many calls on a connection, matched by Call-ID alone."""

from __future__ import annotations

import logging
from collections.abc import Callable
from datetime import timedelta

from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

from ..config import ClassConfig
from ..core.calls import Call, Calls, CallState
from ..core.model import Clock, Ending, FinalAnswer, Request, Verdict
from .recent import Recent
from .sip.message import (
    BadMessage,
    Header,
    Message,
    copied_headers,
    destination_of,
    parse,
    q850_cause,
    user_of,
    write_request,
    write_response,
)
from .statuses import NORMAL_CLEARING, platform_status, release_cause
from .streams import WRITE_BUFFER_MOST, MessageBuffer, TooLong, fill, gathered_write, quiet

log = logging.getLogger(__name__)

MILLISECOND = timedelta(milliseconds=1)


class Connection:
    """One connection from callers."""

    def __init__(self, stream: IOStream) -> None:
        self.stream, self.buffer = stream, MessageBuffer()
        self.unanswered: set[str] = set()  # set-ups whose answer is due here and nowhere else

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
        self.connection.unanswered.discard(call.request.id)
        extra: list[Header] = []
        if answer.verdict is Verdict.STANDS:
            parts = write_response(200, self.headers, extra, answer.description.encode("utf-8", "replace"))
        else:
            status = platform_status(answer)
            if answer.retry_after:
                extra = [("P-Gap-Ms", str(-(-answer.retry_after // MILLISECOND)))]
            parts = write_response(status, self.headers, extra)
            self.front.over.add(call.request.id)  # late word on its attempts must not reach the caller
        self.connection.write(parts)

    def release(self, call: Call, ending: Ending) -> None:
        """Send the release on the connection of the set-up, else on any."""
        self.front.send_release(call.request.id, self.uri, release_cause(ending), self.connection)


class PlatformFront(TCPServer):
    """Listens for callers and turns their messages into calls of the core."""

    def __init__(
        self, calls: Calls, clock: Clock, classes: dict[str, ClassConfig], end_margin: timedelta, most: int
    ) -> None:
        super().__init__(max_buffer_size=WRITE_BUFFER_MOST, read_chunk_size=16 * 1024)
        self._calls, self._clock, self._classes = calls, clock, classes
        self._margin, self._most = end_margin, most
        self._connections: dict[Connection, None] = {}
        self._unsent: dict[str, list[bytes]] = {}  # releases that found no open connection
        self.over = Recent(4096)  # calls that are over
        # A release of a call that this process never took.
        self.stray_release: Callable[[str, int], None] = lambda call_id, cause: None
        self.stopping = False
        self.bad_messages = 0

    def settled(self) -> bool:
        """Nothing is sent again on this wire: what is answered is done."""
        return True

    async def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> None:
        """Serve one connection until it closes."""
        if len(self._connections) >= self._most:
            log.warning("refused a connection beyond %d", self._most)
            stream.close()
            return
        connection = Connection(quiet(stream))
        stream.max_write_buffer_size = WRITE_BUFFER_MOST
        self._connections[connection] = None
        for call_id in list(self._unsent):
            connection.write(self._unsent.pop(call_id))
        try:
            while True:
                await fill(stream, connection.buffer)
                self._take(connection)
        except StreamClosedError:
            pass
        except TooLong as fault:
            self._bad(f"{fault}")
        except BadMessage as fault:
            self._bad(f"{fault}")
            self._reply_bad(connection, fault)
        finally:
            del self._connections[connection]
            stream.close()
            for call_id in list(connection.unanswered):  # nobody is left to answer: no work for nothing
                self._calls.caller_left(call_id)

    def _bad(self, fault: str) -> None:
        self.bad_messages += 1
        log.warning("closed a caller's connection: %s", fault)

    def _reply_bad(self, connection: Connection, fault: BadMessage) -> None:
        if fault.message is not None and fault.message.method and fault.message.method != "ACK":
            status = fault.status or 400
            connection.write(write_response(status, copied_headers(fault.message)))

    def _take(self, connection: Connection) -> None:
        buffer = connection.buffer
        while buffer.start < buffer.end:
            message, buffer.start = parse(buffer.data, buffer.start, buffer.end)
            if message is None:
                return
            try:
                self._message(connection, message)
            except BadMessage as fault:  # whole and well framed, yet wrong: the connection goes on
                self.bad_messages += 1
                log.warning("bad message from a caller: %s", fault)
                self._reply_bad(connection, fault)

    def _message(self, connection: Connection, message: Message) -> None:
        if message.status:  # 200 to our BYE
            return
        call_id = message.get("Call-ID")
        if message.method == "OPTIONS":
            self._reply(connection, message, 503 if self.stopping else 200)
            return
        if not call_id:
            raise BadMessage(400, "no Call-ID", message)
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
        kind = self._classes.get(message.get("P-Kind"))
        if kind is None:
            raise BadMessage(400, f"P-Kind names no class: {message.get('P-Kind')!r}", message)
        left = message.number("P-Time-Left")
        try:
            description = bytes(message.body).decode()
        except UnicodeDecodeError as fault:
            raise BadMessage(400, "the description is not UTF-8", message) from fault
        budget = kind.deadline if left is None else left * MILLISECOND
        request = Request(
            id=call_id,
            call_class=kind.index,
            class_name=kind.name,
            number=user_of(message.uri),
            budget=max(budget - self._margin, timedelta(0)),
            taken_at=self._clock(),
            destination=destination_of(message.get("P-Path")),
            redialled=message.get("P-Second-Try") == "1",
            description=description,
        )
        if self.over.holds(call_id) or self._calls.get(call_id) is not None:
            return  # sent again: the call has its answer or will have it
        connection.unanswered.add(call_id)
        self._calls.offer(request, PlatformCaller(self, connection, message))

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
        if self._calls.caller_released(call_id, cause):
            self.over.add(call_id)
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
        for connection in reversed(self._connections):
            if connection is not first and connection.write(parts):
                return
        while len(self._unsent) >= 1024:
            self._unsent.pop(next(iter(self._unsent)))
        self._unsent[call_id] = parts
