"""Log servers that answer, refuse, reset, fall silent and spoil what they say; and the coordinator."""

from __future__ import annotations

import asyncio
import json
import random
import socket
import time
from contextlib import suppress
from functools import partial

from mallowquay.membership.coordinator import CHANGES, FRAME, NOTHING, RECORD

from ..process import free_port
from ..streams import OwnedStreams
from .history import History

WORD_EVERY = 0.2  # seconds between two words of free lines
READY, DRAINING, GONE = 0, 1, 2
SPEAKING = ("speaks", "repeats")  # modes of the coordinator in which it tells what there is
STATES = ("in_service", "terminating", "terminated")
HOLD_MOST = 1.2  # seconds that a call stands
# What a log server does with a set-up, and how often of a hundred.
WAYS = {"up": 56, "full": 9, "error": 4, "moot": 6, "reset": 6, "silent": 6, "late": 4, "half": 1,
        "halves": 2, "spoilt": 1, "twice": 3, "cut": 2}  # fmt: skip
CAUSES = {"full": (34,), "error": (17, 47), "moot": (102,), "reset": (41,)}
SPOILT = ('{"t":"up","ref":"%s","f":{}}', '{"t":"up","ref":"%s","f":{},"d":7}', '{"t":"up","ref":"%s","d":"x')


class Link(asyncio.Protocol):
    """One connection from a process."""

    def __init__(self, server: LogServer, process: str) -> None:
        self.server, self.process, self.kept = server, process, b""
        self.open: set[str] = set()
        self.spoilt = False  # nothing that is written behind what cannot be read counts
        self.behind: list[str] | None = None  # what waits behind a line that comes in halves

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self.transport = transport
        self.server.links.append(self)
        self.server.linked(self)

    def data_received(self, data: bytes) -> None:
        *lines, self.kept = (self.kept + data).split(b"\n")
        for line in lines:
            self.server.take(self, json.loads(line))

    def connection_lost(self, exc: Exception | None) -> None:
        self.over()

    def over(self) -> None:
        """The set-ups that are open on it are given up."""
        if self in self.server.links:
            self.server.links.remove(self)
            self.server.link_over(self)

    def cut(self) -> None:
        self.over()
        self.transport.abort()

    def say(
        self, kind: str, ref: str, cause: int | None = None, text: str | None = None, **fields: str
    ) -> None:
        line: dict[str, object] = {"t": kind, "ref": ref, "f": fields}
        line |= {} if cause is None else {"c": cause}
        line |= {} if text is None else {"d": text}
        text = json.dumps(line) + "\n"
        if self.behind is not None:
            self.behind.append(text)
        elif not self.spoilt:
            self.raw(text)

    def raw(self, text: str) -> None:
        self.transport.write(text.encode())

    def half(self, text: str) -> None:
        """A line of which the rest comes in a moment."""
        self.behind = []
        self.raw(text[:25])
        asyncio.get_running_loop().call_later(0.05, self.rest, text[25:])

    def rest(self, text: str) -> None:
        behind, self.behind = self.behind or [], None
        self.raw(text + "".join(behind))


class LogServer:
    """One log server; what it does is drawn."""

    def __init__(
        self, number: int, cell: int, chance: random.Random, history: History, processes: list[str]
    ) -> None:
        self.number, self.cell, self.id = number, cell, f"s-{number:08x}"
        self.processes = processes
        self.move()
        self.chance, self.history = chance, history
        self.links: list[Link] = []
        self.standing: dict[str, Link] = {}  # and the connection of the set-up
        self.untold: dict[str, int] = {}  # releases that go out on the next connection as well
        self.state, self.started_ms, self.mute = READY, 0, False
        self.listeners: list[asyncio.Server] = []
        self.process_of: dict[str, str] = {}
        self.made = 0

    def move(self) -> None:
        """To other addresses: one for each process, so that a connection tells whose it is."""
        self.ports = {process: free_port() for process in self.processes}

    async def listen(self) -> None:
        loop = asyncio.get_running_loop()
        for process, port in self.ports.items():
            made = partial(Link, self, process)
            self.listeners.append(await loop.create_server(made, "127.0.0.1", port))

    def die(self) -> None:
        """As a process does: its connections are reset, its calls cut, new connections refused."""
        for listener in self.listeners:
            listener.close()
        self.listeners = []
        self.cut()
        for call in list(self.standing):
            self.history.add("died", self.process_of[call], call, self.id)
        self.standing.clear()
        self.untold.clear()

    def cut(self) -> None:
        for link in list(self.links):
            link.cut()

    def close(self) -> None:
        """The run is over: nothing is left open, and nothing of this is told."""
        for listener in self.listeners:
            listener.close()
        links, self.links = self.links, []
        for link in links:
            link.transport.abort()

    def entry(self, process: str) -> dict[str, object]:
        return {"id": self.id, "addr": f"127.0.0.1:{self.ports[process]}", "zone": "z", "kind": "k",
                "cell": self.cell,
                "state": STATES[self.state], "weight": 1, "started_ms": self.started_ms}  # fmt: skip

    def records(self) -> dict[str, bytes]:
        host = socket.inet_aton("127.0.0.1")
        return {
            process: RECORD.pack(self.number, host, port, self.state, 0, 0, self.cell, 1000, self.started_ms)
            for process, port in self.ports.items()
        }  # fmt: skip

    def words(self) -> None:
        for link in () if self.mute else self.links:
            link.say("gauge", "", load="x0:1000;x1:1000")

    def linked(self, link: Link) -> None:
        link.say("gauge", "", load="x0:1000;x1:1000")
        for call in [call for call in self.untold if self.process_of[call] == link.process]:
            cause = self.untold.pop(call)
            self.history.add("release_out", link.process, call, self.id, str(cause))
            link.say("down", call, cause)

    def link_over(self, link: Link) -> None:
        for call in link.open:
            self.history.add("link_end", self.process_of[call], call, self.id)
        for call, at in self.standing.items():
            if at is link:
                self.history.add("link_lost", self.process_of[call], call, self.id)

    def take(self, link: Link, said: dict[str, object]) -> None:
        call = str(said["ref"])
        if said["t"] == "new":
            self.process_of[call] = link.process
            self.history.add("new", link.process, call, self.id)
            link.open.add(call)
            way = self.chance.choices(list(WAYS), list(WAYS.values()))[0]
            asyncio.get_running_loop().call_later(self.chance.uniform(0, 0.08), self.act, link, call, way)
        elif said["t"] == "hb":
            self.history.add("probe", link.process, server=self.id)
            if not self.mute:
                link.say("hb_ok", call, 1, load="x0:1000;x1:1000")
        elif said["t"] == "down":
            self.history.add("down_in", self.process_of.get(call, ""), call, self.id, str(said["c"]))
            link.open.discard(call)
            self.standing.pop(call, None)
            self.untold.pop(call, None)
            if self.number % 2 and not self.mute:
                link.say("ack", call)

    def act(self, link: Link, call: str, way: str) -> None:
        loop = asyncio.get_running_loop()
        if (
            self.mute
            or link.spoilt
            or link.behind is not None
            or link not in self.links
            or (call not in link.open and way != "late!")
        ):
            return
        process = self.process_of[call]
        if way in CAUSES:
            cause = self.chance.choice(CAUSES[way])
            note = {"note": self.chance.choice(("nc", "ovl"))} if way == "full" else {}
            link.open.discard(call)
            self.history.add("down_out", process, call, self.id, str(cause))
            link.say("down", call, cause, **note)
        elif way in ("up", "twice", "late!"):
            self.answer(link, call)
            if way == "twice":
                link.say("up", call, text="another")
        elif way == "halves":
            text = json.dumps({"t": "up", "ref": call, "f": {}, "d": self.stands(link, call)}) + "\n"
            link.half(text)
        elif way == "half":
            link.raw('{"t":"up","ref":"%s","f":{}' % call)
            link.spoilt = True
        elif way == "spoilt":
            link.raw(self.chance.choice(SPOILT) % call + "\n")
            link.spoilt = True
        elif way == "cut":
            link.cut()
        elif way == "late":
            loop.call_later(self.chance.uniform(0.3, 2.0), self.act, link, call, "late!")

    def unmute(self) -> None:
        self.mute = False

    def stands(self, link: Link, call: str) -> str:
        self.made += 1
        text = f"{call} {self.id} {self.made}"
        link.open.discard(call)
        self.standing[call] = link
        self.history.add("up", self.process_of[call], call, self.id, text)
        if self.chance.random() < 0.7:
            hold = self.chance.uniform(0.1, HOLD_MOST)
        else:  # its caller ends it
            hold = 2 * HOLD_MOST
        asyncio.get_running_loop().call_later(hold, self.release, call, link)
        return text

    def answer(self, link: Link, call: str) -> None:
        link.say("up", call, text=self.stands(link, call))

    def release(self, call: str, first: Link) -> None:
        """The call has come to its end: told on the connection of its set-up, else on any, and the next."""
        if self.mute:
            asyncio.get_running_loop().call_later(0.1, self.release, call, first)
            return
        if self.standing.get(call) is not first:
            return
        del self.standing[call]
        cause = self.chance.choice((16, 16, 41))
        links = [one for one in self.links if one.process == first.process and not one.spoilt]
        for link in [first] if first in links else links[:1]:
            self.history.add("release_out", link.process, call, self.id, str(cause))
            link.say("down", call, cause)
        self.untold[call] = cause  # and on the next one that is opened


class Coordinator:
    """Tells each process the list, at one of two addresses of its own."""

    def __init__(
        self, servers: list[LogServer], history: History, chance: random.Random, streams: OwnedStreams
    ) -> None:
        self._streams = streams
        self.servers, self.history, self.chance = servers, history, chance
        self.events: list[dict[str, bytes]] = [{}]  # the first is the whole list, in `known`
        self.mode = "speaks"
        self.writers: set[asyncio.StreamWriter] = set()
        self.news = asyncio.Condition()

    async def listen(self, process: str, port: int) -> None:
        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            self.writers.add(writer)
            with suppress(OSError, asyncio.IncompleteReadError):
                try:
                    await self.follow(process, reader, writer)
                finally:
                    self.writers.discard(writer)

        await self._streams.serve(serve, "127.0.0.1", port)

    def known(self, process: str) -> dict[str, object]:
        for server in self.servers:
            self.history.add("told", process, "", server.id, str(server.state))
        index = len(self.events)
        whole = {"version": 1, "full": True, "servers": [server.entry(process) for server in self.servers]}
        return {"index": index, "updates": [{"index": index, "endpoints": whole}]}

    async def tell(self, server: LogServer, state: int, started: bool = False) -> None:
        """An event of the list; it counts from now on."""
        server.state = state
        server.started_ms = int(time.time() * 1000) if started else server.started_ms
        if server not in self.servers:
            self.servers.append(server)
        self.events.append(server.records())
        self.history.add("event", "", "", server.id, str(state))
        async with self.news:
            self.news.notify_all()

    async def follow(self, process: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        number = int.from_bytes(await reader.readexactly(8), "big")
        while not reader.at_eof():
            if self.mode == "dead":
                writer.transport.abort()
                return
            if self.mode == "garbles":  # what is behind it must not be taken
                writer.write(self.garbled(process, number))
                await asyncio.sleep(0.05)
                writer.transport.abort()
                return
            if self.mode == "repeats" and number > 1:  # an event again, and one from long ago
                for again in (number - 1, 1):
                    old = self.events[again][process]
                    writer.write(FRAME.pack(9 + len(old), again + 1, CHANGES) + old)
            while self.mode in SPEAKING and number < len(self.events):
                record = self.events[number][process]
                number += 1
                ident, state = RECORD.unpack(record)[0], RECORD.unpack(record)[3]
                self.history.add("told", process, "", f"s-{ident:08x}", str(state))
                writer.write(FRAME.pack(9 + len(record), number, CHANGES) + record)
            if self.mode in SPEAKING:
                writer.write(FRAME.pack(9, 0, NOTHING))
            with suppress(TimeoutError):
                async with asyncio.timeout(0.9), self.news:
                    await self.news.wait()

    def garbled(self, process: str, number: int) -> bytes:
        """A frame that is none, or one that is not the next."""
        record = self.events[-1].get(process, bytes(RECORD.size))
        return self.chance.choice((
            bytes(40), b"\xff" * 40, FRAME.pack(9 + len(record), number + 5, CHANGES) + record,
            FRAME.pack(9 + len(record), number + 1, 7) + record,
            FRAME.pack(9 + 13, number + 1, CHANGES) + bytes(13),
            FRAME.pack(9 + len(record), number + 1, CHANGES) + record[:5],
            FRAME.pack(9 + len(record), number + 1, CHANGES) + b"\xff" * len(record),
        ))  # fmt: skip

    def set_mode(self, mode: str) -> None:
        self.mode = mode
        for writer in list(self.writers) if mode == "dead" else ():
            writer.transport.abort()
