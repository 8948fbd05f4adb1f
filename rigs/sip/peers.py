"""Log servers that speak SIP over UDP or TCP, and what both sides of the rig read and write by."""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Any

from ..platform.history import History
from ..sip_peers import Headers, Heard, decode, encode, sip_port

T1, T2, COPIES = 0.1, 0.4, 8
HOLD_MOST = 1.2  # seconds that a call stands
# What a log server does with a set-up, and how often of a hundred.
WAYS = {"up": 58, "full": 9, "busy": 5, "error": 4, "slow": 8, "silent": 8, "twice": 4, "rings": 4,
        "late": 10}  # fmt: skip
# A final answer, by what the platform's checker calls it: full proves that nothing ran.
STATUSES = {"full": (503, "34"), "busy": (486, "17"), "error": (500, "47")}
Take = Callable[[Heard, "Way"], None]


class Way:
    """A UDP socket, or one TCP connection, to the program."""

    transport = ""

    def __init__(self, take: Take, lost: Callable[[Way], None] = lambda way: None) -> None:
        self.take, self.lost, self.open = take, lost, True

    def write(self, data: bytes) -> None:
        raise NotImplementedError


class UdpWay(Way, asyncio.DatagramProtocol):
    """Datagrams, to whoever spoke last."""

    transport = "udp"
    peer: tuple[str, int] | None = None

    def connection_made(self, transport: Any) -> None:
        self.sock = transport
        transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 20)

    def write(self, data: bytes) -> None:
        if not self.sock.is_closing():
            self.sock.sendto(data, self.peer)

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        self.peer = address
        self.take(decode(data), self)


class TcpWay(Way, asyncio.Protocol):
    """A connection."""

    transport, kept = "tcp", b""
    ended = False  # this end has closed its half

    def connection_made(self, transport: Any) -> None:
        self.stream = transport

    def write(self, data: bytes) -> None:
        if not self.stream.is_closing() and not self.ended:
            self.stream.write(data)

    def data_received(self, data: bytes) -> None:
        self.kept += data
        while b"\r\n\r\n" in self.kept:
            head, _, rest = self.kept.partition(b"\r\n\r\n")
            size = int(decode(head).get("content-length"))
            if len(rest) < size:
                return
            self.kept = rest[size:]
            self.take(decode(head + b"\r\n\r\n" + rest[:size]), self)

    def connection_lost(self, exc: Exception | None) -> None:
        self.open = False
        self.lost(self)


class LogServer:
    """One log server of one process; what it does is drawn."""

    def __init__(
        self, process: str, number: int, transport: str, chance: random.Random, history: History
    ) -> None:
        self.process, self.number, self.transport = process, number, transport
        self.chance, self.history = chance, history
        self.id, self.port = f"{process}-log-{number}", sip_port()
        self.ways: list[Way] = []
        self.listener: Any = None
        self.mute = False
        self._forget()

    def _forget(self) -> None:
        self.last: dict[str, bytes] = {}  # final answers, by the Call-ID of this side
        self.unacked: dict[str, asyncio.TimerHandle] = {}
        self.unheard: dict[str, asyncio.TimerHandle] = {}  # BYEs without an answer
        self.open: dict[str, Heard] = {}
        self.standing: dict[str, Heard] = {}

    @property
    def up(self) -> bool:
        return self.listener is not None

    async def listen(self) -> None:
        loop = asyncio.get_running_loop()
        if self.transport == "udp":
            self.listener, way = await loop.create_datagram_endpoint(
                lambda: UdpWay(self.take), local_addr=("127.0.0.1", self.port)
            )
            self.ways = [way]
        else:
            self.listener = await loop.create_server(self._accepted, "127.0.0.1", self.port)

    def _accepted(self) -> TcpWay:
        way = TcpWay(self.take, self._lost)
        self.ways.append(way)
        return way

    def _lost(self, way: Way) -> None:
        if way in self.ways:
            self.ways.remove(way)

    def die(self) -> None:
        """As a process does: set-ups are given up, calls cut, datagrams refused and connections reset."""
        self.listener.close()
        self.listener = None
        for way in list(self.ways):
            if isinstance(way, TcpWay):
                way.stream.abort()
        for timer in [*self.unacked.values(), *self.unheard.values()]:
            timer.cancel()
        for heard in self.open.values():
            self.history.add("link_end", self.process, number_of(heard), self.id)
        for heard in self.standing.values():  # nobody can tell: SIP has no word for it
            self.history.add("died", self.process, number_of(heard), self.id)
        self._forget()

    def take(self, heard: Heard, way: Way) -> None:
        call_id = heard.get("call-id")
        if heard.status:
            if heard.method == "BYE" and (timer := self.unheard.pop(call_id, None)) is not None:
                timer.cancel()
            return
        if self.mute and self.transport == "udp" or not self.up:  # datagrams are lost meanwhile
            return
        call, copied = number_of(heard), heard.copied()
        match heard.method:
            case "INVITE":
                self._invite(call_id, call, heard, way)
            case "ACK":
                if (timer := self.unacked.pop(call_id, None)) is not None:
                    timer.cancel()
            case "CANCEL":
                way.write(encode("SIP/2.0 200 OK", copied))
                if call_id in self.open:
                    self.history.add("down_in", self.process, call, self.id, "16")
                    if self.chance.random() < 0.3:  # the 200 was on its way
                        self._answer(call_id, way)
                    else:
                        self._final(call_id, way, 487, "")
            case "BYE":
                way.write(encode("SIP/2.0 200 OK", copied))
                tag = heard.tag("to")
                if tag == "one" and self.standing.pop(call_id, None) is not None:
                    self.history.add("down_in", self.process, call, self.id, "16")
            case "OPTIONS":
                way.write(encode("SIP/2.0 200 OK", copied))

    def _invite(self, call_id: str, call: str, heard: Heard, way: Way) -> None:
        trying = encode("SIP/2.0 100 Trying", heard.copied())
        if call_id in self.open or call_id in self.last:
            way.write(self.last.get(call_id, trying))
            return
        self.history.add("new", self.process, call, self.id)
        self.open[call_id] = heard
        does = self.chance.choices(list(WAYS), list(WAYS.values()))[0]
        loop, delay = asyncio.get_running_loop(), self.chance.uniform(0, 0.08)
        if does == "late":  # even its first word, before which no CANCEL leaves
            delay = self.chance.uniform(0.1, 0.3)
            loop.call_later(delay, self._late, call_id, way, trying)
        else:
            way.write(trying)
        if does in ("slow", "late"):
            delay += self.chance.uniform(0.3, 2.0)
        if does != "silent":
            loop.call_later(delay, self._act, call_id, does, way)

    def _late(self, call_id: str, way: Way, trying: bytes) -> None:
        if call_id in self.open and self.up:
            way.write(trying)

    def _act(self, call_id: str, does: str, way: Way) -> None:
        if self.mute or call_id not in self.open:
            return
        if does in STATUSES:
            self._final(call_id, way, *STATUSES[does])
            return
        if does == "rings":
            way.write(self._response(call_id, "180 Ringing", "one"))
        self._answer(call_id, way)
        if does == "twice":  # another branch of its own answers too: whoever called ends that one
            way.write(self._response(call_id, "200 OK", "two", b"another"))

    def _response(self, call_id: str, status: str, tag: str, body: bytes = b"") -> bytes:
        heard = self.open.get(call_id) or self.standing[call_id]
        copied = [(key, f"{value};tag={tag}" if key == "to" else value) for key, value in heard.copied()]
        contact = f"<sip:log@127.0.0.1:{self.port};transport={self.transport}>"
        return encode(f"SIP/2.0 {status}", [*copied, ("Contact", contact)], body)

    def _final(self, call_id: str, way: Way, status: int, cause: str) -> None:
        data = self.last[call_id] = self._response(call_id, f"{status} No", "one")
        heard = self.open.pop(call_id)
        if cause:
            self.history.add("down_out", self.process, number_of(heard), self.id, cause)
        self._until_acked(call_id, way, data, T1, COPIES)

    def _answer(self, call_id: str, way: Way) -> None:
        heard = self.open[call_id]
        text = f"{call_id} {self.id}"
        data = self.last[call_id] = self._response(call_id, "200 OK", "one", text.encode())
        self.standing[call_id] = self.open.pop(call_id)
        self.history.add("up", self.process, number_of(heard), self.id, text)
        self._until_acked(call_id, way, data, T1, COPIES)
        hold = self.chance.uniform(0.1, HOLD_MOST) if self.chance.random() < 0.7 else 2 * HOLD_MOST
        asyncio.get_running_loop().call_later(hold, self._release, call_id, way)

    def _until_acked(self, call_id: str, way: Way, data: bytes, gap: float, left: int) -> None:
        way.write(data)
        if left:
            self.unacked[call_id] = asyncio.get_running_loop().call_later(
                gap, self._until_acked, call_id, way, data, min(2 * gap, T2), left - 1
            )

    def _release(self, call_id: str, way: Way) -> None:
        """The call has come to its end; not before the ACK."""
        if call_id not in self.standing:
            return
        if self.mute or call_id in self.unacked or not way.open:
            way = next((one for one in self.ways if one.open), way)
            asyncio.get_running_loop().call_later(T1, self._release, call_id, way)
            return
        heard = self.standing.pop(call_id)
        via = f"SIP/2.0/{self.transport.upper()} 127.0.0.1:{self.port};branch=z9hG4bKb{call_id[:20]};rport"
        headers: Headers = [
            ("Via", via), ("From", f"{heard.get('to')};tag=one"), ("To", heard.get("from")),
            ("Call-ID", call_id), ("CSeq", "1 BYE"), ("Max-Forwards", "70"), ("Reason", "Q.850;cause=16"),
        ]  # fmt: skip
        data = encode(f"BYE {heard.get('contact').strip('<>')} SIP/2.0", headers)
        self.history.add("release_out", self.process, number_of(heard), self.id, "16")
        self._until_heard(call_id, way, data, T1, COPIES)

    def _until_heard(self, call_id: str, way: Way, data: bytes, gap: float, left: int) -> None:
        with suppress(OSError):
            way.write(data)
        if left:
            self.unheard[call_id] = asyncio.get_running_loop().call_later(
                gap, self._until_heard, call_id, way, data, min(2 * gap, T2), left - 1
            )


def number_of(heard: Heard) -> str:
    """The number called, by which the rig knows a call on either side."""
    return heard.get("to").partition("sip:")[2].partition("@")[0]
