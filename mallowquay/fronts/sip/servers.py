"""Log servers that speak SIP: the client side of the back-to-back user agent."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta

import structlog

from ...core.calls import Calls
from ...core.model import Attempt, Clock, Ending, Server, ServerStatus
from ...membership.roster import Roster
from ..load import read_load
from ..statuses import ENDINGS, NORMAL_CLEARING, release_ending
from .dialogs import Dialog, DialogId, id_of_request, of_response
from .liveness import Endpoint
from .message import BadMessage, Header, Message, q850_cause, write_request
from .standing import StandingCalls
from .transactions import (
    ClientTransaction,
    InviteClient,
    NonInviteClient,
    ServerTransaction,
    State,
    Transactions,
)
from .transport import Address, Backlog, Connection, Hop, hop_of

log = structlog.get_logger(part=__name__)

SECOND, MILLISECOND = timedelta(seconds=1), timedelta(milliseconds=1)
TURNS = 3  # of the loop: what had come is reported in the second, and taken by the third
HEARD_WITHIN = 50 * MILLISECOND  # a caller that has gone unheard did so no longer ago


class Quiet:
    """Takes what comes of a request whose end changes nothing, as a BYE or a CANCEL."""

    def responded(self, transaction: ClientTransaction, response: Message) -> None:
        """Heard."""

    def unanswered(self, transaction: ClientTransaction, ending: Ending) -> None:
        """Nobody is there any more."""
        log.debug("request_not_answered", method=transaction.method, ending=ending.name)


QUIET = Quiet()


class Bye(Quiet):
    """Goes once more if its connection is gone before the answer, as it may not have arrived: by another
    connection to the same place, then by the other way, if there is one.
    """

    def __init__(self, layer: Transactions, uri: str, headers: list[Header], hop: Hop, *other: Hop) -> None:
        self._layer, self._uri, self._headers = layer, uri, headers
        self._ways = [hop, *([Hop("tcp", hop.address)] if hop.reliable else []), *other]

    def start(self) -> None:
        """Send it by the first way."""
        hop = self._ways.pop(0)
        NonInviteClient(self._layer, "BYE", self._uri, self._headers, hop, self).start()

    def unanswered(self, transaction: ClientTransaction, ending: Ending) -> None:
        """Nobody was there on this way."""
        super().unanswered(transaction, ending)
        if ending is not Ending.TIMED_OUT and self._ways:
            self.start()


@dataclass(slots=True)
class Beginning:
    """An attempt whose INVITE waits until callers have been heard out."""

    attempt: Attempt
    backlog: Backlog
    since: timedelta
    connection: Connection | None = None  # opened for it
    turns: int = TURNS


class ServerLeg:
    """One attempt at one log server, and the dialogs that its answers make."""

    def __init__(self, side: SipServers, attempt: Attempt, hop: Hop) -> None:
        self.side, self.attempt, self.hop = side, attempt, hop
        self.withdrawn = self.cancelled = False
        self.acks: dict[DialogId, tuple[Hop, list[bytes]]] = {}  # sent again with each copy of a 2xx
        self.dialog: Dialog | None = None  # of the call that stands
        self.invite: InviteClient | None = None  # until it is answered with a 2xx
        self.uri = ""

    def start(self, connection: Connection | None) -> None:
        """Send the INVITE, by this connection if it goes by TCP."""
        side, request = self.side, self.attempt.request
        host, port = self.hop.address
        left = max(self.attempt.wait - (side.clock() - self.attempt.sent_at), timedelta(0))
        own_host, own_port = side.layer.transport.local(self.hop.transport)
        local = f"<sip:gatekeeper@{own_host}:{own_port}>;tag={side.new_tag()}"
        headers: list[Header] = [
            ("Max-Forwards", "70"),
            ("From", local),
            ("To", f"<sip:{request.number}@{host}:{port}>"),
            ("Call-ID", f"{side.new_tag()}@{own_host}"),
            ("CSeq", "1 INVITE"),
            ("Contact", side.layer.transport.contact(self.hop.transport)),
            ("Expires", str(-(-left // SECOND))),
            ("P-Kind", request.class_name),
            ("P-Time-Left", str(left // MILLISECOND)),
        ]
        body = request.description.encode()
        if body:
            headers.append(("Content-Type", "application/sdp"))
        self.uri = f"sip:{request.number}@{host}:{port}"
        # By this connection or none: an INVITE that waited for another could leave after it was given up.
        hop = Hop(self.hop.transport, self.hop.address, connection)
        self.invite = InviteClient(side.layer, "INVITE", self.uri, headers, hop, self, body)
        self.invite.wanted = lambda: not side.caller_gone(request.id)
        self.invite.start()
        side.calls.written(self.attempt)

    def withdraw(self) -> None:
        """Give the set-up up: CANCEL as soon as it may be sent, and BYE should a 200 come after all."""
        self.withdrawn = True
        invite = self.invite
        if invite is None:
            return
        if invite.state is State.PROCEEDING:
            self._cancel(invite)
        elif invite.state is State.CALLING:
            invite.quiesce()

    def _cancel(self, invite: InviteClient) -> None:
        if not self.cancelled:
            self.cancelled = True
            invite.cancel(QUIET)

    # --- what comes of the INVITE

    def responded(self, transaction: ClientTransaction, response: Message) -> None:
        """A response of the log server."""
        if response.status < 200:
            if self.withdrawn and isinstance(transaction, InviteClient):
                if not self.cancelled:
                    self.side.calls.given_up_late(self.attempt)
                self._cancel(transaction)
        elif response.status < 300:
            self.accepted(response)
        elif not self.withdrawn:
            spoilt = self._spoilt(response)
            ending = Ending.UNREADABLE if spoilt else ENDINGS.get(response.status, Ending.FAULT)
            self.side.calls.ended(self.attempt, ending, read_load(response.get("P-Load")))

    def unanswered(self, transaction: ClientTransaction, ending: Ending) -> None:
        """The INVITE was not answered, or its connection broke."""
        if not self.withdrawn:
            self.side.calls.ended(self.attempt, ending)

    def accepted(self, response: Message) -> None:
        """A 2xx, or a copy of one: always acknowledged; what nobody waits for is closed with BYE."""
        self.invite = None  # a standing call keeps little
        dialog = of_response(response, self.uri)
        known = self.acks.get(dialog.id)
        if known is not None:
            self.side.layer.transport.send(*known)
            return
        hop = self.side.hop_to(dialog, self.hop)
        uri, headers = dialog.request("ACK", response.cseq()[0])
        branch = self.side.layer.new_branch()
        via = f"{self.side.layer.transport.via(hop)};branch={branch};rport"
        ack = (hop, write_request("ACK", uri, [("Via", via), *headers]))
        self.acks[dialog.id] = ack
        self.side.layer.transport.send(*ack)
        self.side.dialogs[dialog.id] = self
        if self.dialog is None and not self.withdrawn:
            self.dialog = dialog
            self.side.layer.transport.hold(self, self.hop)  # its end may come by this connection
            self.side.standing.stands(self.hop, self.attempt)
            if self._spoilt(response):  # never passed on as good
                self.side.calls.ended(self.attempt, Ending.UNREADABLE)
            elif self.side.calls.stood(
                self.attempt, bytes(response.body).decode(), read_load(response.get("P-Load"))
            ):
                return
            self.dialog = None
            self._leave()
        self.side.bye(dialog, hop, NORMAL_CLEARING)
        self.side.forget_later([dialog.id])

    def _spoilt(self, response: Message) -> bool:
        """Whether a final response cannot be read; such a one is counted and logged."""
        part = response.spoilt()
        if part is None:
            return False
        self.side.layer.transport.garbage += 1
        fault = BadMessage(0, f"the {part.value} is not UTF-8", response)
        log.warning("server_unreadable", server=self.attempt.server, **fault.told())
        return True

    def _leave(self) -> None:
        self.side.layer.transport.hold(self)
        self.side.standing.over(self.hop, self.attempt)

    def record(self) -> dict[str, object]:
        """The log server's side of the call that stands, for a copy."""
        host, port = self.hop.address
        dialog = {} if self.dialog is None else self.dialog.record()
        return {**dialog, "transport": self.hop.transport, "at": f"{host}:{port}"}

    def over(self, cause: int | None) -> None:
        """The call that stands is over; `cause` is told to the log server unless it told us."""
        dialog, self.dialog = self.dialog, None
        self._leave()
        if dialog is not None and cause is not None:
            self.side.bye(dialog, self.side.hop_to(dialog, self.hop), cause)
        self.side.forget_later(self.acks)


class SipServers(Roster):
    """All log servers of the list, by SIP."""

    def __init__(self, calls: Calls, layer: Transactions, clock: Clock, new_tag: Callable[[], str]) -> None:
        super().__init__(calls)
        self.layer, self.clock, self.new_tag = layer, clock, new_tag
        self.dialogs: dict[DialogId, ServerLeg] = {}
        self.caller_hops: Callable[[str], list[Hop]] = lambda request_id: []  # where an answer is awaited
        self.standing = StandingCalls(layer.transport, clock, self._cut_at)
        self._beginnings: deque[Beginning] = deque()  # no more than calls that are open
        self._turning = False
        self._heard = clock() - HEARD_WITHIN  # what callers had sent by then is taken
        layer.on_stray_response = self._stray
        layer.transport.refused = self._datagrams_refused
        layer.on_asked, layer.on_heard = self.standing.asked, self.standing.heard

    # --- the core's side

    def start(self, attempt: Attempt) -> None:
        """Send a set-up."""
        server = self.servers.get(attempt.server)
        if server is None or server.status is not ServerStatus.READY:
            self.calls.ended(attempt, Ending.MOOT)
            return
        self._await_turn(attempt)

    def _await_turn(self, attempt: Attempt, connection: Connection | None = None) -> None:
        now, hops = self.clock(), self.caller_hops(attempt.request.id)
        # The process has not stood still, and its caller has nothing more to say.
        if now - self._heard < HEARD_WITHIN and not any(hop.unread for hop in hops):
            self._begin(attempt, connection)
            return
        backlog = self.layer.transport.backlog(hops)
        self._beginnings.append(Beginning(attempt, backlog, now, connection))
        self._turn_soon()

    def _turn_soon(self) -> None:
        if not self._turning:
            self._turning = True
            self.layer.transport.soon(self._turn)

    def _turn(self) -> None:
        """One turn of the loop: begin what was awaited long enough."""
        self._turning = False
        try:
            self.layer.transport.hear()
            for _ in range(len(self._beginnings)):
                beginning = self._beginnings.popleft()
                beginning.turns -= 1
                if beginning.turns > 0 or not self.layer.transport.taken(beginning.backlog):
                    self._beginnings.append(beginning)
                else:
                    self._heard = max(self._heard, beginning.since)
                    self._begin(beginning.attempt, beginning.connection)
        finally:
            if self._beginnings:
                self._turn_soon()

    def _begin(self, attempt: Attempt, opened: Connection | None) -> None:
        """The one place where an attempt begins; what was given up while it waited does not."""
        self.layer.transport.hold(attempt)
        call = self.calls.get(attempt.request.id)
        if call is None or call.attempt is not attempt:
            return
        server = self.servers.get(attempt.server)
        if server is None or server.status is not ServerStatus.READY:
            self.calls.ended(attempt, Ending.MOOT)
            return
        if self.caller_gone(attempt.request.id):
            self.calls.caller_left(attempt.request.id)
            return
        if self.clock() < call.not_before:  # one before it was given up only since
            self.layer.later(call.not_before - self.clock(), lambda: self._begin(attempt, opened))
            return
        hop = Hop(server.transport, server.address)
        connection = self.layer.transport.outgoing(hop.address) if hop.reliable else None
        if hop.reliable and connection is None:
            if opened is not None:  # it closed at once: one connection an attempt
                self.calls.ended(attempt, Ending.CONNECTION_FAILED)
            else:
                self._reach(attempt, hop.address)
            return
        attempt.leg = leg = ServerLeg(self, attempt, hop)
        leg.start(connection)

    def _reach(self, attempt: Attempt, address: Address) -> None:
        self.layer.transport.hold(attempt, Hop("tcp", address))  # from its dial until the INVITE leaves

        def reached(result: Connection | Ending) -> None:
            if isinstance(result, Ending):
                self.layer.transport.hold(attempt)
                self.calls.ended(attempt, result)
            else:
                self._await_turn(attempt, result)

        self.layer.transport.reach(address, reached)

    def withdraw(self, attempt: Attempt) -> None:
        """Give a set-up up."""
        if isinstance(attempt.leg, ServerLeg):
            attempt.leg.withdraw()

    def release(self, attempt: Attempt, cause: int) -> None:
        """Release a standing call."""
        if isinstance(attempt.leg, ServerLeg):
            attempt.leg.over(cause)

    def hang_up(self, attempt: Attempt) -> None:
        """The list says that the call's log server is gone: should it live on, it is told too."""
        self.release(attempt, NORMAL_CLEARING)

    def _cut_at(self, endpoint: Endpoint, attempts: list[Attempt], ending: Ending) -> None:
        if attempts:
            self.cut(attempts[0].server, attempts, ending)

    def _datagrams_refused(self, addresses: set[Address]) -> None:
        self.layer.datagrams_refused(addresses)
        self.standing.datagrams_refused(addresses)

    def closing(self, server: Server) -> None:
        """A server takes nothing new any more: an INVITE that it has not heard must not be sent again."""
        for attempt in self.calls.trying_at(server.id):
            leg = attempt.leg
            if isinstance(leg, ServerLeg) and leg.invite and leg.invite.state is State.CALLING:
                leg.withdraw()
                self.calls.ended(attempt, Ending.WITHDRAWN)

    # --- what comes in

    def take_request(self, transaction: ServerTransaction, request: Message) -> bool:
        """A request in a dialog with a log server; False if it belongs to none."""
        leg = self.dialogs.get(id_of_request(request))
        if leg is None:
            return False
        dialog = leg.dialog
        if dialog is not None and dialog.id != id_of_request(request):
            dialog = None  # of a second answer, which was closed: the call that stands goes on
        if request.method != "BYE":
            transaction.respond(200 if request.method == "OPTIONS" else 488, [])
        elif dialog is not None and not dialog.in_order(request.cseq()[0]):
            transaction.respond(500, [])
        else:
            transaction.respond(200, [])
            if dialog is not None:
                cause = q850_cause(request.get("Reason"), NORMAL_CLEARING)
                leg.over(None)
                load = read_load(request.get("P-Load"))
                self.calls.ended(leg.attempt, release_ending(cause), load)
        return True

    def _stray(self, response: Message, hop: Hop) -> None:
        """A 2xx whose transaction has ended: a copy, or one that came after all hope."""
        dialog = of_response(response, "")
        leg = self.dialogs.get(dialog.id)
        if leg is not None:
            leg.accepted(response)
            return
        if not dialog.target:
            raise BadMessage(0, "a 2xx without Contact")
        uri, headers = dialog.request("ACK", response.cseq()[0])
        via = f"{self.layer.transport.via(hop)};branch={self.layer.new_branch()};rport"
        self.layer.transport.send(hop, write_request("ACK", uri, [("Via", via), *headers]))
        self.bye(dialog, hop, NORMAL_CLEARING)

    # --- helpers

    def caller_gone(self, request_id: str) -> bool:
        """Whether the caller of an unanswered call has closed every connection that it asked on."""
        hops = self.caller_hops(request_id)
        return bool(hops) and all(hop.ended for hop in hops)

    def hop_to(self, dialog: Dialog, default: Hop) -> Hop:
        """Where requests of a dialog go."""
        hop = hop_of(dialog.next_hop(), default.transport)
        return hop if hop is not None and self.layer.transport.serves(hop.transport) else default

    def bye(self, dialog: Dialog, hop: Hop, cause: int) -> None:
        """Close a dialog."""
        uri, headers = dialog.request("BYE")
        headers.append(("Reason", f"Q.850;cause={cause}"))
        Bye(self.layer, uri, headers, hop).start()

    def forget_later(self, dialogs: Iterable[DialogId]) -> None:
        """Keep dialogs for copies of their 2xx, then forget them."""
        names = list(dialogs)

        def forget() -> None:
            for name in names:
                self.dialogs.pop(name, None)

        self.layer.later(self.layer.timers.whole, forget)
