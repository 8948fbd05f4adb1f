"""The platform's callers: SIP over TCP, many calls on a connection, matched by Call-ID alone."""

from __future__ import annotations

import asyncio
import gc
import json
import select
from collections.abc import Awaitable, Callable
from datetime import timedelta

import structlog
from tornado.ioloop import PeriodicCallback
from tornado.iostream import IOStream, StreamClosedError

from ...settings import SOCKETS_KEPT, ClassConfig, Terms
from ...core.calls import Call, Calls, CallState
from ...core.model import Clock, Ending, FinalAnswer, Presence, Request, Verdict
from ...errors import Fault
from ...net.accepting import AcceptingServer
from ...net.rate_limited import RateLimitedLogger
from ...net.streams import (
    MESSAGE_MOST,
    WRITE_BUFFER_MOST,
    MessageBuffer,
    TooLong,
    begin_fill,
    close_gently,
    finish_writing,
    quiet,
)
from ...operation.readiness import Operation
from ...operation.twin import Packet, Twin
from ..recently_seen import RecentlySeen
from ..sip.message import (
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
from ..statuses import INTERWORKING_CUT, NORMAL_CLEARING, platform_status, release_cause
from .connection import Connection, Release
from .handover import Handover

log = structlog.get_logger(part=__name__)

MILLISECOND = timedelta(milliseconds=1)
# A connection that has brought no whole message, or half of one, by then is closed: 3 s are allowed, and
# honest callers take up to 2 s to write one.
MESSAGE_WITHIN = timedelta(milliseconds=2500)
CLOSED_MOST = 128
WATCH_EVERY = timedelta(milliseconds=200)
NEW_FOR = timedelta(milliseconds=300)
# Set-ups are placed when nothing more has come on their connection, or after this: a cancel or the caller's
# end may stand right behind them, and one that sends without a pause must not hold its own calls up.
PLACED_WITHIN = timedelta(milliseconds=50)
UNSENT_MOST = 1024  # releases that wait for a connection of any caller
BAD_MOST = 16  # bad messages on one connection, then it is closed
ID_LENGTH = 16
HEX = frozenset("0123456789abcdefABCDEF")
DESCRIPTION_MOST = MESSAGE_MOST - 512  # as it goes on to a log server, escaped, with room for the rest


class PlatformCaller:
    """The caller's side of one call: what its answer and its release repeat."""

    def __init__(self, front: PlatformFront, connection: Connection, invite: Message) -> None:
        self.front = front
        self.connection: Connection | None = connection
        self.headers = copied_headers(invite)
        self.uri = invite.uri

    def answer(self, call: Call, answer: FinalAnswer) -> None:
        """Write the final answer on the connection of the set-up."""
        connection = self.connection
        assert connection is not None, "an adopted call has had its answer"
        # Not where its connection has closed, read or not: then the id may come again.
        went = answer.verdict is Verdict.CANCELLED and connection.presence() is Presence.GONE
        if call.request.id in connection.unanswered and connection.open and not went:
            self.front.note_answered(call.request.id)
        connection.unanswered.discard(call.request.id)
        if answer.verdict is Verdict.STANDS:
            connection.standing.add(call.request.id)
            parts = write_response(200, self.headers, [], answer.description.encode("utf-8", "replace"))
            connection.write_answer(call.request.id, parts)
        else:
            status = platform_status(answer)
            parts = write_response(status, self.headers, gap_header(answer.retry_after))
            self.front.over.add(call.request.id)  # late word on its attempts must not reach the caller
            connection.write(parts)
        self.headers = []  # a standing call keeps little
        self.front.leave(connection)

    def ended(self, call: Call) -> None:
        """The call does not stand on its connection any more."""
        if self.connection is not None:
            self.connection.standing.discard(call.request.id)

    def release(self, call: Call, ending: Ending) -> None:
        """Send the release on the connection of the set-up, else on any."""
        self.ended(call)
        self.front.send_release(call.request.id, self.uri, release_cause(ending), self.connection)


class AdoptedCaller(PlatformCaller):
    """The caller of a call that came to stand in a process before: its connection, where it came over."""

    def __init__(self, front: PlatformFront, connection: Connection | None, uri: str) -> None:
        self.front, self.uri, self.headers = front, uri, []
        self.connection = connection


class PlatformFront(AcceptingServer):
    """Listens for callers and turns their messages into calls of the core."""

    def __init__(
        self,
        calls: Calls,
        clock: Clock,
        terms: Terms,
        end_margin: timedelta,
        most: int,
        operation: Operation,
        twin: Twin,
    ) -> None:
        super().__init__(max_buffer_size=WRITE_BUFFER_MOST, read_chunk_size=16 * 1024)
        self._calls, self._clock, self._terms = calls, clock, terms
        self._margin, self._most, self._operation = end_margin, most, operation
        self._kept = SOCKETS_KEPT
        self.connections: dict[Connection, None] = {}  # the one heard of last at the end
        self._warn_bad = RateLimitedLogger(log, clock)
        self._warn_most = RateLimitedLogger(log, clock)
        self._watch = PeriodicCallback(self.watch, WATCH_EVERY)
        self._watch.start()
        self._unsent: dict[str, Release] = {}  # releases that found no open connection
        calls.presence = self.presence
        self.over = RecentlySeen(4096)  # calls that are over
        self.answered = RecentlySeen(4096)  # ids that have had their final answer: they do not come again
        # A release of a call that this process never took.
        self.stray_release: Callable[[str, int], None] = lambda call_id, cause: None
        self.listed: Callable[[str], bool] = lambda server: True  # whether a log server is on the list
        self.bad_messages = 0
        self._twin = twin
        self._before: dict[str, ClassConfig] = {}  # classes of files before
        self._closed = 0  # connections, since garbage was collected last
        self.handover = Handover(self, calls, twin)

    def settled(self) -> bool:
        """Nothing has come that is not taken, and nothing is owed to callers that has not left."""
        if self._unsent or self._arriving():
            return False
        return all(
            not known.stream.writing() if known.closing else known.idle for known in self.connections
        )

    def _arriving(self) -> bool:
        """Whether a connection stands that is not accepted yet."""
        poll = select.poll()
        for listener in self._sockets.values():
            if listener.fileno() >= 0:  # else it is closed: a successor accepts
                poll.register(listener, select.POLLIN)
        return bool(poll.poll(0))

    def presence(self, call: Call) -> Presence:
        """Whether the caller of a set-up still waits, as far as its connection shows."""
        caller = call.caller
        if not isinstance(caller, PlatformCaller) or caller.connection is None:
            return Presence.HERE
        return caller.connection.presence()

    def handle_stream(self, stream: IOStream, address: tuple[str, int]) -> Awaitable[None] | None:
        """Serve one connection until it closes.

        Its place is found before the next one is accepted: a burst must not use up the descriptors.
        """
        places = self.places
        if len(self.connections) >= places and not self.make_room():
            self._warn_most.warning("connection_refused", places=places)
            stream.close()
            return None
        return self.serve(self.new_connection(quiet(stream)))

    async def serve(self, connection: Connection) -> None:
        """Read a connection until it closes."""
        stream = connection.stream
        try:
            if connection.key:  # what came to the process before, and was not whole there
                self._take(connection)
            while True:
                await self._read(connection)
                if connection in self.connections and not connection.closing:
                    self._take(connection)
                else:  # it gave way as this came, or is being closed
                    connection.buffer.start = connection.buffer.end
        except StreamClosedError:
            pass
        except (TooLong, BadMessage) as fault:
            self._bad(fault)
            connection.closing = True
            if isinstance(fault, BadMessage):
                self._reply_bad(connection, fault)
            self.give_up(connection)
            await close_gently(stream)
        finally:
            self.connections.pop(connection, None)
            connection.buffer = MessageBuffer(0)
            self._closed += 1
            if connection.handed is None:
                stream.close()
                self.give_up(connection)
                self.handover.closed(connection)
                for call_id in list(connection.leaving):  # nobody knows of these calls
                    self.caller_released(call_id, NORMAL_CLEARING)
                for release in list(connection.releases.values()):  # they did not all leave
                    self.send_release(release.call_id, release.uri, release.cause)

    async def _read(self, connection: Connection) -> None:
        """Read what has come, at least a byte; place what was taken before once nothing more is there."""
        more = connection.more = begin_fill(connection.stream, connection.buffer)
        fresh = connection.fresh
        held = bool(fresh) and self._clock() - fresh[0].request.taken_at < PLACED_WITHIN
        if fresh and not (more.done() and held):
            connection.fresh = []
            for call in fresh:
                self._calls.begin(call)
        if more.done():
            await asyncio.sleep(0)  # one that sends without a pause leaves the others their turn
        connection.buffer.filled(await more)
        connection.more = None

    def new_connection(self, stream: IOStream) -> Connection:
        """A connection that opens now."""
        connection = Connection(stream, self._clock())
        stream.max_write_buffer_size = WRITE_BUFFER_MOST
        self.connections[connection] = None
        return connection

    @property
    def places(self) -> int:
        """How many connections of callers may be open now."""
        return self.handover.places(self._most, self._kept)

    def resize(self, most: int, kept: int) -> None:
        """So many places there are from now on, and so many descriptors are kept from callers."""
        self._most, self._kept = most, kept
        self.trim()

    def trim(self) -> None:
        """There are fewer places from now on."""
        while len(self.connections) > self.places and self.make_room():
            pass

    def give_up(self, connection: Connection) -> None:
        """Nobody is left to answer, or will be: no work for nothing, and nothing may come to stand."""
        for call_id in list(connection.unanswered):
            self._calls.caller_left(call_id)

    def make_room(self) -> bool:
        """Close what is missed least; who has a set-up open or a call standing keeps its place.

        First one that has said nothing for a moment, then the one longest without a word. One that
        came just now may have its first request on the way, and one that has begun a message may be
        honest and slow: these go last, and those that have begun before the others once they fill half.
        """
        grace = self._clock() - NEW_FOR
        idle = [known for known in self.connections if not known.busy]
        if not idle:
            return False
        begun, rest = list[Connection](), list[Connection]()
        for known in idle:
            half = known.buffer.end > known.buffer.start and not known.closing
            (begun if half else rest).append(known)
        old = [known for known in rest if known.closing or (not known.spoke and known.opened_at <= grace)]
        spoke = [known for known in rest if known.spoke]
        crowded = begun if len(begun) > self.places // 2 else []
        # What has just come on one is not thrown away: it may be a whole request.
        order = old + spoke + crowded + rest + begun
        least = next((known for known in order if known.closing or not known.arriving), None)
        if least is None:
            return False
        self._warn_most.warning("idle_connection_closed", open=len(self.connections))
        del self.connections[least]  # its place is free at once
        least.stream.close()
        return True

    def leave(self, connection: Connection) -> None:
        """While callers are sent away: close a connection between requests, gently.

        Calls that stand are bound to no connection. What has come and is not read yet is taken first.
        """
        if not self._operation.closing or connection.closing or connection.busy:
            return
        if connection.idle:
            connection.closing = True  # it keeps its place until it is gone
            finish_writing(connection.stream)

    def retune(self, terms: Terms) -> None:
        """Take new classes and tenants; calls that are open keep theirs."""
        self._before |= self._terms.classes
        self._terms = terms

    def adopt_call(self, told: Packet, connection: Connection | None) -> None:
        """A call stood in the process before, which has ended: its release is ours."""
        if not self.listed(told["server"]):  # it went with its log server
            self.send_release(told["id"], told["uri"], INTERWORKING_CUT, connection)
            return
        request = Request(told["id"], -1, told["class"], "", timedelta(0), self._clock())
        if connection is not None:
            connection.standing.add(request.id)
        self._calls.adopt(request, told["server"], AdoptedCaller(self, connection, told["uri"]))

    def note_answered(self, call_id: str) -> None:
        """The id has had its final answer: it does not come again, here or in the other process."""
        self.answered.add(call_id)
        self._twin.send("answered", ids=[call_id])

    def watch(self) -> None:
        """Close connections whose next message does not get whole, and all while callers are sent away."""
        if self._closed >= CLOSED_MOST:  # a closed stream is part of cycles; a crowd leaves thousands of them
            self._closed = 0
            gc.collect()
        now = self._clock()
        for connection in list(self.connections):
            self.leave(connection)
            since = connection.waiting_since
            due = connection.unanswered or connection.elsewhere
            # This process may have stood still: what has come meanwhile is read first.
            if since is not None and now - since >= MESSAGE_WITHIN and not due and not connection.arriving:
                connection.closing = True
                connection.stream.close()

    def _bad(self, fault: Fault) -> None:
        self.bad_messages += 1
        self._warn_bad.warning("caller_connection_closed", **fault.told())

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
                for release in list(self._unsent.values()):
                    if connection.write_release(release):
                        del self._unsent[release.call_id]
            connection.waiting_since = None
            try:
                self._message(connection, message)
            except BadMessage as fault:  # whole and well framed, yet wrong: the connection goes on
                fault.message = message
                connection.bad += 1
                if connection.bad >= BAD_MOST:
                    raise
                self.bad_messages += 1
                self._warn_bad.warning("caller_message_bad", **fault.told())
                self._reply_bad(connection, fault)
        if connection.spoke:
            self.connections[connection] = self.connections.pop(connection)
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
        if call_id not in connection.unanswered:
            self._meet_close(call_id)
        known = self._calls.get(call_id)
        if call_id in connection.elsewhere:
            return  # sent again as it was: the process before answers it
        if call_id in self._twin.ids:
            raise BadMessage(482, "the id is taken", message)
        if known is None and not self.answered.holds(call_id) and self._operation.refusing:
            gap = gap_header(self._terms.away_gap)
            connection.write(write_response(503, copied_headers(message), gap))
            self._calls.turn_away(request)
            self.note_answered(call_id)
            self.leave(connection)
        elif known is None and not self.answered.holds(call_id):
            # One whose connection closed before its answer may come again, on another connection.
            connection.unanswered.add(call_id)
            connection.fresh.append(self._calls.take(request, PlatformCaller(self, connection, message)))
        elif call_id not in connection.unanswered:  # nor may anybody end or join another's call by its id
            raise BadMessage(482, "the id is taken", message)
        elif known is not None and not same_call(known.request, request):
            # Which of the two is meant cannot be told, and an id has one answer: neither is carried out.
            log.info("call_contradicts_itself", call=call_id)
            self._calls.refuse(call_id)
        # else sent again as it was: it will have its answer

    def _meet_close(self, call_id: str) -> None:
        """The connection on which an id's answer is due may have closed, which is read after this set-up."""
        call = self._calls.get(call_id)
        if call is None or not isinstance(call.caller, PlatformCaller) or call.caller.connection is None:
            return
        before = call.caller.connection
        if call_id in before.unanswered and before.presence() is Presence.GONE:
            if not before.arriving:  # else what it wrote before it closed is read, as the end of a call
                before.stream.close()
            self.give_up(before)

    def _to_request(self, message: Message, call_id: str) -> Request:
        name = message.get("P-Kind")
        kind = self._terms.classes.get(name)
        known = self._calls.get(call_id)
        if kind is None and known is not None and known.request.class_name == name:
            kind = self._before.get(name)  # a copy of one that is open: its class was dropped meanwhile
        if kind is None:
            raise BadMessage(400, f"P-Kind names no class: {name[:40]!r}")
        tenant = self._tenant(message) if known is None else known.request.tenant
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
            tenant=tenant,
            description=description,
        )

    def _tenant(self, message: Message) -> int:
        """The tenant's place; -1 where none is told, or callers are not told apart."""
        name = message.get("P-Billed")
        if not name or not self._terms.tenants:
            return -1
        place = self._terms.tenants.get(name)
        if place is None:
            raise BadMessage(400, f"P-Billed names no tenant: {name[:40]!r}")
        return place

    def _cancel(self, connection: Connection, message: Message, call_id: str) -> None:
        known = self._calls.get(call_id) is not None or call_id in self._twin.ids
        self._reply(connection, message, 200 if known else 481)
        self.cancel(call_id)

    def _elsewhere(self, call_id: str, passed_on: bool) -> bool:
        """Whether the other process may hold a call that is unknown here; word of it may be on the way."""
        return not passed_on and (call_id in self._twin.ids or self._twin.alive)

    def cancel(self, call_id: str, passed_on: bool = False) -> None:
        """A caller gives a set-up up, here or in the other process; `passed_on` by that one."""
        call = self._calls.get(call_id)
        if call is None:
            if self._elsewhere(call_id, passed_on):
                self._twin.send("cancel", id=call_id)
            return
        self.over.add(call_id)
        if not self._calls.caller_left(call_id) and call.state is CallState.STANDING:
            # It crossed our answer: the caller has gone, so the call must not stand on.
            log.info("cancel_crossed_answer", call=call_id)
            self._calls.caller_released(call_id, NORMAL_CLEARING)
            call.caller.release(call, Ending.COMPLETED)

    def _bye(self, connection: Connection, message: Message, call_id: str) -> None:
        cause = q850_cause(message.get("Reason"), NORMAL_CLEARING)
        self._reply(connection, message, 200)
        self.caller_released(call_id, cause)

    def caller_released(self, call_id: str, cause: int, passed_on: bool = False) -> None:
        """A caller ends a call that stands, here or in the other process; `passed_on` by that one."""
        call = self._calls.get(call_id)
        if call is not None and self._calls.caller_released(call_id, cause):
            self.over.add(call_id)
            if isinstance(call.caller, PlatformCaller):
                call.caller.ended(call)
        elif call is None and self._elsewhere(call_id, passed_on):
            self._twin.send("bye", id=call_id, cause=cause)
        elif not self.over.holds(call_id) and call is None:
            # It may stand since before this process started.
            self.over.add(call_id)
            self.stray_release(call_id, cause)

    def stray_ended(self, call_id: str, cause: int) -> None:
        """A log server ended a call that this process does not hold: a process before it may have."""
        if call_id in self._twin.ids:
            self._twin.send("down", id=call_id, cause=cause)
        elif not self.over.holds(call_id):
            self._twin.over(call_id)  # it may be told there as well
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
        release = Release(call_id, uri, cause, write_request("BYE", uri, headers))
        for connection in [first, *reversed(self.connections)]:
            if connection is None or connection.closing:
                continue
            # Not on one of a crowd that says nothing.
            if (connection is first or connection.spoke) and connection.write_release(release):
                return
        if self._twin.succeeded:  # all connections have gone there
            self._twin.send("release", id=call_id, uri=uri, cause=cause)
            return
        while len(self._unsent) >= UNSENT_MOST:
            self._unsent.pop(next(iter(self._unsent)))
        self._unsent[call_id] = release


def gap_header(gap: timedelta) -> list[Header]:
    """Tells the caller for how long to stay away; nothing where there is no such wait."""
    return [("P-Gap-Ms", str(-(-gap // MILLISECOND)))] if gap else []


def same_call(one: Request, other: Request) -> bool:
    """Whether two set-ups under one id ask for the same."""
    return all(getattr(one, name) == getattr(other, name) for name in ("number", "class_name", "description"))
