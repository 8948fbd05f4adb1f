"""Stand-in callers and log servers that speak SIP over UDP and TCP, with seeded loss and reordering.

One driver plays both sides of the real program, which runs as a process of its own, and counts the final
answers of every call and the attempts that are out together.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import random
import socket
import sys
import tempfile
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from .process import Process, connect, free_port

T1 = 0.1
RELEASE_WAIT, SLACK = 0.3, 0.06
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


Take = Callable[[Heard, "Path", bool], None]  # message, where it came from, whether it is lost on the way


class Path:
    """One way to the far end: a UDP socket or a TCP connection."""

    def __init__(self, weather: Weather, take: Take, transport: str) -> None:
        self.weather, self.take, self.transport = weather, take, transport
        self.peer: tuple[str, int] | None = None

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
        self.take(decode(data), self, self.weather.lost())


class TcpPath(Path, asyncio.Protocol):
    """A TCP connection."""

    kept = b""

    def connection_made(self, transport: Any) -> None:
        self.stream: asyncio.Transport = transport

    def write(self, data: bytes) -> None:
        if not self.stream.is_closing():
            self.stream.write(data)

    def data_received(self, data: bytes) -> None:
        self.kept += data
        while b"\r\n\r\n" in self.kept:
            head, _, rest = self.kept.partition(b"\r\n\r\n")
            size = int(decode(head).get("content-length"))
            if len(rest) < size:
                return
            self.kept = rest[size:]
            self.take(decode(head + b"\r\n\r\n" + rest[:size]), self, False)


class Weather:
    """Loss and reordering on UDP, from one seed."""

    well = False  # log servers answer every set-up
    unreleased = 0.0  # share of the calls that their log server never ends: they fill the program

    def __init__(self, seed: int, loss: float, reorder: float) -> None:
        self.chance, self.loss, self.reorder = random.Random(seed), loss, reorder

    def lost(self) -> bool:
        return self.chance.random() < self.loss

    def late(self, action: Callable[[], object]) -> None:
        if self.chance.random() < self.reorder:
            asyncio.get_running_loop().call_later(self.chance.random() * 0.03, action)
        else:
            action()


@dataclass
class Track:
    """What both sides saw of one call."""

    finals: set[tuple[int, str]] = field(default_factory=set)
    seen: set[str] = field(default_factory=set)  # INVITEs, by the Call-ID of the server's side
    out: set[str] = field(default_factory=set)
    closed_at: float = -1.0
    began: float = 0.0  # the loop's clock
    over: float = 0.0  # when its first final answer came
    log: list[tuple[float, str]] = field(default_factory=list)  # what log servers saw
    notes: list[str] = field(default_factory=list)  # what its caller did
    ended: asyncio.Event = field(default_factory=asyncio.Event)


class Report:
    """Counts over all calls."""

    def __init__(self) -> None:
        self.calls: dict[str, Track] = {}
        self.broken: list[tuple[str, str]] = []  # a fault and its call
        self.faults: Counter[str] = Counter()
        self.statuses: Counter[int] = Counter()
        self.attempts = self.byes = self.late_200 = 0


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
            made = await loop.create_datagram_endpoint(self.udp, local_addr=("127.0.0.1", port))
            self.paths.append(made[1])
        else:
            self.listener = await loop.create_server(self.tcp, "127.0.0.1", port)

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
        track.log.append((now, f"{method} {call_id[:6]} at {self.number}"))
        if method in ("CANCEL", "BYE"):  # given up, though the word may yet be lost
            self._out_no_more(track, call_id, now)
        if lost:
            return
        if method == "INVITE":
            self._invite(heard, path, track, now, number)
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

    def _invite(self, heard: Heard, path: Path, track: Track, now: float, name: str) -> None:
        call_id = heard.get("call-id")
        if call_id in track.seen:
            # A copy: the final answer again, or the 100 until there is one.
            path.write(self.last.get(call_id) or encode("SIP/2.0 100 Trying", heard.copied()))
            return
        self.report.attempts += 1
        if track.out:
            self.report.faults["two attempts out"] += 1
            self.report.broken.append(("two attempts out", name))
        if now < track.closed_at + RELEASE_WAIT - SLACK and track.closed_at >= 0:
            self.report.faults["sent again too soon"] += 1
            self.report.broken.append(("sent again too soon", name))
        track.seen.add(call_id)
        track.out.add(call_id)
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

    def _out_no_more(self, track: Track, call_id: str, now: float) -> None:
        if call_id in track.out:
            track.out.discard(call_id)
            track.closed_at = now

    def _final(self, call_id: str, track: Track, path: Path, status: int) -> None:
        if call_id in self.last:
            return
        heard = self.invites.pop(call_id, None)
        if heard is None:  # a CANCEL of another log server's attempt, after a restart in between
            return
        track.out.discard(call_id)
        copied = [(k, f"{v};tag=s{self.number}" if k == "to" else v) for k, v in heard.copied()]
        track.log.append((asyncio.get_running_loop().time(), f"{status} {call_id[:6]} by {self.number}"))
        data = self.last[call_id] = encode(f"SIP/2.0 {status} No", [*copied, ("P-Load", self.load())])
        self._until_acked(call_id, path, data, T1, 8)

    def _answer(self, call_id: str, track: Track, path: Path) -> None:
        if call_id in self.last:
            return
        heard = self.invites.pop(call_id)
        track.out.discard(call_id)
        self.in_use += 1
        track.log.append((asyncio.get_running_loop().time(), f"200 {call_id[:6]} by {self.number}"))
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
        gap, waited = T1, 0.0
        while not track.ended.is_set() and waited < 6.0:
            if cancels:  # on either transport
                way = chance.choice(("udp", "tcp"))
                self.path(way).write(self.request(name, "CANCEL", way))
            try:
                await asyncio.wait_for(track.ended.wait(), gap)
            except asyncio.TimeoutError:
                pass
            waited += gap
            gap = min(2 * gap, 0.4)
            if transport == "tcp" and self.tcp is not stream:  # reset under the call: goes on over UDP
                transport = "udp"
                track.notes.append("reset")
            if not track.ended.is_set() and transport == "udp":
                self.path("udp").write(self.request(name, "INVITE", "udp"))

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
        track.finals.add(answer)
        if len(track.finals) > 1:
            self.report.faults["two answers"] += 1
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
                started: Callable[[], None], unreleased: float) -> None:  # fmt: skip
    """Play so many calls, at most `rate` a second, and wait for the last answers."""
    weather = Weather(seed, loss=0.02, reorder=0.05)
    weather.unreleased = unreleased
    loop = asyncio.get_running_loop()
    for number, (at, transport) in enumerate(servers):
        await StandInServer(report, weather, random.Random(seed + number), number).listen(at, transport)
    started()
    callers = StandInCallers(report, weather, random.Random(seed + 99), port)
    await callers.open()
    begin = loop.time()
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
    await asyncio.sleep(0)


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
            drive(calls, rate, seed, port, servers, report, lambda: connect(port).close(), unreleased)
        )
        memory = memory_mb(program.process.pid)
        if program.process.poll() is not None:
            report.faults["the program ended"] += 1
    finally:
        text = program.text()
        program.stop()
        os.unlink(path)
    report.faults["lines of trouble in the log"] += sum(" ERROR " in line for line in text.splitlines())
    report.faults["missing answers"] += sum(not track.finals for track in report.calls.values())
    report.faults["double answers"] += sum(len(track.finals) > 1 for track in report.calls.values())
    return report, memory


def main() -> int:
    parser = argparse.ArgumentParser()
    parser.add_argument("--calls", type=int, default=100_000)
    parser.add_argument("--rate", type=float, default=400.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--unreleased", type=float, default=0.0)
    options = parser.parse_args()
    report, memory = run(options.calls, options.rate, options.seed, options.unreleased)
    print(f"{len(report.calls)} calls, {report.attempts} attempts, answers {dict(report.statuses)}")
    print(f"late 200s {report.late_200}, BYEs at log servers {report.byes}, program's memory {memory:.0f} MB")
    print(
        f"double answers {report.faults['double answers']}, "
        f"missing answers {report.faults['missing answers']}"
    )
    mixed = Counter(tuple(sorted(t.finals)) for t in report.calls.values() if len(t.finals) > 1)
    for finals, count in mixed.most_common(5):
        print(count, [status for status, _ in finals])
    for name, track in report.calls.items():
        if not track.finals:
            print("no answer:", name, track.notes, f"{len(track.seen)} attempts")
    faults = {name: count for name, count in report.faults.items() if count}
    print(f"faults: {faults or 'none'}")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
