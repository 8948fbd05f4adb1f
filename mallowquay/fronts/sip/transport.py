"""SIP over UDP and TCP (RFC 3261, section 18; symmetric responses after RFC 3581)."""

from __future__ import annotations

import asyncio
import socket
from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

import structlog
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets

from ...settings import OTHER
from ...core.model import Clock, Ending
from ...net.accepting import AcceptingServer
from ...net.rate_limited import RateLimitedLogger
from ...net.refusals import queue_refusals, take_refusals
from ...net.streams import (
    MESSAGE_MOST,
    WRITE_BUFFER_MOST,
    ConnectFailed,
    MessageBuffer,
    TooLong,
    Unread,
    begin_fill,
    close_ending,
    far_end_closed,
    finish_writing,
    gathered_write,
    open_stream,
    quiet,
    unread,
)
from ...net.tasks import Tasks
from .datagrams import Address, Datagram, DatagramQueues
from .message import SIP_VERSION, BadMessage, Header, Message, copied_headers, parse, write_response

log = structlog.get_logger(part=__name__)

Failed = Callable[[Ending], None]
Reached = Callable[["Connection | Ending"], None]
DATAGRAMS_AT_ONCE = 8  # handled, then other work gets its turn
READS_AT_ONCE = 1024  # datagrams: reading one takes a small part of what handling it takes
DEFAULT_PORT = 5060
PORT_DIGITS = 5
WAITING_MOST = 256  # messages kept while a connection comes up
DIALS_KEPT = 16  # places beyond those of callers, for what calls need; of settings.SOCKETS_KEPT
NEW_FOR = timedelta(milliseconds=300)  # a connection's first request may be on its way
RECEIVE_BUFFER = 4 * 1024 * 1024
DATAGRAM_LEAST = 512  # what the system books on its receive buffer for a datagram, however short, is more


@dataclass(frozen=True, slots=True)
class Hop:
    """Where a message goes, or came from: an address, and the connection that it came on."""

    transport: str
    address: Address
    connection: Connection | None = None
    fallback: Address | None = None  # for responses once that connection has closed
    source: Address | None = None  # of a datagram that names another port for its responses

    @property
    def broken(self) -> bool:
        """Whether the connection that it names has closed."""
        return self.connection is not None and self.connection.stream.closed()

    @property
    def ended(self) -> bool:
        """As `broken`, but a close that has come and was not read yet counts as well."""
        return self.connection is not None and far_end_closed(self.connection.stream)

    @property
    def unread(self) -> bool:
        """Whether more has come by its connection than was taken."""
        return self.connection is not None and self.connection.inbound() is Inbound.UNREAD

    @property
    def reliable(self) -> bool:
        """Whether the transport sends again by itself."""
        return self.transport == "tcp"


class Inbound(Enum):
    """How far what has come on a connection was taken."""

    TAKEN = "all of it"
    UNREAD = "some has come that is not taken"
    ENDED = "all of it, and no more comes"


class Connection:
    """One TCP connection, whoever opened it."""

    def __init__(self, stream: IOStream, address: Address, outgoing: bool, now: timedelta) -> None:
        self.stream, self.address, self.outgoing, self.opened_at = stream, address, outgoing, now
        self.buffer = MessageBuffer()
        self.pending: asyncio.Future[int] | None = None  # the read that is out
        self.read_bytes = 0
        self.closing = False  # what still comes is not for us
        self.spoke = outgoing  # a whole message has come, or we opened it

    def write(self, parts: list[bytes]) -> bool:
        """Send a message; False if the connection is gone."""
        return gathered_write(self.stream, parts)

    @property
    def half(self) -> bool:
        """Whether a message has come, or was written, in part."""
        return self.buffer.start < self.buffer.end or self.stream.writing()

    def inbound(self) -> Inbound:
        """Look, without taking anything; a close that has come but was not read yet is seen as well."""
        read = self.pending
        if read is not None and read.done() and not read.cancelled() and read.exception() is None:
            return Inbound.UNREAD
        if self.stream.closed():
            return Inbound.ENDED
        if read is None and self.buffer.start < self.buffer.end:  # its messages are being taken
            return Inbound.UNREAD
        return INBOUND[unread(self.stream)]


INBOUND = {Unread.NOTHING: Inbound.TAKEN, Unread.BYTES: Inbound.UNREAD, Unread.END: Inbound.ENDED}


@dataclass(slots=True)
class Backlog:
    """Counts by which all that had come at one moment is taken, though more comes without a pause."""

    drained: int
    datagrams: int  # read by then
    sources: frozenset[Address]  # of the datagrams of those who are asked about
    connections: tuple[tuple[Connection, int], ...]  # and the number of bytes read
    last: int | None = None  # the number of the last datagram that had come by then, once that is known


class Transport:
    """Both transports of one host and port each; messages go up to `take`."""

    def __init__(
        self, loop: IOLoop, connect_timeout: timedelta, connections_most: int, clock: Clock
    ) -> None:  # fmt: skip
        self._loop, self.connect_timeout, self._most = loop, connect_timeout, connections_most
        self.clock = clock
        self.take: Callable[[Message, Hop], None] = lambda message, hop: None
        self.lost: Callable[[Connection, Ending], None] = lambda connection, ending: None
        self.dialled: Callable[[Address, Connection | Ending], None] = lambda address, result: None
        self.refused: Callable[[set[Address]], None] = lambda addresses: None  # datagrams there
        self._refusals: set[Address] = set()  # not told yet
        self._udp: socket.socket | None = None
        self._datagram = bytearray(MESSAGE_MOST + 1)
        self._local: dict[str, Address] = {}
        self._connections: dict[Connection, None] = {}  # the one heard of last at the end
        self._holds: dict[object, set[Connection | Address]] = {}  # by who needs them
        self._held: Counter[Connection | Address] = Counter()  # by how many; an address: what we open to it
        self._out: dict[Address, Connection] = {}
        self._coming: dict[Address, list[Reached]] = {}
        self._queues = DatagramQueues()
        self._drained = 0  # how often there were no more datagrams to read
        self._handling = False  # datagrams are handled in the loop's next turn
        self._datagrams_queued_most = 0
        self._warn_dropped = RateLimitedLogger(log, clock)
        self.spawn = Tasks().spawn
        self._server: _Listener | None = None
        self.garbage = 0

    def soon(self, action: Callable[[], None]) -> None:
        """Call in the next turn of the loop."""
        self._loop.add_callback(action)

    # --- listening

    def listen_udp(self, address: Address) -> None:
        """Receive datagrams at this address."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        queue_refusals(sock)
        sock.bind(address)
        self._udp, self._local["udp"] = sock, sock.getsockname()
        self._datagrams_queued_most = sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF) // DATAGRAM_LEAST
        self._loop.add_handler(sock, self._readable, IOLoop.READ)

    def listen_tcp(self, address: Address) -> None:
        """Accept connections at this address."""
        self._server = _Listener(self)
        sockets = bind_sockets(address[1], address[0], backlog=512)
        self._local["tcp"] = sockets[0].getsockname()[:2]
        self._server.add_sockets(sockets)

    def local(self, transport: str) -> Address:
        """Where this host listens; the other transport's address where this one is off."""
        return self._local.get(transport) or self._local[OTHER[transport]]

    def listening(self) -> dict[str, Address]:
        """Where this host listens, by transport."""
        return dict(self._local)

    def serves(self, transport: str) -> bool:
        """Whether this transport is on."""
        return transport in self._local

    def via(self, hop: Hop) -> str:
        """The Via of a request that leaves by this hop, without its parameters."""
        host, port = self.local(hop.transport)
        return f"SIP/2.0/{hop.transport.upper()} {host}:{port}"

    def contact(self, transport: str) -> str:
        """The Contact of this host."""
        host, port = self.local(transport)
        return f"<sip:gatekeeper@{host}:{port};transport={transport}>"

    # --- sending

    def send(self, hop: Hop, parts: list[bytes], failed: Failed | None = None) -> None:
        """Send a message; `failed` is told if it certainly did not leave."""
        if hop.transport == "udp":
            self._send_datagram(hop.address, parts, failed)
        elif hop.connection is None or not hop.connection.write(parts):
            address = hop.address if hop.connection is None else hop.fallback
            if address is None:
                self._fail(failed, Ending.CONNECTION_RESET)
            else:
                self._send_anew(address, parts, failed)

    def written(self) -> bool:
        """Whether all that was given to connections has left, and none is coming up for more."""
        return not self._coming and not any(known.stream.writing() for known in self._connections)

    def _fail(self, failed: Failed | None, ending: Ending) -> None:
        if failed is not None:  # not within the call that sent it
            self._loop.add_callback(failed, ending)
        else:
            log.info("message_not_sent", ending=ending.name)

    def _send_datagram(self, address: Address, parts: list[bytes], failed: Failed | None) -> None:
        try:
            if self._udp is None:
                raise OSError("UDP is off")
            self._send_past_errors(self._udp, parts, address)
        except BlockingIOError:
            pass  # as good as lost on the way: it is sent again
        except OSError as fault:
            log.info("datagram_not_sent", to="%s:%d" % address, fault=str(fault))
            self._fail(failed, Ending.CONNECTION_REFUSED)

    def _send_past_errors(self, udp: socket.socket, parts: list[bytes], address: Address) -> None:
        """Send; an error of an earlier datagram, which the system returns here, is kept to be told."""
        try:
            udp.sendmsg(parts, [], 0, address)
            return
        except BlockingIOError:
            raise
        except OSError:
            self._refusals |= take_refusals(udp)
        if self._refusals:  # not within the call that sends
            self._loop.add_callback(self._tell_refusals)
        udp.sendmsg(parts, [], 0, address)

    def _tell_refusals(self) -> None:
        if self._udp is not None:
            self._refusals |= take_refusals(self._udp)
        refused, self._refusals = self._refusals, set()
        if refused:
            self.refused(refused)

    def _send_anew(self, address: Address, parts: list[bytes], failed: Failed | None) -> None:
        known = self._out.get(address)
        if known is None or not known.write(parts):
            self.reach(address, lambda reached: self._send_reached(reached, parts, failed))

    def _send_reached(self, reached: Connection | Ending, parts: list[bytes], failed: Failed | None) -> None:
        if isinstance(reached, Ending):
            self._fail(failed, reached)
        elif not reached.write(parts):
            self._fail(failed, Ending.CONNECTION_RESET)

    def outgoing(self, address: Address) -> Connection | None:
        """The connection that is up to this address, if any."""
        known = self._out.get(address)
        return None if known is None or known.stream.closed() else known

    def reach(self, address: Address, reached: Reached) -> None:
        """Open a connection, if none comes up already; `reached` has it later, or why there is none."""
        waiting = self._coming.get(address)
        if waiting is not None and len(waiting) < WAITING_MOST:
            waiting.append(reached)
        elif waiting is not None or not self._place(len(self._coming), address):
            self._loop.add_callback(reached, Ending.CONNECTION_SILENT)
        else:
            self._coming[address] = [reached]
            self.spawn(self._connect(address))

    async def _connect(self, address: Address) -> None:
        result: Connection | Ending
        try:
            stream = await open_stream(address, self.connect_timeout)
            result = Connection(stream, address, outgoing=True, now=self.clock())
        except ConnectFailed as refused:
            result = refused.ending
        self.dialled(address, result)
        waiting = self._coming.pop(address)
        if isinstance(result, Connection):
            if self.admit(result):
                self._out[address] = result
            else:
                result = Ending.CONNECTION_SILENT
        for reached in waiting:
            reached(result)
        if isinstance(result, Connection):
            await self.read(result)

    # --- places

    def hold(self, holder: object, *hops: Hop) -> None:
        """Keep the connections of these hops, and no others any more, for `holder`: they don't give way."""
        for key in self._holds.pop(holder, ()):
            self._held[key] -= 1
            if not self._held[key]:
                del self._held[key]
        needed = {hop.connection or hop.address for hop in hops if hop.reliable}
        if needed:
            self._holds[holder] = needed
            self._held.update(needed)

    def _needed(self, connection: Connection) -> bool:
        return connection in self._held or (connection.outgoing and connection.address in self._held)

    def _place(self, coming: int, dialled: Address | None) -> bool:
        """Whether there is a place for one more; a dial that a call needs finds one, whoever came."""
        count = len(self._connections) + coming
        kept = DIALS_KEPT if dialled in self._held else 0
        return count < self._most or self.make_room() or count < self._most + kept

    def make_room(self) -> bool:
        """Close what is missed least; what an open request or a standing call needs keeps its place.

        The order is that of the platform's front: one that has said nothing for a moment, then the one
        longest without a word. One that came just now, and one that has begun a message, go last, each kind
        sooner once it fills half: no crowd that says nothing drives all out that have spoken.
        """
        grace, many = self.clock() - NEW_FOR, self._most // 2
        old, new, begun, spoke = (list[Connection]() for _ in range(4))
        for known in self._connections:
            if known.closing:
                old.append(known)
            elif not self._needed(known):
                silent = new if known.opened_at > grace else old
                (begun if known.half else spoke if known.spoke else silent).append(known)
        # What has just come on one is not thrown away: it may be a whole request.
        order = old + new * (len(new) > many) + spoke + begun * (len(begun) > many) + new + begun
        resting = (known for known in order if known.closing or known.inbound() is not Inbound.UNREAD)
        least = next(resting, None)
        if least is None:
            return False
        del self._connections[least]  # its place is free at once
        least.closing = True
        least.stream.close()
        return True

    # --- receiving

    def admit(self, connection: Connection) -> bool:
        """Find a place for a connection, or close it."""
        if not self._place(0, connection.address if connection.outgoing else None):
            connection.stream.close()
            return False
        self._connections[connection] = None
        return True

    async def read(self, connection: Connection) -> None:
        """Read one connection until it closes or can no longer be followed."""
        stream, buffer = connection.stream, connection.buffer
        stream.max_write_buffer_size = WRITE_BUFFER_MOST
        ending: Ending | None = None
        try:
            while True:
                connection.pending = begin_fill(stream, buffer)
                count = await connection.pending
                connection.pending = None
                connection.read_bytes += count
                buffer.filled(count)
                if connection.closing:
                    buffer.start = buffer.end
                self._take_all(connection)
                await asyncio.sleep(0)  # one that sends without a pause leaves the others their turn
        except StreamClosedError:
            pass
        except (TooLong, BadMessage) as fault:
            self.garbage += 1
            ending = Ending.UNREADABLE
            log.warning("connection_closed", of="%s:%d" % connection.address, **fault.told())
            if isinstance(fault, BadMessage):
                self._refuse(fault, Hop("tcp", connection.address, connection))
        finally:
            self._connections.pop(connection, None)
            connection.pending = None  # one that failed
            stream.close()
            if self._out.get(connection.address) is connection:
                del self._out[connection.address]
        self.lost(connection, ending or close_ending(stream))

    def leave(self) -> None:
        """Close callers' connections between requests, but for those that are needed."""
        for connection in [known for known in self._connections if not self._needed(known)]:
            rests = not connection.half and connection.inbound() is Inbound.TAKEN
            if rests and not connection.outgoing and not connection.closing:
                connection.closing = True
                finish_writing(connection.stream)

    def backlog(self, hops: Iterable[Hop]) -> Backlog:
        """What may have come by now and is not taken: on these connections, and as datagrams."""
        hops = list(hops)
        connections = {hop.connection for hop in hops if hop.connection is not None}
        read = tuple((known, known.read_bytes) for known in connections)
        sources = frozenset(hop.source or hop.address for hop in hops if hop.transport == "udp")
        return Backlog(self._drained, self._queues.read, sources, read)

    def taken(self, backlog: Backlog) -> bool:
        """Whether all of it is taken by now."""
        if self._udp is not None and not self._datagrams_taken(backlog):
            return False
        return not any(
            known.inbound() is Inbound.UNREAD and known.read_bytes - read <= _queued_most(known)
            for known, read in backlog.connections
        )

    def _datagrams_taken(self, backlog: Backlog) -> bool:
        if backlog.last is None:
            if self._drained != backlog.drained:
                backlog.last = self._queues.read
            elif self._queues.read - backlog.datagrams > self._datagrams_queued_most:
                backlog.last = backlog.datagrams + self._datagrams_queued_most
        return backlog.last is not None and self._queues.handled(backlog.last, backlog.sources)

    def hear(self) -> None:
        """Read the datagrams that have come, and handle a turn's number of them."""
        if self._udp is not None:
            self._tell_refusals()
            self._read_datagrams(self._udp)
            self._handle_datagrams()

    def _take_all(self, connection: Connection) -> None:
        buffer = connection.buffer
        while buffer.start < buffer.end:
            message, buffer.start = parse(buffer.data, buffer.start, buffer.end)
            if message is None:
                return
            connection.spoke = True
            if connection in self._connections:
                self._connections[connection] = self._connections.pop(connection)
            host, port = connection.address
            fallback = (host, sent_by_port(message.get("Via"))) if message.method else None
            self._up(message, Hop("tcp", (host, port), connection, fallback))

    def _readable(self, fd: object, events: int) -> None:
        assert self._udp is not None
        self._tell_refusals()  # first: who answers now is a later process at that address
        self._read_datagrams(self._udp)
        if not self._handling:
            self._handle_datagrams()

    def _read_datagrams(self, udp: socket.socket) -> None:
        """Empty the system's buffer, which is first in, first out, whoever fills it."""
        dropped = self._queues.dropped
        for _ in range(READS_AT_ONCE):
            try:
                size, source = udp.recvfrom_into(self._datagram)
            except BlockingIOError:
                self._drained += 1
                break
            except OSError as fault:  # word of an earlier datagram that found nobody
                log.debug("datagram_unreadable", fault=str(fault))
                continue
            self._queues.put(source, bytes(memoryview(self._datagram)[:size]))
        if self._queues.dropped > dropped:
            self._warn_dropped.warning("datagrams_dropped", all=self._queues.dropped)

    def _handle_datagrams(self) -> None:
        for _ in range(DATAGRAMS_AT_ONCE):
            datagram = self._queues.next()
            if datagram is None:
                return
            self._handle(datagram)
        if self._queues.queued and not self._handling:
            self._handling = True
            asyncio.get_running_loop().call_soon(self._handle_more)

    def _handle_more(self) -> None:
        self._handling = False
        self._handle_datagrams()

    def _handle(self, datagram: Datagram) -> None:
        hop = Hop("udp", datagram.source)
        size = len(datagram.data)
        try:
            if size > MESSAGE_MOST:
                raise BadMessage(0, "the datagram is too long")
            message, _ = parse(datagram.data, 0, size, datagram=True)
            if message is not None:
                self._up(message, self._reply_hop(message, hop))
        except BadMessage as fault:
            self.garbage += 1
            self._refuse(fault, hop)

    def _reply_hop(self, message: Message, hop: Hop) -> Hop:
        via = message.get("Via")
        if message.status or has_parameter(via, "rport"):
            return hop
        return Hop("udp", (hop.address[0], sent_by_port(via)), source=hop.address)

    def _up(self, message: Message, hop: Hop) -> None:
        try:
            if message.method and message.version.upper() != SIP_VERSION:
                raise BadMessage(505, "not SIP/2.0", message)
            self.take(message, hop)
        except BadMessage as fault:  # well framed, yet wrong
            self.garbage += 1
            self._refuse(fault, hop)

    def _refuse(self, fault: BadMessage, hop: Hop) -> None:
        """Answer a bad request without keeping any state, where it says whom to answer."""
        message = fault.message
        if message is None or not message.method or message.method == "ACK" or not fault.status:
            return
        if message.get("Via"):
            self.send(hop, write_response(fault.status, stamped(copied_headers(message), hop)))


def _queued_most(connection: Connection) -> int:
    """The bytes that the system keeps at most until they are read."""
    if connection.stream.closed():
        return 0
    return connection.stream.socket.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF) + MESSAGE_MOST


class _Listener(AcceptingServer):
    def __init__(self, transport: Transport) -> None:
        super().__init__(max_buffer_size=WRITE_BUFFER_MOST, read_chunk_size=16 * 1024)
        self._transport = transport

    def handle_stream(self, stream: IOStream, address: Address) -> Awaitable[None] | None:
        connection = Connection(quiet(stream), address[:2], outgoing=False, now=self._transport.clock())
        # Its place is found before the next one is accepted: a burst must not use up the descriptors.
        return self._transport.read(connection) if self._transport.admit(connection) else None

    def make_room(self) -> object:
        """No descriptor is left for a newcomer."""
        return self._transport.make_room()


# --- values --------------------------------------------------------------------------------------


def parameter(value: str, name: str) -> str:
    """A parameter behind the address of a header; empty if it is absent."""
    tail = value.rpartition(">")[2] if ">" in value else value
    for part in tail.split(";")[1:]:
        key, _, text = part.strip().partition("=")
        if key.strip().lower() == name:
            return text.strip()
    return ""


def has_parameter(value: str, name: str) -> bool:
    """Whether a parameter is there, with a value or without."""
    return any(part.strip().partition("=")[0].lower() == name for part in value.split(";")[1:])


def split_values(values: list[str]) -> list[str]:
    """Header values one by one, where several stand in a line with commas outside of < >."""
    out = []
    for value in values:
        depth, start = 0, 0
        for at, char in enumerate(value):
            depth += (char == "<") - (char == ">")
            if char == "," and depth == 0:
                out.append(value[start:at].strip())
                start = at + 1
        out.append(value[start:].strip())
    return [value for value in out if value]


def sent_by_port(via: str) -> int:
    """The port of a Via's sent-by."""
    _, _, text = via.partition(";")[0].strip().rpartition(":")
    return port_of(text) or DEFAULT_PORT


def port_of(text: str) -> int | None:
    """The port that a text names in ASCII digits; None for any other text, or one out of range."""
    if not text.isascii() or not text.isdigit() or len(text) > PORT_DIGITS:
        return None
    port = int(text)
    return port if 0 < port < 65536 else None


def stamped(headers: list[Header], hop: Hop) -> list[Header]:
    """The headers of a response with `received` and `rport` in the topmost Via."""
    if not headers or headers[0][0] != "Via":
        return headers
    host, port = hop.address
    first, *others = split_values([headers[0][1]]) or [headers[0][1]]
    sent_by, *parameters = first.split(";")
    parameters = [p for p in parameters if p.strip().partition("=")[0].lower() not in ("received", "rport")]
    if has_parameter(first, "rport"):
        parameters += [f"received={host}", f"rport={port}"]
    elif host not in sent_by:
        parameters.append(f"received={host}")
    return [("Via", ", ".join([";".join([sent_by, *parameters]), *others])), *headers[1:]]


def hop_of(uri: str, default_transport: str) -> Hop | None:
    """Where a SIP URI leads; None for one that names no numeric host."""
    scheme, _, rest = uri.partition(":")
    if scheme.lower() != "sip":
        return None
    at = rest.rpartition("@")[2]
    host, _, port = at.partition(";")[0].partition(":")
    transport = parameter(uri, "transport").lower() or default_transport
    try:
        socket.inet_aton(host)
    except OSError:
        return None  # there is no DNS
    number = port_of(port) if port else DEFAULT_PORT
    if transport not in OTHER or number is None:
        return None
    return Hop(transport, (host, number))
