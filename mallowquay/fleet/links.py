"""Links between members: one TCP connection a pair, frames behind a length, the only sockets of the fleet.

A frame is 4 bytes of length, big-endian, and msgpack (`model.py`). The first on a connection is a
greeting, answered
before anything else. What is not a frame, too long, not whole in time, or from a name that is not in the
list ends the connection, is counted, and does nothing else.

Short frames never wait behind more than one piece of something long and what the kernel holds: `PIECE_MOST` +
`KERNEL_HOLDS` bytes.
"""

from __future__ import annotations

import asyncio
import random
import socket
from collections import Counter, deque
from collections.abc import Callable
from datetime import timedelta
from typing import Protocol

import structlog
from tornado import gen
from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError
from tornado.util import TimeoutError as TornadoTimeout

from ..book.model import BYTES_MOST as BOOK_MOST
from ..core.model import Clock
from ..net.accepting import AcceptingServer
from ..net.rate_limited import RateLimitedLogger
from ..net.streams import ConnectFailed, open_stream, quiet
from ..net.tasks import Tasks
from .model import (
    HIGHEST_FORMAT,
    LOWEST_FORMAT,
    Bulk,
    Candidate,
    Follow,
    Frame,
    Garbled,
    Hello,
    Lead,
    Leave,
    Life,
    PingFor,
    Refused,
    State,
    Vote,
    Welcome,
    decode,
    encode,
)

log = structlog.get_logger(part=__name__)

MILLISECOND = timedelta(milliseconds=1)
FRAME_MOST = BOOK_MOST + 256 * 1024  # a view whole: its book, and of a thousand members 60 KiB
GREETING_MOST = 4 * 1024  # of whoever has not greeted yet, nothing longer is taken
FRAME_WITHIN = timedelta(seconds=2)  # from its first byte
GREETING_WITHIN = timedelta(seconds=2)
WRITE_WITHIN = timedelta(seconds=5)  # else the far end does not read
DIAL_WITHIN = timedelta(milliseconds=1000)
DIAL_FIRST, DIAL_LONGEST = 50 * MILLISECOND, 2000 * MILLISECOND
SETTLES = timedelta(seconds=1)  # two connections within it were dialled at once
QUEUE_MOST = 512  # short frames that wait on one link,
QUEUE_BYTES_MOST = 2 * FRAME_MOST  # and their bytes: the largest view among them, with room for the rest
BULK_MOST = 512 * 1024  # bytes of long things that wait on one link
PIECE_MOST = 16 * 1024
CHUNK_MOST = 16 * 1024
KERNEL_HOLDS = 64 * 1024
ENDINGS = (StreamClosedError, Garbled, TornadoTimeout)  # of a read that nobody waits for any more
UNGREETED_MOST = 64  # connections that have not greeted yet


class Owner(Protocol):
    """Whoever the links belong to."""

    def greeting(self, to: str) -> Hello | None:
        """The first word to a member; None: not now."""

    def greeted(self, hello: Hello) -> Welcome | Refused:
        """The answer to a greeting."""

    def up(self, name: str, life: Life) -> None:
        """A link is up."""

    def refused(self, name: str, word: Refused) -> None:
        """A member did not take this one's greeting."""

    def frame(self, name: str, frame: Frame) -> None:
        """A frame came."""


class Link:
    """One connection that has been greeted."""

    def __init__(self, stream: IOStream, name: str, life: Life, dialled_by: str, since: timedelta) -> None:
        self.stream, self.name, self.life = stream, name, life
        self.dialled_by, self.since = dialled_by, since
        self.urgent: deque[bytes] = deque()
        self.short: deque[bytes] = deque()
        self.bulk: deque[bytes] = deque()
        self.bulk_bytes = self.queued_bytes = 0  # of long things, and of short frames
        self.writing = False
        self.dropped = 0

    def queue(self, frame: Frame) -> bool:
        """Take a frame to send; False where it was dropped for want of room."""
        data = encode(frame)
        data = len(data).to_bytes(4, "big") + data
        if isinstance(frame, Bulk):
            if self.bulk_bytes + len(data) > BULK_MOST:
                self.dropped += 1
                return False
            self.bulk_bytes += len(data)
            self.bulk.append(data)
        else:
            while (
                len(self.urgent) + len(self.short) >= QUEUE_MOST
                or self.queued_bytes + len(data) > QUEUE_BYTES_MOST
            ):
                # The oldest heartbeat says least.
                self.dropped += 1
                if not self.short:
                    return False
                self.queued_bytes -= len(self.short.popleft())
            (self.urgent if is_urgent(frame) else self.short).append(data)
            self.queued_bytes += len(data)
        self.pump()
        return True

    def pump(self) -> None:
        """Hand the stream one chunk at a time: what is urgent, then what is short, then one long piece."""
        if self.writing or self.stream.closed():
            return
        parts: list[bytes] = []
        size = 0
        for waiting in (self.urgent, self.short):
            while waiting and (size == 0 or size + len(waiting[0]) <= CHUNK_MOST):
                size += len(waiting[0])
                self.queued_bytes -= len(waiting[0])
                parts.append(waiting.popleft())
        if self.bulk and size < CHUNK_MOST:
            self.bulk_bytes -= len(self.bulk[0])
            parts.append(self.bulk.popleft())
        if not parts:
            return
        self.writing = True
        try:
            done = self.stream.write(b"".join(parts))
        except (StreamClosedError, StreamBufferFullError):
            self.stream.close()
            return
        timer = self.stream.io_loop.add_timeout(WRITE_WITHIN, self.stream.close)
        done.add_done_callback(lambda future: self._written(future, timer))

    def finish(self) -> None:
        """Close; of what waits, so much leaves as the kernel takes now: the last word is among it."""
        waiting = b"".join([*self.urgent, *self.short, *self.bulk])
        try:
            self.stream.write(waiting)
        except (StreamClosedError, StreamBufferFullError):
            pass
        self.stream.close()

    def _written(self, future: asyncio.Future[None], timer: object) -> None:
        self.stream.io_loop.remove_timeout(timer)
        if not future.cancelled() and future.exception() is None:
            self.writing = False
            self.pump()


def is_urgent(frame: Frame) -> bool:
    """A death goes before a heartbeat, and so does what views are agreed by."""
    if isinstance(frame, Leave | Candidate | Vote | Lead | Follow | PingFor):
        return True
    return any(rumour.state is not State.UP for rumour in getattr(frame, "rumours", ()))


class _Listener(AcceptingServer):
    def __init__(self, taken: Callable[[IOStream], None]) -> None:
        super().__init__(max_buffer_size=2 * FRAME_MOST)
        self._taken = taken

    async def handle_stream(self, stream: IOStream, address: object) -> None:
        self._taken(quiet(stream))


class Links(Tasks):
    """All links of one member."""

    def __init__(self, name: str, owner: Owner, clock: Clock, chance: random.Random) -> None:
        super().__init__()
        self.name, self._owner, self._clock, self._chance = name, owner, clock, chance
        self.links: dict[str, Link] = {}
        self.counts: Counter[str] = Counter()  # by what ended a connection, and frames and bytes
        self._addresses: dict[str, tuple[str, int]] = {}
        self._dialling: dict[str, int] = {}  # to the generation of the dialler
        self._generation = 0
        self._ungreeted: dict[IOStream, None] = {}
        self._rate_limited = RateLimitedLogger(log, clock)
        self._closed = False

    # --- for the owner

    def listen(self, address: tuple[str, int]) -> None:
        """Take connections. Errors: OSError."""
        self._listener = _Listener(self._taken)
        self._listener.listen(address[1], address[0], backlog=256)

    def configure(self, addresses: dict[str, tuple[str, int]]) -> None:
        """Whom to dial; links to others close."""
        self._addresses = dict(addresses)
        for name in [name for name in self.links if name not in addresses]:
            self.links.pop(name).stream.close()
        for name in [name for name in self._dialling if name not in addresses]:
            del self._dialling[name]
        for name in addresses:
            if name not in self._dialling:
                self._generation += 1
                self._dialling[name] = self._generation
                self.spawn(self._keep_dialled(name, self._generation))

    def dialled(self) -> list[str]:
        """Whom this member keeps a link to."""
        return list(self._dialling)

    def send(self, name: str, frame: Frame) -> bool:
        """Queue a frame; False where there is no link or no room."""
        link = self.links.get(name)
        if link is None or link.stream.closed():
            self.counts["no_link"] += 1
            return False
        self.counts["frames_out"] += 1
        return link.queue(frame)

    def relink(self) -> None:
        """Greet everybody anew."""
        for link in list(self.links.values()):
            link.stream.close()
        self.links.clear()

    def close(self) -> None:
        """End."""
        self._closed = True
        self._dialling.clear()
        self._listener.stop()
        for link in self.links.values():
            link.finish()
        self.links.clear()

    # --- dialling

    async def _keep_dialled(self, name: str, generation: int) -> None:
        tries = 0
        if name < self.name:  # it dials at once; this end only where that fails
            await asyncio.sleep(SETTLES.total_seconds() / 2)
        while self._dialling.get(name) == generation:
            if name in self.links:
                tries = 0
                await asyncio.sleep(0.05)
                continue
            if await self._dial(name, generation):
                continue
            tries += 1
            longest = min(DIAL_LONGEST, DIAL_FIRST * 2 ** min(tries, 10))
            # Full jitter: 'Exponential Backoff And Jitter' (Brooker, 2015).
            await asyncio.sleep(longest.total_seconds() * self._chance.random())

    async def _dial(self, name: str, generation: int) -> bool:
        hello = self._owner.greeting(name)
        if hello is None:
            return False
        try:
            stream = await open_stream(self._addresses[name], DIAL_WITHIN, 2 * FRAME_MOST)
        except ConnectFailed:
            self.counts["dials_failed"] += 1
            return False
        try:
            hold_little(stream)
            data = encode(hello)
            stream.write(len(data).to_bytes(4, "big") + data)
            answer = await gen.with_timeout(
                GREETING_WITHIN, read_frame(stream, GREETING_MOST), quiet_exceptions=ENDINGS
            )
        except (TornadoTimeout, Garbled, OSError):
            self._spoilt(stream, "greeting_not_answered", name)
            return False
        if self._dialling.get(name) != generation or self._owner.greeting(name) != hello:
            stream.close()  # while it was greeted, it left the list, or the life that greets ended
            self.counts["greetings_overtaken"] += 1
            return False
        if isinstance(answer, Refused):
            stream.close()
            self.counts["greetings_refused"] += 1
            self._owner.refused(name, answer)
            return False
        if not isinstance(answer, Welcome) or answer.name != name or not format_known(answer.format):
            self._spoilt(stream, "greeting_not_understood", name)
            return False
        return self._adopt(Link(stream, name, answer.life, self.name, self._clock()))

    # --- taking

    def _taken(self, stream: IOStream) -> None:
        if self._closed or len(self._ungreeted) >= UNGREETED_MOST:
            self.counts["turned_away"] += 1
            stream.close()
            return
        self._ungreeted[stream] = None
        self.spawn(self._take(stream))

    async def _take(self, stream: IOStream) -> None:
        try:
            hold_little(stream)
            hello = await gen.with_timeout(
                GREETING_WITHIN, read_frame(stream, GREETING_MOST), quiet_exceptions=ENDINGS
            )
        except (TornadoTimeout, StreamClosedError, Garbled, OSError):
            self._spoilt(stream, "not_greeted", "")
            return
        finally:
            self._ungreeted.pop(stream, None)
        if self._closed:
            stream.close()
            return
        if not isinstance(hello, Hello) or hello.to != self.name or hello.name not in self._addresses:
            self._spoilt(stream, "stranger", str(getattr(hello, "name", ""))[:64])
            return
        answer = self._owner.greeted(hello)
        data = encode(answer)
        try:
            done = stream.write(len(data).to_bytes(4, "big") + data)
            if isinstance(answer, Refused):
                self.counts["refused"] += 1
                await gen.with_timeout(GREETING_WITHIN, done, quiet_exceptions=ENDINGS)
                stream.close()
                return
        except (TornadoTimeout, StreamClosedError, StreamBufferFullError):
            stream.close()
            return
        self._adopt(Link(stream, hello.name, hello.life, hello.name, self._clock()))

    def _adopt(self, link: Link) -> bool:
        """Make this the link of its pair; two that were dialled at once: the lesser name's stays."""
        before = self.links.get(link.name)
        if before is not None and not before.stream.closed() and before.life == link.life:
            at_once = link.since - before.since < SETTLES
            if at_once and link.dialled_by > before.dialled_by:
                self.counts["dialled_at_once"] += 1
                link.stream.close()
                return True
        self.links[link.name] = link
        if before is not None:
            before.stream.close()
        self.counts["links"] += 1
        self.spawn(self._read(link))
        self._owner.up(link.name, link.life)
        return True

    async def _read(self, link: Link) -> None:
        why = "closed"
        try:
            while True:
                frame = await read_frame(link.stream)
                self.counts["frames_in"] += 1
                if self.links.get(link.name) is not link:
                    break
                self._owner.frame(link.name, frame)
        except StreamClosedError:
            pass
        except TornadoTimeout:
            why = "frame_not_whole"
        except Garbled:
            why = "garbled"
        finally:
            if self.links.get(link.name) is link:
                del self.links[link.name]
            if why != "closed":
                self._spoilt(link.stream, why, link.name)
            link.stream.close()

    def _spoilt(self, stream: IOStream, why: str, name: str) -> None:
        stream.close()
        self.counts[why] += 1
        if why != "greeting_not_answered":  # a member that is down answers nothing
            self._rate_limited.warning("fleet_link_closed", why=why, member=name)

    def figures(self) -> dict[str, int]:
        """Counts since the start."""
        dropped = sum(link.dropped for link in self.links.values())
        return {**dict(self.counts), "links_now": len(self.links), "frames_dropped": dropped}


def format_known(number: int) -> bool:
    """Whether this release speaks a format."""
    return LOWEST_FORMAT <= number <= HIGHEST_FORMAT


def common_format(hello: Hello) -> int | None:
    """The latest format that both ends speak; None: there is none."""
    latest = min(HIGHEST_FORMAT, hello.highest)
    return latest if latest >= max(LOWEST_FORMAT, hello.lowest) else None


def hold_little(stream: IOStream) -> None:
    """Let the kernel hold little of what is to be sent: what waits there cannot be overtaken.

    Errors: StreamClosedError.
    """
    if stream.closed():
        raise StreamClosedError()
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, KERNEL_HOLDS)
    stream.max_write_buffer_size = 2 * FRAME_MOST


async def read_frame(stream: IOStream, most: int = FRAME_MOST) -> Frame:
    """The next frame, which may have `most` bytes.

    Errors: StreamClosedError, Garbled, Tornado's TimeoutError if it is not whole in time.
    """
    first = await stream.read_bytes(1)

    async def rest() -> bytes:
        size = int.from_bytes(first + await stream.read_bytes(3), "big")
        if not 0 < size <= most:
            raise Garbled(f"a frame of {size} bytes", "frame")
        return await stream.read_bytes(size)

    whole = asyncio.ensure_future(rest())
    return decode(await gen.with_timeout(FRAME_WITHIN, whole, quiet_exceptions=ENDINGS))
