"""What outsiders saw: one line of JSON an event, in the order in which the rig wrote them."""

from __future__ import annotations

import time
from pathlib import Path
from typing import Any

import msgspec


class Event(msgspec.Struct, frozen=True):
    """One line: when (microseconds of the machine's one monotonic clock), what, of whom."""

    at_us: int
    what: str
    name: str = ""
    fields: dict[str, Any] = {}


def now_us() -> int:
    """The clock that all processes of one machine share."""
    return time.monotonic_ns() // 1000


class History:
    """Collects and keeps events."""

    def __init__(self) -> None:
        self.events: list[Event] = []

    def add(self, what: str, name: str = "", **fields: Any) -> None:
        """Something was seen now."""
        self.events.append(Event(now_us(), what, name, fields))

    def write(self, path: Path) -> None:
        """As JSON lines."""
        path.write_bytes(b"".join(msgspec.json.encode(event) + b"\n" for event in self.events))


def read(path: Path) -> list[Event]:
    """A history that was written. Errors: msgspec.DecodeError."""
    return [msgspec.json.decode(line, type=Event) for line in path.read_bytes().splitlines()]
