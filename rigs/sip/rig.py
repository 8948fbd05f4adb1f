"""Callers of the second front, by either transport; its processes, and what befalls them."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import time
from collections.abc import Coroutine
from contextlib import suppress
from pathlib import Path
from typing import Any

from ..platform.history import History, Rules
from ..process import Process
from ..sip_peers import Headers, Heard, encode, operators_file, sip_port
from .peers import COPIES, T1, T2, LogServer, TcpWay, UdpWay, Way

MANNERS = {"waits": 64, "cancel": 12, "cancel_behind": 4, "close": 8, "half-close": 6, "reset": 6}
FAULTS = ("term", "kill", "stop", "stop", "hup", "hup", "dies", "dies", "mute")
LIST_KNOWN = 0.3  # seconds after SIGHUP by which a new list counts
LINES = 3
HOLDS_MOST = 4.0  # seconds; log servers end a call before, unless they died
ENDS_WITHIN = 12.0  # an answer without its ACK is given up after 64 T1


class Node:
    """One real process of the second front, with log servers and callers of its own."""

    def __init__(self, name: str, chance: random.Random, history: History) -> None:
        self.name, self.chance, self.history = name, chance, history
        self.port, self.servers, self.drained = sip_port(), list[LogServer](), set[LogServer]()
        for _ in range(4):
            self.more()
        self.process: Process | None = None
        self.udp: UdpWay | None = None
        self.lines: list[TcpWay] = []
        self.waiting: dict[str, Call] = {}
        self.busy = self.passed = False
        self.new_until = self.old_until = 0.0
        self.life, self.lines_opened = 0, 0

    def more(self) -> LogServer:
        number = len(self.servers)
        server = LogServer(self.name, number, ("udp", "tcp")[number % 2], self.chance, self.history)
        self.servers.append(server)
        return server

    def write_file(self) -> str:
        listed = "".join(
            f'[[servers]]\nid = "{server.id}"\naddress = "127.0.0.1:{server.port}"\n'
            f'transport = "{server.transport}"\nnumber = {server.number % 4}\n'
            for server in self.servers if server not in self.drained
        )  # fmt: skip
        return operators_file(self.port, [], extra=listed)

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        _, self.udp = await loop.create_datagram_endpoint(
            lambda: UdpWay(self.take), local_addr=("127.0.0.1", 0)
        )
        self.udp.peer = ("127.0.0.1", self.port)
        self.own_port = self.udp.sock.get_extra_info("sockname")[1]
        self.history.add("line_open", self.name, text="udp")  # where releases reach callers
        for server in self.servers:
            await server.listen()
        self.file = self.write_file()

    async def start(self) -> None:
        self.life, self.passed = self.life + 1, False
        self.history.add("start", self.name)
        self.process = Process([self.file], {})
        self.history.pids[self.process.process.pid] = self.name
        self.new_until = self.old_until = time.monotonic() + 3600
        end = time.monotonic() + 20
        assert self.udp is not None
        while not self.passed and time.monotonic() < end:
            if self.process.process.poll() is not None:
                raise RuntimeError(self.process.text()[-2000:])
            self.udp.write(self.request("ping", "OPTIONS", "udp", mark=f"{time.monotonic_ns():x}"))
            await asyncio.sleep(0.02)

    def list_anew(self) -> None:
        """A new file, and SIGHUP."""
        assert self.process is not None
        Path(self.file).write_text(Path(written := self.write_file()).read_text())
        os.unlink(written)
        self.process.hang_up()

    def bury(self) -> int:
        assert self.process is not None
        self.history.pids.pop(self.process.process.pid, None)
        self.passed = False
        return self.process.stop()

    # --- messages

    def request(
        self, call: str, method: str, transport: str, cseq: int = 1, tag: str = "", mark: str = "",
        more: Headers | None = None, body: bytes = b"",
    ) -> bytes:  # fmt: skip
        branch = f"z9hG4bK{call}{transport}{mark}"
        via = f"SIP/2.0/{transport.upper()} 127.0.0.1:{self.own_port};branch={branch};rport"
        to = f"<sip:{call}@127.0.0.1>" + (f";tag={tag}" if tag else "")
        headers: Headers = [
            ("Via", via), ("To", to), ("CSeq", f"{cseq} {method}"),
            ("From", f"<sip:c@127.0.0.1>;tag=c{call}"), ("Call-ID", f"call-{call}"), ("Max-Forwards", "70"),
            ("Contact", f"<sip:c@127.0.0.1:{self.own_port};transport=udp>"), *(more or []),
        ]  # fmt: skip
        return encode(f"{method} sip:{call}@127.0.0.1:{self.port} SIP/2.0", headers, body)

    def take(self, heard: Heard, way: Way) -> None:
        name = heard.get("call-id").removeprefix("call-")
        if heard.status and heard.method == "OPTIONS":
            if heard.status == 200 and not self.passed:
                self.passed = True
                self.history.add("ready", self.name)
            return
        if (call := self.waiting.get(name)) is not None:
            call.take(heard, way)
        elif not heard.status and heard.method == "BYE":
            way.write(encode("SIP/2.0 481 No", heard.copied()))

    async def line(self) -> TcpWay | None:
        try:
            _, way = await asyncio.get_running_loop().create_connection(
                lambda: TcpWay(self.take), "127.0.0.1", self.port
            )
        except OSError:
            if self.passed and time.monotonic() < self.new_until:
                self.history.add("refused", self.name)
            return None
        return way


class Call:
    """One caller and its call."""

    def __init__(self, node: Node, name: str) -> None:
        self.node, self.name, self.history, self.chance = node, name, node.history, node.chance
        self.answered = asyncio.Event()
        self.finals: set[tuple[int, str]] = set()
        self.byes: set[str] = set()  # branches: copies are one
        self.over = asyncio.Event()  # nothing is awaited any more
        self.ack = b""
        self.life = node.life

    async def run(self) -> None:
        node, chance = self.node, self.chance
        manner = chance.choices(list(MANNERS), list(MANNERS.values()))[0]
        own = manner in ("close", "half-close", "reset")
        transport = "tcp" if own or chance.random() < 0.5 else "udp"
        way: Way | None = node.udp
        if transport == "tcp":
            node.lines = [line for line in node.lines if line.open and not line.stream.is_closing()]
            if own or len(node.lines) < LINES:
                line = await node.line()
                if line is not None and not own:
                    node.lines.append(line)
                way = line
            else:
                way = chance.choice(node.lines)
        if way is None or not node.passed or node.life != self.life or time.monotonic() >= node.old_until:
            return
        node.waiting[self.name] = self
        left = chance.randrange(1, 4)
        more: Headers = [("Expires", str(left)), ("P-Kind", chance.choice(("log-lookup", "log-update"))),
                         ("P-Path", f"dest:{chance.randrange(4)};width:1;via:-1")]  # fmt: skip
        invite = node.request(self.name, "INVITE", transport, more=more, body=b"offer")
        cancel = node.request(self.name, "CANCEL", transport)
        self.history.add("invite", node.name, self.name, number=float(left))
        if manner == "cancel_behind":
            self.ends("cancel")
            way.write(invite + cancel if transport == "tcp" else invite)
            if transport == "udp":
                way.write(cancel)
            manner = "cancel"
        else:
            way.write(invite)
            if manner != "waits":
                await self.wait(chance.choice((0.0, chance.uniform(0, 0.7))))
                if not self.answered.is_set() and manner != "cancel":
                    self.leave(way, manner)
                    await asyncio.sleep(2.0)
                    del node.waiting[self.name]
                    return
                if not self.answered.is_set():
                    self.ends("cancel")
                    way.write(cancel)
        gap, end = T1, time.monotonic() + left + 1
        while not self.answered.is_set() and time.monotonic() < end:
            await self.wait(gap)
            gap = min(2 * gap, T2)
            if not self.answered.is_set() and transport == "udp":
                way.write(invite)
                if manner == "cancel":
                    way.write(cancel)
        if any(status == 200 for status, _ in self.finals):
            await self.hold(way, transport)
        del node.waiting[self.name]

    async def wait(self, seconds: float) -> None:
        with suppress(TimeoutError):
            await asyncio.wait_for(self.answered.wait(), seconds)

    def ends(self, way: str) -> None:
        self.history.add("caller_end", self.node.name, self.name, text=way)
        if way == "cancel":
            self.history.add("cancel_out", self.node.name, self.name)

    def leave(self, way: Way, manner: str) -> None:
        """Go, with the connection."""
        assert isinstance(way, TcpWay)
        self.ends(manner)
        if manner == "half-close":
            way.ended = True
            with suppress(OSError):
                way.stream.write_eof()
        elif manner == "reset":
            with suppress(OSError):  # it closed meanwhile
                way.stream.get_extra_info("socket").setsockopt(1, 13, b"\1\0\0\0\0\0\0\0")  # SO_LINGER
            way.stream.abort()
        else:
            way.stream.close()

    async def hold(self, way: Way, transport: str) -> None:
        """Until its log server ends it, or its caller does; a while for what comes after the end."""
        early = self.chance.random() < 0.4
        with suppress(TimeoutError):
            await asyncio.wait_for(self.over.wait(), self.chance.uniform(0, 0.8) if early else HOLDS_MOST)
        node = self.node
        if not self.over.is_set() and node.passed and node.life == self.life:
            tag = next(tag for status, tag in self.finals if status == 200)
            bye = node.request(self.name, "BYE", "udp", 2, tag)
            self.history.add("bye_out", node.name, self.name)
            gap = T1
            assert node.udp is not None
            for _ in range(COPIES):
                node.udp.write(bye)
                with suppress(TimeoutError):
                    await asyncio.wait_for(self.over.wait(), gap)
                    break
                gap = min(2 * gap, T2)
        await asyncio.sleep(1.0)

    def take(self, heard: Heard, way: Way) -> None:
        node = self.node
        if not heard.status:
            if heard.method == "BYE":
                branch = heard.get("via").partition("branch=")[2]
                if branch not in self.byes and not self.byes:
                    self.history.add("bye_in", node.name, self.name)
                self.byes.add(branch)
                self.over.set()
                way.write(encode("SIP/2.0 200 OK", heard.copied()))
            return
        if heard.method == "BYE":
            self.over.set()
        if heard.method != "INVITE" or heard.status < 200:
            return
        final = (heard.status, heard.tag("to"))
        if final not in self.finals:
            self.finals.add(final)
            gap = float(heard.get("retry-after") or 0)
            self.history.add("final", node.name, self.name, heard.body.decode(), str(heard.status), gap)
        good = heard.status == 200
        if not self.ack:
            self.ack = node.request(self.name, "ACK", way.transport, tag=final[1], mark="a" if good else "")
        way.write(self.ack)
        if not self.answered.is_set():
            self.life = node.life  # its datagrams may have met a process that was started since
            self.answered.set()


class Rig:
    """All of it, for so many seconds."""

    def __init__(self, seed: int, processes: int, seconds: float, rate: float = 25.0) -> None:
        self.chance = random.Random(f"sip {seed}")
        self.history = History(Rules(outlives=True))
        self.seconds, self.rate, self.ids = seconds, rate, 0
        self.nodes = [Node(f"{number:04x}", self.chance, self.history) for number in range(processes)]
        self.tasks: set[asyncio.Future[None]] = set()
        self.faults: dict[str, int] = {}
        self.faulty: list[str] = []

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run(self) -> History:
        """Start, trouble, let settle, end."""
        measure = asyncio.ensure_future(self.history.measure())
        try:
            for node in self.nodes:
                await node.open()
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
            for node in self.nodes:
                if node.process is not None and node.process.process.poll() is None:
                    node.bury()
                os.unlink(node.file)
        return self.history

    async def traffic(self, node: Node, end: float) -> None:
        while time.monotonic() < end:
            await asyncio.sleep(self.chance.expovariate(self.rate))
            if time.monotonic() < node.old_until and node.passed:
                self.ids += 1
                self.spawn(Call(node, f"{self.ids:012x}{node.name}").run())

    async def nemesis(self, end: float) -> None:
        while time.monotonic() < end:
            await asyncio.sleep(self.chance.uniform(0.1, 0.7))
            idle = [node for node in self.nodes if not node.busy]
            if idle:
                kind = self.chance.choice(FAULTS)
                self.faults[kind] = self.faults.get(kind, 0) + 1
                self.spawn(self.trouble(self.chance.choice(idle), kind))

    async def trouble(self, node: Node, kind: str) -> None:
        chance, process = self.chance, node.process
        assert process is not None
        ready = [server for server in node.servers if server not in node.drained and server.up]
        server = chance.choice(ready)
        node.busy = True
        if kind == "stop":
            self.history.add("stopped", node.name)
            process.process.send_signal(signal.SIGSTOP)
            await asyncio.sleep(chance.uniform(0.1, 0.6))
            process.process.send_signal(signal.SIGCONT)
            self.history.add("continued", node.name)
        elif kind == "hup":  # one goes and another comes
            fresh = node.more()
            await fresh.listen()
            node.drained.add(server)
            node.list_anew()
            await asyncio.sleep(LIST_KNOWN)
            self.history.add("told", node.name, server=server.id, text="2")
        elif kind == "dies":
            server.die()
            await asyncio.sleep(chance.uniform(0.2, 1.2))
            await server.listen()
        elif kind == "mute":
            server.mute = True
            await asyncio.sleep(chance.uniform(0.3, 1.0))
            server.mute = False
        else:
            await self.end(node, kind)
        node.busy = False

    async def end(self, node: Node, kind: str) -> None:
        """Ended, or killed, and started anew."""
        assert node.process is not None
        process = node.process.process
        if kind == "term":
            now = time.monotonic()
            node.new_until = now + self.chance.uniform(0.2, 0.4)
            node.old_until = node.new_until + 0.2
            self.history.add("term", node.name)
            process.send_signal(signal.SIGTERM)
        else:
            node.new_until = node.old_until = time.monotonic()
            self.history.add("killed", node.name)
            process.kill()
        end = time.monotonic() + ENDS_WITHIN
        while process.poll() is None and time.monotonic() < end:
            await asyncio.sleep(0.01)
        text = node.process.text()
        code = node.bury()
        if kind == "term":
            self.history.add("exit", node.name)
            if code:
                self.faulty.append(f"{node.name} ended with {code}: {text[-1500:]}")
        await asyncio.sleep(0.2)
        await node.start()


def run(seed: int, processes: int, seconds: float) -> tuple[Rig, History]:
    """One seed. The program's processes are ended by their ids."""
    rig = Rig(seed, processes, seconds)
    return rig, asyncio.run(rig.run())
