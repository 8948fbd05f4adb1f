"""What lies between each two members: it passes frames on, or loses, delays, halts and spoils them.

Every member dials every other one through a relay of its own, so that each direction of each pair can be
cut alone.
A relay knows frames by their length alone, and their kind by the first word of the message;
`wire.py` reads more.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from ..streams import OwnedStreams

FRAME_MOST = 1 << 20


@dataclass
class Way:
    """One direction of one pair."""

    cut: bool = False  # what is sent vanishes
    loss: float = 0.0  # of whole frames
    delay: float = 0.0  # seconds
    jitter: float = 0.0
    bandwidth: float = 0.0  # bytes a second; 0: as it comes
    halted: bool = False  # stands still, the next frame half way through
    unread: bool = False  # the far end seems not to read: nothing is taken from the sender
    garble: int = 0  # so many of the next frames are spoilt
    oversize: int = 0  # or told as far too long
    frames: Counter[str] = field(default_factory=Counter)
    free: asyncio.Event = field(default_factory=asyncio.Event)

    def mend(self) -> None:
        """As at the start."""
        self.cut = self.halted = self.unread = False
        self.loss = self.delay = self.jitter = self.bandwidth = 0.0
        self.garble = self.oversize = 0
        self.free.set()


class Relays:
    """All of them."""

    def __init__(self, seed: int) -> None:
        self._chance = random.Random(seed)
        self.ways: dict[tuple[str, str], Way] = {}
        self.ports: dict[tuple[str, str], int] = {}
        self.passed: Callable[[str, str, str], None] = lambda origin, to, kind: None
        self.tapped: Callable[[str, str, list[Any]], None] = lambda origin, to, frame: None
        self._streams = OwnedStreams()
        self._writers: dict[tuple[str, str], set[asyncio.StreamWriter]] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self, targets: dict[str, int]) -> None:
        """A relay for each directed pair; `targets`: where each member really listens."""
        for origin in targets:
            for to, port in targets.items():
                if origin != to:
                    await self.add(origin, to, port)

    async def add(self, origin: str, to: str, port: int) -> None:
        """One more."""
        self.ways.setdefault((origin, to), Way())
        self.ways.setdefault((to, origin), Way())

        async def taken(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._join(origin, to, port, reader, writer)

        server = await self._streams.serve(taken, "127.0.0.1", limit=2 * FRAME_MOST)
        self.ports[origin, to] = server.sockets[0].getsockname()[1]

    async def _join(
        self, origin: str, to: str, port: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            far_reader, far_writer = await self._streams.open("127.0.0.1", port, limit=2 * FRAME_MOST)
        except OSError:
            writer.transport.abort()
            return
        pair = (min(origin, to), max(origin, to))
        both = {writer, far_writer}
        self._writers.setdefault(pair, set()).update(both)
        pumps = [
            asyncio.create_task(self._pump(origin, to, reader, far_writer)),
            asyncio.create_task(self._pump(to, origin, far_reader, writer)),
        ]
        self._tasks.update(pumps)
        try:
            await asyncio.wait(pumps, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for pump in pumps:
                pump.cancel()
            self._tasks.difference_update(pumps)
            self._writers[pair] -= both
            for end in both:
                end.transport.abort()

    async def _pump(
        self, origin: str, to: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        way, loop = self.ways[origin, to], asyncio.get_running_loop()
        due = 0.0
        waiting: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(4096)
        sender = asyncio.create_task(self._deliver(way, waiting, writer))
        self._tasks.add(sender)
        try:
            while True:
                while way.unread:
                    way.free.clear()
                    await way.free.wait()
                head = await reader.readexactly(4)
                size = int.from_bytes(head, "big")
                if size > FRAME_MOST:
                    return
                body = await reader.readexactly(size)
                frame = read(body)
                kind = str(frame[0]) if frame else "?"
                way.frames[kind] += 1
                self.passed(origin, to, kind)
                self.tapped(origin, to, frame)
                if way.cut or self._chance.random() < way.loss:
                    continue
                data = head + body
                if way.garble:
                    way.garble -= 1
                    data = head + bytes(byte ^ 0x5A for byte in body)
                elif way.oversize:
                    way.oversize -= 1
                    data = b"\xff\xff\xff\xff" + body
                due = max(due, loop.time() + way.delay + way.jitter * self._chance.random())
                if way.bandwidth:
                    due += len(data) / way.bandwidth
                await waiting.put((due, data))
        except (asyncio.IncompleteReadError, OSError):
            return
        finally:
            sender.cancel()
            self._tasks.discard(sender)

    async def _deliver(
        self, way: Way, waiting: asyncio.Queue[tuple[float, bytes]], writer: asyncio.StreamWriter
    ) -> None:
        loop = asyncio.get_running_loop()
        try:
            while True:
                due, data = await waiting.get()
                if due > loop.time():
                    await asyncio.sleep(due - loop.time())
                if way.cut:
                    continue
                if way.halted:
                    writer.write(data[: len(data) // 2])
                    way.free.clear()
                    await way.free.wait()
                    data = data[len(data) // 2 :]
                writer.write(data)
                await writer.drain()
        except OSError:
            return

    def reset(self, one: str, other: str) -> None:
        """Reset every connection of a pair."""
        for writer in list(self._writers.get((min(one, other), max(one, other)), ())):
            writer.transport.abort()

    def mend(self) -> None:
        """All ways as at the start."""
        for way in self.ways.values():
            way.mend()

    async def close(self) -> None:
        """End everything."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await self._streams.close()
        await asyncio.gather(*tasks, return_exceptions=True)


def read(body: bytes) -> list[Any]:
    """A message as msgpack has it: its kind and its fields; empty if it is none."""
    try:
        found = msgspec.msgpack.decode(body)
    except msgspec.DecodeError:
        return []
    return found if isinstance(found, list) else []
