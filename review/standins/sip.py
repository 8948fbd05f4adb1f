"""SIP as far as the cases need it (RFC 3261): messages, callers over UDP, and a log server as a process of its own.

    python standins/sip.py ID PORT TRANSPORT HOLD_S WORK_S EVENTS_FILE

The log server answers 100 at once and 200 after WORK_S (QUICK,SLOW,EACH: each EACH-th set-up takes SLOW), holds each
call for HOLD_S and then ends it with BYE. What it receives and sends goes to EVENTS_FILE, a JSON line each.
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

HOST = "127.0.0.1"
T1, T2 = 0.5, 4.0


@dataclass
class Message:
    first: str
    headers: list[tuple[str, str]]
    body: bytes = b""

    def get(self, name: str) -> str:
        return next((value for key, value in self.headers if key.lower() == name.lower()), "")

    def all(self, name: str) -> list[tuple[str, str]]:
        return [(key, value) for key, value in self.headers if key.lower() == name.lower()]

    @property
    def status(self) -> int:
        return int(self.first.split()[1]) if self.first.startswith("SIP/") else 0

    @property
    def method(self) -> str:
        return self.get("CSeq").split()[1] if self.status else self.first.split()[0]

    def encode(self) -> bytes:
        lines = [
            self.first,
            *(f"{key}: {value}" for key, value in self.headers),
            f"Content-Length: {len(self.body)}",
        ]
        return "\r\n".join([*lines, "", ""]).encode() + self.body


def decode(data: bytes) -> tuple[Message | None, int]:
    """The message at the start, and how long it is; None if it is not whole."""
    head, found, rest = data.partition(b"\r\n\r\n")
    if not found:
        return None, 0
    first, *lines = head.decode("utf-8", "replace").split("\r\n")
    headers = [(key.strip(), value.strip()) for key, _, value in (line.partition(":") for line in lines)]
    message = Message(first, headers)
    size = int(message.get("Content-Length") or len(rest))
    if len(rest) < size:
        return None, 0
    message.body = rest[:size]
    message.headers = [(key, value) for key, value in headers if key.lower() != "content-length"]
    return message, len(head) + 4 + size


def answer(
    request: Message, status: int, reason: str, tag: str = "", body: bytes = b"", contact: str = ""
) -> Message:
    headers = request.all("Via") + request.all("From")
    to = request.get("To")
    headers.append(("To", f"{to};tag={tag}" if tag and ";tag=" not in to else to))
    headers += request.all("Call-ID") + request.all("CSeq") + request.all("Record-Route")
    if contact:
        headers.append(("Contact", contact))
    if body:
        headers.append(("Content-Type", "application/sdp"))
    return Message(f"SIP/2.0 {status} {reason}", headers, body)


def tag_of(value: str) -> str:
    return value.partition(";tag=")[2].partition(";")[0]


def uri_of(contact: str) -> str:
    return contact.partition("<")[2].partition(">")[0] or contact


def new_id() -> str:
    return f"{random.SystemRandom().getrandbits(64):016x}"


Write = Callable[[bytes], None]
Take = Callable[[Message, Write], None]


class Datagrams(asyncio.DatagramProtocol):
    def __init__(self, take: Take) -> None:
        self.take = take

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        message, _ = decode(data)
        if message is not None:
            self.take(message, lambda answer: self.transport.sendto(answer, address))


async def udp(port: int, take: Take) -> Datagrams:
    loop = asyncio.get_running_loop()
    _, protocol = await loop.create_datagram_endpoint(lambda: Datagrams(take), local_addr=(HOST, port))
    return protocol


async def stream(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, take: Take) -> None:
    """Read the messages of one connection until it ends."""
    kept = b""
    try:
        while data := await reader.read(65536):
            kept += data
            while True:
                message, size = decode(kept)
                if message is None:
                    break
                kept = kept[size:]
                take(message, writer.write)
    except (OSError, asyncio.CancelledError):
        pass
    finally:
        writer.close()


# --- callers ---------------------------------------------------------------------------------------


@dataclass
class CallerCall:
    """One call, as its caller sees it."""

    call_id: str
    invite: Message
    sent_at: float
    finals: list[tuple[float, int, bytes]] = field(default_factory=list)  # each final answer that is new
    bye_at: float | None = None  # when the gatekeeper released it
    heard: bool = False
    ack: bytes = b""
    to: str = ""
    target: str = ""


class Callers:
    """Callers over UDP from one socket, each with a dialog of its own."""

    def __init__(self, record: Any, port: int, gatekeeper: int, name: str = "callers") -> None:
        self.record, self.port, self.gatekeeper, self.name = record, port, gatekeeper, name
        self.calls: dict[str, CallerCall] = {}
        self.ready = False

    async def listen(self) -> None:
        self.way = await udp(self.port, self._take)

    def _send(self, data: bytes) -> None:
        self.way.transport.sendto(data, (HOST, self.gatekeeper))

    def _request(
        self, method: str, number: str, call_id: str, to: str, cseq: int, *more: tuple[str, str]
    ) -> Message:
        return Message(f"{method} sip:{number}@{HOST}:{self.gatekeeper} SIP/2.0", [
            ("Via", f"SIP/2.0/UDP {HOST}:{self.port};branch=z9hG4bK{new_id()};rport"), ("Max-Forwards", "70"),
            ("From", f"<sip:caller@{HOST}:{self.port}>;tag=t{call_id[:8]}"), ("To", to), ("Call-ID", call_id),
            ("CSeq", f"{cseq} {method}"), ("Contact", f"<sip:caller@{HOST}:{self.port}>"), *more,
        ])  # fmt: skip

    def test(self) -> None:
        self._send(self._request("OPTIONS", "ping", new_id(), f"<sip:ping@{HOST}>", 1).encode())

    def invite(self, kind: str = "log-lookup", destination: int = -1) -> CallerCall:
        call_id, number = new_id(), new_id()
        path = [("P-Path", f"dest:{destination};width:1;via:-1")] if destination >= 0 else []
        message = self._request("INVITE", number, call_id, f"<sip:{number}@{HOST}>", 1, ("P-Kind", kind),
                                ("Content-Type", "application/sdp"), *path)  # fmt: skip
        message.body = b"v=0\r\no=- %s 1 IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0\r\n" % call_id.encode()
        call = self.calls[call_id] = CallerCall(call_id, message, time.time())
        self.record.add(self.name, "send INVITE", call_id, kind, "dest", destination)
        self._copies(call, T1)
        return call

    def _copies(self, call: CallerCall, gap: float) -> None:
        if not call.heard and time.time() - call.sent_at < 64 * T1:
            self._send(call.invite.encode())
            asyncio.get_running_loop().call_later(gap, self._copies, call, 2 * gap)

    def bye(self, call: CallerCall) -> None:
        """The caller ends a call that stands."""
        self.record.add(self.name, "send BYE", call.call_id)
        message = self._request("BYE", "gatekeeper", call.call_id, call.to, 2)
        message.first = f"BYE {call.target} SIP/2.0"
        self._send(message.encode())

    def _take(self, message: Message, write: Write) -> None:
        if message.status and message.method == "OPTIONS":
            self.ready |= message.status == 200
            return
        call = self.calls.get(message.get("Call-ID"))
        if call is None:
            return
        if message.status and message.method == "INVITE":
            call.heard = True
            if message.status < 200:
                return
            known = (message.status, message.body)
            if known not in [(status, body) for _, status, body in call.finals]:
                call.finals.append((time.time(), *known))
                self.record.add(self.name, "receive", message.status, "for", call.call_id, message.body or "")
                call.to, call.target = message.get("To"), uri_of(message.get("Contact"))
                self._acknowledge(call, message)
            self._send(call.ack)
        elif message.first.startswith("BYE"):
            if call.bye_at is None:
                call.bye_at = time.time()
                self.record.add(self.name, "receive BYE for", call.call_id, message.get("Reason"))
            write(answer(message, 200, "OK").encode())

    def _acknowledge(self, call: CallerCall, response: Message) -> None:
        ack = self._request("ACK", "gatekeeper", call.call_id, response.get("To"), 1)
        if response.status < 300:
            ack.first = f"ACK {call.target} SIP/2.0"
        else:  # of the same transaction
            ack.first = call.invite.first.replace("INVITE", "ACK", 1)
            ack.headers[0] = ("Via", call.invite.get("Via"))
        call.ack = ack.encode()


# --- a log server ----------------------------------------------------------------------------------


@dataclass
class ServerCall:
    invite: Message
    write: Write
    tag: str
    last: bytes = b""  # the latest answer, for copies
    state: str = "trying"  # standing, over
    acked: bool = False


class LogServer:
    """A sound SIP server over one transport."""

    def __init__(self, name: str, port: int, transport: str, hold: float, work: str, events: str) -> None:
        self.name, self.port, self.transport, self.hold = name, port, transport, hold
        quick, *rest = [float(part) for part in work.split(",")]
        self.works = [quick] if not rest else [quick] * (int(rest[1]) - 1) + [rest[0]]
        self.events = open(events, "a", encoding="utf-8")
        self.calls: dict[str, ServerCall] = {}
        self.byes: dict[str, Message] = {}  # without an answer

    def say(self, what: str, call_id: str = "", **more: object) -> None:
        self.events.write(
            json.dumps({"at": time.time(), "server": self.name, "what": what, "call": call_id, **more}) + "\n"
        )
        self.events.flush()

    async def serve(self) -> None:
        if self.transport == "udp":
            await udp(self.port, self._take)
        else:
            await asyncio.start_server(
                lambda reader, writer: stream(reader, writer, self._take), HOST, self.port
            )
        self.say("starts")
        await asyncio.Event().wait()

    def _take(self, message: Message, write: Write) -> None:
        call_id = message.get("Call-ID")
        call = self.calls.get(call_id)
        if message.status:
            if message.method == "BYE" and message.status >= 200:
                self.byes.pop(call_id, None)
            return
        if message.method == "INVITE":
            if call is None:
                call = self.calls[call_id] = ServerCall(message, write, new_id())
                self.say(
                    "invite", call_id, number=message.first.split()[1], body=message.body.decode("latin-1")
                )
                self._answer(call, 100, "Trying")
                work = self.works[(len(self.calls) - 1) % len(self.works)]
                asyncio.get_running_loop().call_later(work, self._stands, call_id, call)
            elif call.last:
                write(call.last)
        elif message.method == "ACK":
            if call is not None:
                call.acked = True
        elif message.method == "CANCEL":
            write(answer(message, 200 if call else 481, "OK" if call else "No Such Call").encode())
            if call is not None and call.state == "trying":
                call.state = "over"
                self.say("cancelled", call_id)
                self._answer(call, 487, "Request Terminated")
        elif message.method == "BYE":
            write(answer(message, 200 if call else 481, "OK" if call else "No Such Call").encode())
            if call is not None and call.state == "standing":
                call.state = "over"
                self.say("released by the gatekeeper", call_id)
        else:
            write(answer(message, 200, "OK").encode())

    def _answer(self, call: ServerCall, status: int, reason: str, body: bytes = b"") -> None:
        contact = f"<sip:{self.name}@{HOST}:{self.port};transport={self.transport}>"
        call.last = answer(
            call.invite, status, reason, call.tag if status > 100 else "", body, contact
        ).encode()
        call.write(call.last)

    def _stands(self, call_id: str, call: ServerCall) -> None:
        if call.state != "trying":
            return
        call.state = "standing"
        body = b"v=0\r\no=%s %s 1 IN IP4 127.0.0.1\r\ns=log\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0\r\n" % (
            self.name.encode(), call_id[:16].encode())  # fmt: skip
        self.say("answer", call_id)
        self._answer(call, 200, "OK", body)
        if self.transport == "udp":
            asyncio.get_running_loop().call_later(T1, self._again, call, 2 * T1)
        asyncio.get_running_loop().call_later(self.hold, self._over, call_id, call)

    def _again(self, call: ServerCall, gap: float) -> None:
        if call.state == "standing" and not call.acked:
            call.write(call.last)
            asyncio.get_running_loop().call_later(min(gap, T2), self._again, call, 2 * gap)

    def _over(self, call_id: str, call: ServerCall) -> None:
        if call.state != "standing":
            return
        call.state = "over"
        self.say("release", call_id)
        via = f"SIP/2.0/{self.transport.upper()} {HOST}:{self.port};branch=z9hG4bK{new_id()};rport"
        to = call.invite.get("To")
        self.byes[call_id] = Message(f"BYE {uri_of(call.invite.get('Contact'))} SIP/2.0", [
            ("Via", via), ("Max-Forwards", "70"), ("From", f"{to};tag={call.tag}"), ("To", call.invite.get("From")),
            ("Call-ID", call_id), ("CSeq", "1 BYE"), ("Reason", "Q.850;cause=16"),
        ])  # fmt: skip
        self._send_bye(call_id, call, T1)

    def _send_bye(self, call_id: str, call: ServerCall, gap: float) -> None:
        bye = self.byes.get(call_id)
        if bye is None or gap > 64 * T1:
            return
        call.write(bye.encode())
        if self.transport == "udp":
            asyncio.get_running_loop().call_later(min(gap, T2), self._send_bye, call_id, call, 2 * gap)


if __name__ == "__main__":
    name, port, transport, hold, work, events = sys.argv[1:]
    asyncio.run(LogServer(name, int(port), transport, float(hold), work, events).serve())
