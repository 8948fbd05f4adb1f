"""Callers of the second front: the server side of the back-to-back user agent."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from datetime import timedelta
from hashlib import blake2b

import structlog
from tornado.ioloop import PeriodicCallback

from ...settings import OTHER, ClassConfig, SipConfig
from ...core.calls import Call, Calls
from ...core.model import Clock, Ending, FinalAnswer, Request, Verdict
from ...operation.readiness import Operation
from ..statuses import NORMAL_CLEARING, release_cause, sip_status
from .dialogs import Dialog, DialogId, id_of_request, of_request
from .message import (
    NOT_TEXT,
    BadMessage,
    Header,
    Message,
    Part,
    q850_cause,
    read_path,
    user_of,
)
from .servers import Bye, SipServers
from .transactions import (
    OWN_CONTACT,
    Handle,
    InviteServer,
    ServerTransaction,
    Transactions,
)
from .transport import Hop, hop_of, parameter

log = structlog.get_logger(part=__name__)

SECOND, MILLISECOND = timedelta(seconds=1), timedelta(milliseconds=1)
ALLOW = ("Allow", "INVITE, ACK, CANCEL, BYE, OPTIONS")
KNOWN_METHODS = frozenset(
    "INVITE ACK CANCEL BYE OPTIONS REGISTER INFO UPDATE PRACK SUBSCRIBE NOTIFY REFER MESSAGE PUBLISH".split()
)
MANDATORY = ("Via", "From", "To", "Call-ID", "CSeq")
BUSY_RETRY = ("Retry-After", "2")
CALL_BYTES = 8 * 1024  # a call's, on average, where as many are open as may be
REFUSED_KEPT = 8192  # answers to set-ups turned away: copies come within 64 T1
DIGEST_BYTES = 16
BRANCHES_MOST = 4  # of one INVITE that have its answer
CANCELS_KEPT = 8192  # that came before their INVITE, which may follow within 64 T1
EXPIRES_MOST = timedelta(hours=1)

WATCH_EVERY = timedelta(milliseconds=200)

LegKey = tuple[str, str, int]  # Call-ID, From tag, CSeq: the same on either transport


class CallerLeg:
    """The caller's side of one call: its transactions on either transport, its dialog, its one answer."""

    def __init__(self, front: SipFront, key: LegKey, invite: Message, hop: Hop) -> None:
        self.front, self.key = front, key
        self.call_id = "\x1f".join(map(str, key))
        self.size = call_size(invite)
        self.transactions: list[InviteServer] = []
        self.hop = hop  # where the caller was heard last
        self.tag = front.new_tag()
        self.dialog: Dialog = of_request(invite, self.tag)
        self.record_route: list[Header] = [("Record-Route", value) for value in invite.all("Record-Route")]
        self.final: tuple[int, list[Header], bytes] | None = None
        self.acknowledged = self.over = False
        self.bye_due: int | None = None  # the cause of a BYE that waits for the ACK
        self._again: Handle | None = None

    def heard(self, hop: Hop) -> None:
        """Where the caller was heard last; the connections that the call needs give way to nobody."""
        self.hop = hop
        hops = [] if self.over else [hop, *(way for known in self.transactions for way in known.hops)]
        self.front.layer.transport.hold(self, *hops)

    def join(self, transaction: InviteServer, hop: Hop) -> None:
        """The INVITE, or the same one once more on another branch or transport."""
        # What the table had no room for comes anew with each copy.
        self.transactions = [known for known in self.transactions if known.key != transaction.key]
        self.transactions.append(transaction)
        if len(self.transactions) > BRANCHES_MOST:
            self.transactions.pop(0).forgo()
        self.heard(hop)
        if self.final is None:
            transaction.respond(100, [])
        else:
            status, extra, body = self.final
            transaction.respond(status, extra, body, self.tag)

    def moved(self, transaction: ServerTransaction) -> None:
        """A copy of the INVITE came by another way, where the 200 has not gone yet."""
        log.info("caller_moved", to=transaction.hop.transport, answered=self.final is not None)
        self.heard(transaction.hop)
        if self.final is not None and not (self.acknowledged or self.over):
            transaction.resend()

    def answer(self, call: Call, answer: FinalAnswer) -> None:
        """Give the one final answer to each transaction that asked."""
        status = sip_status(answer)
        extra: list[Header] = []
        body = b""
        if answer.verdict is Verdict.STANDS:
            body = answer.description.encode()
            extra = [*self.record_route, OWN_CONTACT, ALLOW]
            if body:
                extra.append(("Content-Type", "application/sdp"))
        elif answer.retry_after:
            extra = [
                ("Retry-After", str(-(-answer.retry_after // SECOND))),
                ("P-Gap-Ms", str(-(-answer.retry_after // MILLISECOND))),
            ]
        self.final = (status, extra, body)
        for transaction in self.transactions:
            transaction.respond(status, extra, body, self.tag)
        if status == 200:
            self.front.stands(self)
            self._resend_after(self.front.layer.timers.t1, self.front.clock() + self.front.layer.timers.whole)
        else:
            self.end()

    def _resend_after(self, gap: timedelta, until: timedelta) -> None:
        """A 2xx is sent again until its ACK, whatever the transport (13.3.1.4)."""

        def fire() -> None:
            if self.acknowledged or self.over:
                return
            if self.front.clock() >= until:
                log.info("answer_never_acknowledged")
                self.acknowledged = True
                self.front.calls.caller_released(self.call_id, NORMAL_CLEARING)
                self.bye(NORMAL_CLEARING if self.bye_due is None else self.bye_due)
                return
            # On every way that still stands: a caller that switched back sends copies on its first branch,
            # which that transaction absorbs, and the newest connection may be gone.
            alive = [known for known in self.transactions if not known.broken]
            for transaction in alive or self.transactions[-1:]:
                transaction.resend()
            self._resend_after(min(2 * gap, self.front.layer.timers.t2), until)

        self._again = self.front.layer.later(gap, fire)

    def record(self) -> dict[str, object]:
        """The caller's side of the call, for a copy."""
        host, port = self.hop.address
        return {**self.dialog.record(), "transport": self.hop.transport, "at": f"{host}:{port}"}

    def ack(self, hop: Hop) -> None:
        """The ACK of our 200, from either transport."""
        self.acknowledged = True
        if self._again is not None:
            self._again.cancel()
        self.transactions.clear()  # nothing is sent again on them: a standing call keeps little
        self.heard(hop)
        if self.bye_due is not None:
            cause, self.bye_due = self.bye_due, None
            self.bye(cause)

    def release(self, call: Call, ending: Ending) -> None:
        """The call is over at its log server: BYE, but not before the ACK (section 15)."""
        cause = release_cause(ending)
        if self.acknowledged:
            self.bye(cause)
        else:
            self.bye_due = cause

    def bye(self, cause: int) -> None:
        """Close the dialog from here."""
        if self.over:
            return
        uri, headers = self.dialog.request("BYE")
        headers.append(("Reason", f"Q.850;cause={cause}"))
        layer, hop = self.front.layer, self.front.hop_for(self)
        other = Hop(OTHER[hop.transport], hop.address)  # a caller may have switched its transport
        Bye(layer, uri, headers, hop, *([other] if layer.transport.serves(other.transport) else [])).start()
        self.end()

    def end(self) -> None:
        """Nothing more is owed; copies of old messages are known for a while."""
        if not self.over:
            self.over = True
            self.front.layer.transport.hold(self)
            if self._again is not None:
                self._again.cancel()
            self.front.forget_later(self)


class SipFront:
    """Turns callers' requests into calls of the core."""

    def __init__(
        self,
        calls: Calls,
        layer: Transactions,
        servers: SipServers,
        clock: Clock,
        new_tag: Callable[[], str],
        config: SipConfig,
        classes: dict[str, ClassConfig],
        end_margin: timedelta,
        operation: Operation,
    ) -> None:
        self.calls, self.layer, self.clock, self.new_tag = calls, layer, clock, new_tag
        self._servers, self._config, self._classes, self._margin = servers, config, classes, end_margin
        self._operation = operation
        self.legs: dict[LegKey, CallerLeg] = {}
        self.dialogs: dict[DialogId, CallerLeg] = {}
        self._leg_bytes = 0  # that legs and their calls keep
        self._refused: dict[bytes, str] = {}  # by the digest of the key, and the tag of the answer
        self._cancelled: dict[bytes, timedelta] = {}  # before their INVITE came, and when
        servers.caller_hops = self.hops_of
        self._watch = PeriodicCallback(self.watch, WATCH_EVERY)
        self._watch.start()
        layer.on_request, layer.on_moved, layer.on_ack = self.request, self.moved, self.ack

    # --- requests

    def request(self, transaction: ServerTransaction, request: Message) -> None:
        """A new request: each is answered, with an error where it cannot be served."""
        try:
            self._request(transaction, request)
        except BadMessage as fault:
            self.layer.transport.garbage += 1
            transaction.respond(fault.status or 400, [], to_tag=self.new_tag())

    def _request(self, transaction: ServerTransaction, request: Message) -> None:
        check(request)
        method = request.method
        if method == "CANCEL":
            self._cancel(transaction, request)
            return
        if not transaction.stateful and method not in ("BYE", "INVITE"):  # nobody's call waits for it
            transaction.respond(503, [BUSY_RETRY], to_tag=self.new_tag())
            return
        tokens = [token for value in request.all("Require") for token in value.split(",")]
        if tokens:
            unsupported = ("Unsupported", ", ".join(token.strip() for token in tokens))
            transaction.respond(420, [unsupported], to_tag=self.new_tag())
        elif parameter(request.get("To"), "tag"):
            self._in_dialog(transaction, request)
        elif method == "INVITE" and isinstance(transaction, InviteServer):
            self._invite(transaction, request)
        elif method == "OPTIONS":
            transaction.respond(200 if self._operation.ready else 503, [ALLOW], to_tag=self.new_tag())
        elif method == "BYE":
            transaction.respond(481, [], to_tag=self.new_tag())
        else:
            status = 405 if method in KNOWN_METHODS else 501
            transaction.respond(status, [ALLOW], to_tag=self.new_tag())

    def moved(self, transaction: ServerTransaction, request: Message) -> None:
        """A copy of a request came by another way: where it is an INVITE, its caller is there now."""
        leg = self.legs.get(leg_key(request)) if request.method == "INVITE" else None
        if leg is not None:
            leg.moved(transaction)

    def _invite(self, transaction: InviteServer, invite: Message) -> None:
        key = leg_key(invite)
        leg = self.legs.get(key)
        if leg is not None:  # the caller switched its transport, or sent it on a new branch
            leg.join(transaction, transaction.hop)
            return
        request = self._to_request(key, invite)
        most = self._config.calls_most
        room = len(self.legs) < most and self._leg_bytes + call_size(invite) <= most * CALL_BYTES
        name = digest(key)
        if name in self._refused or not (room and transaction.stateful) or self._operation.refusing:
            if name not in self._refused:
                self.calls.turn_away(request)
            self._refuse(transaction, name)
            return
        leg = self.legs[key] = CallerLeg(self, key, invite, transaction.hop)
        self._leg_bytes += leg.size
        leg.join(transaction, transaction.hop)
        self.calls.offer(request, leg)
        cancelled = self._cancelled.pop(name, None)
        if cancelled is not None and self.clock() - cancelled < self.layer.timers.whole:
            self.calls.caller_left(leg.call_id)

    def _refuse(self, transaction: InviteServer, name: bytes) -> None:
        """No room for one more call. Its copies get the same answer, though there be room by then."""
        tag = self._refused.setdefault(name, self.new_tag())
        if len(self._refused) > REFUSED_KEPT:
            del self._refused[next(iter(self._refused))]
        transaction.respond(503, [BUSY_RETRY], to_tag=tag)

    def _to_request(self, key: LegKey, invite: Message) -> Request:
        part = invite.spoilt()
        if part is not None:
            status = 488 if part is Part.BODY else 400
            raise BadMessage(status, f"the {part.value} is not UTF-8", invite)
        kind = self._classes.get(invite.get("P-Kind") or self._config.default_class)
        if kind is None:
            raise BadMessage(400, "P-Kind names no class", invite)
        number = user_of(invite.uri)
        if not number:
            raise BadMessage(416 if not invite.uri.lower().startswith("sip") else 400, "no number", invite)
        if not hop_of(of_request(invite, "").target, transport_of(invite)):
            raise BadMessage(400, "Contact names no address", invite)
        description = bytes(invite.body).decode()
        expires = invite.number("Expires")
        budget = kind.deadline if expires is None else min(expires * SECOND, EXPIRES_MOST)
        return Request(
            id="\x1f".join(map(str, key)),
            call_class=kind.index,
            class_name=kind.name,
            number=number,
            budget=max(budget - self._margin, timedelta(0)),
            taken_at=self.clock(),
            destination=read_path(invite.get("P-Path")).get("dest", -1),
            redialled=invite.get("P-Second-Try") == "1",
            description=description,
        )

    def _cancel(self, transaction: ServerTransaction, cancel: Message) -> None:
        key = leg_key(cancel)
        leg = self.legs.get(key)
        if leg is None:
            transaction.respond(481, [], to_tag=self.new_tag())
            self._cancelled[digest(key)] = self.clock()  # a datagram may overtake the one before it
            if len(self._cancelled) > CANCELS_KEPT:
                del self._cancelled[next(iter(self._cancelled))]
            return
        transaction.respond(200, [], to_tag=leg.tag)
        if leg.final is None:  # else it crossed the answer and changes nothing (9.2)
            self.calls.caller_left(leg.call_id)

    def _in_dialog(self, transaction: ServerTransaction, request: Message) -> None:
        leg = self.dialogs.get(id_of_request(request))
        if leg is None:
            if not self._servers.take_request(transaction, request):
                transaction.respond(481, [])
            return
        leg.heard(transaction.hop)
        if leg.over:
            transaction.respond(200 if request.method == "BYE" else 481, [])
        elif not leg.dialog.in_order(request.cseq()[0]):
            transaction.respond(500, [])
        elif request.method == "BYE":
            transaction.respond(200, [])
            leg.end()
            self.calls.caller_released(leg.call_id, q850_cause(request.get("Reason"), NORMAL_CLEARING))
        elif request.method == "OPTIONS":
            transaction.respond(200, [ALLOW])
        elif request.method == "INVITE":  # the description of a standing call is not changed
            transaction.respond(488, [])
        else:
            transaction.respond(405 if request.method in KNOWN_METHODS else 501, [ALLOW])

    def ack(self, ack: Message, hop: Hop) -> None:
        """The ACK of a 200."""
        leg = self.dialogs.get(id_of_request(ack))
        if leg is not None:
            leg.ack(hop)

    def retune(self, classes: dict[str, ClassConfig], default_class: str) -> None:
        """Take new classes; calls that are open keep theirs."""
        self._classes, self._config = classes, replace(self._config, default_class=default_class)

    def settled(self) -> bool:
        """Whether every 200 has its ACK: until then a stopping program stays."""
        return all(leg.acknowledged or leg.over for leg in self.dialogs.values())

    def watch(self) -> None:
        """While callers are sent away: close their connections between requests."""
        if self._operation.closing:
            # The ACK of a 200, the BYE of a call that stands and the answer to ours come on the same one,
            # which is held for them.
            self.layer.transport.leave()

    # --- for legs and log servers

    def hops_of(self, call_id: str) -> list[Hop]:
        """Where the caller of an unanswered call awaits its answer."""
        call = self.calls.get(call_id)
        leg = None if call is None else call.caller
        if not isinstance(leg, CallerLeg):
            return []
        return [hop for known in leg.transactions for hop in known.hops]

    def stands(self, leg: CallerLeg) -> None:
        """Its dialog is there from the 200 on."""
        self.dialogs[leg.dialog.id] = leg

    def forget_later(self, leg: CallerLeg) -> None:
        """Know the leg for as long as copies may come."""

        def forget() -> None:
            if self.legs.pop(leg.key, None) is not None:
                self._leg_bytes -= leg.size
            self.dialogs.pop(leg.dialog.id, None)

        self.layer.later(self.layer.timers.whole, forget)

    def hop_for(self, leg: CallerLeg) -> Hop:
        """Where requests to the caller go: by its Contact and route set, on its connection if that is TCP."""
        uri = leg.dialog.next_hop()
        hop = hop_of(uri, leg.hop.transport)
        if hop is None or not self.layer.transport.serves(hop.transport):
            return leg.hop
        here = leg.hop.connection is not None and not leg.hop.broken
        if here and hop.transport == "tcp" and not leg.dialog.routes:
            return Hop("tcp", hop.address, leg.hop.connection, hop.address)
        return hop


def leg_key(message: Message) -> LegKey:
    """What an INVITE, and its CANCEL, are known by on either transport."""
    return (message.get("Call-ID"), parameter(message.get("From"), "tag"), message.cseq()[0])


def digest(key: LegKey) -> bytes:
    """A short name for a key, for tables that are bounded by their number of entries."""
    text = "\x1f".join(map(str, key)).encode("utf-8", NOT_TEXT)
    return blake2b(text, digest_size=DIGEST_BYTES).digest()


def call_size(invite: Message) -> int:
    """About how many bytes a call keeps: its request, both dialogs, and the INVITE of an attempt."""
    return 3 * (invite.body_end - invite.head_start)


def transport_of(message: Message) -> str:
    """The transport that a request names in its topmost Via."""
    return message.get("Via").partition(";")[0].partition(" ")[0].rpartition("/")[2].lower() or "udp"


def check(request: Message) -> None:
    """What every request must hold (section 8.1.1); BadMessage names what is wrong."""
    for name in MANDATORY:
        if not request.get(name):
            raise BadMessage(400, f"{name} is missing", request)
    if request.cseq()[1] != request.method:
        raise BadMessage(400, "CSeq names another method", request)
    if not parameter(request.get("From"), "tag"):
        raise BadMessage(400, "From has no tag", request)
    if request.uri.partition(":")[0].lower() not in ("sip", "sips"):
        raise BadMessage(416, "not a SIP URI", request)
    if request.number("Max-Forwards") == 0 and request.method != "OPTIONS":
        raise BadMessage(483, "too many hops", request)
