"""The real program on loopback between stand-in callers and log servers, and its own record of the traffic.

The stand-ins speak the platform's wire as far as a run of loss needs it. A log server that has no room says
that the number is busy: the one refusal from which nothing is concluded of the log server, so that what is
lost is lost at its lines or its processor and not to the caution of whoever sends.
"""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import struct
import sys
import tempfile
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]
from support import SETTINGS, free_port, parse_head  # noqa: E402

from rigs.streams import OwnedStreams  # noqa: E402

CONNECTIONS = 8
TOLD_FROM = 1000  # lines from which a stand-in tells how many are free
LATE = 5.0  # seconds in which what is open must end


@dataclass(frozen=True)
class Shape:
    """A stand-in log server: lines; work in seconds (means); the wait past which it has no room."""

    lines: int
    hold: float
    setup: float = 0.0
    answer: float = 0.0
    release: float = 0.0
    refusal: float = 0.0
    limit: float = 1.0


class LogServer:
    """JSON lines; calls are released after an exponential time."""

    def __init__(self, number: int, shape: Shape, chance: random.Random) -> None:
        self.number, self.shape, self._chance = number, shape, chance
        self.busy_until = 0.0
        self.open: set[str] = set()
        self.writer: asyncio.StreamWriter | None = None
        self.taken = 0  # set-ups, and how many of one id
        self.seen: dict[str, int] = {}

    async def listen(self, streams: OwnedStreams) -> int:
        """Open a port."""
        server = await streams.serve(self._serve, "127.0.0.1")
        port: int = server.sockets[0].getsockname()[1]
        return port

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writer = writer
        self._say("gauge", "", load=self._load())
        while line := await reader.readline():
            told = json.loads(line)
            if told["t"] == "new":
                self._new(told["ref"])
            elif told["t"] == "down":
                self.open.discard(told["ref"])

    def _say(self, kind: str, ref: str, cause: int | None = None, **fields: str) -> None:
        line: dict[str, object] = {"t": kind, "ref": ref, "f": fields}
        if cause is not None:
            line["c"] = cause
        if kind == "up":
            line["d"] = "answer\r\n"
        if self.writer is not None and not self.writer.is_closing():
            self.writer.write(json.dumps(line).encode() + b"\n")

    def _load(self) -> str:
        """Free lines, which tell a sender what the server takes; nothing where lines run short."""
        if self.shape.lines < TOLD_FROM:
            return "x0:100000;x1:100000"
        return f"x0:{self.shape.lines - len(self.open)};x1:{self.shape.lines}"

    def _work(self, mean: float, then: Callable[[], None]) -> None:
        loop = asyncio.get_running_loop()
        work = self._chance.expovariate(1 / mean) if mean else 0.0
        self.busy_until = max(self.busy_until, loop.time()) + work
        if work:
            loop.call_at(self.busy_until, then)
        else:
            then()

    def _new(self, ref: str) -> None:
        shape = self.shape
        self.taken += 1
        self.seen[ref] = self.seen.get(ref, 0) + 1
        wait = self.busy_until - asyncio.get_running_loop().time()
        if len(self.open) >= shape.lines or wait > shape.limit:
            self._work(shape.refusal, lambda: self._say("down", ref, 17, note="busy"))
            return
        self.open.add(ref)
        self._work(shape.setup, lambda: self._work(shape.answer, lambda: self._stands(ref)))

    def _stands(self, ref: str) -> None:
        if ref in self.open:
            self._say("up", ref, load=self._load())
            hold = self._chance.expovariate(1 / self.shape.hold)
            asyncio.get_running_loop().call_later(hold, self._over, ref)

    def _over(self, ref: str) -> None:
        if ref in self.open:
            self.open.discard(ref)
            self._work(self.shape.release, lambda: self._say("down", ref, 16))


class Callers:
    """Poisson callers on a few connections; `answers` counts the final answers of each call."""

    def __init__(self, chance: random.Random, servers: int) -> None:
        self._chance, self._servers = chance, servers
        self.answers: dict[str, int] = {}
        self.stood = self.offered = 0

    async def connect(self, port: int, streams: OwnedStreams) -> None:
        """Open the connections."""
        self._writers = []
        for _ in range(CONNECTIONS):
            reader, writer = await streams.open("127.0.0.1", port)
            self._writers.append(writer)
            asyncio.ensure_future(self._read(reader, writer))

    async def _read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                message = parse_head(head[:-4])
                await reader.readexactly(int(message["content-length"]))
                ref, first = message["call-id"], message[""]
                if first.startswith("SIP/2.0 ") and message["cseq"].endswith("INVITE"):
                    if int(first.split()[1]) >= 200:
                        self.answers[ref] = self.answers.get(ref, 0) + 1
                        self.stood += " 200 " in first
        except (asyncio.IncompleteReadError, ConnectionError):
            return

    async def dial(self, rate: float, seconds: float) -> None:
        """Offer calls for so long."""
        loop = asyncio.get_running_loop()
        at = loop.time()
        end = at + seconds
        while (at := at + self._chance.expovariate(rate)) < end:
            await asyncio.sleep(max(0.0, at - loop.time()))
            self.offered += 1
            ref = f"{self.offered:016x}"
            self.answers[ref] = 0
            dest = self._chance.randrange(self._servers)
            text = (
                f"INVITE sip:{self.offered:016x}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\n"
                f"Call-ID: {ref}\r\n"
                f"CSeq: 1 INVITE\r\nP-Kind: log-lookup\r\nP-Time-Left: 20000\r\n"
                f"P-Path: dest:{dest};width:1;via:-1\r\nContent-Length: 7\r\n\r\noffer\r\n"
            )
            self._writers[self.offered % CONNECTIONS].write(text.encode())


async def _feed(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """The coordinator: nothing new, once a second."""
    index = int.from_bytes(await reader.readexactly(8), "big")
    while not writer.is_closing():
        writer.write(struct.pack(">IQB", 9, index, 0))
        with suppress(asyncio.TimeoutError, ConnectionError):
            await asyncio.wait_for(reader.read(1), 1)  # nothing comes but the end of the connection
            return


@dataclass(frozen=True)
class Seen:
    """What a run came to; `twice`: calls with two answers, `doubled`: set-ups that came twice."""

    offered: int
    stood: int
    missing: int
    twice: int
    doubled: int
    record: Path


async def run(shape: Shape, servers: int, rate: float, seconds: float, seed: int, folder: Path) -> Seen:
    """One run of the real program; it writes its record into the folder."""
    async with OwnedStreams() as streams:
        return await _run(shape, servers, rate, seconds, seed, folder, streams)


async def _run(
    shape: Shape, servers: int, rate: float, seconds: float, seed: int, folder: Path, streams: OwnedStreams
) -> Seen:
    chance = random.Random(seed)
    log_servers = [LogServer(number, shape, random.Random(seed * 97 + number)) for number in range(servers)]
    ports = [await server.listen(streams) for server in log_servers]
    feed = await streams.serve(_feed, "127.0.0.1")
    # Aims far above any wait of the run: nothing here is to look like a pressed log server.
    services = [{**SETTINGS["services"][0], "onTime": 10_000_000, "deadline": 30_000_000}]  # type: ignore[index]
    extra = {"layout": "pools", "repeat": 0, "release": 300_000, "meanHold": [round(shape.hold * 1e6)]}
    entries = [
        {
            "id": f"s-{number:08x}",
            "addr": f"127.0.0.1:{port}",
            "zone": "z",
            "kind": "k",
            "cell": number,
            "state": "in_service",
            "weight": 1,
            "started_ms": 0,
        }
        for number, port in enumerate(ports)
    ]
    port, record = free_port(), folder / f"record-{seed}"
    document = {
        "name": "n",
        "listen": f"127.0.0.1:{port}",
        "seed": "1",
        "limits": {"sockets": 1024},
        "coordinator": f"127.0.0.1:{feed.sockets[0].getsockname()[1]}",
        "known": {
            "index": 1,
            "updates": [{"index": 1, "endpoints": {"version": 1, "full": True, "servers": entries}}],
        },
        "settings": {**SETTINGS, "services": services, "extra": extra},
        "traffic": {"file": str(record), "interval_ms": 500},
    }
    with tempfile.NamedTemporaryFile("w", suffix=".json", dir=folder, delete=False) as file:
        json.dump(document, file)
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "mallowquay",
        cwd=ROOT,
        env={**os.environ, "LB_CONFIG": file.name},
        stderr=asyncio.subprocess.DEVNULL,
    )
    try:
        while True:
            try:
                socket.create_connection(("127.0.0.1", port)).close()
                break
            except ConnectionRefusedError:
                await asyncio.sleep(0.02)
        callers = Callers(chance, servers)
        await callers.connect(port, streams)
        while any(server.writer is None for server in log_servers):
            await asyncio.sleep(0.02)
        await callers.dial(rate, seconds)
        end = asyncio.get_running_loop().time() + LATE
        while asyncio.get_running_loop().time() < end and not all(callers.answers.values()):
            await asyncio.sleep(0.05)
        process.send_signal(signal.SIGTERM)
        await asyncio.wait_for(process.wait(), 40)
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
        feed.close()
    return Seen(
        offered=callers.offered,
        stood=callers.stood,
        missing=sum(count == 0 for count in callers.answers.values()),
        twice=sum(count > 1 for count in callers.answers.values()),
        doubled=sum(count > 1 for server in log_servers for count in server.seen.values()),
        record=record,
    )
