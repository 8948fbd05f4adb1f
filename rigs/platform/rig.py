"""Callers of several real processes, what becomes of these, and who does it to them."""

from __future__ import annotations

import asyncio
import json
import random
import shutil
import signal
import socket
import tempfile
import time
from collections.abc import Coroutine, Iterator
from contextlib import suppress
from copy import deepcopy
from itertools import cycle, islice
from pathlib import Path
from typing import Any

from ..process import ROOT, Process, free_port
from ..streams import OwnedStreams
from .history import History, Rules
from .servers import DRAINING, GONE, READY, WORD_EVERY, Coordinator, LogServer

Settings = dict[str, Any]
SETTINGS: Settings = {
    "groupSize": 1, "overShareWorth": 0.1, "registryMode": "pushed",
    "services": [{"name": "log-lookup", "onTime": 2_000_000, "deadline": 3_000_000, "worth": 1.0,
                  "lateWorth": 0.25, "effect": "read_like"}],
    "limits": {"mostTries": 4, "retryAfter": True, "maxRetryAfter": 2_000_000, "mayProbe": False,
               "cancelling": True, "dialTimeout": 500_000},
    "telemetry": {"fields": ["free", "size", "hold_back"]},
    "extra": {"layout": "pools", "repeat": 0, "release": 300_000, "meanHold": [1_000_000],
              "skilledPools": [[0, 1]]},
    "rules": {"drainGrace": 500_000, "coldFrom": 0.29, "cold": 2_000_000, "fallMultiple": 3.0,
              "fall": 3_000_000},
}  # fmt: skip
LEFT_MOST = 2500  # milliseconds that a caller waits
# Descriptors of a process, of which callers may use a third also during an upgrade, and connections that
# leave it no place.
SOCKETS, FLOOD = 400, 300
KILL_AFTER = 3.7  # seconds after SIGTERM
CROSSES = 0.05  # a set-up that crosses a close so closely is sent again, once
LINES = 3  # open lines to a process
# What its caller does with a call, and how often of a hundred.
MANNERS = {"waits": 62, "cancel": 12, "cancel_behind": 4, "close": 8, "half-close": 6, "reset": 8}
FAULTS = (
    "term",
    "upgrade",
    "upgrade",
    "kill",
    "stop",
    "stop",
    "hup",
    "silent",
    "dead",
    "cut",
    "cut",
    "refuse",
    "drain",
    "move",
    "mute",
    "garbles",
    "repeats",
    "flood",
)
# What befalls an upgrade. Its processes share a listening socket and count as one.
UPGRADES = ("plain", "plain", "old_stopped", "new_stopped", "old_killed", "new_killed", "third")
STAYS = 35.0  # seconds that a process with calls that stand may take to end


def drawn_settings(chance: random.Random) -> Settings:
    """Those of some other deployment: classes, powers and limits as they may come."""
    settings = deepcopy(SETTINGS)
    settings["services"] = []
    for number in range(chance.randrange(1, 4)):
        aim = chance.choice((250_000, 800_000, 2_000_000, 4_000_000))
        settings["services"].append({
            "name": f"kind-{number}", "onTime": aim, "deadline": int(aim * chance.uniform(1.2, 3.0)),
            "worth": chance.choice((0.5, 1.0, 3.0)), "lateWorth": 0.25,
            "effect": chance.choice(("read_like", "non_idempotent")),
        })  # fmt: skip
    classes = len(settings["services"])
    tells = chance.random() < 0.5
    settings["limits"] |= {
        "mostTries": chance.choice((1, 2, 4, 5)), "retryAfter": tells,
        "maxRetryAfter": chance.choice((500_000, 2_000_000)) if tells else 0,
        "mayProbe": chance.random() < 0.5, "cancelling": chance.random() < 0.5,
        "dialTimeout": chance.choice((250_000, 500_000)),
    }  # fmt: skip
    settings["extra"] |= {"release": chance.choice((150_000, 300_000, 500_000)),
                          "meanHold": [1_000_000] * classes, "skilledPools": [[0, 1]] * classes}  # fmt: skip
    settings["rules"]["drainGrace"] = chance.choice((250_000, 500_000))
    return settings


def rules_of(settings: Settings) -> Rules:
    """What a checker holds the processes to."""
    limits = settings["limits"]
    return Rules(
        attempts_most=limits["mostTries"], release_wait=settings["extra"]["release"] / 1e6,
        grace=settings["rules"]["drainGrace"] / 1e6, probes=limits["mayProbe"],
        gap_most=limits["maxRetryAfter"] / 1e6 if limits["retryAfter"] else 0.0,
        once=frozenset(kind["name"] for kind in settings["services"] if kind["effect"] != "read_like"),
    )  # fmt: skip


class Line:
    """One connection of callers."""

    count = 0

    def __init__(self, node: Node, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        Line.count += 1
        self.name, self.node, self.history = f"line-{Line.count}", node, node.history
        self.reader, self.writer = reader, writer
        self.open: dict[str, asyncio.Event] = {}
        reading = asyncio.ensure_future(self.read())
        node.readers.add(reading)
        reading.add_done_callback(node.readers.discard)
        self.ended_at = 0.0

    @property
    def usable(self) -> bool:
        return not self.ended_at and not self.writer.is_closing()

    def send(self, *texts: str) -> None:
        self.writer.write("".join(texts).encode())

    def end(self) -> None:
        if not self.ended_at:
            self.ended_at = time.monotonic()
            self.history.add("line_end", self.node.name, text=self.name)

    async def read(self) -> None:
        try:
            while True:
                head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
                fields = dict(line.split(": ", 1) for line in head.split("\r\n")[1:] if ": " in line)
                body = (await self.reader.readexactly(int(fields["Content-Length"]))).decode()
                self.heard(head.split(" "), fields, body)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writer.close()
        self.end()
        for event in self.open.values():
            event.set()

    def heard(self, first: list[str], fields: dict[str, str], body: str) -> None:
        call, method = fields["Call-ID"], fields["CSeq"].split(" ")[1]
        if first[0] == "BYE":
            self.history.add("bye_in", self.node.name, call)
            self.send(message("SIP/2.0 200 OK", call, fields["CSeq"]))
        elif method == "INVITE" and not first[1].startswith("1"):
            gap = int(fields.get("P-Gap-Ms", "0")) / 1000
            self.history.add("final", self.node.name, call, body, first[1], gap)
            if first[1] == "200":
                self.send(request("ACK", call))
            if call in self.open:
                self.open.pop(call).set()
        elif method == "OPTIONS" and first[1] == "200":
            if not self.node.passed:
                self.node.passed = True
                self.history.add("ready", self.node.name)

    def leave(self, way: str) -> None:
        """Go, with all calls that are open here."""
        for call in self.open:
            self.history.add("caller_end", self.node.name, call, text=way)
        if way == "half-close":
            with suppress(OSError):
                self.writer.write_eof()
            return
        self.end()
        if way == "reset":
            sock = self.writer.get_extra_info("socket")
            sock.setsockopt(1, 13, b"\1\0\0\0\0\0\0\0")  # SOL_SOCKET, SO_LINGER
            self.writer.transport.abort()
        else:
            self.writer.close()


def message(first: str, call: str, cseq: str, *headers: str, body: str = "") -> str:
    lines = [first, "Via: SIP/2.0/TCP peer", f"Call-ID: {call}", f"CSeq: {cseq}", *headers]
    return "\r\n".join([*lines, f"Content-Length: {len(body)}", "", body])


def request(method: str, call: str, *headers: str, number: str = "0" * 16, body: str = "") -> str:
    return message(f"{method} sip:{number}@net SIP/2.0", call, f"1 {method}", *headers, body=body)


class Node:
    """One real process under its name and address, and its callers' way to it."""

    def __init__(
        self, name: str, history: History, coordinator: Coordinator, held: bool, settings: Settings,
        checkouts: Iterator[Path], streams: OwnedStreams,
    ) -> None:  # fmt: skip
        """`checkouts`: the checkout that each successive process runs."""
        self.settings, self.checkouts, self._streams = settings, checkouts, streams
        self.name, self.history, self.coordinator = name, history, coordinator
        self.readers: set[asyncio.Future[None]] = set()  # of its lines
        self.port, self.feeds = free_port(), [free_port(), free_port()]
        # Held as the platform holds it for upgrades; else each process binds its own.
        self.held = socket.create_server(("127.0.0.1", self.port), backlog=512) if held else None
        self.file = Path(tempfile.mkdtemp(prefix="mallowquay-")) / "config.json"
        self.process: Process | None = None  # the newest
        self.beside: list[Process] = []  # of an upgrade
        self.faulty: list[str] = []  # how processes of upgrades ended that should not have
        self.lines: list[Line] = []
        self.passed = self.busy = False
        self.life = 0
        self.new_until = self.old_until = 0.0  # when callers stop opening lines, and sending on open ones

    def write_config(self) -> None:
        document = {
            "name": self.name, "listen": f"127.0.0.1:{self.port}", "seed": f"{self.life:04x}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": SOCKETS},
            "coordinator": f"127.0.0.1:{self.feeds[0]}", "known": self.coordinator.known(self.name),
            "settings": self.settings,
        }  # fmt: skip
        self.file.write_text(json.dumps(document))

    async def start(self) -> None:
        """Start it, and wait until it passes a test. It has then been admitted."""
        self.life, self.passed = self.life + 1, False
        self.lines = []
        self.history.add("start", self.name)
        self.process = self.begin()
        self.new_until = self.old_until = time.monotonic() + 3600
        end = time.monotonic() + 20
        while not self.passed and time.monotonic() < end:
            if self.process.process.poll() is not None:
                raise RuntimeError(self.process.text()[-2000:])
            line = await self.dial()
            if line is not None:
                line.send(request("OPTIONS", "p", number="ping"))
                await asyncio.sleep(0.05)
                if line.usable:
                    self.lines.append(line)
            await asyncio.sleep(0.02)

    def begin(self) -> Process:
        """One more process, in the platform's environment: what started the rig must not reach it."""
        self.write_config()
        environment = {"LB_CONFIG": str(self.file), "LB_LISTEN": f"127.0.0.1:{self.port}",
                       "LB_NAME": self.name}  # fmt: skip
        descriptors: tuple[int, ...] = ()
        if self.held is not None:
            descriptors = (self.held.fileno(),)
            environment |= {"LB_SOCKET_FD": str(self.held.fileno()), "TMPDIR": str(self.file.parent)}
        process = Process([], environment, descriptors, checkout=next(self.checkouts))
        self.history.pids[process.process.pid] = self.name
        return process

    async def succeed(self) -> Process:
        """One more process beside those that are there, as soon as it serves."""
        assert self.process is not None
        self.beside.append(self.process)
        process = self.process = self.begin()
        end = time.monotonic() + 20
        while "serving" not in process.text() and process.process.poll() is None:
            if time.monotonic() > end:
                break
            await asyncio.sleep(0.005)
        return process

    async def upgrade(self, chance: random.Random) -> None:
        """A second process, or a third, takes the place of the one that is there, whatever befalls them."""
        old, way = self.process, chance.choice(UPGRADES)
        assert old is not None
        self.history.add("upgrade", self.name, text=way)
        new = await self.succeed()
        await asyncio.sleep(chance.uniform(0, 0.4))
        told = way not in ("old_killed", "new_killed") or chance.random() < 0.7
        if told:
            old.terminate()
            await asyncio.sleep(chance.choice((0.0, chance.uniform(0, 0.4))))
        if way in ("old_stopped", "new_stopped"):
            await self.stand_still(old if way == "old_stopped" else new, chance)
        elif way == "old_killed":
            self.kill_one(old)
        elif way == "new_killed":
            self.kill_one(new)
            if told:
                await asyncio.sleep(chance.choice((0.0, chance.uniform(0, 0.4))))
                await self.succeed()
            else:
                self.process = old
        elif way == "third":
            await self.succeed()
            new.terminate()
        end = time.monotonic() + STAYS
        self.beside = [one for one in {*self.beside, old, new} if one is not self.process]
        while time.monotonic() < end and any(one.process.poll() is None for one in self.beside):
            await asyncio.sleep(0.01)
        for one in self.beside:
            text = one.text()
            code = self.ended(one)
            if code != 0 and not (code == -signal.SIGKILL and "killed" in way):
                self.faulty.append(f"{way}: {self.name} ended with {code}: {text[-1500:]}")
        self.beside = []

    async def stand_still(self, process: Process, chance: random.Random) -> None:
        self.history.add("stopped", self.name)
        process.process.send_signal(signal.SIGSTOP)
        await asyncio.sleep(chance.uniform(0.1, 0.6))
        process.process.send_signal(signal.SIGCONT)
        self.history.add("continued", self.name)

    def kill_one(self, process: Process) -> None:
        """One of an upgrade: the other one answers for what it has been told."""
        self.history.add("half_killed", self.name)
        process.process.kill()

    def ended(self, process: Process) -> int:
        """It has ended, or does so now."""
        self.history.pids.pop(process.process.pid, None)
        return process.stop()

    async def dial(self) -> Line | None:
        try:
            reader, writer = await self._streams.open("127.0.0.1", self.port)
        except OSError:
            return None
        line = Line(self, reader, writer)
        return line

    def signal(self, number: int) -> None:
        assert self.process is not None
        with suppress(ProcessLookupError):
            self.process.process.send_signal(number)

    async def gone(self, within: float) -> bool:
        assert self.process is not None
        end = time.monotonic() + within
        while self.process.process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.01)
        return self.process.process.poll() is not None

    async def terminate(self, chance: random.Random) -> None:
        now = time.monotonic()
        self.new_until = now + chance.uniform(0.2, 0.4)
        self.old_until = self.new_until + 0.2
        self.history.add("term", self.name)
        self.signal(signal.SIGTERM)
        if await self.gone(KILL_AFTER):
            self.history.add("exit", self.name)
            self.bury()
        else:
            await self.kill()

    async def kill(self) -> None:
        self.history.add("killed", self.name)
        self.signal(signal.SIGKILL)
        await self.gone(5)
        self.bury()

    def bury(self) -> None:
        assert self.process is not None
        self.new_until = self.old_until = time.monotonic() + (0.1 if self.new_until > time.monotonic() else 0)
        self.text = self.process.text()
        self.code = self.ended(self.process)
        self.passed = False

    def close(self) -> None:
        """Nothing of it is left."""
        for process in [*self.beside, *([] if self.process is None else [self.process])]:
            if process.process.poll() is None:
                self.ended(process)
        for reading in self.readers:
            reading.cancel()
        if self.held is not None:
            self.held.close()
        shutil.rmtree(self.file.parent)


class Rig:
    """All of it, for so many seconds."""

    def __init__(
        self, seed: int, processes: int, seconds: float, drawn: bool = False, rate: float = 25.0,
        checkouts: tuple[Path, ...] = (ROOT,),
    ) -> None:  # fmt: skip
        """`checkouts`: successive processes take these in turn; half of the nodes begin with the second."""
        self.chance = random.Random(seed)
        self.settings = drawn_settings(random.Random(f"settings {seed}")) if drawn else SETTINGS
        self.history = History(rules_of(self.settings))
        self.seconds, self.rate, self.ids = seconds, rate, 0
        self.names = [f"{number:04x}" for number in range(processes)]
        self.servers = [self.server(number, number % 2) for number in range(4)]
        self.all_servers = list(self.servers)
        self.streams = OwnedStreams()
        self.coordinator = Coordinator(self.servers, self.history, self.chance, self.streams)
        self.nodes = [
            Node(
                name,
                self.history,
                self.coordinator,
                held=bool(number % 2),
                settings=self.settings,
                checkouts=islice(cycle(checkouts), number // 2, None),
                streams=self.streams,
            )
            for number, name in enumerate(self.names)
        ]
        self.tasks: set[asyncio.Future[None]] = set()
        self.faults: dict[str, int] = {}
        self.faulty: list[str] = []  # what was logged as an error

    def server(self, number: int, cell: int) -> LogServer:
        return LogServer(number, cell, self.chance, self.history, self.names)

    def spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run(self) -> History:
        """Start, trouble, let settle, end. What is bounded by 8 s is judged where that much time is left."""
        measure = asyncio.ensure_future(self.history.measure())
        words = asyncio.ensure_future(self.words())
        try:
            for server in self.servers:
                await server.listen()
            for node in self.nodes:
                for port in node.feeds:
                    await self.coordinator.listen(node.name, port)
            await asyncio.gather(*(node.start() for node in self.nodes))
            end = time.monotonic() + self.seconds
            traffic = [asyncio.ensure_future(self.traffic(node, end)) for node in self.nodes]
            await self.nemesis(end - min(3.0, self.seconds / 3))
            await asyncio.gather(*traffic)
            while self.tasks:
                await asyncio.gather(*self.tasks)
            await asyncio.sleep(1.5)  # releases are due within 1 s
            self.history.add("over")
        finally:
            measure.cancel()
            words.cancel()
            for node in self.nodes:
                node.close()
                self.faulty += node.faulty
            for server in self.all_servers:
                server.close()
            await self.streams.close()
        return self.history

    async def words(self) -> None:
        while True:
            for server in self.servers:
                server.words()
            await asyncio.sleep(WORD_EVERY)

    # --- callers

    async def traffic(self, node: Node, end: float) -> None:
        while time.monotonic() < end:
            await asyncio.sleep(self.chance.expovariate(self.rate))
            if time.monotonic() < node.old_until and node.passed:
                self.ids += 1
                self.spawn(self.call(node, f"{self.ids:012x}{node.name}"))

    async def line(self, node: Node, own: bool) -> Line | None:
        """A line that stands, or a new one."""
        node.lines = [line for line in node.lines if line.usable]
        if not own and node.lines and (len(node.lines) >= LINES or self.chance.random() < 0.5
                                       or time.monotonic() >= node.new_until):  # fmt: skip
            return self.chance.choice(node.lines)
        if time.monotonic() >= node.new_until:
            return None
        line = await node.dial()
        if line is None:
            self.history.add("refused", node.name)
        elif not own:
            line.send(request("OPTIONS", "p", number="ping"))
            node.lines.append(line)
            self.history.add("line_open", node.name, text=line.name)
        return line

    async def call(self, node: Node, call: str, again: bool = False) -> None:
        chance, life = self.chance, node.life
        manner = chance.choices(list(MANNERS), list(MANNERS.values()))[0]
        own = manner in ("close", "half-close", "reset") or chance.random() < 0.1
        kind = chance.choice(self.settings["services"])
        most = min(kind["deadline"] // 1000, LEFT_MOST)
        left = chance.randrange(most // 5, most)
        path = f"P-Path: dest:{chance.choice((-1, 0, 1))};width:1;via:-1"
        invite = request("INVITE", call, f"P-Kind: {kind['name']}", f"P-Time-Left: {left}", path,
                         number=f"{0:012x}{node.name}", body="offer\r\n")  # fmt: skip
        line = await self.line(node, own)
        for _ in range(2):
            if line is None or not line.usable or node.life != life or time.monotonic() >= node.old_until:
                return
            answered = line.open[call] = asyncio.Event()
            sent_at = time.monotonic()
            self.history.add("invite", node.name, call, text=kind["name"], number=left / 1000)
            if manner == "cancel_behind":
                self.end(node, line, call, "cancel", invite)
                return
            line.send(invite)
            if manner != "waits":
                with suppress(TimeoutError):
                    await asyncio.wait_for(answered.wait(), chance.choice((0.0, chance.uniform(0, 0.7))))
                if not answered.is_set():
                    self.end(node, line, call, manner)
                    if manner in ("close", "reset") and chance.random() < 0.5 and not again:
                        await asyncio.sleep(chance.uniform(0, 0.2))
                        if node.life == life and node.passed:
                            await self.call(node, call, again=True)
                    return
            with suppress(TimeoutError):
                await asyncio.wait_for(answered.wait(), left / 1000 + 1)
            if call in line.open and line.ended_at and line.ended_at - sent_at <= CROSSES:
                self.history.add("resent", node.name, call)  # it crossed the close
                line = await node.dial()
                continue
            break
        if line is None:
            return
        if call in line.open:
            self.history.add("lost", node.name, call, text="line closed" if line.ended_at else "no word")
            del line.open[call]
        else:
            await self.hold(node, line, call)

    def end(self, node: Node, line: Line, call: str, manner: str, before: str = "") -> None:
        """The caller gives up."""
        if manner == "cancel":
            self.history.add("caller_end", node.name, call, text="cancel")
            self.history.add("cancel_out", node.name, call)
            line.send(before, request("CANCEL", call))
        else:
            line.leave(manner)

    async def hold(self, node: Node, line: Line, call: str) -> None:
        """A call that stands: its caller ends it, or its log server; its line may go before."""
        last = self.history.seen[-50:]
        stood = any(seen.what == "final" and seen.call == call and seen.text == "200" for seen in last)
        if not stood or self.chance.random() < 0.6:
            return
        life = node.life
        if line not in node.lines and self.chance.random() < 0.5:
            line.leave("close")
        await asyncio.sleep(self.chance.uniform(0, 0.8))
        over = any(seen.what == "bye_in" for seen in self.history.seen if seen.call == call)
        by = line if line.usable else next((one for one in node.lines if one.usable), None)
        if not over and by is not None and node.life == life and node.passed:
            self.history.add("bye_out", node.name, call)
            by.send(request("BYE", call, "Reason: Q.850;cause=16"))

    # --- faults

    async def nemesis(self, end: float) -> None:
        """Faults one after the other, some at once."""
        while time.monotonic() < end:
            await asyncio.sleep(self.chance.uniform(0.1, 0.7))
            kind = self.chance.choice(FAULTS)
            idle = [node for node in self.nodes if not node.busy]
            if kind in ("term", "kill", "stop", "hup", "upgrade"):
                if len(idle) < 2 and kind != "hup":
                    continue
                idle = [node for node in idle if node.held is not None or kind != "upgrade"]
                if idle:
                    self.faults[kind] = self.faults.get(kind, 0) + 1
                    self.spawn(self.trouble(self.chance.choice(idle), kind))
            else:
                self.faults[kind] = self.faults.get(kind, 0) + 1
                self.spawn(self.elsewhere(kind))

    async def trouble(self, node: Node, kind: str) -> None:
        node.busy = True
        if kind == "stop":
            assert node.process is not None
            await node.stand_still(node.process, self.chance)
        elif kind == "upgrade":
            await node.upgrade(self.chance)
        elif kind == "hup":
            node.feeds.reverse()
            document = json.loads(node.file.read_text())
            document["coordinator"] = f"127.0.0.1:{node.feeds[0]}"
            node.file.write_text(json.dumps(document))
            node.signal(signal.SIGHUP)
        else:
            await (node.terminate(self.chance) if kind == "term" else node.kill())
            if kind == "term" and node.code not in (0, -signal.SIGKILL):  # calls may stand for longer
                self.faulty.append(f"{node.name} ended with {node.code}: {node.text[-1500:]}")
            await asyncio.sleep(0.2)
            await node.start()
        node.busy = False

    async def flood(self, node: Node) -> None:
        """Connections that say nothing, half a message, or what is none: more than the process has places."""
        self.history.add("flood", node.name)
        writers: list[asyncio.StreamWriter] = []
        words = (b"", b"", b"INVITE sip:", b"\0\xff\r\n\r\n", request("INVITE", "x").encode(),
                 b"OPTIONS sip:ping@net SIP/2.0\r\nContent-Length: 99999\r\n\r\n")  # fmt: skip
        for _ in range(FLOOD):
            if time.monotonic() >= node.new_until or not node.passed:
                break
            with suppress(OSError):
                _, writer = await self.streams.open("127.0.0.1", node.port)
                writer.write(self.chance.choice(words))
                writers.append(writer)
        await asyncio.sleep(self.chance.uniform(0.0, 2.0))
        for writer in writers:
            writer.transport.abort()

    async def elsewhere(self, kind: str) -> None:
        chance, ready = (
            self.chance,
            [server for server in self.servers if server.state == READY and server.listeners],
        )
        if kind == "flood":
            await self.flood(chance.choice(self.nodes))
            return
        if kind in ("silent", "dead", "garbles", "repeats"):
            self.coordinator.set_mode(kind)
            await asyncio.sleep(chance.uniform(0.5, 2.5))
            self.coordinator.set_mode("speaks")
            return
        server = chance.choice(ready)
        if kind == "cut":
            server.cut()
        elif kind == "mute":
            server.mute = True
            await asyncio.sleep(chance.uniform(0.5, 1.5))
            server.unmute()
        elif kind == "refuse":
            server.die()
            await asyncio.sleep(chance.uniform(0.2, 1.2))
            await server.listen()
            await self.coordinator.tell(server, READY, started=True)
        elif kind == "move":
            server.die()
            server.move()
            await server.listen()
            await self.coordinator.tell(server, READY, started=True)
        elif kind == "drain" and len([one for one in ready if one.cell == server.cell]) > 1:
            number = len(self.all_servers)
            fresh = self.server(number, server.cell)
            self.all_servers.append(fresh)
            await fresh.listen()
            await self.coordinator.tell(fresh, READY, started=True)
            await self.coordinator.tell(server, DRAINING)
            await asyncio.sleep(chance.uniform(0.8, 2.0))
            await self.coordinator.tell(server, GONE)
            await asyncio.sleep(0.3)
            server.die()


def run(
    seed: int, processes: int, seconds: float, drawn: bool = False, checkouts: tuple[Path, ...] = (ROOT,)
) -> tuple[Rig, History]:
    """One seed. The program's processes are ended by their ids."""
    rig = Rig(seed, processes, seconds, drawn, checkouts=checkouts)
    return rig, asyncio.run(rig.run())
