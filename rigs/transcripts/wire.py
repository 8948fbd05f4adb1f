"""Taps on the sockets of stand-ins: each whole message is written down as it passes, in either direction.

A tap stands in place of the stand-in's socket and gives one whole message at a time, so that what is written
down does not depend on how the kernel cut or joined what was sent. A message that came is written down when
the stand-in takes it: lines of a record stand in the order of the play that drives all stand-ins, one thread.
"""

from __future__ import annotations

import json
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any, get_args

import msgspec

from mallowquay.fleet import model

from ..fleet.relay import read

RECEIVE_MOST = 65536
WITHIN = 20.0  # seconds that anything may take on a machine that is busy with much else; never a pause
MESSAGE_MOST = 4 << 20  # bytes of one message; a longer one is written down as what it is: no message


@dataclass(frozen=True, slots=True)
class Entry:
    """One message, or something that befell a connection: who, to whom, and the lines that tell it."""

    origin: str
    to: str
    lines: tuple[str, ...]


@dataclass(slots=True)
class Record:
    """What passed, in order. `left_out`: what was not to be written down, whether or not any of it came."""

    entries: list[Entry] = field(default_factory=list)
    left_out: set[str] = field(default_factory=set)

    def add(self, origin: str, to: str, *lines: str) -> None:
        """One more."""
        self.entries.append(Entry(origin, to, lines))


@dataclass(frozen=True, slots=True)
class Codec:
    """How one direction of a connection is cut into messages and told in lines.

    `whole`: the size of the first message of these bytes, 0 while it is not whole. `tell`: its lines.
    `kind`: a word for what kind of message it is, by which it can be left out. `copies`: a message that comes
    again byte for byte is a copy, as datagrams are sent again, and is told as one.
    """

    whole: Callable[[bytes], int]
    tell: Callable[[bytes], list[str]]
    kind: Callable[[bytes], str] = lambda data: ""
    copies: bool = False


def _head_and_body(data: bytes) -> int:
    head, end, _ = data.partition(b"\r\n\r\n")
    if not end:
        return 0
    size = 0
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        if name.strip().lower() == b"content-length" and value.strip().isdigit():
            size = int(value)
    size += len(head) + 4
    return size if len(data) >= size else 0


def tell_message(data: bytes) -> list[str]:
    """SIP or HTTP: the first line, a line for each header, and the body behind `|`, JSON spread out."""
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.decode("utf-8", "backslashreplace").split("\r\n")
    if body[:1] in (b"{", b"["):
        try:
            text = json.dumps(json.loads(body), indent=1)
        except ValueError:
            text = body.decode("utf-8", "backslashreplace")
    else:
        text = body.decode("utf-8", "backslashreplace")
    return lines + [f"| {line}" for line in text.splitlines()]


def _first_word(data: bytes) -> str:
    line = data.partition(b"\r\n")[0].decode("utf-8", "replace")
    return " ".join(line.split()[:2]) if line.startswith("SIP/2.0 ") else line.partition(" ")[0]


def _tell_line(data: bytes) -> list[str]:
    return [data.decode("utf-8", "backslashreplace").rstrip("\n")]


def _line_kind(data: bytes) -> str:
    try:
        return str(json.loads(data)["t"])
    except (ValueError, KeyError, TypeError):
        return ""


def _frame(data: bytes) -> int:
    size = 4 + int.from_bytes(data[:4], "big")
    return size if len(data) >= max(size, 5) else 0


FIELDS: dict[str, tuple[str, ...]] = {
    str(kind.__struct_config__.tag): kind.__struct_fields__ for kind in get_args(model.Frame)
}  # names of the fields of each kind of frame, in the order of the wire
CHANNELS: dict[str, Callable[[bytes], Any]] = {}  # how a subsystem's data are read; else as msgpack


def fields(frame: list[Any]) -> dict[str, Any]:
    """What a frame holds, by name."""
    return dict(zip(FIELDS.get(str(frame[0]), ()), frame[1:], strict=False)) if frame else {}


def tell_frame(frame: list[Any]) -> list[str]:
    """A frame of the fleet, as msgpack has it: its kind, and a line for each field by its name.

    Of a leader's word the stamps and the lease are left out, and the view once it is agreed: whether there is
    an answer yet to count them from, and whether a follower is sent the view again, is a matter of time.
    """
    if not frame:
        return ["no frame"]
    kind, values = str(frame[0]), frame[1:]
    names = FIELDS.get(kind, ())
    lines, left_out = [kind], {"stamp", "echo", "lease"}
    if kind == "lead" and fields(frame).get("agreed") == fields(frame).get("key"):
        left_out |= {"view", "patch"}
    for place, value in enumerate(values):
        name = names[place] if place < len(names) else f"field {place}"
        if kind == "lead" and name in left_out:
            continue
        if isinstance(value, bytes) and kind in ("carry", "bulk"):
            try:
                value = CHANNELS.get(str(values[0]), msgspec.msgpack.decode)(value)
            except msgspec.DecodeError:
                value = value.hex()
        lines.append(f"{name}: {json.dumps(value, default=_plain)}")
    return lines


def _plain(value: object) -> object:
    return value.hex() if isinstance(value, bytes) else str(value)


def _tell_fleet(data: bytes) -> list[str]:
    return tell_frame(read(data[4:]))


def _fleet_kind(data: bytes) -> str:
    frame = read(data[4:])
    return str(frame[0]) if frame else ""


STATES = {0: "ready", 1: "draining", 2: "gone"}


def _tell_list(data: bytes) -> list[str]:
    """The coordinator's frame: number, kind, and records of 27 bytes."""
    number, kind, records = int.from_bytes(data[4:12], "big"), data[12], data[13:]
    lines = [f"event {number}: {({0: 'nothing new', 1: 'the whole list', 2: 'changes'}).get(kind, kind)}"]
    for place in range(0, len(records), 27):
        one = records[place : place + 27]
        port, state, started = int.from_bytes(one[8:10], "big"), one[10], int.from_bytes(one[19:27], "big")
        lines.append(
            f"s-{one[:4].hex()} {socket.inet_ntoa(one[4:8])}:{port} {STATES.get(state, state)} "
            f"zone {one[11]} kind {one[12]} cell {int.from_bytes(one[13:15], 'big')} "
            f"weight {int.from_bytes(one[15:19], 'big')} started_ms {started}"
        )
    return lines


SIP = HTTP = Codec(_head_and_body, tell_message, _first_word)
DATAGRAM = Codec(len, tell_message, _first_word, copies=True)
LINES = Codec(lambda data: data.find(b"\n") + 1, _tell_line, _line_kind)
FLEET = Codec(_frame, _tell_fleet, _fleet_kind)
ASKED = Codec(
    lambda data: 8 if len(data) >= 8 else 0,
    lambda data: [f"events after {int.from_bytes(data, 'big')}"],
)  # the only word of a gatekeeper to the coordinator
TOLD = Codec(_frame, _tell_list, lambda data: str(data[12]))


class Lanes:
    """What a tap between processes hears, which is driven by no play: one lane a pair, each in strict order.

    `keep` says of a frame what it is worth telling as, a word and its lines, or None where it is left out.
    A word is told once a lane: frames are sent again until they are answered, and how often is a matter of
    time.
    """

    def __init__(self, keep: Callable[[str, str, list[Any]], tuple[str, list[str]] | None]) -> None:
        self._keep = keep
        self._told: dict[tuple[str, str], dict[str, list[str]]] = {}

    def frame(self, origin: str, to: str, frame: list[Any]) -> None:
        """One frame passes."""
        kept = self._keep(origin, to, frame)
        if kept is not None:
            self._told.setdefault((origin, to), {}).setdefault(*kept)

    def words(self, origin: str, to: str) -> list[str]:
        """What has been told on a lane by now."""
        return list(self._told.get((origin, to), ()))

    def into(self, record: Record) -> None:
        """Write lane after lane, by their names."""
        for (origin, to), told in sorted(self._told.items()):
            for lines in told.values():
                record.add(origin, to, *lines)


class Tap:
    """A stand-in's socket. `me` and `far` name both ends; `comes` and `goes` are the codecs of each way.

    `leaves_out`: kinds of messages that are passed on and not written down. `copies_most`: where it is a
    matter of time how many copies of a datagram come, so many are written down, by kind, and none of other
    kinds; None: all are.
    """

    def __init__(
        self, record: Record, sock: socket.socket, me: str, far: str, comes: Codec, goes: Codec | None = None,
        leaves_out: frozenset[str] = frozenset(), copies_most: dict[str, int] | None = None,
    ) -> None:  # fmt: skip
        self._record, self._sock, self.me, self.far = record, sock, me, far
        self._comes, self._goes = comes, goes or comes
        self._leaves_out, self._copies_most = leaves_out, copies_most
        self._kept = self._begun = b""
        self._copies: dict[bytes, int] = {}
        self.closed = self._resets = False
        record.left_out |= leaves_out

    def __getattr__(self, name: str) -> Any:
        return getattr(self._sock, name)

    def _came(self, data: bytes) -> None:
        kind = self._comes.kind(data)
        if kind in self._leaves_out:
            return
        lines = self._comes.tell(data)
        if self._comes.copies:
            copies = self._copies.get(data, -1) + 1
            self._copies[data] = copies
            if self._copies_most is not None and copies > self._copies_most.get(kind, 0):
                return
            if copies:
                lines = [f"(again) {lines[0]}"]
        self._record.add(self.far, self.me, *lines)

    def _went(self, data: bytes) -> None:
        if self._goes.kind(data) not in self._leaves_out:
            self._record.add(self.me, self.far, *self._goes.tell(data))

    # --- what stand-ins call

    def sendall(self, data: bytes) -> None:
        """Send; written down once whole, before whatever is answered to it."""
        self._begun += data
        while size := self._goes.whole(self._begun):
            message, self._begun = self._begun[:size], self._begun[size:]
            self._went(message)
        self._sock.sendall(data)

    def sendto(self, data: bytes, address: tuple[str, int]) -> None:
        """Send a datagram."""
        self._went(data)
        self._sock.sendto(data, address)

    def recv(self, most: int = RECEIVE_MOST) -> bytes:
        """The next whole message; b"" at the end of the connection, of which a reset is one too."""
        while not (size := self._comes.whole(self._kept)) and not self.closed:
            try:
                data = self._sock.recv(RECEIVE_MOST)
            except ConnectionError:
                data = b""
            self._kept += data
            if not data:
                self.over()
        if not size:
            return b""
        message, self._kept = self._kept[:size], self._kept[size:]
        self._came(message)
        return message

    def recvfrom(self, most: int = RECEIVE_MOST) -> tuple[bytes, tuple[str, int]]:
        """The next datagram, and where it came from."""
        data, address = self._sock.recvfrom(RECEIVE_MOST)
        self._came(data)
        return data, address

    def setsockopt(self, level: int, option: int, value: int | bytes) -> None:
        """As the socket's."""
        self._resets |= option == socket.SO_LINGER and level == socket.SOL_SOCKET
        self._sock.setsockopt(level, option, value)

    def settimeout(self, seconds: float) -> None:
        """As the socket's, and longer: a slow machine makes no other text."""
        self._sock.settimeout(max(seconds, WITHIN))

    def close(self) -> None:
        """Close, or reset where `SO_LINGER` was set."""
        if not self.closed:
            self.closed = True
            self._record.add(self.me, self.far, "(reset)" if self._resets else "(closed)")
        self._sock.close()

    def over(self) -> None:
        """The far end has closed."""
        self.closed = True
        if self._kept:
            self._record.add(self.far, self.me, f"(cut off: {self._kept!r})")
            self._kept = b""
        self._record.add(self.far, self.me, "(closed)")

    def rest(self) -> None:
        """Take all that still comes, to the end."""
        if self._sock.fileno() < 0:
            return
        if self._sock.type == socket.SOCK_STREAM:
            while self.recv():
                pass
        else:
            self._sock.setblocking(False)
            while True:
                try:
                    self.recvfrom()
                except OSError:
                    break
        self._sock.close()
