"""The four transaction machines of RFC 3261, section 17, with the changes of RFC 6026."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from typing import Protocol

from ...core.model import Ending
from .message import Header, Message, copied_headers, write_request, write_response
from .transport import Address, Connection, Hop, Transport, parameter, stamped

COOKIE = "z9hG4bK"
BYTES_EACH = 3 * 1024  # a server transaction's, on average, where the table is full
OBJECTS_BYTES = 2 * 1024  # of a server transaction, whatever its request
OWN_CONTACT: Header = ("Contact", "")  # in a response: this host, on the transport by which the response goes


@dataclass(frozen=True, slots=True)
class Timers:
    """The base timers; all others follow from them."""

    t1: timedelta = timedelta(milliseconds=500)
    t2: timedelta = timedelta(seconds=4)
    t4: timedelta = timedelta(seconds=5)

    @property
    def whole(self) -> timedelta:
        """Timers B, F, H, J, L and M."""
        return 64 * self.t1


class Handle(Protocol):
    """A timer that was set."""

    def cancel(self) -> None:
        """Stop it; nothing happens if it has gone off."""


Later = Callable[[timedelta, Callable[[], None]], Handle]


class State(Enum):
    """The states of all four machines."""

    CALLING = "calling"
    TRYING = "trying"
    PROCEEDING = "proceeding"
    ACCEPTED = "accepted"
    COMPLETED = "completed"
    CONFIRMED = "confirmed"
    TERMINATED = "terminated"


class Transaction:
    """What the four machines share: one state, and timers by name."""

    __slots__ = ("_timers", "key", "layer", "state")

    def __init__(self, layer: Transactions, key: tuple[str, ...], state: State) -> None:
        self.layer, self.key, self.state = layer, key, state
        self._timers: dict[str, Handle] = {}

    def set(self, name: str, delay: timedelta, action: Callable[[], None]) -> None:
        """Start a timer, stopping the one of this name."""
        self.stop(name)
        self._timers[name] = self.layer.later(delay, action)

    def stop(self, *names: str) -> None:
        """Stop timers."""
        for name in names:
            timer = self._timers.pop(name, None)
            if timer is not None:
                timer.cancel()

    def terminate(self) -> None:
        """Leave the layer."""
        self.state = State.TERMINATED
        self.stop(*list(self._timers))
        self.layer.remove(self)

    def linger(self, name: str, delay: timedelta, reliable: bool) -> None:
        """Stay for late copies, not at all on a reliable transport."""
        if reliable:
            self.terminate()
        else:
            self.set(name, delay, self.terminate)


# --- servers -------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Response:
    """A response before it is written for a way; `to_tag` is set in its To unless one stands there."""

    status: int
    extra: list[Header]
    body: bytes
    to_tag: str


@dataclass(slots=True)
class Way:
    """One way by which a request has come, and by which its responses go (18.2.2)."""

    hop: Hop
    copied: list[Header]  # those of the request that its responses repeat
    parts: list[bytes] = field(default_factory=list)  # the last response, as it goes by this way


class ServerTransaction(Transaction):
    """A request that came in.

    Copies match it by branch, sent-by and method, whatever brings them (17.2.3): a client whose connection
    is reset goes on over UDP. Responses go by the newest way of each transport, unless that has closed.
    """

    __slots__ = ("_response", "_ways", "method", "size", "stateful")

    def __init__(
        self, layer: Transactions, key: tuple[str, ...], request: Message, hop: Hop, stateful: bool
    ) -> None:  # fmt: skip
        super().__init__(layer, key, State.TRYING)
        self.method = request.method
        self.size = kept_size(request)  # bytes, about
        self.stateful = stateful  # in the table; else each copy is a request of its own (8.2.7)
        self._ways = {hop.transport: Way(hop, stamped(copied_headers(request), hop))}  # the newest at the end
        self._response: Response | None = None  # what a copy of the request is answered with

    def set(self, name: str, delay: timedelta, action: Callable[[], None]) -> None:
        """As for any; what the table has no room for has no timers either."""
        if self.stateful:
            super().set(name, delay, action)

    @property
    def hop(self) -> Hop:
        """The way by which the request, or a copy of it, came last."""
        return next(reversed(self._ways.values())).hop

    @property
    def hops(self) -> list[Hop]:
        """Every way that is known."""
        return [way.hop for way in self._ways.values()]

    @property
    def broken(self) -> bool:
        """Whether every connection by which the request came has closed, and it came by nothing else."""
        return all(hop.broken for hop in self.hops)

    @property
    def reliable(self) -> bool:
        """Whether no response of ours has to be sent again."""
        return all(hop.reliable for hop in self.hops)

    def came_by(self, request: Message, hop: Hop) -> bool:
        """A copy of the request; True if it came by another way than the last one."""
        known = self._ways.get(hop.transport)
        if known is not None and known.hop == hop and known.hop is self.hop:
            return False
        way = Way(hop, stamped(copied_headers(request), hop))
        self._ways.pop(hop.transport, None)
        self._ways[hop.transport] = way
        if self._response is not None:
            self._write(way, self._response)
        return True

    def respond(self, status: int, extra: list[Header], body: bytes = b"", to_tag: str = "") -> None:
        """Send a response; at most one final one."""
        if not self._answerable():
            return
        self._response = Response(status, extra, body, to_tag)
        for way in self._ways.values():
            self._write(way, self._response)
        self.resend()
        self._responded(status)

    def _answerable(self) -> bool:
        raise NotImplementedError

    def _responded(self, status: int) -> None:
        raise NotImplementedError

    def _write(self, way: Way, response: Response) -> None:
        copied = way.copied
        if response.to_tag and response.status > 100:
            tag = f";tag={response.to_tag}"
            copied = [(n, v if n != "To" or ";tag=" in v else v + tag) for n, v in copied]
        extra = list(response.extra)
        if OWN_CONTACT in extra:
            extra[extra.index(OWN_CONTACT)] = ("Contact", self.layer.transport.contact(way.hop.transport))
        way.parts = write_response(response.status, copied, extra, response.body)

    def resend(self) -> None:
        """Send the last response once more, by every way that still stands."""
        if self._response is None:
            return
        ways = list(self._ways.values())
        for way in [way for way in ways if not way.hop.broken] or ways[-1:]:
            self.layer.transport.send(way.hop, way.parts)

    def repeated(self, moved: bool) -> None:
        """The same request came again; `moved`: by another way than before."""
        self.resend()

    @property
    def unacknowledged(self) -> bool:
        """Whether a refusal is still sent again for want of its ACK."""
        return self.state is State.COMPLETED and self.method == "INVITE" and not self.reliable


class NonInviteServer(ServerTransaction):
    """Figure 8 of RFC 3261."""

    __slots__ = ()

    def _answerable(self) -> bool:
        return self.state in (State.TRYING, State.PROCEEDING)

    def _responded(self, status: int) -> None:
        if status < 200:
            self.state = State.PROCEEDING
        else:
            self.state = State.COMPLETED
            self.linger("J", self.layer.timers.whole, self.reliable)


class InviteServer(ServerTransaction):
    """Figure 7 of RFC 3261, with the Accepted state of RFC 6026."""

    __slots__ = ()

    def __init__(
        self, layer: Transactions, key: tuple[str, ...], request: Message, hop: Hop, stateful: bool
    ) -> None:  # fmt: skip
        super().__init__(layer, key, request, hop, stateful)
        self.state = State.PROCEEDING

    def _answerable(self) -> bool:
        return self.state is State.PROCEEDING

    def _responded(self, status: int) -> None:
        timers = self.layer.timers
        if 200 <= status < 300:  # its user sends it again until the ACK comes
            self.state = State.ACCEPTED
            self.set("L", timers.whole, self.terminate)
        elif status >= 300:
            self.state = State.COMPLETED
            self.set("H", timers.whole, self.terminate)
            if not self.reliable:
                self._again(timers.t1)

    def _again(self, gap: timedelta) -> None:
        def fire() -> None:
            self.resend()
            self._again(min(2 * gap, self.layer.timers.t2))

        self.set("G", gap, fire)

    def repeated(self, moved: bool) -> None:
        """A copy of the INVITE: answered in Proceeding and Completed, absorbed in Accepted (RFC 6026)."""
        if self.state in (State.PROCEEDING, State.COMPLETED):
            self.resend()
        if moved and self.unacknowledged:
            self._again(self.layer.timers.t1)

    def forgo(self) -> None:
        """Its user answers it no more: one without a final response would stay for ever."""
        if self.state is State.PROCEEDING:
            self.terminate()

    def acknowledged(self) -> None:
        """The ACK of a final response other than 2xx."""
        if self.state is State.COMPLETED:
            self.stop("G", "H")
            self.state = State.CONFIRMED
            self.linger("I", self.layer.timers.t4, self.reliable)


# --- clients -------------------------------------------------------------------------------------


class ClientUser(Protocol):
    """Who is told what comes of a request."""

    def responded(self, transaction: ClientTransaction, response: Message) -> None:
        """A response; a 2xx to INVITE comes with each of its copies."""

    def unanswered(self, transaction: ClientTransaction, ending: Ending) -> None:
        """No final response came, or the transport failed."""


class ClientTransaction(Transaction):
    """A request that went out."""

    __slots__ = ("branch", "copies", "headers", "hop", "method", "parts", "uri", "user", "wanted")

    def __init__(
        self,
        layer: Transactions,
        method: str,
        uri: str,
        headers: list[Header],
        hop: Hop,
        user: ClientUser,
        body: bytes = b"",
        branch: str = "",
    ) -> None:
        self.branch = branch or layer.new_branch()
        first = State.CALLING if method == "INVITE" else State.TRYING
        super().__init__(layer, (self.branch, method), first)
        self.method, self.uri, self.hop, self.user = method, uri, hop, user
        self.copies = 0  # sent after the first one
        self.wanted: Callable[[], bool] | None = None  # asked before each copy: the first may have been lost
        self.headers = [("Via", f"{layer.transport.via(hop)};branch={self.branch};rport"), *headers]
        self.parts = write_request(method, uri, self.headers, [], body)

    def start(self) -> None:
        """Send the request and start its timers."""
        timers = self.layer.timers
        self.layer.add_client(self)
        self.set("B", timers.whole, lambda: self._give_up(Ending.TIMED_OUT))
        if not self.hop.reliable:
            self._again(timers.t1)
        self._send()

    def _send(self) -> None:
        if self.method != "CANCEL":  # there are those that know none
            self.layer.on_asked(self.hop)
        self.layer.transport.send(self.hop, self.parts, self.transport_failed)

    def quiesce(self) -> None:
        """Send no more copies: what was given up must not arrive anew."""
        self.stop("A")

    def _again(self, gap: timedelta) -> None:
        def fire() -> None:
            if self.wanted is not None and not self.wanted():
                return
            self.copies += 1
            self._send()
            most = 2 * gap if self.method == "INVITE" else min(2 * gap, self.layer.timers.t2)
            self._again(self.layer.timers.t2 if self.state is State.PROCEEDING else most)

        self.set("A", gap, fire)

    def transport_failed(self, ending: Ending) -> None:
        """The request could not be sent, or the connection that its response was due on is gone."""
        if self.state in (State.CALLING, State.TRYING, State.PROCEEDING):
            self._give_up(ending)

    def datagram_refused(self) -> None:
        """Nobody listens where this request went. A copy that came before may have been worked on."""
        unheard = self.copies == 0 and self.state is not State.PROCEEDING
        self.transport_failed(Ending.CONNECTION_REFUSED if unheard else Ending.CONNECTION_RESET)

    def _give_up(self, ending: Ending) -> None:
        self.terminate()
        self.user.unanswered(self, ending)

    def received(self, response: Message) -> None:
        """A response that matches this transaction."""
        raise NotImplementedError


class NonInviteClient(ClientTransaction):
    """Figure 6 of RFC 3261."""

    __slots__ = ()

    def received(self, response: Message) -> None:
        """Provisional responses slow the copies down; a final one ends them."""
        if self.state not in (State.TRYING, State.PROCEEDING):
            return
        if response.status < 200:
            self.state = State.PROCEEDING
            return
        self.state = State.COMPLETED
        self.stop("A", "B")
        self.linger("K", self.layer.timers.t4, self.hop.reliable)
        self.user.responded(self, response)


class InviteClient(ClientTransaction):
    """Figure 5 of RFC 3261, with the Accepted state of RFC 6026."""

    __slots__ = ()

    def received(self, response: Message) -> None:
        """Every 2xx goes up; other final responses are acknowledged here."""
        status = response.status
        if self.state in (State.CALLING, State.PROCEEDING):
            self.stop("A")
            if status < 200:
                self.state = State.PROCEEDING
            elif status < 300:
                self.state = State.ACCEPTED
                self.stop("B")
                self.set("M", self.layer.timers.whole, self.terminate)
            else:
                self.state = State.COMPLETED
                self.stop("B")
                self._acknowledge(response)
                self.linger("D", self.layer.timers.whole, self.hop.reliable)
            self.user.responded(self, response)
        elif self.state is State.ACCEPTED and 200 <= status < 300:
            self.user.responded(self, response)
        elif self.state is State.COMPLETED and status >= 300:
            self._acknowledge(response)

    def _acknowledge(self, response: Message) -> None:
        headers = []
        for name, value in self.headers:
            if name == "To":
                value = response.get("To")
            elif name == "CSeq":
                value = value.replace("INVITE", "ACK")
            if name in ("Via", "From", "To", "Call-ID", "CSeq", "Route", "Max-Forwards"):
                headers.append((name, value))
        self.layer.transport.send(self.hop, write_request("ACK", self.uri, headers))

    def cancel(self, user: ClientUser) -> None:
        """Send a CANCEL, which repeats this branch; only once a provisional response has come."""
        headers = []
        for name, value in self.headers[1:]:
            if name in ("From", "To", "Call-ID", "CSeq", "Route", "Max-Forwards"):
                headers.append((name, value.replace("INVITE", "CANCEL") if name == "CSeq" else value))
        cancel = NonInviteClient(self.layer, "CANCEL", self.uri, headers, self.hop, user, branch=self.branch)
        cancel.start()
        # A far end that knows no CANCEL must not keep this transaction for ever.
        self.set("B", self.layer.timers.whole, lambda: self._give_up(Ending.TIMED_OUT))


# --- the layer -----------------------------------------------------------------------------------

RequestUser = Callable[[ServerTransaction, Message], None]
StrayUser = Callable[[Message, Hop], None]


class Transactions:
    """Matches messages to transactions (section 17.1.3 and 17.2.3)."""

    def __init__(
        self, transport: Transport, timers: Timers, later: Later, new_branch: Callable[[], str], most: int
    ) -> None:
        self.transport, self.timers, self.later, self._most = transport, timers, later, most
        self._new_branch = new_branch
        self.servers: dict[tuple[str, ...], ServerTransaction] = {}
        self.clients: dict[tuple[str, ...], ClientTransaction] = {}
        self.on_request: RequestUser = lambda transaction, request: None
        self.on_moved: RequestUser = lambda transaction, request: None  # a copy came by another way
        self.on_ack: StrayUser = lambda ack, hop: None  # the ACK of a 2xx
        self.on_stray_response: StrayUser = lambda response, hop: None
        self.on_asked: Callable[[Hop], None] = lambda hop: None  # a request, or a copy of one, has left
        self.on_heard: Callable[[Hop], None] = lambda hop: None  # a message has come
        self.server_bytes = 0  # that server transactions keep
        self.stateless = 0  # requests that the table of server transactions had no room for

    def new_branch(self) -> str:
        """A branch that no other transaction has."""
        return COOKIE + self._new_branch()

    def add_client(self, transaction: ClientTransaction) -> None:
        """A client transaction begins; the connection that its response is due on is kept until it ends."""
        self.clients[transaction.key] = transaction
        self.transport.hold(transaction, transaction.hop)

    def remove(self, transaction: Transaction) -> None:
        """A transaction has ended."""
        self.transport.hold(transaction)
        table: dict[tuple[str, ...], Transaction]
        table = self.servers if isinstance(transaction, ServerTransaction) else self.clients  # type: ignore
        if table.get(transaction.key) is transaction:
            del table[transaction.key]
            if isinstance(transaction, ServerTransaction):
                self.server_bytes -= transaction.size

    def connection_lost(self, connection: Connection, ending: Ending) -> None:
        """A connection is gone, and the responses due on it."""
        for client in list(self.clients.values()):
            hop = client.hop
            # What names its connection has not failed with another to the same address.
            shared = hop.connection is None and connection.outgoing and hop.address == connection.address
            if hop.reliable and (shared or hop.connection is connection):
                client.transport_failed(ending)

    def datagrams_refused(self, addresses: set[Address]) -> None:
        """No process listens at these addresses any more (RFC 3261, 18.4)."""
        for client in list(self.clients.values()):
            if client.hop.transport == "udp" and client.hop.address in addresses:
                client.datagram_refused()

    def settled(self) -> bool:
        """Whether no request or refusal of ours may have to be sent again, and all is written."""
        asked = (State.CALLING, State.TRYING, State.PROCEEDING)
        return (
            not any(client.state in asked for client in self.clients.values())
            and not any(server.unacknowledged for server in self.servers.values())
            and self.transport.written()
        )

    def take(self, message: Message, hop: Hop) -> None:
        """One message from the transport."""
        self.on_heard(hop)
        if message.status:
            self._response(message, hop)
        else:
            self._request(message, hop)

    def _response(self, message: Message, hop: Hop) -> None:
        branch = parameter(message.get("Via"), "branch")
        transaction = self.clients.get((branch, message.cseq()[1]))
        if transaction is not None:
            self.on_heard(transaction.hop)  # the answer may have come by another way
            transaction.received(message)
        elif 200 <= message.status < 300 and message.cseq()[1] == "INVITE":
            self.on_stray_response(message, hop)

    def _request(self, message: Message, hop: Hop) -> None:
        method = message.method
        key = server_key(message, "INVITE" if method == "ACK" else method)
        known = self.servers.get(key)
        if method == "ACK":
            if isinstance(known, InviteServer) and known.state is not State.ACCEPTED:
                known.acknowledged()
            else:
                self.on_ack(message, hop)
            return
        if known is not None:
            moved = known.came_by(message, hop)
            if moved:
                self.on_moved(known, message)
            known.repeated(moved)
            return
        # The user hears of it however full the table is: it may end a call, or be one more copy of an INVITE
        # that is open.
        room = self.server_bytes + kept_size(message) <= self._most * BYTES_EACH
        stateful = room and len(self.servers) < self._most
        kind = InviteServer if method == "INVITE" else NonInviteServer
        transaction = kind(self, key, message, hop, stateful)
        if stateful:
            self.servers[key] = transaction
            self.server_bytes += transaction.size
        else:
            self.stateless += 1
        self.on_request(transaction, message)


def kept_size(request: Message) -> int:
    """About how many bytes the transaction of a request keeps: what responses repeat, and the last one."""
    return OBJECTS_BYTES + 2 * (request.body_start - request.head_start)


def server_key(message: Message, method: str) -> tuple[str, ...]:
    """What identifies a server transaction: branch and sent-by; for old clients, what 17.2.3 lists."""
    via = message.get("Via")
    branch = parameter(via, "branch")
    sent_by = via.partition(";")[0].split()[-1:]
    if branch.startswith(COOKIE):
        return (branch, *sent_by, method)
    number = message.cseq()[0]
    from_tag = parameter(message.get("From"), "tag")
    return (via, message.get("Call-ID"), from_tag, str(number), method)
