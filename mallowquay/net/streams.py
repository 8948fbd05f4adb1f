"""Reading into one bounded buffer that messages are parsed in, and gathered writes."""

from __future__ import annotations

import asyncio
import select
import socket
from collections.abc import Callable, Iterator, Sequence
from datetime import timedelta
from enum import Enum

import structlog
from tornado import gen
from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError
from tornado.util import TimeoutError as TornadoTimeout

from ..core.model import Ending
from ..errors import Fault
from .clock import monotonic
from .rate_limited import RateLimitedLogger

WARN = RateLimitedLogger(structlog.get_logger(part=__name__), monotonic)
MESSAGE_MOST = 16 * 1024
LINGER, LINGER_BYTES = timedelta(milliseconds=500), 1024 * 1024
WRITE_BUFFER_MOST = 256 * 1024  # a peer that does not read is dropped past this


class TooLong(Fault):
    """A message does not fit into the buffer of its connection, which is closed."""

    code = "net.too-long"
    remedy = "Look at what the peer sends: no message may be longer than this program takes."


class MessageBuffer:
    """Bytes of one connection: filled at the end, consumed from the start, never grown."""

    def __init__(self, size: int = MESSAGE_MOST) -> None:
        self.data = bytearray(size)
        self.start = self.end = 0

    def room(self) -> memoryview:
        """The free part to read into; raises TooLong when one message fills it all."""
        if self.start == self.end:
            self.start = self.end = 0
        elif self.end == len(self.data):
            if self.start == 0:
                raise TooLong(f"a message is longer than {len(self.data)} bytes", "connection")
            kept = self.end - self.start
            self.data[:kept] = self.data[self.start : self.end]
            self.start, self.end = 0, kept
        return memoryview(self.data)[self.end :]

    def filled(self, count: int) -> None:
        """So many bytes were read into the room."""
        self.end += count

    def put(self, data: bytes) -> None:
        """Append bytes that came in another way."""
        room = self.room()
        if len(data) > len(room):
            raise TooLong(f"{len(data)} bytes do not fit", "connection")
        room[: len(data)] = data
        self.filled(len(data))


def begin_fill(stream: IOStream, buffer: MessageBuffer) -> asyncio.Future[int]:
    """Read straight into the buffer: done at once with what has come, if anything has.

    Whoever awaits it tells the buffer how much was filled. Errors: StreamClosedError, TooLong.
    """
    return stream.read_into(buffer.room(), partial=True)  # type: ignore[arg-type, return-value]


async def fill(stream: IOStream, buffer: MessageBuffer) -> None:
    """Read what has come, at least a byte, straight into the buffer."""
    buffer.filled(await begin_fill(stream, buffer))


def whole_lines(buffer: MessageBuffer) -> Iterator[bytes]:
    """The lines that are whole in the buffer; each is consumed as it is taken."""
    while (at := buffer.data.find(b"\n", buffer.start, buffer.end)) >= 0:
        line = bytes(memoryview(buffer.data)[buffer.start : at])
        buffer.start = at + 1
        yield line


def gathered_write(stream: IOStream, parts: Sequence[bytes | memoryview]) -> bool:
    """Write all parts with one system call where the stream is idle; False if it is closed.

    IOStream has no gathered write of its own: sendmsg takes the parts as they are, and only what the
    socket does not take at once goes through the stream's own buffer. A write that fails leaves the stream
    to its reader, so that what came before the failure is still read; IOStream's own would close it.
    """
    if stream.closed():
        return False
    try:
        sent = 0
        if not stream.writing():
            try:
                sent = stream.socket.sendmsg(parts)
            except (BlockingIOError, InterruptedError):
                sent = 0
            except ConnectionError:
                return False  # whoever reads meets its end, behind what came before it
        for part in parts:
            if sent >= len(part):
                sent -= len(part)
                continue
            rest = stream.write(bytes(memoryview(part)[sent:]))
            _ignore_failure(rest)
            sent = 0
    except (OSError, StreamClosedError, StreamBufferFullError):
        stream.close(exc_info=True)  # it closed, or its far end does not read
        return False
    return True


def when_written(stream: IOStream, done: Callable[[], None]) -> None:
    """Call when all that was given to the stream has left; never if it closes before."""
    if not stream.writing():
        done()
        return

    def settled(rest: asyncio.Future[None]) -> None:
        if not rest.cancelled() and rest.exception() is None:
            done()

    stream.write(b"").add_done_callback(settled)


def _ignore_failure(future: asyncio.Future[None]) -> None:
    # The read loop of the stream notices that it closed; nobody waits for this write.
    future.add_done_callback(lambda done: done.cancelled() or done.exception())


class ConnectFailed(Exception):
    """A connection did not come up; `ending` says how."""

    def __init__(self, ending: Ending) -> None:
        super().__init__(ending.value)
        self.ending = ending


async def open_stream(
    address: tuple[str, int], within: timedelta, read_most: int = WRITE_BUFFER_MOST
) -> IOStream:
    """A new connection with bounded buffers, or ConnectFailed, whatever stood in the way."""
    try:
        stream = IOStream(socket.socket(socket.AF_INET, socket.SOCK_STREAM), max_buffer_size=read_most)
    except OSError as fault:  # no descriptor is left: nothing ran, and it may be tried again
        WARN.warning("no_descriptor_for_a_connection", to="%s:%d" % address, fault=str(fault))
        raise ConnectFailed(Ending.CONNECTION_FAILED) from fault
    stream.max_write_buffer_size = WRITE_BUFFER_MOST
    try:
        await gen.with_timeout(within, stream.connect(address), quiet_exceptions=StreamClosedError)
        return quiet(stream)
    except asyncio.CancelledError:  # nobody waits for it any more
        stream.close()
        raise
    except TornadoTimeout:
        ending = Ending.CONNECTION_SILENT
    except OSError:  # nothing ran; but only a refusal proves that no process is there
        refused = isinstance(stream.error, ConnectionRefusedError)
        ending = Ending.CONNECTION_REFUSED if refused else Ending.CONNECTION_FAILED
    stream.close()
    raise ConnectFailed(ending)


async def close_gently(stream: IOStream) -> None:
    """Close so that what was written arrives: with bytes unread, a close resets the connection.

    Nothing more is sent, and what still comes is thrown away, until the far end has closed or for a moment.
    """
    rest = bytearray(MESSAGE_MOST)
    try:
        async with asyncio.timeout(LINGER.total_seconds()):
            while stream.writing():
                await asyncio.sleep(LINGER.total_seconds() / 50)
            stream.socket.shutdown(socket.SHUT_WR)
            thrown = 0
            while thrown < LINGER_BYTES:
                thrown += await stream.read_into(rest, partial=True)
                await asyncio.sleep(0)
    except (TimeoutError, OSError, StreamClosedError):
        pass
    finally:
        stream.close()


class Unread(Enum):
    """What a socket holds that its stream has not read."""

    NOTHING = "nothing"
    BYTES = "bytes"
    END = "the far end's close, or a reset"


def unread(stream: IOStream) -> Unread:
    """What has come and is not read, told without reading it."""
    if stream.closed():
        return Unread.END
    try:
        return Unread.BYTES if stream.socket.recv(1, socket.MSG_PEEK) else Unread.END
    except BlockingIOError:
        return Unread.NOTHING
    except OSError:
        return Unread.END


def far_end_closed(stream: IOStream) -> bool:
    """Whether the far end's close, or a reset, has come; also while what came before it is unread."""
    if stream.closed():
        return True
    poll = select.poll()
    poll.register(stream.socket, select.POLLRDHUP)  # errors and resets are told unasked
    return bool(poll.poll(0))


def finish_writing(stream: IOStream) -> None:
    """Close gently a stream that a coroutine goes on reading: it ends with the far end, or in a moment."""
    try:
        stream.socket.shutdown(socket.SHUT_WR)
    except OSError:
        stream.close()
        return
    stream.io_loop.add_timeout(LINGER, stream.close)


def quiet(stream: IOStream) -> IOStream:
    """Small messages leave at once."""
    stream.set_nodelay(True)
    return stream


def close_ending(stream: IOStream) -> Ending:
    """Why a stream closed."""
    return Ending.CONNECTION_RESET if isinstance(stream.error, OSError) else Ending.CONNECTION_CLOSED
