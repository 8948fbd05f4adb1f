"""Stand-ins that speak SIP (RFC 3261) over UDP and TCP: log servers, and what callers need. No threads."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from .stage import Stage

T1, T2 = 0.5, 4.0
Address = tuple[str, int]


@dataclass
class Message:
    first: str
    headers: dict[str, str]
    body: bytes = b""
    whole: list[tuple[str, str]] = field(default_factory=list)

    @property
    def status(self) -> int:
        return int(self.first[8:11]) if self.first.startswith("SIP/2.0 ") else 0

    @property
    def method(self) -> str:
        return self.headers["cseq"].split()[1]

    @property
    def request(self) -> str:
        return "" if self.status else self.first.split()[0]

    def tag(self, name: str) -> str:
        return self.headers[name].partition(";tag=")[2].partition(";")[0]


def read(data: bytes) -> Message:
    head, _, body = data.partition(b"\r\n\r\n")
    first, *lines = head.decode().split("\r\n")
    whole = [(name.lower(), value.strip()) for name, _, value in (line.partition(":") for line in lines)]
    return Message(first, dict(reversed(whole)), body, whole)


def write(first: str, headers: list[tuple[str, str]], body: bytes = b"") -> bytes:
    text = "".join(f"{name}: {value}\r\n" for name, value in headers)
    return f"{first}\r\n{text}Content-Length: {len(body)}\r\n\r\n".encode() + body


def response(message: Message, status: str, to_tag: str = "", *extra: tuple[str, str], body: bytes = b"") -> bytes:
    headers = [(name, value) for name, value in message.whole if name in ("via", "from", "call-id", "cseq")]
    to = message.headers["to"]
    headers.append(("to", to if ";tag=" in to or not to_tag else f"{to};tag={to_tag}"))
    return write(f"SIP/2.0 {status}", [*headers, *extra], body)


class Datagrams(asyncio.DatagramProtocol):
    """A UDP socket; each message is told with its sender."""

    def __init__(self, take: Callable[[Message, Address], None]) -> None:
        self._take = take

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, address: Address) -> None:
        self._take(read(data), address)

    def error_received(self, exc: Exception) -> None:
        pass

    def send(self, data: bytes, address: Address) -> None:
        self.transport.sendto(data, address)  # type: ignore[attr-defined]


async def datagrams(port: int, take: Callable[[Message, Address], None]) -> Datagrams:
    loop = asyncio.get_running_loop()
    _, protocol = await loop.create_datagram_endpoint(lambda: Datagrams(take), local_addr=("127.0.0.1", port))
    return protocol


@dataclass
class Standing:
    """A call at a log server, from its INVITE on."""

    invite: Message
    address: Address
    tag: str
    acknowledged: bool = False
    over: bool = False


class LogServer:
    """A log server over UDP: 100 at once, 200 after `works` until its ACK, its BYE after `holds`."""

    def __init__(self, stage: Stage, name: str, port: int, works: float, holds: float) -> None:
        self.stage, self.name, self.port, self.works, self.holds = stage, name, port, works, holds
        self.calls: dict[str, Standing] = {}
        self.byes = 0

    async def start(self) -> None:
        self.socket = await datagrams(self.port, self.take)

    def take(self, message: Message, address: Address) -> None:
        loop = asyncio.get_running_loop()
        call_id = message.headers["call-id"]
        call = self.calls.get(call_id)
        if message.status:
            return
        match message.request:
            case "INVITE":
                if call is None:
                    self.stage.note(self.name, f"INVITE {call_id}")
                    call = self.calls[call_id] = Standing(message, address, f"{self.name}{len(self.calls)}")
                    loop.call_later(self.works, self.answer, call, T1)
                if not call.acknowledged:
                    self.socket.send(response(message, "100 Trying"), address)
            case "ACK":
                if call is not None and not call.acknowledged and not call.over:
                    call.acknowledged = True
                    self.stage.note(self.name, f"ACK {call_id}: it stands")
                    loop.call_later(self.holds, self.bye, call)
            case "CANCEL":
                self.socket.send(response(message, "200 OK", "x"), address)
                if call is not None and not call.acknowledged and not call.over:
                    call.over = True
                    self.stage.note(self.name, f"CANCEL {call_id}")
                    self.socket.send(response(call.invite, "487 Request Terminated", call.tag), address)
            case "BYE":
                if call is not None and not call.over:
                    call.over = True
                    self.stage.note(self.name, f"BYE {call_id} from the gatekeeper")
                self.socket.send(response(message, "200 OK"), address)
            case "OPTIONS":
                self.socket.send(response(message, "200 OK", "x"), address)

    def answer(self, call: Standing, gap: float) -> None:
        if call.acknowledged or call.over or gap > 32:
            return
        contact = ("Contact", f"<sip:log@127.0.0.1:{self.port}>")
        self.stage.note(self.name, f"200 {call.invite.headers['call-id']}")
        self.socket.send(response(call.invite, "200 OK", call.tag, contact, body=call.invite.body), call.address)
        asyncio.get_running_loop().call_later(gap, self.answer, call, min(2 * gap, T2))

    def bye(self, call: Standing) -> None:
        if call.over:
            return
        call.over = True
        self.byes += 1
        invite = call.invite.headers
        self.stage.note(self.name, f"BYE {invite['call-id']}")
        target = invite["contact"].partition("<")[2].partition(">")[0]
        to = invite["to"] if ";tag=" in invite["to"] else f"{invite['to']};tag={call.tag}"
        via = f"SIP/2.0/UDP 127.0.0.1:{self.port};branch=z9hG4bKb{self.name}{self.byes};rport"
        data = write(
            f"BYE {target} SIP/2.0",
            [("Via", via), ("Max-Forwards", "70"), ("From", to), ("To", invite["from"]),
             ("Call-ID", invite["call-id"]), ("CSeq", "1 BYE"), ("Reason", "Q.850;cause=16")],
        )  # fmt: skip
        self.socket.send(data, call.address)
