"""Hostile clients beside honest ones, on either front of one real process.

    python -m rigs.pressure [--seconds 5] [--clients 400] [--only NAME]

A line for each front and kind of hostile client: honest calls made, those without an answer in time, the
median and the longest time to an answer (ms), and the process's memory before, at most and after (MiB).
Exit status 1 where a bound of `Bounds` is broken.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import multiprocessing
import os
import random
import select
import socket
import sys
import tempfile
import time
from collections.abc import Callable, Iterator
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from statistics import median

from .platform.rig import SETTINGS
from .process import Process, free_port
from .sip_peers import Headers, decode, encode, operators_file, sip_port

HONEST_GAP = 0.02  # seconds between two honest calls
PAUSE = 0.01  # seconds between two bytes of one that writes slowly
FIELDS = 110  # short fields of a head that is still taken
TOO_MANY = 4000  # fields of one that is not
REST = 100  # turns between two set-ups of one client
LONG = 15_000  # bytes of a large request
LEFT_REQUESTS, LEFT_SET_UP_EACH = 3_000, 10  # of a client that goes; one in so many is a set-up
LEFT_GRACE, LEFT_WATCHED = 0.15, 4.0  # seconds: the pages' 0.1 s and 50 ms; the watch after it
MEMORY = 192  # MiB that the platform grants a process on scored days (DEPLOY)
CALL_CLASS = "log-lookup"


@dataclass(frozen=True, slots=True)
class Bounds:
    """What an honest call may meet, by the operators' pages."""

    answer: float = 3.0  # seconds: its deadline
    memory: float = MEMORY


@dataclass(slots=True)
class Seen:
    """What became of the honest calls of one play."""

    times: list[float] = field(default_factory=list)
    unanswered: int = 0
    refused: int = 0


def request(method: str, call: str, transport: str = "TCP", port: int = 9, to: str = "", body: bytes = b"",
            extra: Headers | None = None, kind: str = CALL_CLASS) -> bytes:  # fmt: skip
    """A request that both fronts read."""
    number = 2 if method == "BYE" else 1
    branch = f"z9hG4bK{call}{method}"
    headers = [
        ("Via", f"SIP/2.0/{transport} 127.0.0.1:{port};branch={branch};rport"),
        ("Max-Forwards", "70"),
        ("From", f"<sip:c@127.0.0.1>;tag=f{call}"),
        ("To", "<sip:7f@127.0.0.1>" + (f";tag={to}" if to else "")),
        ("Call-ID", call),
        ("CSeq", f"{number} {method}"),
        ("Contact", f"<sip:c@127.0.0.1:{port};transport={transport.lower()}>"),
        ("P-Kind", kind),
        ("P-Time-Left", "3000"),
        ("P-Path", "dest:0"),
    ]
    return encode(f"{method} sip:7f3a9c21e0b4d655@127.0.0.1 SIP/2.0", [*headers, *(extra or [])], body)


def new_id() -> str:
    """An id that no other call has."""
    return f"{random.getrandbits(64):016x}"


# --- hostile clients: each a process of its own that ends by itself


def many(
    port: int, clients: int, until: float, write: Callable[[socket.socket, int], Iterator[bytes]]
) -> None:
    """Hundreds of connections, each written what `write` gives, a piece a turn; opened anew when closed."""
    socks: list[tuple[socket.socket, Iterator[bytes]] | None] = [None] * clients
    while time.monotonic() < until:
        for place, known in enumerate(socks):
            with suppress(OSError):
                if known is None:
                    sock = socket.create_connection(("127.0.0.1", port), timeout=1)
                    sock.setblocking(False)
                    known = socks[place] = (sock, write(sock, place))
                piece = next(known[1], None)
                if piece:
                    known[0].send(piece)
                with suppress(BlockingIOError):
                    if not known[0].recv(65536):
                        raise ConnectionResetError
                continue
            if known is not None:
                known[0].close()
            socks[place] = None
        time.sleep(PAUSE)


def slow_writer(sock: socket.socket, place: int) -> Iterator[bytes]:
    """A byte at a time."""
    data = request("INVITE", new_id(), body=b"x" * 2000)
    for at in range(len(data)):
        yield data[at : at + 1]


def half_way(sock: socket.socket, place: int) -> Iterator[bytes]:
    """Half of a large request, and nothing more."""
    yield request("INVITE", new_id(), body=b"x" * LONG)[: LONG // 2]


def short_fields(sock: socket.socket, place: int) -> Iterator[bytes]:
    """Whole set-ups with as many short fields as are taken, in the headers that are kept."""
    while True:
        extra = [("Via", "SIP/2.0/TCP a"), ("Record-Route", "<sip:a>")] * (FIELDS // 2)
        yield request("INVITE", new_id(), extra=extra)
        yield from [b""] * REST


def too_many_fields(sock: socket.socket, place: int) -> Iterator[bytes]:
    """Heads of very many short fields."""
    while True:
        yield request("INVITE", new_id(), extra=[("a", "")] * TOO_MANY)[:LONG]


def flood(port: int, until: float, data: Callable[[], bytes], reads: bool, udp: bool = False) -> None:
    """One connection, or one socket, at full speed."""
    while time.monotonic() < until:
        with suppress(OSError):
            kind = socket.SOCK_DGRAM if udp else socket.SOCK_STREAM
            with socket.socket(socket.AF_INET, kind) as sock:
                sock.connect(("127.0.0.1", port))
                sock.settimeout(0.2)
                while time.monotonic() < until:
                    sock.sendall(data())
                    while reads and select.select([sock], [], [], 0)[0]:
                        if not sock.recv(262_144) and not udp:
                            raise ConnectionResetError


def several(make: Callable[[], bytes], number: int = 50) -> Callable[[], bytes]:
    """So many at once, as one connection carries them."""
    return lambda: b"".join(make() for _ in range(number))


def large() -> bytes:
    """With an id that fills most of the message, refused or not."""
    call = new_id() + "x" * 5_000
    kinds = (CALL_CLASS, new_id())
    return request(random.choice(("INVITE", "CANCEL", "OPTIONS")), call, kind=random.choice(kinds))


def unsound() -> bytes:
    """Well framed, and refused."""
    return random.choice((
        request("INVITE", new_id()).replace(b"CSeq: 1 INVITE", b"CSeq: x"),
        request("INVITE", "no id"), request("MESSAGE", new_id()), request("INVITE", new_id(), kind=new_id()),
    ))  # fmt: skip


MANY = {"slow": slow_writer, "half": half_way, "fields": short_fields, "too-many": too_many_fields}
FLOODS: dict[str, Callable[[], bytes]] = {
    "options": lambda: request("OPTIONS", new_id()),
    "unsound": unsound,
    "invites": lambda: request("INVITE", new_id()),
    "cancels": lambda: request("CANCEL", new_id()),
    "byes": lambda: request("BYE", new_id(), to=new_id()),
    "blank": lambda: b"\r\n",
    "large": large,
    "fat": lambda: request("INVITE", new_id(), extra=[("Via", "SIP/2.0/TCP " + "x" * 1000)] * 12),
}


def hostile(name: str, port: int, clients: int, seconds: float) -> None:
    """Play one kind of hostile client."""
    until = time.monotonic() + seconds
    base, _, how = name.partition("/")
    if base in MANY:
        many(port, clients, until, MANY[base])
    else:
        udp = how == "udp"
        make = FLOODS[base] if udp else several(FLOODS[base])
        flood(port, until, make, reads=how != "deaf", udp=udp)


# --- what is honest: one log server and one caller


begun: list[float] = []  # when set-ups came to the log server of this play


class LogServerOfLines(asyncio.Protocol):
    """The platform's: answers each set-up at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport, self.kept = transport, b""
        self.telling = asyncio.ensure_future(self.tell())

    async def tell(self) -> None:
        while True:
            self.say({"t": "gauge", "ref": "", "f": {"load": "free:100000;size:100000;hold_back:0"}})
            await asyncio.sleep(0.2)

    def say(self, line: dict[str, object]) -> None:
        self.transport.write(json.dumps(line).encode() + b"\n")

    def data_received(self, data: bytes) -> None:
        *lines, self.kept = (self.kept + data).split(b"\n")
        for line in lines:
            said = json.loads(line)
            if said["t"] == "new":
                begun.append(time.monotonic())
                self.say({"t": "up", "ref": said["ref"], "f": {}, "d": "answer"})
            elif said["t"] == "down":
                self.say({"t": "ack", "ref": said["ref"], "f": {}})

    def connection_lost(self, exc: Exception | None) -> None:
        self.telling.cancel()


class LogServerOfSip(asyncio.DatagramProtocol):
    """The second front's: answers each request at once."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        heard = decode(data)
        if heard.first.startswith("SIP/") or heard.method == "ACK":
            return
        if heard.method == "INVITE":
            begun.append(time.monotonic())
        port = self.transport.get_extra_info("sockname")[1]
        copied = [(k, f"{v};tag=s" if k == "to" and ";tag=" not in v else v) for k, v in heard.copied()]
        extra = [("Contact", f"<sip:s@127.0.0.1:{port}>"), ("P-Load", "x0:100000;x1:0")]
        self.transport.sendto(encode("SIP/2.0 200 OK", [*copied, *extra], b"answer"), address)  # type: ignore[attr-defined]


async def one_call(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, seen: Seen, bounds: Bounds
) -> None:
    """An honest call: set up, answered, released."""
    call, began = new_id(), time.monotonic()
    writer.write(request("INVITE", call))
    try:
        async with asyncio.timeout(bounds.answer):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                heard = decode(head)
                heard.body = await reader.readexactly(int(heard.get("content-length")))
                mine = (
                    heard.get("call-id") == call
                    and heard.first.startswith("SIP/")
                    and heard.method == "INVITE"
                )
                if mine and heard.status >= 200:
                    break
    except TimeoutError:
        seen.unanswered += 1
        return
    seen.times.append(time.monotonic() - began)
    seen.refused += heard.status != 200
    if heard.status == 200:
        writer.write(request("ACK", call, to=heard.tag("to")) + request("BYE", call, to=heard.tag("to")))


async def honest(port: int, seen: Seen, stop: asyncio.Event, bounds: Bounds) -> None:
    """Calls one after the other, each on a connection of its own kind: one that stays."""
    writer = None
    while not stop.is_set():
        try:
            if writer is None:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
            await one_call(reader, writer, seen, bounds)
        except (OSError, asyncio.IncompleteReadError):
            seen.unanswered += 1
            writer = None
        await asyncio.sleep(HONEST_GAP)
    if writer is not None:
        writer.close()


def memory(process: Process, what: str = "VmRSS") -> float:
    """MiB that a process holds, or has held at most (VmHWM)."""
    lines = Path(f"/proc/{process.process.pid}/status").read_text().splitlines()
    return next(int(line.split()[1]) / 1024 for line in lines if line.startswith(what))


@dataclass(frozen=True, slots=True)
class Front:
    """One front of a real process, and its log server."""

    name: str
    port: int
    process: Process
    log_server: asyncio.AbstractServer | asyncio.BaseTransport

    def close(self) -> None:
        """End both."""
        self.process.stop()
        self.log_server.close()


async def platform_front() -> Front:
    """The platform's front beside one log server."""
    loop, port, at = asyncio.get_running_loop(), free_port(), free_port()
    server = await loop.create_server(LogServerOfLines, "127.0.0.1", at)
    entry = {"id": "s-00000001", "addr": f"127.0.0.1:{at}", "zone": "z", "kind": "k", "cell": 0,
             "state": "in_service", "weight": 1, "started_ms": 0}  # fmt: skip
    update = {"index": 1, "endpoints": {"version": 1, "full": True, "servers": [entry]}}
    document = {"name": "n0", "listen": f"127.0.0.1:{port}", "seed": "8c1f",
                "limits": {"cores": 1.0, "memory_mb": MEMORY, "sockets": 1024}, "coordinator": "127.0.0.1:1",
                "known": {"index": 1, "updates": [update]}, "settings": SETTINGS}  # fmt: skip
    with tempfile.NamedTemporaryFile("w", suffix=".json", delete=False) as file:
        json.dump(document, file)
    process = Process([], {"LB_CONFIG": file.name, "LB_LISTEN": f"127.0.0.1:{port}"})
    await asyncio.to_thread(process.wait_until_serves)
    os.unlink(file.name)
    return Front("platform", port, process, server)


async def second_front() -> Front:
    """The second front beside one log server over UDP."""
    loop, port = asyncio.get_running_loop(), sip_port()
    transport, _ = await loop.create_datagram_endpoint(LogServerOfSip, local_addr=("127.0.0.1", 0))
    path = operators_file(port, [(transport.get_extra_info("sockname")[1], "udp")])
    process = Process([path], {})
    await asyncio.to_thread(process.wait_until_serves)
    os.unlink(path)
    return Front("sip", port, process, transport)


async def play(make: Callable[[], object], name: str, clients: int, seconds: float, bounds: Bounds) -> bool:
    """One kind of hostile client beside the honest caller; whether each bound held."""
    front = await make()  # type: ignore[misc]
    attacker = multiprocessing.get_context("spawn").Process(
        target=hostile, args=(name, front.port, clients, seconds), daemon=True
    )
    try:
        calm, seen, stop = Seen(), Seen(), asyncio.Event()
        calling = asyncio.ensure_future(honest(front.port, calm, stop, bounds))
        await asyncio.sleep(1.0)
        stop.set()
        await calling
        before, stop = memory(front.process), asyncio.Event()
        attacker.start()
        await asyncio.sleep(0.5)
        calling = asyncio.ensure_future(honest(front.port, seen, stop, bounds))
        await asyncio.sleep(seconds)
        stop.set()
        await calling
        attacker.join(seconds + 5)
        peak, after = memory(front.process, "VmHWM"), memory(front.process)
        alive = front.process.process.poll() is None
    finally:
        if attacker.is_alive():
            attacker.kill()
        front.close()
    times = sorted(seen.times) or [0.0]
    held = alive and not seen.unanswered and peak < bounds.memory and bool(seen.times)
    told = [
        f"{front.name:9}{name:13} calls {len(seen.times):4} unanswered {seen.unanswered:2}",
        f"refused {seen.refused:4} median {median(times) * 1e3:6.1f}",
        f"(calm {median(calm.times or [0]) * 1e3:.1f}) longest {times[-1] * 1e3:7.1f} ms",
        f"memory {before:.0f} {peak:.0f} {after:.0f} MiB{'' if held else ' BROKEN'}",
    ]
    print(*told, flush=True)
    return held


def leave(port: int, how: str) -> float:
    """Write many set-ups on one connection, then go, with most of them unread; when that was."""
    text = [
        request("INVITE" if number % LEFT_SET_UP_EACH == 0 else "OPTIONS", new_id())
        for number in range(LEFT_REQUESTS)
    ]
    with socket.create_connection(("127.0.0.1", port)) as sock:
        sock.settimeout(0.2)
        with suppress(TimeoutError):
            for one in text:
                sock.sendall(one)
                while how == "shut" and select.select([sock], [], [], 0)[0]:
                    sock.recv(262_144)
        if how == "reset":
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        if how == "shut":  # a close behind all that it wrote, though answers come: it reads on
            sock.shutdown(socket.SHUT_WR)
            left = time.monotonic()
            with suppress(OSError):
                while sock.recv(262_144):
                    pass
            return left
    return time.monotonic()


async def play_left(make: Callable[[], object], how: str) -> bool:
    """A client that goes; whether no set-up of its own came to a log server after that."""
    front = await make()  # type: ignore[misc]
    try:
        begun.clear()
        left = await asyncio.to_thread(leave, front.port, how)
        await asyncio.sleep(LEFT_WATCHED)
    finally:
        front.close()
    late = [at - left for at in begun if at > left + LEFT_GRACE]
    print(
        f"{front.name:9}left/{how:8} set-ups begun {len(begun):5}, over {LEFT_GRACE} s after it had left",
        f"{len(late):5}, the last {max(late, default=0.0):.2f} s{' BROKEN' if late else ''}",
        flush=True,
    )
    return not late


def main() -> int:
    """Play all of them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--clients", type=int, default=400)
    parser.add_argument("--only", default="")
    options = parser.parse_args()
    names = [*MANY, *FLOODS, *(f"{name}/deaf" for name in FLOODS)]
    held = []
    for make, kinds in (
        (platform_front, names),
        (second_front, [*names, *(f"{name}/udp" for name in FLOODS)]),
    ):
        for name in kinds:
            if options.only in f"{make.__name__}:{name}":
                held.append(asyncio.run(play(make, name, options.clients, options.seconds, Bounds())))
        for how in ("close", "reset", "shut"):
            if options.only in f"{make.__name__}:left":
                held.append(asyncio.run(play_left(make, how)))
    return 0 if all(held) else 1


if __name__ == "__main__":
    sys.exit(main())
