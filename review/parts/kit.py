"""Stand-ins of cases 8 and 9: callers, log servers and the coordinator of the platform, and the program itself.

Standard library only. Every address is on the loopback interface, every port is free, all files but the record
lie in a temporary folder.
"""

from __future__ import annotations

import asyncio
import json
import logging
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

logging.getLogger("asyncio").setLevel(logging.ERROR)  # writes on connections that the far end has closed
ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 10, 2  # as run.sh reads them: a fault of a script exits with 1 and is no broken rule

FRAME = struct.Struct(">IQB")
RECORD = struct.Struct(">I4sHBBBHIQ")
STATES = ("in_service", "terminating", "terminated")
READY, DRAINING, GONE = 0, 1, 2

CLASS = {"onTime": 2_000_000, "deadline": 9_000_000, "worth": 1.0, "lateWorth": 0.25, "effect": "read_like",
         "streamed": True}  # fmt: skip


def settings(**changes: Any) -> dict[str, Any]:
    """The settings of a small deployment, as the first site has them."""
    made: dict[str, Any] = {
        "groupSize": 1, "overShareWorth": 0.1, "registryMode": "pushed",
        "services": [{"name": "log-lookup", **CLASS},
                     {"name": "log-update", **CLASS, "onTime": 1_500_000, "worth": 2.0}],
        "limits": {"mostTries": 4, "retryAfter": True, "maxRetryAfter": 2_000_000, "mayProbe": False,
                   "cancelling": True, "dialTimeout": 500_000},
        "telemetry": {"fields": ["free", "size", "hold_back"]},
        "extra": {"layout": "pools", "repeat": 0, "release": 300_000, "meanHold": [10_000_000, 15_000_000],
                  "skilledPools": [[0, 1, 2, 3, 4], [0, 1, 2, 3, 4]]},
        "rules": {"drainGrace": 500_000, "coldFrom": 0.29, "cold": 15_000_000, "fallMultiple": 3.0,
                  "fall": 3_000_000},
    }  # fmt: skip
    made.update(changes)
    return made


def free_port() -> int:
    """A port below those that the system gives to outgoing connections."""
    while True:
        port = random.SystemRandom().randrange(15_000, 32_000)
        with suppress(OSError):
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as sock:
                    sock.bind(("127.0.0.1", port))
            return port


def new_id() -> str:
    """An id of a call: 16 hex digits."""
    return f"{random.SystemRandom().getrandbits(64):016x}"


class Record:
    """What was sent, answered and run; written to record.txt as it happens."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.zero = time.monotonic()

    def now(self) -> float:
        """Seconds since the start."""
        return time.monotonic() - self.zero

    def add(self, who: str, what: str, call: str = "", text: str = "") -> float:
        """A line of the record; its time."""
        at = self.now()
        self.file.write(f"{at:9.4f}  {who:<12} {what:<14} {call:<16} {text}".rstrip() + "\n")
        self.file.flush()
        return at


class Gatekeeper:
    """One process of the program, started by the `run` line of the deploy file."""

    def __init__(self, record: Record, name: str, folder: Path, coordinator: int, document: dict[str, Any],
                 environment: dict[str, str] | None = None, descriptors: tuple[int, ...] = ()) -> None:  # fmt: skip
        self.record, self.name = record, name
        self.port = int(document["listen"].rpartition(":")[2])
        self.file = folder / f"{name}.json"
        self.write(document)
        self.log_path = folder / f"{name}.log"
        self.log = self.log_path.open("ab")
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        tmp = folder / f"tmp-{name}"
        tmp.mkdir(exist_ok=True)
        outside = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
        env = {**outside, "LB_NAME": name, "LB_LISTEN": document["listen"], "LB_CONFIG": str(self.file),
               "TMPDIR": str(tmp), **(environment or {})}  # fmt: skip
        self.process = subprocess.Popen(["/bin/sh", "-c", run], cwd=ROOT, env=env, stdout=self.log,
                                        stderr=self.log, pass_fds=descriptors)  # fmt: skip
        record.add(name, "started")

    def write(self, document: dict[str, Any]) -> None:
        """A configuration file, whole at once."""
        self.document = document
        fresh = self.file.with_suffix(".new")
        fresh.write_text(json.dumps(document))
        fresh.rename(self.file)

    async def ready(self, within: float = 30.0) -> None:
        """Until it passes a test."""
        end = time.monotonic() + within
        while time.monotonic() < end:
            if self.process.poll() is not None:
                raise RuntimeError(f"{self.name} ended: {self.log_path.read_text()[-2000:]}")
            with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                try:
                    writer.write(request("OPTIONS", "ping", number="ping"))
                    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 1)
                    if head.startswith(b"SIP/2.0 200"):
                        self.record.add(self.name, "ready")
                        return
                finally:
                    writer.close()
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} is not ready: {self.log_path.read_text()[-2000:]}")

    def signal(self, number: int) -> None:
        """A signal to the program that `run` started."""
        self.record.add(self.name, signal.Signals(number).name)
        self.process.send_signal(number)

    def end(self) -> None:
        """It ends, however it is."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()
        self.log.close()


def document(port: int, coordinator: int, servers: list[LogServer], **more: Any) -> dict[str, Any]:
    """The configuration of one gatekeeper."""
    whole = {"version": 1, "full": True, "servers": [server.entry() for server in servers]}
    return {
        "name": "n1", "listen": f"127.0.0.1:{port}", "seed": f"{random.getrandbits(64):016x}",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "coordinator": f"127.0.0.1:{coordinator}",
        "known": {"index": 1, "updates": [{"index": 1, "endpoints": whole}]},
        "settings": settings(), **more,
    }  # fmt: skip


# --- SIP of the platform's callers


def request(method: str, call: str, *headers: str, number: str = "7f3a9c21e0b4d655", body: str = "") -> bytes:
    """A request of a caller."""
    lines = [f"{method} sip:{number}@net SIP/2.0", "Via: SIP/2.0/TCP peer", f"Call-ID: {call}",
             f"CSeq: 1 {method}", *headers, f"Content-Length: {len(body)}", "", body]  # fmt: skip
    return "\r\n".join(lines).encode()


class Call:
    """One set-up of a caller, as the caller sees it."""

    def __init__(self, call: str, left: float, sent_at: float) -> None:
        self.id, self.left, self.sent_at = call, left, sent_at
        self.finals: list[tuple[float, int, str]] = []
        self.released_at: float | None = None
        self.answered, self.released = asyncio.Event(), asyncio.Event()
        self.given_up = False

    @property
    def stands(self) -> bool:
        """Answered with 200."""
        return bool(self.finals) and self.finals[0][1] == 200


class Caller:
    """One connection of the platform's callers: many calls, matched by Call-ID."""

    def __init__(self, record: Record, name: str, book: dict[str, Call]) -> None:
        """`book`: the calls of one client, which may have several connections."""
        self.record, self.name, self.book = record, name, book
        self.closed_at: float | None = None
        self.closed = asyncio.Event()

    async def connect(self, port: int) -> Caller:
        """Open the connection."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.reading = asyncio.ensure_future(self._read())
        return self

    def send(self, data: bytes) -> None:
        """Write bytes; nothing on a connection that has closed."""
        if not self.closed.is_set():
            self.writer.write(data)

    def invite(self, left: float = 3.0, dest: int = -1, kind: str = "log-lookup", call: str = "",
               body: str = "9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\n") -> Call:  # fmt: skip
        """A set-up under a new id."""
        made = Call(call or new_id(), left, 0.0)
        self.book[made.id] = made
        data = request("INVITE", made.id, f"P-Kind: {kind}", f"P-Time-Left: {round(left * 1000)}",
                       f"P-Path: dest:{dest};width:1;via:-1", number=new_id(), body=body)  # fmt: skip
        made.sent_at = self.record.add(self.name, "INVITE", made.id, f"{kind} left={left}")
        self.send(data)
        return made

    def bye(self, call: Call) -> None:
        """End a standing call."""
        self.record.add(self.name, "BYE", call.id)
        self.send(request("BYE", call.id, "Reason: Q.850;cause=16"))

    async def _read(self) -> None:
        try:
            while True:
                head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
                lines = head.split("\r\n")
                fields = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines[1:])}
                body = (await self.reader.readexactly(int(fields["content-length"]))).decode()
                self._heard(lines[0], fields, body)
        except (OSError, asyncio.IncompleteReadError):
            pass
        self.closed_at = self.record.add(self.name, "closed")
        self.closed.set()

    def _heard(self, first: str, fields: dict[str, str], body: str) -> None:
        call_id, words = fields.get("call-id", ""), first.split(" ")
        call = self.book.get(call_id)
        method = fields.get("cseq", "0 ?").split(" ")[1]
        if words[0] == "BYE":
            at = self.record.add(self.name, "heard BYE", call_id, "" if call else "not a call of this client")
            self.send(f"SIP/2.0 200 OK\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call_id}\r\n"
                      f"CSeq: {fields.get('cseq', '2 BYE')}\r\nContent-Length: 0\r\n\r\n".encode())  # fmt: skip
            if call is not None and call.released_at is None:
                call.released_at = at
                call.released.set()
        elif method == "INVITE" and not words[1].startswith("1"):
            at = self.record.add(self.name, "answer", call_id, f"{words[1]} {body.strip()}")
            if call is not None:
                call.finals.append((at, int(words[1]), body))
                call.answered.set()
            if words[1] == "200":
                self.send(request("ACK", call_id))

    def close(self) -> None:
        """Close it."""
        self.record.add(self.name, "closes")
        self.writer.close()


# --- log servers


class Link(asyncio.Protocol):
    """A connection that a gatekeeper has opened to a log server."""

    count = 0

    def __init__(self, server: LogServer) -> None:
        self.server, self.kept, self.open = server, b"", set[str]()
        Link.count += 1
        self.number = Link.count
        self.pieces: asyncio.Queue[bytes] = asyncio.Queue()
        self.closed = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        transport.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.server.links.append(self)
        self.server.record.add(self.server.name, "link up", "", f"#{self.number}")
        self.writing = asyncio.ensure_future(self._write())
        self.server.linked(self)

    def data_received(self, data: bytes) -> None:
        *lines, self.kept = (self.kept + data).split(b"\n")
        for line in lines:
            if line.strip():
                self.server.take(self, json.loads(line))

    def connection_lost(self, fault: Exception | None) -> None:
        self.closed = True
        self.writing.cancel()
        if self in self.server.links:
            self.server.links.remove(self)
        self.server.record.add(self.server.name, "link down", "", f"#{self.number}")
        for call in self.open:  # when a connection closes, the set-ups open on it are given up
            self.server.given_up(call)

    def say(self, kind: str, ref: str, cause: int | None = None, text: str | None = None, **fields: str) -> None:
        """One line."""
        line: dict[str, Any] = {"t": kind, "ref": ref, "f": fields}
        line |= {} if cause is None else {"c": cause}
        line |= {} if text is None else {"d": text}
        self.pieces.put_nowait(json.dumps(line, separators=(",", ":")).encode() + b"\n")

    async def _write(self) -> None:
        while True:
            data = await self.pieces.get()
            piece = self.server.piece
            if piece is None:
                self.transport.write(data)
                continue
            size, gap = piece
            for at in range(0, len(data), size):
                self.transport.write(data[at : at + size])
                await asyncio.sleep(gap)


class LogServer:
    """A log server by PROTOCOL: answers each set-up after `delay`, tells its free lines each `word` seconds."""

    def __init__(self, record: Record, number: int, name: str = "", lines: int = 1000) -> None:
        self.record, self.number, self.name = record, number, name or f"log-{number}"
        self.ident = 0x00C41F00 + number
        self.id = f"s-{self.ident:08x}"
        self.port, self.lines = free_port(), lines
        self.state, self.started_ms, self.cell = READY, 0, number
        self.links: list[Link] = []
        self.standing: dict[str, Link] = {}
        self.untold: dict[str, int] = {}
        self.delay, self.hold, self.word = 0.02, 8.0, 0.4
        self.piece: tuple[int, float] | None = None  # lines go in pieces of so many bytes, so far apart
        self.got: list[tuple[float, str]] = []  # set-ups, as they arrived
        self.ended: dict[str, float] = {}  # when this log server released a call
        self.on_new: Callable[[Link, str, dict[str, Any]], None] = self.answer_later
        self.listener: asyncio.Server | None = None
        self.words: asyncio.Future[None] | None = None

    def entry(self) -> dict[str, Any]:
        """As `known` has it."""
        return {"id": self.id, "addr": f"127.0.0.1:{self.port}", "zone": "reykjavik", "kind": "small-1core",
                "cell": self.cell, "state": STATES[self.state], "weight": 1, "started_ms": self.started_ms}  # fmt: skip

    def packed(self) -> bytes:
        """As the feed has it."""
        return RECORD.pack(self.ident, socket.inet_aton("127.0.0.1"), self.port, self.state, 0, 0, self.cell,
                           1000, self.started_ms)  # fmt: skip

    async def listen(self) -> None:
        """Accept connections."""
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(lambda: Link(self), "127.0.0.1", self.port)
        self.words = asyncio.ensure_future(self._words())

    def load(self) -> str:
        """The report."""
        return f"x0:{self.lines - len(self.standing)};x1:{self.lines};eps:0"

    async def _words(self) -> None:
        while True:
            await asyncio.sleep(self.word)
            for link in self.links:
                link.say("gauge", "", load=self.load())

    def linked(self, link: Link) -> None:
        """A connection has come: the state first, then releases that are owed on the next one."""
        link.say("gauge", "", load=self.load())
        for call, cause in list(self.untold.items()):
            del self.untold[call]
            self.record.add(self.name, "down again", call, f"c={cause} on #{link.number}")
            link.say("down", call, cause)

    def take(self, link: Link, said: dict[str, Any]) -> None:
        """One line from a gatekeeper."""
        call = said.get("ref", "")
        if said["t"] == "new":
            at = self.record.add(self.name, "new", call, f"on #{link.number} {said['f']}")
            self.got.append((at, call))
            link.open.add(call)
            self.on_new(link, call, said)
        elif said["t"] == "down":
            self.record.add(self.name, "heard down", call, f"c={said.get('c')}")
            link.open.discard(call)
            self.standing.pop(call, None)
            self.untold.pop(call, None)
            link.say("ack", call)
        elif said["t"] == "hb":
            link.say("hb_ok", call, 1)

    def given_up(self, call: str) -> None:
        """A set-up whose connection has closed."""
        self.record.add(self.name, "given up", call, "its connection closed")

    def answer_later(self, link: Link, call: str, said: dict[str, Any]) -> None:
        """The ordinary way."""
        asyncio.get_running_loop().call_later(self.delay, self.answer, link, call, said["d"])

    def answer(self, link: Link, call: str, offer: str = "") -> None:
        """The call stands, unless it was given up."""
        if call not in link.open or link.closed:
            return
        link.open.discard(call)
        self.standing[call] = link
        self.record.add(self.name, "up", call)
        link.say("up", call, text=f"{call} at {self.name}", load=self.load())
        if self.hold:
            asyncio.get_running_loop().call_later(self.hold, self.release, call)

    def release(self, call: str, cause: int = 16) -> None:
        """A call has come to its end: on the connection of its set-up, else on any, and on the next one."""
        link = self.standing.pop(call, None)
        if link is None:
            return
        self.ended[call] = self.record.add(self.name, "ends", call, f"c={cause}")
        there = [link] if not link.closed else self.links[:1]
        for one in there:
            one.say("down", call, cause, load=self.load())
        self.untold[call] = cause

    def end(self) -> None:
        """The run is over."""
        if self.words is not None:
            self.words.cancel()
        if self.listener is not None:
            self.listener.close()


class LogServerProcess:
    """The same in a process of its own, which can be stopped and continued."""

    def __init__(self, record: Record, number: int, hold: float) -> None:
        self.record, self.number, self.name, self.hold = record, number, f"log-{number}", hold
        self.like = LogServer(record, number)  # its place in the list; it does not listen
        self.port = self.like.port
        self.ended: dict[str, float] = {}
        self.listens = asyncio.Event()

    def entry(self) -> dict[str, Any]:
        """As `known` has it."""
        return self.like.entry()

    async def start(self) -> None:
        """Until it listens."""
        here = str(Path(__file__).resolve().parent)
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, f"{here}/logserver.py", str(self.number), str(self.port), str(self.hold),
            str(self.record.zero), stdout=asyncio.subprocess.PIPE, stdin=asyncio.subprocess.DEVNULL,
        )  # fmt: skip
        self.reading = asyncio.ensure_future(self._read())
        await asyncio.wait_for(self.listens.wait(), 20)

    async def _read(self) -> None:
        assert self.process.stdout is not None
        while line := await self.process.stdout.readline():
            at, who, what, call, text = json.loads(line)
            self.record.add(who, what, call, f"{text} (its clock: {at:.4f})".strip())
            if what == "ends":
                self.ended[call] = at
            self.listens.set()

    def signal(self, number: int) -> None:
        """Stop or continue it."""
        self.record.add(self.name, signal.Signals(number).name)
        self.process.send_signal(number)

    def end(self) -> None:
        """The run is over."""
        with suppress(ProcessLookupError):
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()


# --- the coordinator


class Coordinator:
    """Tells the events of the list, an empty frame each second."""

    def __init__(self, record: Record) -> None:
        self.record, self.port = record, free_port()
        self.events: list[bytes] = [b""]  # the first is in `known`
        self.told_at: list[float] = [0.0]
        self.news = asyncio.Event()
        self.late = 0.0  # seconds from the request on a connection until the first frame on it
        self.connections = 0
        self.writers: set[asyncio.StreamWriter] = set()

    async def listen(self) -> None:
        """Accept connections."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    def tell(self, *servers: LogServer) -> float:
        """An event: it is in the coordinator from now on."""
        self.events.append(b"".join(server.packed() for server in servers))
        text = ", ".join(f"{server.name} {STATES[server.state]}" for server in servers)
        at = self.record.add("coordinator", "event", "", f"{len(self.events)}: {text}")
        self.told_at.append(at)
        self.news.set()
        self.news = asyncio.Event()
        return at

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.connections += 1
        mine = self.connections
        try:
            number = int.from_bytes(await reader.readexactly(8), "big")
            self.record.add("coordinator", "asked", "", f"connection {mine} has event {number}")
            self.writers.add(writer)
            ended = asyncio.ensure_future(reader.read(1))
            if self.late:
                await asyncio.wait([ended], timeout=self.late)
            while not ended.done():
                news = self.news
                while number < len(self.events):
                    payload = self.events[number]
                    number += 1
                    self.record.add("coordinator", "tells", "", f"connection {mine}: event {number}")
                    writer.write(FRAME.pack(9 + len(payload), number, 2) + payload)
                writer.write(FRAME.pack(9, 0, 0))
                waiting = asyncio.ensure_future(news.wait())
                await asyncio.wait([ended, waiting], timeout=1.0, return_when=asyncio.FIRST_COMPLETED)
                waiting.cancel()
        except (OSError, asyncio.IncompleteReadError):
            pass
        self.record.add("coordinator", "closed", "", f"connection {mine}")
        writer.close()

    def end(self) -> None:
        """The run is over."""
        self.server.close()
        for writer in self.writers:
            writer.close()


class DelayProxy:
    """A TCP proxy: everything arrives `late` seconds later, in either direction and in order."""

    def __init__(self, record: Record, name: str, behind: int) -> None:
        self.record, self.name, self.behind, self.port = record, name, behind, free_port()
        self.late = 0.0
        self.writers: list[asyncio.StreamWriter] = []

    async def listen(self) -> None:
        """Accept connections."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.record.add(self.name, "connection", "", f"everything on it comes {self.late} s late, each way")
        there, back = await asyncio.open_connection("127.0.0.1", self.behind)
        self.writers += [writer, back]
        await asyncio.gather(self._copy(reader, back, self.late), self._copy(there, writer, self.late))

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, late: float) -> None:
        loop = asyncio.get_running_loop()

        def put(data: bytes) -> None:
            with suppress(OSError, RuntimeError):
                if data:
                    writer.write(data)
                else:
                    writer.close()

        data = b"?"
        while data:
            try:
                data = await reader.read(65536)
            except OSError:
                data = b""
            loop.call_later(late, put, data)

    def end(self) -> None:
        """The run is over."""
        self.server.close()
        for writer in self.writers:
            writer.close()


# --- the run of a case


class Case:
    """What a case needs, and the end of all that it started."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="mallowquay-case-"))
        self.ends: list[Callable[[], None]] = []
        self.gatekeepers: list[Gatekeeper] = []
        self.book: dict[str, Call] = {}  # calls of the usual client

    async def servers(self, count: int, first: int = 0) -> list[LogServer]:
        """Log servers that listen, numbered from the first."""
        made = [LogServer(self.record, first + number) for number in range(count)]
        for server in made:
            await server.listen()
            self.ends.append(server.end)
        return made

    async def coordinator(self) -> Coordinator:
        """A coordinator that listens."""
        made = Coordinator(self.record)
        await made.listen()
        self.ends.append(made.end)
        return made

    async def gatekeeper(self, name: str, doc: dict[str, Any], coordinator: int = 0, **more: Any) -> Gatekeeper:
        """A process that is ready."""
        made = Gatekeeper(self.record, name, self.folder, coordinator, doc, **more)
        self.gatekeepers.append(made)
        await made.ready()
        return made

    async def caller(self, name: str, port: int, book: dict[str, Call] | None = None) -> Caller:
        """A connection that is open."""
        made = await Caller(self.record, name, self.book if book is None else book).connect(port)
        self.ends.append(made.writer.close)
        return made

    def end(self) -> None:
        """End all processes and connections of this run."""
        for gatekeeper in self.gatekeepers:
            gatekeeper.end()
        for end in self.ends:
            end()
        shutil.rmtree(self.folder, ignore_errors=True)


def main(file: str, play: Callable[[Case], Awaitable[tuple[bool, str]]], within: float = 110.0) -> None:
    """Run a case: exit with BROKEN, HELD or NOT_RUN."""
    case = Case(Path(file).resolve().parent)
    case.record.add("case", "begins", "", "with the disruption" if TROUBLE else "without the disruption")

    async def timed() -> tuple[bool, str]:
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)  # connections that were cut
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):  # whoever ends the script ends all that it started
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            return await asyncio.wait_for(play(case), within)
        finally:
            case.end()
            await asyncio.sleep(0.2)  # connections close

    try:
        broken, text = asyncio.run(timed())
    except BaseException as fault:  # whatever it is: nothing was shown
        text, code = f"could not run: {type(fault).__name__}: {fault}", NOT_RUN
    else:
        code = BROKEN if broken else HELD
    case.record.add("case", {HELD: "HELD", BROKEN: "BROKEN", NOT_RUN: "NOT RUN"}[code], "", text)
    print(f"{ {HELD: 'held', BROKEN: 'broken', NOT_RUN: 'not run'}[code]}: {text}")
    sys.exit(code)
