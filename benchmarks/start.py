"""Memory, start time and processor time of the run line, of this checkout against others (git worktrees).

    .venv/bin/python benchmarks/start.py [OTHER_CHECKOUT ...]
    .venv/bin/python benchmarks/start.py --fleet [--count 20] [--way NAME ...]

The first starts each in turn, several times, has it carry some calls one after the other, and prints medians,
and this one's ratio to the others. The second restarts a fleet of real processes, in one way of trouble after
another, and prints how long they took to be ready: until the first 200 to a test from outside, as the
platform's front judges it.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import socket
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Coroutine, Iterator
from concurrent.futures import ThreadPoolExecutor
from contextlib import contextmanager, suppress
from dataclasses import dataclass, field
from enum import Enum
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]
from support import Caller, LogServer, Process, free_port, platform_file, run_line  # noqa: E402

from mallowquay.membership.coordinator import FRAME  # noqa: E402
from rigs.streams import OwnedStreams  # noqa: E402

ROUNDS = 7
SETTLES = 0.5  # seconds until what is read at the start is in memory
CALLS = 2000  # per process: set-up, answer and release
TICK_MS = 1000 / os.sysconf("SC_CLK_TCK")  # unit of the times in /proc

READY_MOST = 30.0  # seconds after which the platform calls it a failure to start
READY_NINE_IN_TEN = 10.0  # seconds within which nine in ten restarted processes are to be ready
AT_ONCE = os.cpu_count() or 1  # processes that start side by side
BACK_AFTER = 4.0  # seconds that a coordinator is down
CROWDED_WITHIN = 20.0  # seconds until idle callers have every place
FRONT_KNOWS = 0.3  # seconds from SIGTERM until nobody comes anew (the platform says 0.2 to 0.4)
ENDS_WITHIN = 10.0  # seconds that a process may take to end after SIGTERM
PROBE_WAIT, PROBE_GAP = 0.5, 0.005  # seconds: for an answer, and between two tests
CALL_GAP = 0.05  # seconds between the calls of one caller, and before it comes again
ANSWER_MOST = 4.0  # seconds that a caller that speaks waits
IDLE_GAP = 1.0  # seconds until an idle caller that had to give way comes again
SERVERS = 24
TEST = (b"OPTIONS sip:ping@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: p\r\nCSeq: 1 OPTIONS\r\n"
        b"Content-Length: 0\r\n\r\n")  # fmt: skip


@dataclass(frozen=True, slots=True)
class Run:
    """Measurements of one process, started by a checkout's run line."""

    start_s: float  # until it accepts a connection
    resident_kb: float  # a moment after that
    call_us: float  # processor time per call


def processor_ms(pid: int) -> float:
    """Processor time that a process has used since it started."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) * TICK_MS  # user and system time


def carry_calls(port: int, server: LogServer) -> None:
    """Set up and release CALLS calls, one at a time."""
    caller = Caller(port)
    for number in range(CALLS):
        call = f"{number:016x}"
        caller.invite(call)
        server.read()
        server.say("up", call, text="answer")
        caller.read()
        caller.send("ACK", call)
        caller.send("BYE", call, "Reason: Q.850;cause=16")
        caller.read()
        server.read()


def start(checkout: Path) -> Run:
    """Start a process by a checkout's run line, and measure it."""
    port, server = free_port(), LogServer(0)
    with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
        file.write(platform_file(port, ("127.0.0.1", 1), [server.entry()]))
        file.flush()
        began = time.monotonic()
        process = subprocess.Popen(
            [sys.executable, "-m", "mallowquay"],
            cwd=checkout,
            stderr=subprocess.DEVNULL,
            env={**os.environ, "LB_CONFIG": file.name},
        )
        try:
            while time.monotonic() < began + 10:
                try:
                    socket.create_connection(("127.0.0.1", port)).close()
                    break
                except ConnectionRefusedError:
                    time.sleep(0.002)
            took = time.monotonic() - began
            time.sleep(SETTLES)
            status = Path(f"/proc/{process.pid}/status").read_text()
            server.accept()
            before = processor_ms(process.pid)
            carry_calls(port, server)
            call_us = 1000 * (processor_ms(process.pid) - before) / CALLS
        finally:
            process.kill()
            process.wait()
            server.end()
    resident = next(int(line.split()[1]) for line in status.splitlines() if line.startswith("VmRSS"))
    return Run(took, resident, call_us)


class Feed(Enum):
    """What the coordinator does while processes start."""

    WELL = "well"
    SILENT = "silent"  # it accepts, and says nothing
    REFUSED = "refused"
    BACK = "back"  # refused, and well again a while after the restart began


@dataclass(frozen=True)
class Way:
    """What is wrong while a fleet is restarted."""

    name: str
    feed: Feed = Feed.WELL
    live: int = SERVERS  # log servers that answer
    deaf: int = 0  # whose connections never come up
    dead: int = 0  # that refuse
    idle: int = 0  # callers of each process that connect at once and say nothing
    sockets: int = 1024
    planned: bool = False  # SIGTERM, a tenth at a time, while callers speak; else SIGKILL, all at once


WAYS = (
    Way("well"),
    Way("silent", feed=Feed.SILENT),
    Way("refused", feed=Feed.REFUSED),
    Way("back", feed=Feed.BACK),
    Way("deaf", live=0, deaf=SERVERS),
    Way("idle", idle=216, sockets=256),  # for 192 places
    Way("list", live=20, deaf=90, dead=90),
    Way("planned", planned=True),
)


class LogServerProtocol(asyncio.Protocol):
    """One connection to a log server that takes every call."""

    def connection_made(self, transport: Any) -> None:
        self.transport, self.kept = transport, b""
        transport.write(b'{"t":"gauge","ref":"","f":{"load":"x0:1000;x1:1000"}}\n')

    def data_received(self, data: bytes) -> None:
        *lines, self.kept = (self.kept + data).split(b"\n")
        for message in map(json.loads, lines):
            if message["t"] == "new":
                answer = {"t": "up", "ref": message["ref"], "f": {}, "d": "answer"}
                self.transport.write(json.dumps(answer).encode() + b"\n")


@dataclass
class Gatekeeper:
    """One process of the fleet; name and address stay, everything else begins anew."""

    port: int
    file: str
    process: Process | None = None
    up: asyncio.Event = field(default_factory=asyncio.Event)  # idle callers may come; of the stand-ins' loop
    crowded: bool = False  # idle callers hold every place
    away: bool = False  # it is known to end: callers that speak do not come

    def start(self) -> float | None:
        """Start it by the run line; seconds until it was ready, None if it was not in time."""
        began = time.monotonic()
        self.process = Process([], {"LB_CONFIG": self.file, "LB_NAME": f"n{self.port}"}, command=run_line())
        while time.monotonic() < began + READY_MOST:
            if passes_test(self.port):
                self.away = False
                return time.monotonic() - began
            time.sleep(PROBE_GAP)
        return None

    def end(self, planned: bool) -> None:
        """SIGTERM and its end, or SIGKILL."""
        assert self.process is not None
        if planned:
            self.process.terminate()
            time.sleep(FRONT_KNOWS)
            self.away = True
            self.process.process.wait(ENDS_WITHIN)
        self.process.stop()


def passes_test(port: int) -> bool:
    """Whether whoever listens there, if anyone does, answers the test with 200."""
    try:
        with socket.create_connection(("127.0.0.1", port), timeout=PROBE_WAIT) as sock:
            sock.sendall(TEST)
            return sock.recv(4096).startswith(b"SIP/2.0 200")
    except OSError:
        return False


class Fleet:
    """Gatekeepers as processes, and all that they meet on one loop of this one. `play` may be called once."""

    def __init__(self, way: Way, count: int, at_once: int = AT_ONCE) -> None:
        self.way, self.count, self.at_once = way, count, at_once
        self.coordinator, self.feed = ("127.0.0.1", free_port()), Feed.WELL
        self.answered = self.refused = self.lost = 0  # calls of callers that speak; lost: set-up or release
        self._open: list[socket.socket] = []
        self._servers: list[asyncio.Server] = []
        self._tasks: set[asyncio.Task[Any]] = set()
        self._streams = OwnedStreams()

    def play(self) -> list[float | None]:
        """Start all, end and restart them as the way says; how long each restart took."""
        with self._loop() as loop, tempfile.TemporaryDirectory() as folder:
            run = lambda work: asyncio.run_coroutine_threadsafe(work, loop).result()  # noqa: E731
            run(self._set_up())
            fleet = []
            for number in range(self.count):
                port, path = free_port(), Path(folder, f"{number}.json")
                path.write_text(platform_file(port, self.coordinator, self.listed, self.way.sockets))
                fleet.append(Gatekeeper(port, str(path)))
            try:
                with ThreadPoolExecutor(self.at_once) as pool:
                    if None in pool.map(Gatekeeper.start, fleet):
                        raise RuntimeError(f"{self.way.name}: a first start failed")
                    run(self._crowd(fleet))
                    return self._restart(fleet, pool, run)
            finally:
                run(self._leave())  # first: what a caller loses by the end of the run is no loss
                for gatekeeper in fleet:
                    if gatekeeper.process is not None and not gatekeeper.process.log.closed:
                        gatekeeper.process.stop()
                run(self._close())

    def _restart(self, fleet: list[Gatekeeper], pool: ThreadPoolExecutor, run: Any) -> list[float | None]:
        if self.way.planned:
            found: list[float | None] = []
            tenth = max(1, len(fleet) // 10)
            for first in range(0, len(fleet), tenth):
                some = fleet[first : first + tenth]
                list(pool.map(lambda one: one.end(planned=True), some))
                found += pool.map(Gatekeeper.start, some)
            return found
        run(self._lose(fleet))
        for gatekeeper in fleet:
            assert gatekeeper.process is not None
            gatekeeper.process.process.kill()
        for gatekeeper in fleet:
            gatekeeper.end(planned=False)
        run(self._trouble())
        return list(pool.map(Gatekeeper.start, fleet))

    @contextmanager
    def _loop(self) -> Iterator[asyncio.AbstractEventLoop]:
        loop = asyncio.new_event_loop()
        thread = threading.Thread(target=loop.run_forever)
        thread.start()
        try:
            yield loop
        finally:
            loop.call_soon_threadsafe(loop.stop)
            thread.join()
            loop.close()

    async def _set_up(self) -> None:
        way, loop = self.way, asyncio.get_running_loop()
        self.listed: list[dict[str, object]] = []
        for number in range(way.live + way.deaf + way.dead):
            sock = self._bound(free_port())
            if number < way.live:
                self._servers.append(await loop.create_server(LogServerProtocol, sock=sock, backlog=512))
            elif number < way.live + way.deaf:
                self._deafen(sock)
            self.listed.append({
                "id": f"s-{number:08x}", "addr": "127.0.0.1:{}".format(*sock.getsockname()[1:]), "zone": "z",
                "kind": "k", "cell": number, "state": "in_service", "weight": 1, "started_ms": 0,
            })  # fmt: skip
        self._feed = self._bound(self.coordinator[1])
        await self._follow()

    def _bound(self, port: int) -> socket.socket:
        """A port of ours: it refuses until something listens there."""
        sock = socket.socket()
        self._open.append(sock)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(("127.0.0.1", port))
        return sock

    def _deafen(self, listener: socket.socket) -> None:
        """Its queue is full: what comes after is not answered."""
        listener.listen(0)
        for _ in range(3):
            fill = socket.socket()
            self._open.append(fill)
            fill.setblocking(False)
            fill.connect_ex(listener.getsockname())

    async def _follow(self) -> None:
        self._servers.append(await self._streams.serve(self._tell, sock=self._feed, backlog=512))

    async def _tell(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError, asyncio.IncompleteReadError):
            number = int.from_bytes(await reader.readexactly(8), "big")
            while not writer.is_closing():
                if self.feed is not Feed.SILENT:
                    writer.write(FRAME.pack(9, number, 0))
                    await writer.drain()
                await asyncio.sleep(1)

    async def _lose(self, fleet: list[Gatekeeper]) -> None:
        """They are about to be killed: idle callers come again as soon as the next ones listen."""
        for gatekeeper in fleet:
            gatekeeper.up.clear()

    async def _trouble(self) -> None:
        """What the coordinator does from now on; it was well at the first start."""
        self.feed = self.way.feed
        if self.feed in (Feed.REFUSED, Feed.BACK):
            self._servers.pop().close()
            self._feed = self._bound(self.coordinator[1])
        if self.feed is Feed.BACK:
            asyncio.get_running_loop().call_later(BACK_AFTER, lambda: self._spawn(self._follow()))

    async def _crowd(self, fleet: list[Gatekeeper]) -> None:
        """Callers come, and those that hold places have them when this returns."""
        for gatekeeper in fleet if self.way.idle else ():
            self._spawn(self._scout(gatekeeper))
            for _ in range(self.way.idle):
                self._spawn(self._idle(gatekeeper))
        end = time.monotonic() + CROWDED_WITHIN
        while self.way.idle and not all(one.crowded for one in fleet):
            if time.monotonic() > end:
                raise RuntimeError("idle callers do not hold every place")
            await asyncio.sleep(PROBE_GAP)
        for gatekeeper in fleet if self.way.planned else ():
            self._spawn(self._speak(gatekeeper))

    async def _scout(self, gatekeeper: Gatekeeper) -> None:
        """Tell idle callers at which moment the process listens again: they all come at once."""
        while True:
            with suppress(OSError):
                reader, writer = await self._streams.open("127.0.0.1", gatekeeper.port)
                gatekeeper.up.set()
                await reader.read()
                writer.close()
            await asyncio.sleep(PROBE_GAP)

    async def _idle(self, gatekeeper: Gatekeeper) -> None:
        while True:
            await gatekeeper.up.wait()
            try:
                reader, writer = await self._streams.open("127.0.0.1", gatekeeper.port)
            except OSError:
                gatekeeper.up.clear()
                continue
            with suppress(OSError):
                await reader.read()
            writer.close()
            if gatekeeper.up.is_set():  # it had to give way: every place is held
                gatekeeper.crowded = True
                await asyncio.sleep(IDLE_GAP)

    async def _speak(self, gatekeeper: Gatekeeper) -> None:
        """One call after another, each released by its caller."""
        call = 0
        while True:
            await asyncio.sleep(CALL_GAP)
            if gatekeeper.away:
                continue
            try:
                reader, writer = await self._streams.open("127.0.0.1", gatekeeper.port)
            except OSError:
                continue
            call += 1
            name = f"{gatekeeper.port:08x}{call:08x}"
            head = f"sip:7f3a@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {name}\r\nCSeq: 1"
            invite = (f"INVITE {head} INVITE\r\nP-Kind: log-lookup\r\nP-Time-Left: 3000\r\n"
                      "P-Path: dest:0;width:1;via:-1\r\nContent-Length: 0\r\n\r\n")  # fmt: skip
            bye = f"BYE {head} BYE\r\nReason: Q.850;cause=16\r\nContent-Length: 0\r\n\r\n"
            try:
                writer.write(invite.encode())
                async with asyncio.timeout(ANSWER_MOST):  # not wait_for: it may swallow a cancellation
                    answer = await reader.readuntil(b"\r\n\r\n")
                self.answered += answer.startswith(b"SIP/2.0 200")
                self.refused += not answer.startswith(b"SIP/2.0 200")
                writer.write(bye.encode())
                async with asyncio.timeout(ANSWER_MOST):
                    await reader.readuntil(b"CSeq: 1 BYE")
            except (OSError, asyncio.IncompleteReadError, TimeoutError) as fault:
                self.lost += 1
                print(f"lost: {name}: {fault!r}", file=sys.stderr)
            finally:
                writer.close()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _leave(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _close(self) -> None:
        for server in self._servers:
            server.close()
        await self._streams.close()
        for sock in self._open:
            sock.close()


def tell_fleet(ways: list[str], count: int) -> bool:
    """Print a line a way; whether nine in ten were ready in time in each."""
    print(f"{count} processes, at most {AT_ONCE} starting side by side; load before {os.getloadavg()[0]:.1f}")
    print("way       starts  median  ninth decile  worst  not ready  (seconds)", flush=True)
    holds = True
    for way in WAYS:
        if ways and way.name not in ways:
            continue
        fleet = Fleet(way, count)
        found = fleet.play()
        times = sorted(READY_MOST if took is None else took for took in found)
        ninth = times[-(-9 * len(times) // 10) - 1]  # nine in ten took no longer
        holds = holds and ninth <= READY_NINE_IN_TEN
        calls = f"  calls: {fleet.answered} answered, {fleet.refused} refused, {fleet.lost} lost"
        print(
            f"{way.name:9} {len(found):6} {statistics.median(times):7.2f} {ninth:13.2f} {times[-1]:6.2f} "
            f"{found.count(None):10}{calls if way.planned else ''}",
            flush=True,
        )
    return holds


def compare(others: list[str]) -> None:
    """Print a line a checkout."""
    checkouts = [ROOT, *map(Path, others)]
    found: dict[Path, list[Run]] = {checkout: [] for checkout in checkouts}
    for _ in range(ROUNDS):
        for checkout in checkouts:
            found[checkout].append(start(checkout))
    own = median(found[ROOT])
    for index, checkout in enumerate(checkouts):
        run = median(found[checkout])
        print(
            f"{'this' if not index else f'other {index}'}: start {run.start_s:.3f} s, "
            f"resident {run.resident_kb:.0f} kB, processor {run.call_us:.0f} us a call; "
            f"this is {own.start_s / run.start_s:.2f} x in time, {own.resident_kb / run.resident_kb:.3f} x "
            f"in memory, {own.call_us / run.call_us:.2f} x in processor time"
        )


def median(runs: list[Run]) -> Run:
    """The median of each figure."""
    return Run(
        statistics.median(run.start_s for run in runs),
        statistics.median(run.resident_kb for run in runs),
        statistics.median(run.call_us for run in runs),
    )


def main() -> int:
    """The exit code: 1 where a fleet was not ready in time."""
    form = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=form)
    parser.add_argument("checkouts", nargs="*")
    parser.add_argument("--fleet", action="store_true", help="restart a fleet, compare nothing")
    parser.add_argument("--count", type=int, default=20)
    parser.add_argument("--way", action="append", default=[], choices=[way.name for way in WAYS])
    chosen = parser.parse_args()
    if chosen.fleet:
        return 0 if tell_fleet(chosen.way, chosen.count) else 1
    compare(chosen.checkouts)
    return 0


if __name__ == "__main__":
    sys.exit(main())
