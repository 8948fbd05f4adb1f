"""Log servers of a district: so many set-ups a second, cold after a start, reached over links that can be
cut.

Each gatekeeper has an address of its own for each log server, and that is the link between the two: what
comes there is lost, delayed or kept from passing before the log server hears of it, and its words likewise.
So a link sees the set-ups of a log server that is not there, too; those are noted as `dark`.
"""

from __future__ import annotations

import asyncio
import random
import socket
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from math import sqrt
from typing import Any

from ..process import quiet_port
from ..sip_peers import Headers, Heard, decode, encode

T1, T2 = 0.1, 0.4  # seconds; as the files of the rig have them
COPIES = 8  # of an answer that is not acknowledged
LINES = 5000
COLD_FROM, COLD, FALL_MULTIPLE, FALL = 0.29, 15.0, 3.0, 3.0  # as the settings' rules say
FALL_SLACK = 1.0  # standard deviations of the count that chance may add
DOWN_AFTER_FALL = 6.0  # seconds
AT_ONCE = 64  # datagrams of one socket, then other work gets its turn
RECEIVE_BUFFER = 4 << 20
ANSWERS_AFTER = (0.002, 0.012)  # seconds, evenly drawn: the way and the work beside the queue


def micros(seconds: float) -> int:
    """Of the loop's clock, which is the machine's monotonic one."""
    return round(seconds * 1e6)


@dataclass
class Attempt:
    """A set-up at a log server, as its link saw it. Microseconds; 0: not yet."""

    server: str
    at: int
    trying: int = 0  # the log server said that it has it
    ended: int = 0  # answered, or given up by the gatekeeper
    how: str = ""  # a status, `cancelled`, `dark` (nobody was there), or nothing
    last: int = 0  # when the set-up, or its latest copy, came


@dataclass
class CallSeen:
    """One call, as its caller and the log servers saw it."""

    id: str
    kind: str
    district: str  # of its caller
    gatekeeper: str
    site: str  # of that gatekeeper
    offered: int
    hold: float
    rings_off: bool  # its caller ends it, else its log server
    finals: list[tuple[int, int, int]] = field(default_factory=list)  # when, status, wait in ms it was told
    tags: set[tuple[int, str]] = field(default_factory=set)  # answers that differ
    attempts: dict[str, Attempt] = field(default_factory=dict)  # by the Call-ID of the server's side
    released: int = 0  # its caller was told that it is over
    cause: int = 0
    over: int = 0  # its caller or its log server ended it
    excuse: str = ""  # what of the rig's own doing it met


Calls = dict[str, CallSeen]
Datagram = Callable[[bytes, tuple[str, int]], None]


class Datagrams:
    """A UDP socket that is emptied whenever it is read.

    A datagram transport of asyncio takes one at each turn of the loop: where the rig is busy, one socket of
    many would fall seconds behind, and its words with it.
    """

    def __init__(self, take: Datagram, port: int = 0) -> None:
        """Errors: OSError."""
        self._take = take
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER)
        self._socket.bind(("127.0.0.1", port))
        self.port: int = self._socket.getsockname()[1]
        self._loop = asyncio.get_running_loop()
        self._loop.add_reader(self._socket, self._readable)

    def _readable(self) -> None:
        for _ in range(AT_ONCE):
            try:
                data, address = self._socket.recvfrom(65_536)
            except (BlockingIOError, ConnectionError):
                return
            self._take(data, address)

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Send, or lose it as a network does."""
        try:
            self._socket.sendto(data, address)
        except OSError:
            pass

    def close(self) -> None:
        """End it."""
        if self._socket.fileno() >= 0:
            self._loop.remove_reader(self._socket)
            self._socket.close()


class Link:
    """Between one gatekeeper and one log server. Faults hold for both directions unless said otherwise."""

    def __init__(self, gatekeeper: str, server: LogServer, chance: random.Random) -> None:
        self.gatekeeper, self.server, self._chance = gatekeeper, server, chance
        self.port = quiet_port()
        self.cut_to = self.cut_from = False
        self.delay = 0.0  # seconds, each way
        self.loss = 0.0
        self.udp: Datagrams | None = None
        self.listener: asyncio.Server | None = None
        self.streams: set[Stream] = set()

    def mend(self) -> None:
        """As at the start."""
        self.cut_to = self.cut_from = False
        self.delay = self.loss = 0.0

    async def open(self) -> None:
        """Listen. Errors: OSError."""
        loop = asyncio.get_running_loop()
        if self.server.transport == "udp":
            self.udp = Datagrams(self._datagram, self.port)
        else:
            self.listener = await loop.create_server(lambda: Stream(self), "127.0.0.1", self.port)

    def shut(self) -> None:
        """The log server's machine is gone: connections break. Datagrams vanish, as before a dead address."""
        if self.listener is not None:
            self.listener.close()
            self.listener = None
        for stream in list(self.streams):
            stream.abort()

    def close(self) -> None:
        """End it."""
        self.shut()
        if self.udp is not None:
            self.udp.close()

    def _datagram(self, data: bytes, address: tuple[str, int]) -> None:
        udp = self.udp
        assert udp is not None
        self.came(data, lambda words: udp.send(words, address))

    def came(self, data: bytes, write: Callable[[bytes], object]) -> None:
        """A whole message of the gatekeeper."""
        heard = decode(data)
        dark = self.cut_to or (self.loss > 0 and self._chance.random() < self.loss)
        if dark or not self.server.up:
            if not heard.status and heard.method == "INVITE":
                self.server.unheard(heard)
            return
        way = Way(self, write)
        if self.delay:
            asyncio.get_running_loop().call_later(self.delay, self.server.take, heard, way)
        else:
            self.server.take(heard, way)

    def words(self, data: bytes, write: Callable[[bytes], object]) -> None:
        """A message to the gatekeeper."""
        if self.cut_from or (self.loss and self._chance.random() < self.loss):
            return
        if self.delay:
            asyncio.get_running_loop().call_later(self.delay, write, data)
        else:
            write(data)


class Way:
    """Where the answers to a message go: by the same link to whoever sent it."""

    def __init__(self, link: Link, write: Callable[[bytes], object]) -> None:
        self.link, self._write = link, write

    def write(self, data: bytes) -> None:
        """Send a message."""
        self.link.words(data, self._write)


class Stream(asyncio.Protocol):
    """A TCP connection of a gatekeeper."""

    def __init__(self, link: Link) -> None:
        self.link, self._kept = link, b""

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.link.streams.add(self)

    def connection_lost(self, fault: Exception | None) -> None:
        self.link.streams.discard(self)

    def abort(self) -> None:
        """Reset it."""
        self.transport.abort()

    def write(self, data: bytes) -> None:
        """Send a message."""
        if not self.transport.is_closing():
            self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        self._kept += data
        while (whole := whole_message(self._kept)) is not None:
            message, self._kept = whole
            self.link.came(message, self.write)


def whole_message(kept: bytes) -> tuple[bytes, bytes] | None:
    """The first message of a stream and what follows it; None while it is not all there."""
    head, blank, rest = kept.partition(b"\r\n\r\n")
    if not blank:
        return None
    size = int(decode(head).get("content-length") or 0)
    if len(rest) < size:
        return None
    return head + b"\r\n\r\n" + rest[:size], rest[size:]


class LogServer:
    """Sets up `capacity` calls a second, one after the other; above that it is slow, or refuses."""

    def __init__(
        self, name: str, district: str, number: int, capacity: float, transport: str, patience: float,
        calls: Calls, chance: random.Random, note: Callable[..., None],
    ) -> None:  # fmt: skip
        """`patience`: seconds of work that may wait; beyond, set-ups are refused with 503."""
        self.name, self.district, self.number, self.capacity = name, district, number, capacity
        self.transport, self.patience, self._calls, self._chance = transport, patience, calls, chance
        self._note = note
        self.links: dict[str, Link] = {}
        self.up, self.slow = True, 0.0  # slow: seconds that each answer comes later, whoever asks
        self._cold_at = -COLD  # when it was started: warm for long
        self._life = 0
        self._queue: deque[str] = deque()
        self._next = 0.0  # the loop's time at which the set-up in work is done
        self._working = False
        self._came: deque[float] = deque()
        self._forget()

    def _forget(self) -> None:
        self._last: dict[str, bytes] = {}
        self._unacked: dict[str, asyncio.TimerHandle] = {}
        self._invites: dict[str, tuple[Heard, Way, CallSeen]] = {}
        self._standing: dict[str, tuple[Heard, Way, CallSeen]] = {}
        self._queue.clear()
        self._came.clear()

    # --- its life

    def now(self) -> float:
        """The loop's clock."""
        return asyncio.get_running_loop().time()

    def can(self, at: float) -> float:
        """Set-ups a second that it can do at a moment: cold ones grow evenly."""
        if not self.up:
            return 0.0
        part = min(1.0, max(0.0, (at - self._cold_at) / COLD))
        return self.capacity * (COLD_FROM + (1 - COLD_FROM) * part)

    async def open(self, gatekeepers: list[str]) -> None:
        """A link for each gatekeeper. Errors: OSError."""
        for name in gatekeepers:
            self.links[name] = Link(name, self, self._chance)
            await self.links[name].open()
        self._note("server_up", self.name, district=self.district, capacity=self.capacity, cold_s=0.0)

    def kill(self, why: str = "killed") -> None:
        """Its machine is gone, with all calls there."""
        if not self.up:
            return
        self.up = False
        self._life += 1
        for timer in self._unacked.values():
            timer.cancel()
        for _, _, call in self._standing.values():
            call.excuse = call.excuse or why
        self._forget()
        for link in self.links.values():
            link.shut()
        self._note("server_down", self.name, district=self.district, why=why)

    async def start(self) -> None:
        """Started anew: cold, and knows no call."""
        if self.up:
            return
        self.up, self._cold_at, self._next, self._working = True, self.now(), 0.0, False
        for link in self.links.values():
            if self.transport == "tcp" and link.listener is None:
                await link.open()
        self._note("server_up", self.name, district=self.district, capacity=self.capacity, cold_s=COLD)

    def _pressed(self, now: float) -> None:
        """A cold one falls over when it is sent too much; all that reaches it counts."""
        self._came.append(now)
        while self._came and self._came[0] < now - FALL:
            self._came.popleft()
        if now > self._cold_at + COLD:
            return
        begin = max(now - FALL, self._cold_at)
        middle = self.can((begin + now) / 2)  # its capacity grows evenly, so that is the mean
        allowed = FALL_MULTIPLE * middle * FALL
        if len(self._came) > allowed + FALL_SLACK * sqrt(allowed):
            self._note("server_fell", self.name, district=self.district, came=len(self._came),
                       allowed=round(allowed, 1))  # fmt: skip
            self.kill("fell")
            asyncio.get_running_loop().call_later(DOWN_AFTER_FALL, self._again, self._life)

    def _again(self, life: int) -> None:
        if not self.up and self._life == life:
            self._task = asyncio.ensure_future(self.start())

    # --- calls

    def unheard(self, heard: Heard) -> None:
        """A set-up that came when nobody was there, or that its link lost."""
        call = self._calls.get(number_of(heard))
        if call is not None:
            at = micros(self.now())
            attempt = call.attempts.setdefault(heard.get("call-id"), Attempt(self.name, at, how="dark"))
            attempt.last = at

    def take(self, heard: Heard, way: Way) -> None:
        """A message that reached it."""
        if not self.up or heard.status:
            return
        call_id, method = heard.get("call-id"), heard.method
        call = self._calls.get(number_of(heard))
        if method == "INVITE" and call is not None:
            self._invite(call_id, heard, way, call)
        elif method == "ACK":
            if (timer := self._unacked.pop(call_id, None)) is not None:
                timer.cancel()
        elif method == "BYE":
            way.write(encode("SIP/2.0 200 OK", heard.copied()))
            if (standing := self._standing.pop(call_id, None)) is not None:
                self._give_up(standing[2], call_id, "released")
            if (timer := self._unacked.pop(call_id, None)) is not None:
                timer.cancel()
        elif method == "CANCEL":
            way.write(encode("SIP/2.0 200 OK", heard.copied()))
            if call is not None:
                self._give_up(call, call_id, "cancelled")
            if call_id in self._invites and call_id not in self._last:
                self._final(call_id, 487)

    def _give_up(self, call: CallSeen, call_id: str, how: str) -> None:
        attempt = call.attempts.get(call_id)
        if attempt is not None and not attempt.ended:
            attempt.ended, attempt.how = micros(self.now()), how

    def _invite(self, call_id: str, heard: Heard, way: Way, call: CallSeen) -> None:
        trying = encode("SIP/2.0 100 Trying", heard.copied())
        if call_id in self._last or call_id in self._invites:
            call.attempts[call_id].last = micros(self.now())
            way.write(self._last.get(call_id, trying))
            return
        now = self.now()
        attempt = call.attempts.setdefault(call_id, Attempt(self.name, micros(now)))
        attempt.trying = attempt.last = micros(now)
        attempt.how = ""
        self._invites[call_id] = (heard, way, call)
        way.write(trying)
        self._pressed(now)
        if not self.up:
            return
        rate = self.can(now)
        if len(self._queue) / rate > self.patience:
            self._later(call_id, self._final, 503)
            return
        self._queue.append(call_id)
        if not self._working:
            self._next = max(now, self._next)
            self._work()

    def _work(self) -> None:
        while self._queue and (self._queue[0] in self._last or self._queue[0] not in self._invites):
            self._queue.popleft()  # given up meanwhile
        self._working = bool(self._queue)
        if self._working:
            self._next += 1 / self.can(self.now())
            asyncio.get_running_loop().call_at(self._next, self._done, self._life)

    def _done(self, life: int) -> None:
        if life != self._life:
            return
        if self._queue:
            call_id = self._queue.popleft()
            if call_id in self._invites and call_id not in self._last:
                self._later(call_id, self._answer)
        self._work()

    def _later(self, call_id: str, action: Callable[..., None], *what: Any) -> None:
        low, high = ANSWERS_AFTER
        after = self.slow + low + (high - low) * self._chance.random()
        life = self._life
        asyncio.get_running_loop().call_later(
            after, lambda: action(call_id, *what) if life == self._life else None
        )

    def _headers(self, heard: Heard) -> Headers:
        return [(k, f"{v};tag=s{self.number}" if k == "to" else v) for k, v in heard.copied()]

    def load(self) -> str:
        """Its report."""
        return f"x0:{LINES - len(self._standing)};x1:{LINES}"

    def _final(self, call_id: str, status: int) -> None:
        if call_id in self._last or call_id not in self._invites:
            return
        heard, way, call = self._invites.pop(call_id)
        self._give_up(call, call_id, str(status))
        headers = [*self._headers(heard), ("P-Load", self.load())]
        self._until_acked(call_id, way, encode(f"SIP/2.0 {status} No", headers))

    def _answer(self, call_id: str) -> None:
        if call_id in self._last or call_id not in self._invites:
            return
        heard, way, call = self._invites.pop(call_id)
        self._give_up(call, call_id, "200")
        self._standing[call_id] = (heard, way, call)
        place = heard.first.split()[1].partition("@")[2]  # as the gatekeeper knows it: the link
        contact = f"<sip:log@{place};transport={self.transport}>"
        headers = [*self._headers(heard), ("Contact", contact), ("P-Load", self.load())]
        self._until_acked(call_id, way, encode("SIP/2.0 200 OK", headers, b"answer " + call_id.encode()))
        if not call.rings_off:
            self._in(call.hold, self._bye, call_id)

    def _in(self, seconds: float, action: Callable[..., None], *what: Any) -> None:
        life = self._life
        asyncio.get_running_loop().call_later(seconds, lambda: action(*what) if life == self._life else None)

    def _until_acked(self, call_id: str, way: Way, data: bytes, gap: float = T1, left: int = COPIES) -> None:
        self._last[call_id] = data
        way.write(data)
        if left:
            self._unacked[call_id] = asyncio.get_running_loop().call_later(
                gap, self._until_acked, call_id, way, data, min(2 * gap, T2), left - 1
            )

    def _bye(self, call_id: str) -> None:
        if call_id in self._unacked:  # not before the ACK
            self._in(T1, self._bye, call_id)
            return
        if (standing := self._standing.pop(call_id, None)) is None:
            return
        heard, way, call = standing
        call.over = call.over or micros(self.now())
        contact = heard.get("contact").strip("<>")
        own = heard.first.split()[1].partition("@")[2]
        via = f"SIP/2.0/{self.transport.upper()} {own};branch=z9hG4bKb{call_id[:16]};rport"
        headers = [("Via", via), ("From", f"{heard.get('to')};tag=s{self.number}"),
                   ("To", heard.get("from")), ("Call-ID", call_id), ("CSeq", "1 BYE"),
                   ("Max-Forwards", "70"), ("Reason", "Q.850;cause=16")]  # fmt: skip
        data = encode(f"BYE {contact} SIP/2.0", headers)
        for copy in range(4 if self.transport == "udp" else 1):
            self._in(T1 * (2**copy - 1), way.write, data)


def number_of(heard: Heard) -> str:
    """The number dialled, which names the call."""
    return heard.get("to").partition("sip:")[2].partition("@")[0]
