"""Upgrades: two processes of one gatekeeper meet over a Unix socket and act as one."""

from __future__ import annotations

import asyncio
import errno
import json
import os
import socket
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from datetime import timedelta
from typing import Any

import structlog
from tornado.ioloop import IOLoop

from ..net.clock import monotonic
from ..net.rate_limited import RateLimitedLogger

log = structlog.get_logger(part=__name__)

PIECE_MOST = 64 * 1024  # a longer packet goes in pieces
WAITING_MOST = 8 * 1024 * 1024  # bytes that the other process has yet to read; then it is taken as dead
PACKETS_AT_ONCE = 64  # then other work gets its turn
DESCRIPTORS_MOST = 4
EARLY_MOST = 1024  # packets between the other's state and the own front: a few turns of the loop
MEET_WITHIN = timedelta(seconds=2)
# One that is met while it has another beside it says so: that one's calls are answered first. A process
# is to be ready within 10 s of its start; after this wait it goes on alone.
TURN_WITHIN = timedelta(seconds=7.5)
MEETINGS_MOST = 2  # the process that was met may have closed its door for one that succeeds it just then
PATH_MOST = 100  # a Unix socket's name has room for 108 bytes
LAST, MORE = b".", b"+"  # the first byte of a piece

GONE = {errno.EPIPE, errno.ECONNRESET}
CROWDED = {errno.ETOOMANYREFS, errno.ENOBUFS, errno.ENOMEM}  # for a moment: other upgrades have filled it
SEND_AGAIN = timedelta(milliseconds=20)

Packet = dict[str, Any]

UNHEARD_MOST = 4096  # words of the ends of calls, until the other is known to have carried them out
ENDS = frozenset({"bye", "cancel", "down"})  # words that end a call of the other process


class Wire:
    """Packets between the two, in order, with descriptors beside them."""

    def __init__(
        self,
        loop: IOLoop,
        sock: socket.socket,
        take: Callable[[Packet, list[int]], None],
        lost: Callable[[], None],
    ) -> None:
        self._loop, self._sock, self._take, self._lost = loop, sock, take, lost
        self._waiting: deque[tuple[bytes, int | None]] = deque()
        self._waiting_bytes = 0
        self._text, self._descriptors = bytearray(), list[int]()
        self.alive = True
        self._again: object | None = None  # the timer of what is sent again
        self._warn_kept = RateLimitedLogger(log, monotonic)
        self._deaf = False  # the other process has gone, and what it sent before is yet to be read
        sock.setblocking(False)
        loop.add_handler(sock, self._ready, IOLoop.READ)

    @property
    def settled(self) -> bool:
        """Whether all that was sent has left."""
        return not self._waiting

    def send(self, packet: Packet, descriptor: int | None = None) -> bool:
        """Send a packet; the descriptor is copied and may be closed at once. False: it does not leave."""
        if not self.alive or self._deaf:
            return False
        try:
            copy = None if descriptor is None else os.dup(descriptor)
        except OSError as fault:  # no descriptor is left for the copy
            self._warn_kept.warning("twin_descriptor_not_copied", fault=str(fault))
            return False
        text = json.dumps(packet, separators=(",", ":")).encode()
        pieces = [text[at : at + PIECE_MOST] for at in range(0, len(text), PIECE_MOST)]
        for number, piece in enumerate(pieces, 1):
            last = number == len(pieces)
            self._waiting.append(((LAST if last else MORE) + piece, copy if last else None))
            self._waiting_bytes += len(piece)
        self._write()
        if self._waiting_bytes > WAITING_MOST:
            log.error("twin_does_not_read")
            self.close()
        return self.alive and not self._deaf

    def _write(self) -> None:
        try:
            while self._waiting:
                data, descriptor = self._waiting[0]
                if descriptor is None:
                    self._sock.send(data)
                else:
                    socket.send_fds(self._sock, [data], [descriptor])
                    os.close(descriptor)
                self._waiting.popleft()
                self._waiting_bytes -= len(data) - 1
        except BlockingIOError:
            pass
        except OSError as fault:
            if fault.errno in CROWDED:  # nothing says when there is room again
                self._loop.update_handler(self._sock, IOLoop.READ)
                if self._again is None:
                    self._again = self._loop.add_timeout(SEND_AGAIN, self._write_again)
                return
            log.info("twin_connection_lost", fault=str(fault))
            if fault.errno not in GONE:
                self.close()
                return
            self._leave_unsent()
        self._loop.update_handler(self._sock, IOLoop.READ | (IOLoop.WRITE if self._waiting else 0))

    def _write_again(self) -> None:
        self._again = None
        if self.alive:
            self._write()

    def _ready(self, sock: object, events: int) -> None:
        if events & IOLoop.WRITE:
            self._write()
        failed = False
        for _ in range(PACKETS_AT_ONCE):
            if not self.alive:
                return
            try:
                data, descriptors, _, _ = socket.recv_fds(self._sock, PIECE_MOST + 1, DESCRIPTORS_MOST)
            except BlockingIOError:
                return
            except OSError as fault:  # told once, ahead of what the other sent before it went
                if fault.errno in GONE and not failed:
                    failed = True
                    self._leave_unsent()
                    continue
                data, descriptors = b"", []
            self._descriptors += descriptors
            if not data:
                self.close()
                return
            self._text += data[1:]
            if data[:1] == LAST:
                text, self._text = self._text, bytearray()
                brought, self._descriptors = self._descriptors, []
                self._packet(text, brought)

    def _packet(self, text: bytearray, descriptors: list[int]) -> None:
        try:
            self._take(json.loads(text), descriptors)
        except (ValueError, KeyError, TypeError, OSError) as fault:  # another version may say other things
            log.error("twin_packet_unusable", fault=f"{type(fault).__name__}: {fault}")

    def close(self) -> None:
        """The other process is gone, or is to be left."""
        if not self.alive:
            return
        self.alive = False
        self._loop.remove_handler(self._sock)
        self._sock.close()
        self._leave_unsent()
        for descriptor in self._descriptors:
            os.close(descriptor)
        self._lost()

    def _leave_unsent(self) -> None:
        self._deaf = True
        for _, copy in self._waiting:
            if copy is not None:
                os.close(copy)
        self._waiting.clear()
        self._waiting_bytes = 0


class Twin:
    """The other process of an upgrade, for as long as it lives; what the two tell each other."""

    def __init__(self, loop: IOLoop) -> None:
        self._loop, self._path = loop, ""
        self._listener: socket.socket | None = None
        self._wire: Wire | None = None
        self._next: socket.socket | None = None  # who met this one while there was another
        self._heard = asyncio.Event()
        self._patience: asyncio.Timeout | None = None  # for the state of the process before
        self.ids: set[str] = set()  # requests that are open there
        self.standing: dict[str, Packet] = {}  # of these, what is known of calls that stand
        # By call, words that the other may not have carried out: should it go now, they are ours.
        self.unheard: dict[str, Packet] = {}
        self.state: Packet | None = None  # what the process before had to tell
        self.tells: Callable[[], Packet] = dict
        self.takes: dict[str, Callable[[Packet], None]] = {}  # by the kind of packet
        self._early: deque[Packet] | None = deque(maxlen=EARLY_MOST)  # came before the front was up
        self.serves: Callable[[], None] = lambda: None  # the other one is younger, and serves from now on
        self.stops: Callable[[], None] = lambda: None  # the other one is younger, and ends
        self.connection: Callable[[Packet, int], None] = lambda packet, descriptor: os.close(descriptor)
        self.met: Callable[[], None] = lambda: None
        self.gone: Callable[[], None] = lambda: None
        self.alone: Callable[[], None] = lambda: None  # and what it leaves has been settled
        self.succeeded = False  # the other one is younger, and serves
        self.hears = False  # the other one is younger, and says what it has carried out

    @property
    def alive(self) -> bool:
        """Whether there are two."""
        return self._wire is not None and self._wire.alive

    @property
    def settled(self) -> bool:
        """Whether all that was said has left."""
        return self._wire is None or self._wire.settled

    def send(self, kind: str, descriptor: int | None = None, **values: Any) -> bool:
        """Tell the other process, if there is one; False: it will not hear of it."""
        if self._wire is None:
            return False
        packet = {"t": kind, **values}
        if kind in ENDS and values["id"] in self.ids:
            self._keep(packet)
        leaves = self._wire.send(packet, descriptor)
        if kind == "release" and (self.hears or not leaves):
            self._keep(packet)
        return leaves

    def _keep(self, packet: Packet) -> None:
        """Word of the end of a call, until the other is known to have carried it out."""
        while len(self.unheard) >= UNHEARD_MOST:
            del self.unheard[next(iter(self.unheard))]
        self.unheard[packet["id"]] = packet

    async def meet(self, folder: str, name: str) -> None:
        """Find the process before and hear its state, or be the first."""
        path = os.path.join(folder, f"mallowquay-{name}")
        if len(path.encode()) > PATH_MOST:
            log.warning("twin_name_too_long", path=path)
            return
        for _ in range(MEETINGS_MOST):
            if self.state is not None or not await self._meet(path):
                break
        self._path = path
        if not self.alive:
            self._listen()

    async def _meet(self, path: str) -> bool:
        """False if nobody is there; else it told its state, or it has gone or closed its door meanwhile."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            sock.settimeout(MEET_WITHIN.total_seconds())
            sock.connect(path)
        except OSError as fault:  # nobody, or a stale file
            sock.close()
            log.info("no_process_to_succeed", fault=fault.strerror or str(fault))
            return False
        self._heard.clear()
        self._wire = Wire(self._loop, sock, self._take, self._lost)
        self.send("hello")
        try:
            async with asyncio.timeout(MEET_WITHIN.total_seconds()) as self._patience:
                await self._heard.wait()
        except TimeoutError:
            log.error("twin_says_nothing")
            if self._wire is not None:
                self._wire.close()
            return False
        finally:
            self._patience = None
        return True

    def _listen(self) -> None:
        """Be found by the next process: under the name at once, whatever file was there."""
        if self._listener is not None or not self._path:
            return
        own = f"{self._path}-{os.getpid()}"
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            if os.path.lexists(own):
                os.unlink(own)
            listener.bind(own)
            os.chmod(own, 0o600)
            listener.listen(4)
            os.rename(own, self._path)
        except OSError as fault:
            log.warning("twin_cannot_listen", fault=str(fault))
            listener.close()
            return
        listener.setblocking(False)
        self._listener = listener
        self._loop.add_handler(listener, self._accept, IOLoop.READ)

    def serve(self) -> None:
        """This one serves: from now on the next process meets it, and not the one before."""
        self._listen()
        self.send("serves", hears=True)

    def _listen_no_more(self) -> None:
        if self._listener is not None:
            self._loop.remove_handler(self._listener)
            self._listener.close()
            self._listener = None
        if self._next is not None:  # it meets the one that serves
            self._next.close()
            self._next = None

    def _accept(self, listener: object, events: int) -> None:
        assert self._listener is not None
        try:
            sock, _ = self._listener.accept()
        except OSError:
            return
        if not self.alive:
            self._wire = Wire(self._loop, sock, self._take, self._lost)
            return
        self._loop.remove_handler(self._listener)  # one at a time: it waits until the other process has ended
        self._next = sock
        self.send("give")
        with suppress(OSError):
            sock.send(LAST + b'{"t":"wait"}')

    def _take(self, packet: Packet, descriptors: list[int]) -> None:
        kind = packet["t"]
        if kind == "connection":
            for descriptor in descriptors[1:]:
                os.close(descriptor)
            if descriptors:
                self.connection(packet, descriptors[0])
            else:  # there was no room for one more here: it is lost, and so is its caller
                self.send("closed", key=packet["key"])
            return
        for descriptor in descriptors:
            os.close(descriptor)
        if kind == "hello":
            self.met()
            self.send("state", **self.tells())
        elif kind == "state":
            self.state = packet
            self.ids.update(packet["ids"])
            self.standing.update((told["id"], told) for told in packet["standing"])
            self._heard.set()
        elif kind == "serves":
            log.info("successor_serves")
            self.succeeded, self.hears = True, packet.get("hears", False)
            self._listen_no_more()
            self.serves()
        elif kind == "wait":
            log.info("turn_awaited")
            if self._patience is not None:
                self._patience.reschedule(asyncio.get_running_loop().time() + TURN_WITHIN.total_seconds())
        elif kind == "stops":
            if self.succeeded:
                self.succeeded = False  # whoever ends itself is handed nothing
                self.stops()
        elif kind == "taken":
            self.ids.add(packet["id"])
        elif kind == "stands":
            self.standing[packet["id"]] = packet
        elif kind == "over":
            self.ids.discard(packet["id"])
            self.standing.pop(packet["id"], None)
            self.unheard.pop(packet["id"], None)
            self._pass_on(packet)
        else:
            self._pass_on(packet)

    def _pass_on(self, packet: Packet) -> None:
        if self._early is not None:
            self._early.append(packet)
        elif packet["t"] in self.takes:
            self.takes[packet["t"]](packet)

    def catch_up(self) -> None:
        """The front is up: it hears what has come since the other told its state."""
        early, self._early = self._early or (), None
        for packet in early:
            self._pass_on(packet)

    def _lost(self) -> None:
        """It has ended or died: this one goes on alone."""
        log.info("twin_gone")
        self._wire = None
        self.succeeded = self.hears = False
        self._heard.set()
        self.ids.clear()
        self.gone()
        self.standing.clear()
        self.unheard.clear()
        self.alone()
        if self._listener is None:
            self._listen()
        elif self._next is not None:  # whoever waits is heard now
            self._loop.add_handler(self._listener, self._accept, IOLoop.READ)
            sock, self._next = self._next, None
            self._wire = Wire(self._loop, sock, self._take, self._lost)

    def taken(self, call_id: str) -> None:
        """A request was taken here."""
        if self._wire is not None:
            self.send("taken", id=call_id)

    def over(self, call_id: str) -> None:
        """A request taken here is over."""
        if self._wire is not None:
            self.send("over", id=call_id)
