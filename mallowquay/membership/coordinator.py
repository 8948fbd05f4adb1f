"""The coordinator's feed of the server list: frames over TCP, applied in order from a known index."""

from __future__ import annotations

import asyncio
import random
import socket
import struct
from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import Any

import structlog
from tornado.iostream import IOStream, StreamClosedError

from ..core.model import ListTold, Server, ServerStatus
from ..errors import Fault
from ..net.clock import UnixTime
from ..net.streams import ConnectFailed, open_stream
from ..settings.values import ConfigError
from ..settings.values import address as read_address

log = structlog.get_logger(part=__name__)

FRAME = struct.Struct(">IQB")  # length (of all that follows it), number, kind
RECORD = struct.Struct(">I4sHBBBHIQ")
LENGTH_HEAD = 9  # number and kind count into the length
FRAME_MOST = 1024 * 1024
NOTHING, WHOLE, CHANGES = 0, 1, 2
STATUS = (ServerStatus.READY, ServerStatus.DRAINING, ServerStatus.GONE)
WORDS = {
    "in_service": ServerStatus.READY,
    "terminating": ServerStatus.DRAINING,
    "terminated": ServerStatus.GONE,
}
CONNECT_WITHIN = timedelta(milliseconds=800)
# An empty frame comes each second. A feed that stops while open, midway in a frame or between two, must be
# left early enough to be followed anew within the 4 s that its events may take.
SILENT_AFTER = timedelta(milliseconds=2200)
# Hundreds of processes lose the feed at one moment: each waits a drawn part of a back-off that doubles. The
# longest silence, pause and dial together stay under those 4 s.
RETRY_LEAST, RETRY_MOST = timedelta(milliseconds=200), timedelta(milliseconds=800)
INDEX_MOST = 2**64 - 1  # it is asked from in 8 bytes


class FeedError(Fault):
    """The coordinator's feed cannot be followed from here; it is connected to anew from the last event."""

    code = "coordinator.feed"
    remedy = (
        "See that the coordinator of this configuration is of a release that this program knows; else "
        "restart it."
    )


class FeedBroken(Fault):
    """The connection to the coordinator did not come up, closed, or fell silent."""

    code = "coordinator.broken"
    remedy = (
        "See that the coordinator runs at its address and can be reached; the list of before counts "
        "meanwhile."
    )


def read_records(payload: bytes, unix: UnixTime) -> tuple[Server, ...]:
    """The servers of one frame."""
    if len(payload) % RECORD.size:
        raise FeedError(f"{len(payload)} bytes are no whole number of records", "frame")
    return tuple(_record(values, unix) for values in RECORD.iter_unpack(payload))


def _record(values: tuple[Any, ...], unix: UnixTime) -> Server:
    number, raw, port, state, _, _, cell, _, started = values
    if state >= len(STATUS):
        raise FeedError(f"unknown state {state}", f"record s-{number:08x}")
    address = (socket.inet_ntoa(raw), port)
    return Server(f"s-{number:08x}", address, cell, STATUS[state], _point(started, unix))


def _point(started_ms: int, unix: UnixTime) -> timedelta | None:
    try:
        return unix.point(started_ms)
    except OverflowError as fault:
        raise FeedError(f"started {started_ms} is no time", "record") from fault


def read_known(known: dict[str, Any], unix: UnixTime) -> tuple[int, list[ListTold]]:
    """The last number and the events of the configuration's `known`. Errors: ConfigError, and of kinds."""
    events: list[ListTold] = []
    for update in known.get("updates", []):
        told = update.get("endpoints", {})
        servers = tuple(_known_server(entry, unix) for entry in told.get("servers", []))
        events.append(ListTold(servers, bool(told.get("full")) or not events))
    index = known.get("index", 0)
    if not isinstance(index, int) or not 0 <= index <= INDEX_MOST:
        raise ConfigError(f"index {index!r} is no number of an event", "known")
    return index, events


def tell_servers(servers: Iterable[Server], unix: UnixTime) -> list[dict[str, Any]]:
    """The list for a successor, in the form of `known`."""
    words = {status: word for word, status in WORDS.items()}
    return [
        {
            "id": server.id,
            "addr": "{}:{}".format(*server.address),
            "cell": server.number,
            "state": words[server.status],
            "started_ms": unix.milliseconds(server.started),
        }
        for server in servers
    ]


def read_servers(entries: list[dict[str, Any]], unix: UnixTime) -> ListTold:
    """The whole list, as the process before tells it."""
    return ListTold(tuple(_known_server(entry, unix) for entry in entries), whole=True)


def _known_server(entry: dict[str, Any], unix: UnixTime) -> Server:
    host, port = read_address(entry["addr"], "known")
    status = WORDS[entry["state"]]
    try:
        cell, started = int(entry.get("cell", -1)), _point(int(entry.get("started_ms", 0)), unix)
    except (OverflowError, FeedError) as fault:
        raise ConfigError(f"{entry['id']}: {fault}", "known") from fault
    return Server(entry["id"], (host, port), cell, status, started)


async def _read_frame(stream: IOStream) -> tuple[int, int, bytes]:
    length, number, kind = FRAME.unpack(await stream.read_bytes(FRAME.size))
    if not LENGTH_HEAD <= length <= FRAME_MOST:
        raise FeedError(f"a frame of {length} bytes", f"frame {number}")
    payload = await stream.read_bytes(length - LENGTH_HEAD) if length > LENGTH_HEAD else b""
    return number, kind, payload


class Coordinator:
    """Follows the feed for as long as the program runs."""

    def __init__(
        self, address: tuple[str, int], index: int, unix: UnixTime, tell: Callable[[ListTold], None],
        chance: random.Random | None = None,
    ) -> None:  # fmt: skip
        self._address, self._unix, self._tell = address, unix, tell
        self._chance = chance or random.Random()  # never the settings' seed: all processes may have the same
        self.index = index
        self._pause = RETRY_LEAST  # before the next connection, at most
        self._session: asyncio.Future[None] | None = None
        self.followed: Callable[[], None] = lambda: None  # told once an event of the feed has been applied

    async def follow(self) -> None:
        """Connect, apply events in order, and connect again from the last one when the feed breaks."""
        while True:
            session = self._session = asyncio.ensure_future(self._session_and_pause(self._address))
            try:
                await asyncio.wait([session])
            finally:
                session.cancel()

    def move(self, address: tuple[str, int]) -> None:
        """Go on at another address from the number reached, without awaiting the old one's last words."""
        if address == self._address:
            return
        log.info("coordinator_moved", before="%s:%d" % self._address, now="%s:%d" % address, index=self.index)
        self._address, self._pause = address, RETRY_LEAST
        if self._session is not None:
            self._session.cancel()  # in its pause as well: the new address is asked at once

    async def _session_and_pause(self, address: tuple[str, int]) -> None:
        try:
            await self._follow_one(address)
        except FeedError as fault:
            log.info("coordinator_session_ended", **fault.told())
        except (ConnectFailed, StreamClosedError, OSError) as fault:  # a TimeoutError is one, too
            broken = FeedBroken(str(fault) or type(fault).__name__, "{}:{}".format(*address))
            log.info("coordinator_session_ended", **broken.told())
        except Exception as fault:  # whatever an event has met in this program: the feed is not given up
            log.error("coordinator_session_ended", exc_info=fault)
        await asyncio.sleep(self.pause().total_seconds())

    def pause(self) -> timedelta:
        """How long to wait before the next connection; longer each time, until a frame has come."""
        most, self._pause = self._pause, min(2 * self._pause, RETRY_MOST)
        return most * (0.25 + 0.75 * self._chance.random())

    async def _follow_one(self, address: tuple[str, int]) -> None:
        stream = await open_stream(address, CONNECT_WITHIN, 2 * FRAME_MOST)
        try:
            await stream.write(self.index.to_bytes(8, "big"))
            while True:  # the time is that of a whole frame, however its bytes drip in
                async with asyncio.timeout(SILENT_AFTER.total_seconds()):
                    number, kind, payload = await _read_frame(stream)
                self.apply(number, kind, payload)
                self._pause = RETRY_LEAST
                await asyncio.sleep(0)  # frames that come without a pause leave the others their turn
        finally:
            stream.close()

    def apply(self, number: int, kind: int, payload: bytes) -> None:
        """Apply one frame: an event applied before is passed over, a gap is not crossed by changes."""
        if kind == NOTHING or number <= self.index:
            return
        if kind not in (WHOLE, CHANGES):
            raise FeedError(f"unknown kind of frame {kind}", f"frame {number}")
        if kind == CHANGES and number != self.index + 1:
            raise FeedError(f"event {number} follows event {self.index}", f"frame {number}")
        servers = read_records(payload, self._unix)
        self._tell(ListTold(servers, kind == WHOLE))
        self.index = number  # only now: an event that was not taken whole is asked for again
        self.followed()

    def learn(self, number: int, told: ListTold) -> None:
        """The whole list as another process has it, which counts here unless the feed has gone further."""
        if number > self.index:
            log.info("list_learned", index=number, before=self.index)
            self._tell(told)
            self.index = number
