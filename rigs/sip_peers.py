"""Stand-in callers and log servers that speak SIP over UDP and TCP, with seeded loss and reordering.

One driver plays both sides of the real program, which runs as a process of its own, and counts the final
answers of every call and the attempts that are out together.

What goes by time is judged from records, after the run: of each message the instant at which the kernel had
it, of the machine how long it kept the rig and the program from running (`Machine`). What a standstill could
explain is neither a fault nor right: it is undecided, and a run with anything undecided is starved, no pass.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import random
import socket
import struct
import sys
import tempfile
import time
import warnings
from bisect import bisect_left
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from itertools import combinations
from pathlib import Path as File
from typing import Any

from .process import Process, connect, free_port

T1 = 0.1
RELEASE_WAIT, SLACK = 0.3, 0.06
TICK = 0.01  # seconds between two looks at how late the machine is
WAITS = 6.0  # seconds that a caller waits for its answer
WAITS_MORE = 6.0  # seconds by which that is extended at most, where the program was kept from running
FORGETS = 32 * T1  # seconds of standstill after which a copy of a set-up may meet a program that forgot it
DISTURBED = 0.1  # seconds of standstill in a call's time, or in the second before, that may refuse it
STARVED = 0.5  # share of a run in which the rig or the program was kept from running: nothing is judged
PLAYS = 3  # a starved run is played again at most twice
SO_TIMESTAMPNS, SO_RXQ_OVFL = 35, 40  # Linux: when the kernel had it; what it dropped before it
TEMPLATE = """
seed = "{seed:x}"
[sip]
udp = "127.0.0.1:{port}"
tcp = "127.0.0.1:{port}"
t1_ms = 100
t2_ms = 400
t4_ms = 500
calls_most = {most}
[[classes]]
name = "log-lookup"
aim_ms = 2000
deadline_ms = 3000
worth = 1.0
hold_ms = 300
[[classes]]
name = "log-update"
aim_ms = 1500
deadline_ms = 3000
worth = 2.0
hold_ms = 300
"""


def sip_port() -> int:
    """A port free for both transports."""
    while True:
        port = free_port()
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            try:
                sock.bind(("127.0.0.1", port))
                return port
            except OSError:
                continue


def operators_file(
    port: int, servers: list[tuple[int, str]], seed: int = 1, extra: str = "", most: int = 8000
) -> str:
    """Write an operator's file that names these log servers; its path."""
    text = TEMPLATE.format(port=port, seed=seed, most=most) + extra
    for number, (at, transport) in enumerate(servers):
        text += f'[[servers]]\nid = "log-{number}"\naddress = "127.0.0.1:{at}"\ntransport = "{transport}"\n'
    with tempfile.NamedTemporaryFile("w", suffix=".toml", delete=False) as file:
        file.write(text)
    return file.name


Headers = list[tuple[str, str]]


@dataclass
class Heard:
    """A message as a stand-in reads it."""

    first: str
    headers: Headers
    body: bytes

    def get(self, name: str) -> str:
        return next((value for key, value in self.headers if key == name), "")

    @property
    def status(self) -> int:
        return int(self.first[8:11]) if self.first.startswith("SIP/2.0 ") else 0

    @property
    def method(self) -> str:
        return self.get("cseq").split()[1]

    def tag(self, name: str) -> str:
        return self.get(name).partition(";tag=")[2].partition(";")[0]

    def copied(self) -> Headers:
        return [
            (k, v) for k, v in self.headers if k in ("via", "from", "to", "call-id", "cseq", "record-route")
        ]


def decode(data: bytes) -> Heard:
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode().split("\r\n")
    headers = [(k.lower(), v.strip()) for k, _, v in (line.partition(":") for line in lines[1:])]
    return Heard(lines[0], headers, body)


def encode(first: str, headers: Headers, body: bytes = b"") -> bytes:
    lines = [first, *(f"{k}: {v}" for k, v in headers), f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


@dataclass(frozen=True, slots=True)
class When:
    """An instant by the loop's clock, as closely as it is known; seconds."""

    earliest: float
    latest: float


@dataclass(frozen=True, slots=True)
class Kept:
    """For how long something was kept from running in a time; seconds by the loop's clock."""

    start: float
    end: float
    span: float


class Machine:
    """How late the rig's own loop was, and how long the system kept the program from running."""

    def __init__(self) -> None:
        self.rig: list[Kept] = []
        self.program: list[Kept] = []
        self.began = self.ended = 0.0
        self._beats = (0.0, 0.0)  # the last two looks; none: nothing is measured

    async def measure(self, pid: int) -> None:
        """Look every tick, until it is cancelled."""
        clock = asyncio.get_running_loop().time
        self.began = at = clock()
        waited, stopped = self._waited(pid)
        while True:
            await asyncio.sleep(TICK)
            before, at = at, clock()
            self.ended, self._beats = at, (before, at)
            if (late := at - before - TICK) > TICK / 2:
                self.rig.append(Kept(before + TICK, at, late))
            was, was_stopped = waited, stopped
            waited, stopped = self._waited(pid)
            kept = at - before if stopped or was_stopped else waited - was
            if kept > TICK / 10:
                self._keep(min(before, at - kept), at, kept)

    def _keep(self, start: float, end: float, span: float) -> None:
        """The system counts a wait at its end, however long it was: it may reach back over what is noted."""
        while self.program and self.program[-1].end > start:
            last = self.program.pop()
            start, span = min(start, last.start), span + last.span
        self.program.append(Kept(start, end, min(span, end - start)))

    @staticmethod
    def _waited(pid: int) -> tuple[float, bool]:
        """Seconds in which it could run and did not, and whether it is stopped now."""
        with suppress(OSError, IndexError, ValueError):
            state = File(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()[0]
            return int(File(f"/proc/{pid}/schedstat").read_text().split()[1]) / 1e9, state in "Tt"
        return 0.0, False

    def unread_since(self, now: float) -> float:
        """What is read now came after this: `now` itself, as long as the rig's loop is not late."""
        before, last = self._beats
        # What was there at the last look but one has been read since: each pass of the loop reads.
        return before if last and now - last > 2 * TICK else now

    def kept(self, start: float, end: float) -> float:
        """Seconds between two instants in which the rig, or the program, was kept from running: the more."""
        return max(kept_in(side, start, end) for side in (self.rig, self.program))

    def share(self) -> float:
        """The share of the run in which the rig, or the program, was kept from running."""
        span = self.ended - self.began
        return self.kept(self.began, self.ended) / span if span > 0 else 0.0


def kept_in(side: list[Kept], start: float, end: float) -> float:
    """Seconds in which a side was kept from running, of those between two instants. The side is in order."""
    total = 0.0
    for at in range(bisect_left(side, start, key=lambda kept: kept.end), len(side)):
        kept = side[at]
        if kept.start > end:
            break
        total += min(kept.span, kept.end - start, end - kept.start, end - start)
    return total


def run_up(side: list[Kept], when: When) -> float:
    """Seconds in which a side was kept from running without a break, until it did something.

    A process that is kept between a decision and its sending sends late. What is spread thin over a busy
    time is none of that.
    """
    first = at = bisect_left(side, when.earliest - TICK, key=lambda kept: kept.end)
    total = 0.0
    while at < len(side) and side[at].start <= when.latest:
        total += min(side[at].span, when.latest - side[at].start)
        at += 1
    if at == first:
        return 0.0
    while first > 0:
        before = side[first - 1]
        if side[first].start - before.end > 1.5 * TICK or before.span < (before.end - before.start) / 2:
            break
        total, first = total + before.span, first - 1
    return total


class StampedSocket(socket.socket):
    """A socket that knows when the kernel had what is read last, however late it is read."""

    stamp: float | None = None  # seconds by the clock of the day
    dropped = 0  # datagrams, since it was opened

    def ask(self) -> None:
        """Ask the kernel for the time of each message, and for what it drops."""
        self.setsockopt(socket.SOL_SOCKET, SO_TIMESTAMPNS, 1)
        if self.type == socket.SOCK_DGRAM:
            self.setsockopt(socket.SOL_SOCKET, SO_RXQ_OVFL, 1)

    def accept(self) -> tuple[socket.socket, Any]:
        plain, address = super().accept()
        sock = StampedSocket(plain.family, plain.type, plain.proto, plain.detach())
        sock.ask()
        return sock, address

    def _read(self, size: int) -> tuple[bytes, Any]:
        data, extras, _, address = self.recvmsg(size, 128)
        self.stamp = None
        for level, kind, value in extras:
            if (level, kind) == (socket.SOL_SOCKET, SO_TIMESTAMPNS):
                seconds, nanoseconds = struct.unpack("qq", value)
                self.stamp = seconds + nanoseconds / 1e9
            elif (level, kind) == (socket.SOL_SOCKET, SO_RXQ_OVFL):
                self.dropped = struct.unpack("I", value)[0]
        return data, address

    def recv(self, size: int, flags: int = 0) -> bytes:
        return self._read(size)[0]

    def recvfrom(self, size: int, flags: int = 0) -> tuple[bytes, Any]:  # type: ignore[override]
        return self._read(size)

    def arrived(self) -> float:
        """When the kernel had what is read now, by the loop's clock."""
        now = asyncio.get_running_loop().time()
        return now if self.stamp is None else now - max(0.0, time.time() - self.stamp)


Take = Callable[[Heard, "Path", bool], None]  # message, where it came from, whether it is lost on the way


class Path:
    """One way to the far end: a UDP socket or a TCP connection."""

    def __init__(self, weather: Weather, take: Take, transport: str) -> None:
        self.weather, self.take, self.transport = weather, take, transport
        self.peer: tuple[str, int] | None = None
        self.stamped: StampedSocket | None = None
        self.arrived: When | None = None  # of the message that is taken now; none: as it is read

    def write(self, data: bytes) -> None:
        raise NotImplementedError


class UdpPath(Path, asyncio.DatagramProtocol):
    """A datagram socket whose datagrams are lost and delayed, in both directions, by the weather."""

    def connection_made(self, transport: Any) -> None:
        self.sock: asyncio.DatagramTransport = transport
        raw = transport.get_extra_info("socket")
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4 << 20)

    def write(self, data: bytes) -> None:
        if not self.weather.lost():
            self.weather.late(lambda: None if self.sock.is_closing() else self.sock.sendto(data, self.peer))

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        self.peer = address
        if self.stamped is not None:
            at = self.stamped.arrived()
            self.arrived = When(at, at)
        self.take(decode(data), self, self.weather.lost())


class TcpPath(Path, asyncio.Protocol):
    """A TCP connection."""

    kept = b""
    read_at = 0.0  # the stamp of the last read

    def connection_made(self, transport: Any) -> None:
        self.stream: asyncio.Transport = transport
        raw = getattr(transport.get_extra_info("socket"), "_sock", None)
        self.stamped = raw if isinstance(raw, StampedSocket) else None

    def write(self, data: bytes) -> None:
        if not self.stream.is_closing():
            self.stream.write(data)

    def data_received(self, data: bytes) -> None:
        self.kept += data
        if self.stamped is not None:  # the stamp is that of the last piece: what else is read came before it
            latest = self.stamped.arrived()
            since = self.weather.machine.unread_since(asyncio.get_running_loop().time())
            self.arrived = When(min(latest, max(self.read_at, since)), latest)
            self.read_at = latest
        while b"\r\n\r\n" in self.kept:
            head, _, rest = self.kept.partition(b"\r\n\r\n")
            size = int(decode(head).get("content-length"))
            if len(rest) < size:
                return
            self.kept = rest[size:]
            if self.arrived is not None and not self.kept:
                self.arrived = When(self.arrived.latest, self.arrived.latest)
            self.take(decode(head + b"\r\n\r\n" + rest[:size]), self, False)


class Weather:
    """Loss and reordering on UDP, from one seed."""

    well = False  # log servers answer every set-up
    unreleased = 0.0  # share of the calls that their log server never ends: they fill the program

    def __init__(self, seed: int, loss: float, reorder: float) -> None:
        self.chance, self.loss, self.reorder = random.Random(seed), loss, reorder
        self.machine = Machine()

    def lost(self) -> bool:
        return self.chance.random() < self.loss

    def late(self, action: Callable[[], object]) -> None:
        if self.chance.random() < self.reorder:
            asyncio.get_running_loop().call_later(self.chance.random() * 0.03, action)
        else:
            action()


@dataclass
class Attempt:
    """One set-up at a log server."""

    begun: When
    over: When | None = None  # given up, or answered by its log server
    given_up: bool = False


@dataclass
class Track:
    """What both sides saw of one call."""

    finals: set[tuple[int, str]] = field(default_factory=set)
    seen: set[str] = field(default_factory=set)  # INVITEs, by the Call-ID of the server's side
    attempts: dict[str, Attempt] = field(default_factory=dict)  # by the same Call-ID
    began: float = 0.0  # the loop's clock
    over: float = 0.0  # when its first final answer came
    again: float = 0.0  # when another one came
    log: list[tuple[float, str]] = field(default_factory=list)  # what log servers saw
    gave_up: float = float("inf")  # when its caller stopped waiting without any
    notes: list[str] = field(default_factory=list)  # what its caller did
    ended: asyncio.Event = field(default_factory=asyncio.Event)


@dataclass(frozen=True)
class Verdict:
    """What a run is: counts of what is a fault for sure, and of what a standstill could explain."""

    faults: Counter[str]
    undecided: Counter[str]

    def __str__(self) -> str:
        if self.faults:
            return f"faults {dict(self.faults)}, undecided {dict(self.undecided)}"
        return f"starved: nothing judged {dict(self.undecided)}" if self.undecided else "right"


class Report:
    """Counts over all calls, and the verdict on them."""

    def __init__(self) -> None:
        self.calls: dict[str, Track] = {}
        self.faults: Counter[str] = Counter()  # those that no standstill explains
        self.statuses: Counter[int] = Counter()
        self.attempts = self.byes = self.late_200 = 0
        self.machine = Machine()
        self.sockets: list[StampedSocket] = []

    @property
    def broken(self) -> list[tuple[str, str]]:
        """Each sure fault between two attempts of a call, and the call."""
        return [(fault, name) for fault, name, sure in self._of_attempts() if sure]

    def judge(self, served_above: int = -1) -> Verdict:
        """Judge the whole run. `served_above`: more calls than so many must be answered with a 200."""
        faults, undecided = Counter(self.faults), Counter[str]()
        for fault, _, sure in self._of_attempts():
            (faults if sure else undecided)[fault] += 1
        refused = 0  # no standstill explains it
        for track in self.calls.values():
            end = track.over or track.gave_up
            if not track.finals:
                late = self.machine.kept(track.began, end) >= WAITS_MORE
                (undecided if late else faults)["missing answers"] += 1
            if len(track.finals) > 1:
                forgot = self.machine.kept(track.began, track.again) >= FORGETS
                (undecided if forgot else faults)["double answers"] += 1
            if all(status != 200 for status, _ in track.finals):
                refused += self.machine.kept(track.began - 1, end) <= DISTURBED
        if self.statuses[200] <= served_above:
            sure = len(self.calls) - refused <= served_above
            (faults if sure else undecided)["calls served"] += 1
        if any(sock.dropped for sock in self.sockets):
            undecided["datagrams dropped"] += sum(sock.dropped for sock in self.sockets)
        if self.machine.share() > STARVED:
            undecided["kept from running"] += 1
        return Verdict(+faults, +undecided)

    def _of_attempts(self) -> Iterator[tuple[str, str, bool]]:
        """Each fault between two attempts of a call, the call, and whether it is sure."""
        dropped = any(sock.dropped for sock in self.sockets)  # a CANCEL may be among them
        for name, track in self.calls.items():
            ordered = sorted(track.attempts.values(), key=lambda attempt: attempt.begun.latest)
            for first, second in combinations(ordered, 2):
                at = second.begun
                if first.over is None:
                    # Its CANCEL may lie there unread, if the rig was late at the run's very end.
                    unread = kept_in(self.machine.rig, self.machine.ended - RELEASE_WAIT, float("inf")) > TICK
                    yield "two attempts out", name, not unread and not dropped
                    continue
                wait = RELEASE_WAIT - SLACK if first.given_up else 0.0
                least, most = at.earliest - first.over.latest, at.latest - first.over.earliest
                if least >= wait:
                    continue
                if most >= 0 and first.given_up:  # it may have been kept between the decision and the sending
                    most += max(run_up(side, first.over) for side in (self.machine.rig, self.machine.program))
                fault = "sent again too soon" if most >= 0 and first.given_up else "two attempts out"
                yield fault, name, most < wait and not dropped


class StandInServer:
    """A log server: answers, refuses, stays silent, or answers late, by chance."""

    def __init__(self, report: Report, weather: Weather, chance: random.Random, number: int) -> None:
        self.report, self.weather, self.chance, self.number = report, weather, chance, number
        self.last: dict[str, bytes] = {}
        self.unacked: dict[str, asyncio.TimerHandle] = {}
        self.standing: dict[str, Heard] = {}
        self.invites: dict[str, Heard] = {}
        self.in_use = 0
        self.paths: list[Path] = []

    async def listen(self, port: int, transport: str) -> None:
        loop = asyncio.get_running_loop()
        self.port, self.transport = port, transport
        if transport == "udp":
            sock = StampedSocket(socket.AF_INET, socket.SOCK_DGRAM)
            sock.ask()
            sock.bind(("127.0.0.1", port))
            made = await loop.create_datagram_endpoint(self.udp, sock=sock)
            made[1].stamped = sock
            self.report.sockets.append(sock)
            self.paths.append(made[1])
        else:
            sock = StampedSocket(socket.AF_INET, socket.SOCK_STREAM)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            sock.bind(("127.0.0.1", port))
            self.listener = await loop.create_server(self.tcp, sock=sock)

    def udp(self) -> UdpPath:
        return UdpPath(self.weather, self.take, "udp")

    def tcp(self) -> TcpPath:
        return TcpPath(self.weather, self.take, "tcp")

    def take(self, heard: Heard, path: Path, lost: bool) -> None:
        call_id, method = heard.get("call-id"), heard.method
        if heard.status:
            return
        number = heard.get("to").partition("sip:")[2].partition("@")[0]
        track = self.report.calls.get(number)
        if track is None:
            self.report.faults["unknown number"] += 1
            return
        now = asyncio.get_running_loop().time()
        when = path.arrived or When(now, now)
        track.log.append((when.latest, f"{method} {call_id[:6]} at {self.number}"))
        if method in ("CANCEL", "BYE"):  # given up, though the word may yet be lost
            self._out_no_more(track, call_id, when, given_up=True)
        if lost:
            return
        if method == "INVITE":
            self._invite(heard, path, track, when)
        elif method == "ACK":
            if (timer := self.unacked.pop(call_id, None)) is not None:
                timer.cancel()
        elif method == "BYE":
            self._over(call_id)
            path.write(encode("SIP/2.0 200 OK", heard.copied()))
            self.report.byes += 1
        elif method == "CANCEL":
            path.write(encode("SIP/2.0 200 OK", heard.copied()))
            invite = self.standing.get(call_id)
            if call_id not in self.last and call_id in track.seen and invite is None:
                if self.chance.random() < 0.3:  # the 200 was on its way
                    self.report.late_200 += 1
                    self._answer(call_id, track, path)
                else:
                    self._final(call_id, track, path, 487)

    def _invite(self, heard: Heard, path: Path, track: Track, when: When) -> None:
        call_id = heard.get("call-id")
        if call_id in track.seen:
            # A copy: the final answer again, or the 100 until there is one.
            path.write(self.last.get(call_id) or encode("SIP/2.0 100 Trying", heard.copied()))
            return
        self.report.attempts += 1
        track.seen.add(call_id)
        track.attempts[call_id] = Attempt(when)
        self.invites[call_id] = heard
        path.write(encode("SIP/2.0 100 Trying", heard.copied()))
        draw, loop = self.chance.random(), asyncio.get_running_loop()
        delay = 0.002 + self.chance.random() * 0.02
        if self.weather.well:
            loop.call_later(delay, self._answer, call_id, track, path)
            return
        if draw < 0.0005:
            return  # silent until it is given up
        if draw < 0.03:
            status = self.chance.choice((503, 486, 500))
            loop.call_later(delay, self._final, call_id, track, path, status)
        else:
            loop.call_later(delay, self._answer, call_id, track, path)

    def _out_no_more(self, track: Track, call_id: str, when: When, given_up: bool = False) -> None:
        attempt = track.attempts.get(call_id)
        # A CANCEL that lay unread while its log server answered was there first.
        if attempt is not None and (attempt.over is None or when.latest < attempt.over.earliest):
            attempt.over, attempt.given_up = when, given_up

    def _final(self, call_id: str, track: Track, path: Path, status: int) -> None:
        if call_id in self.last:
            return
        heard = self.invites.pop(call_id, None)
        if heard is None:  # a CANCEL of another log server's attempt, after a restart in between
            return
        now = asyncio.get_running_loop().time()
        self._out_no_more(track, call_id, When(now, now))
        copied = [(k, f"{v};tag=s{self.number}" if k == "to" else v) for k, v in heard.copied()]
        track.log.append((now, f"{status} {call_id[:6]} by {self.number}"))
        data = self.last[call_id] = encode(f"SIP/2.0 {status} No", [*copied, ("P-Load", self.load())])
        self._until_acked(call_id, path, data, T1, 8)

    def _answer(self, call_id: str, track: Track, path: Path) -> None:
        if call_id in self.last:
            return
        heard = self.invites.pop(call_id)
        now = asyncio.get_running_loop().time()
        self._out_no_more(track, call_id, When(now, now))
        self.in_use += 1
        track.log.append((now, f"200 {call_id[:6]} by {self.number}"))
        self.standing[call_id] = heard
        copied = [(k, f"{v};tag=s{self.number}" if k == "to" else v) for k, v in heard.copied()]
        contact = f"<sip:log@127.0.0.1:{self.port};transport={self.transport}>"
        headers = [*copied, ("Contact", contact), ("P-Load", self.load())]
        data = self.last[call_id] = encode("SIP/2.0 200 OK", headers, b"answer " + call_id.encode())
        self._until_acked(call_id, path, data, T1, 8)
        if self.chance.random() >= self.weather.unreleased:
            hold = self.chance.expovariate(1 / 0.3)
            asyncio.get_running_loop().call_later(min(hold, 2.0) + 0.05, self._bye, call_id, path, 0)

    def _until_acked(self, call_id: str, path: Path, data: bytes, gap: float, left: int) -> None:
        path.write(data)
        if left:
            loop = asyncio.get_running_loop()
            self.unacked[call_id] = loop.call_later(
                gap, self._until_acked, call_id, path, data, min(2 * gap, 0.4), left - 1
            )

    def _bye(self, call_id: str, path: Path, copies: int) -> None:
        if call_id in self.unacked:  # not before the ACK
            asyncio.get_running_loop().call_later(T1, self._bye, call_id, path, copies)
            return
        invite = self.standing.get(call_id)
        if invite is None:
            return
        contact = invite.get("contact").strip("<>")
        to = f"{invite.get('to')};tag=s{self.number}"
        via = f"SIP/2.0/{self.transport.upper()} 127.0.0.1:{self.port};branch=z9hG4bKb{call_id[:16]};rport"
        headers = [("Via", via), ("From", to), ("To", invite.get("from")), ("Call-ID", call_id),
                   ("CSeq", "1 BYE"), ("Max-Forwards", "70"), ("Reason", "Q.850;cause=16")]  # fmt: skip
        path.write(encode(f"BYE {contact} SIP/2.0", headers))
        if copies < 4 and self.transport == "udp":
            asyncio.get_running_loop().call_later(T1 * 2**copies, self._bye, call_id, path, copies + 1)
        else:
            self._over(call_id)

    def _over(self, call_id: str) -> None:
        if (timer := self.unacked.pop(call_id, None)) is not None:
            timer.cancel()
        if self.standing.pop(call_id, None) is not None:
            self.in_use -= 1

    def load(self) -> str:
        return f"x0:{5000 - self.in_use};x1:5000"


class StandInCallers:
    """All callers: each call picks its transport, may switch it, cancel, or hang up."""

    def __init__(self, report: Report, weather: Weather, chance: random.Random, port: int) -> None:
        self.report, self.weather, self.chance, self.port = report, weather, chance, port
        self.udp: UdpPath | None = None
        self.tcp: TcpPath | None = None
        self.invites: dict[str, tuple[Headers, bytes]] = {}
        self.acks: dict[str, bytes] = {}

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        far = ("127.0.0.1", self.port)
        self.udp = (await loop.create_datagram_endpoint(
            lambda: UdpPath(self.weather, self.take, "udp"), local_addr=("127.0.0.1", 0)))[1]  # fmt: skip
        self.udp.peer = far
        self.own_port = self.udp.sock.get_extra_info("sockname")[1]
        await self.open_tcp()

    async def open_tcp(self) -> None:
        loop = asyncio.get_running_loop()
        made = await loop.create_connection(
            lambda: TcpPath(self.weather, self.take, "tcp"), "127.0.0.1", self.port
        )
        self.tcp = made[1]

    def path(self, transport: str) -> Path:
        path = self.udp if transport == "udp" else self.tcp
        assert path is not None
        return path

    def request(
        self, name: str, method: str, transport: str, to_tag: str = "", cseq: int = 1, mark: str = ""
    ) -> bytes:
        headers, body = self.invites[name]
        # A switch of transport makes a new branch; copies on one transport keep theirs.
        branch = f"z9hG4bK{name}{transport}{mark}"
        via = f"SIP/2.0/{transport.upper()} 127.0.0.1:{self.own_port};branch={branch};rport"
        to = f"<sip:{name}@127.0.0.1>" + (f";tag={to_tag}" if to_tag else "")
        lines = [("Via", via), ("To", to), ("CSeq", f"{cseq} {method}"), *headers]
        uri = f"sip:{name}@127.0.0.1:{self.port}"
        return encode(f"{method} {uri} SIP/2.0", lines, body if method == "INVITE" else b"")

    async def call(self, name: str) -> None:
        """One call from its INVITE to its final answer, with the caller's own copies on UDP."""
        chance = self.chance
        track = self.report.calls[name] = Track(began=asyncio.get_running_loop().time())
        contact = f"<sip:caller@127.0.0.1:{self.own_port};transport=udp>"
        kind = "log-lookup" if chance.random() < 0.78 else "log-update"
        headers = [("From", f"<sip:caller@127.0.0.1>;tag=c{name}"), ("Call-ID", f"call-{name}"),
                   ("Max-Forwards", "70"), ("Contact", contact), ("Expires", "3"), ("P-Kind", kind),
                   ("P-Path", f"dest:{chance.randrange(3)};width:1;via:-1")]  # fmt: skip
        self.invites[name] = (headers, b"offer " + name.encode())
        transport = chance.choice(("udp", "tcp"))
        plan = chance.random()
        track.notes.append(f"{transport} {plan:.2f} {asyncio.get_running_loop().time():.3f}")
        stream = self.tcp
        self.path(transport).write(self.request(name, "INVITE", transport))
        if plan < 0.15:  # switches its transport
            await asyncio.sleep(chance.random() * 0.02)
            transport, stream = "tcp" if transport == "udp" else "udp", self.tcp
            self.path(transport).write(self.request(name, "INVITE", transport))
        cancels = 0.15 <= plan < 0.2
        if cancels:
            await asyncio.sleep(chance.random() * 0.02)
        gap, waited, extended, clock = T1, 0.0, 0.0, asyncio.get_running_loop().time
        while not track.ended.is_set() and waited < WAITS + extended:
            looked = clock()
            if cancels:  # on either transport
                way = chance.choice(("udp", "tcp"))
                self.path(way).write(self.request(name, "CANCEL", way))
            try:
                await asyncio.wait_for(track.ended.wait(), gap)
            except asyncio.TimeoutError:
                pass
            waited += gap
            # The program could not answer while it was kept, nor did the rig read in this last wait.
            kept = kept_in(self.report.machine.program, track.began, clock())
            extended = min(kept + kept_in(self.report.machine.rig, looked, clock()), WAITS_MORE)
            gap = min(2 * gap, 0.4)
            if transport == "tcp" and self.tcp is not stream:  # reset under the call: goes on over UDP
                transport = "udp"
                track.notes.append("reset")
            if not track.ended.is_set() and transport == "udp":
                self.path("udp").write(self.request(name, "INVITE", "udp"))
        if not track.ended.is_set():
            track.gave_up = clock()

    def take(self, heard: Heard, path: Path, lost: bool) -> None:
        if lost:
            return
        name = heard.get("call-id").removeprefix("call-")
        if not heard.status:
            if heard.first.startswith("BYE "):
                if (ended := self.report.calls.get(name)) is not None:
                    ended.notes.append(f"bye {asyncio.get_running_loop().time():.3f}")
                path.write(encode("SIP/2.0 200 OK", heard.copied()))
            return
        if heard.method != "INVITE" or heard.status < 200:
            return
        track = self.report.calls[name]
        answer = (heard.status, heard.tag("to"))
        if not track.finals:
            track.over = asyncio.get_running_loop().time()
            self.report.statuses[heard.status] += 1
        if track.finals and answer not in track.finals:
            track.again = asyncio.get_running_loop().time()
        track.finals.add(answer)
        if heard.status == 200:
            way = self.chance.choice(("udp", "tcp"))  # the ACK counts from either
            if name not in self.acks:
                self.acks[name] = self.request(name, "ACK", way, answer[1], mark="a")
                if self.chance.random() < 0.5 and not self.weather.unreleased:
                    hold = min(self.chance.expovariate(1 / 0.3), 2.0)
                    asyncio.get_running_loop().call_later(hold, self._bye, name, answer[1], 0)
            self.path(way).write(self.acks[name])
        else:
            mine = "udp" if path is self.udp else "tcp"
            self.path(mine).write(self.request(name, "ACK", mine, answer[1]))
        track.ended.set()

    def _bye(self, name: str, tag: str, copies: int) -> None:
        if copies < 3:
            self.path("udp").write(self.request(name, "BYE", "udp", tag, 2))
            asyncio.get_running_loop().call_later(T1 * 2**copies, self._bye, name, tag, copies + 1)


async def drive(calls: int, rate: float, seed: int, port: int, servers: list[tuple[int, str]], report: Report,
                started: Callable[[], None], unreleased: float, pid: int) -> None:  # fmt: skip
    """Play so many calls, at most `rate` a second, and wait for the last answers."""
    weather = Weather(seed, loss=0.02, reorder=0.05)
    weather.unreleased, weather.machine = unreleased, report.machine
    loop = asyncio.get_running_loop()
    for number, (at, transport) in enumerate(servers):
        await StandInServer(report, weather, random.Random(seed + number), number).listen(at, transport)
    started()
    callers = StandInCallers(report, weather, random.Random(seed + 99), port)
    await callers.open()
    begin = loop.time()
    measuring = asyncio.create_task(report.machine.measure(pid))
    open_calls: set[asyncio.Task[None]] = set()
    for number in range(calls):
        if (early := begin + number / rate - loop.time()) > 0:
            await asyncio.sleep(early)
        while len(open_calls) > 2000:
            await asyncio.wait(open_calls, return_when=asyncio.FIRST_COMPLETED)
        if number % 997 == 996:  # the connection of all TCP callers is reset under them
            assert callers.tcp is not None
            callers.tcp.stream.abort()
            await callers.open_tcp()
        task = asyncio.create_task(callers.call(f"{number:08x}"))
        open_calls.add(task)
        task.add_done_callback(open_calls.discard)
        if number % 10_000 == 9_999:
            print(f"{number + 1} calls after {loop.time() - begin:.0f} s", flush=True)
    while open_calls:
        await asyncio.wait(open_calls)
    await asyncio.sleep(2 * TICK)
    measuring.cancel()


def memory_mb(pid: int) -> float:
    with open(f"/proc/{pid}/status") as file:
        return next(int(line.split()[1]) for line in file if line.startswith("VmHWM:")) / 1024


def run(calls: int, rate: float, seed: int, unreleased: float = 0.0) -> tuple[Report, float]:
    """The whole run: the program as a process, stand-ins here; the report, and the program's memory."""
    port, servers = sip_port(), [(sip_port(), transport) for transport in ("udp", "tcp", "udp")]
    path, report = operators_file(port, servers, seed), Report()
    program = Process([path], {})
    try:
        asyncio.run(
            drive(calls, rate, seed, port, servers, report, lambda: connect(port).close(), unreleased,
                  program.process.pid)
        )  # fmt: skip
        memory = memory_mb(program.process.pid)
        if program.process.poll() is not None:
            report.faults["the program ended"] += 1
    finally:
        text = program.text()
        program.stop()
        os.unlink(path)
    report.faults["lines of trouble in the log"] += sum(" ERROR " in line for line in text.splitlines())
    return report, memory


class Starved(Exception):
    """The machine gave no play its time: nothing was judged, and nothing passed."""


def judged(play: Callable[[], tuple[Report, float]], served_above: int) -> tuple[Report, float, Verdict]:
    """Play until a play can be judged, at most `PLAYS` times; a fault ends it. Raises `Starved`."""
    for number in range(1, PLAYS + 1):
        report, memory = play()
        verdict = report.judge(served_above)
        line = f"play {number}: {summary(report)}: {verdict}"
        print(line, flush=True)
        if verdict.faults or not verdict.undecided:
            return report, memory, verdict
        warnings.warn(line, stacklevel=2)  # told in the output of a run that passes, too
    raise Starved(line)


def summary(report: Report) -> str:
    """One line of figures."""
    machine = report.machine
    rig, program = (kept_in(side, 0, float("inf")) for side in (machine.rig, machine.program))
    return (f"{len(report.calls)} calls, {report.attempts} attempts, answers {dict(report.statuses)}, "
            f"{machine.ended - machine.began:.1f} s, kept: rig {rig:.2f} s, program {program:.2f} s, "
            f"dropped {sum(sock.dropped for sock in report.sockets)}")  # fmt: skip


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--calls", type=int, default=100_000)
    parser.add_argument("--rate", type=float, default=400.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--unreleased", type=float, default=0.0)
    options = parser.parse_args()
    report, memory = run(options.calls, options.rate, options.seed, options.unreleased)
    verdict = report.judge()
    print(summary(report))
    print(f"late 200s {report.late_200}, BYEs at log servers {report.byes}, program's memory {memory:.0f} MB")
    print(
        f"double answers {verdict.faults['double answers']}, "
        f"missing answers {verdict.faults['missing answers']}"
    )
    mixed = Counter(tuple(sorted(t.finals)) for t in report.calls.values() if len(t.finals) > 1)
    for finals, count in mixed.most_common(5):
        print(count, [status for status, _ in finals])
    for name, track in report.calls.items():
        if not track.finals:
            print("no answer:", name, track.notes, f"{len(track.seen)} attempts")
    print(verdict if verdict.faults or verdict.undecided else "faults: none")
    return 1 if verdict.faults or verdict.undecided else 0


if __name__ == "__main__":
    sys.exit(main())
