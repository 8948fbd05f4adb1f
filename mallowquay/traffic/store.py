"""A record of traffic as a file: one line a record, each with its check sum, appended whole.

A line is JSON, a tab, and the CRC-32 of the JSON as 8 hex digits. A process that starts writes a header line
first, so one file holds the records of several starts.
"""

from __future__ import annotations

import os
import zlib
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import structlog

from ..errors import Fault
from .record import VERSION, Header, Interval, TrafficFault

log = structlog.get_logger(part=__name__)

FILE_MOST = 1 << 30  # bytes; a record that has grown so far takes no more
LINE_MOST = 1 << 22
ENCODER = msgspec.json.Encoder()


class TrafficEnded(Fault, OSError):
    """The record of traffic takes no more; calls go on without it."""

    code = "traffic.ended"
    remedy = "Make room on the disk, move the file away if it is full, and start the program anew."


def _line(record: Header | Interval) -> bytes:
    text = ENCODER.encode(record)
    return text + b"\t%08x\n" % zlib.crc32(text)


class Writer:
    """Appends to a record. A disk that fails stops the record, never the calls."""

    def __init__(self, path: str, header: Header) -> None:
        """Open or make the file. Errors: OSError."""
        self._path = path
        self._descriptor: int | None = os.open(path, os.O_RDWR | os.O_CREAT | os.O_APPEND, 0o644)
        size = os.fstat(self._descriptor).st_size
        if size and os.pread(self._descriptor, 1, size - 1) != b"\n":
            os.write(self._descriptor, b"\n")  # a crash cut the last line: what follows begins a new one
        self.write(header)

    def write(self, record: Header | Interval) -> None:
        """Append one record; a fault is logged once and ends the record."""
        if self._descriptor is None:
            return
        line = _line(record)
        try:
            if os.fstat(self._descriptor).st_size + len(line) > FILE_MOST:
                raise TrafficEnded(f"the file would grow beyond {FILE_MOST} bytes", self._path)
            if os.write(self._descriptor, line) < len(line):
                raise TrafficEnded("the disk took a part of a line only", self._path)
        except OSError as fault:
            ended = fault if isinstance(fault, TrafficEnded) else TrafficEnded(str(fault), self._path)
            log.error("traffic_record_ended", path=self._path, **ended.told())
            self.close()

    def close(self) -> None:
        """Nothing more is written."""
        if self._descriptor is not None:
            os.close(self._descriptor)
            self._descriptor = None


@dataclass(slots=True)
class Record:
    """A record as read: its starts with their intervals, and the numbers of the lines that a crash cut."""

    starts: list[tuple[Header, list[Interval]]] = field(default_factory=list)
    cut: list[int] = field(default_factory=list)

    def intervals(self) -> Iterator[Interval]:
        """All intervals, in the order of the file."""
        for _, intervals in self.starts:
            yield from intervals


def read(path: str | Path) -> Record:
    """Read a record up to the last whole line of each start. Errors: TrafficFault, naming file and line."""
    try:
        data = Path(path).read_bytes()
    except OSError as fault:
        raise TrafficFault(str(fault.strerror or fault), str(path)) from fault
    record = Record()
    lines = data.split(b"\n")
    whole = lines.pop() == b""
    broken = 0  # the number of a line that is not whole
    for number, line in enumerate(lines, 1):
        found = _read_line(line)
        if found is None:
            if broken or not record.starts or len(line) > LINE_MOST:
                at = f"{path}: line {broken or number}"
                raise TrafficFault(f"{at} is no record of traffic", at)
            broken = number
        elif isinstance(found, Header):
            if found.mallowquay_traffic != VERSION:
                version = f"version {found.mallowquay_traffic} is not known"
                raise TrafficFault(version, f"{path}: line {number}")
            if broken:
                record.cut.append(broken)
            broken = 0
            record.starts.append((found, []))
        else:
            if broken or not record.starts:  # a cut line is followed by a new start, or by nothing
                at = f"{path}: line {broken or number}"
                raise TrafficFault(f"{at} is damaged", at)
            record.starts[-1][1].append(found)
    if broken:
        record.cut.append(broken)
    if not whole:
        record.cut.append(len(lines) + 1)
    if not record.starts:
        raise TrafficFault(f"{path}: line 1 is no record of traffic", f"{path}: line 1")
    return record


def _read_line(line: bytes) -> Header | Interval | None:
    text, tab, check = line.rpartition(b"\t")
    if not tab or check != b"%08x" % zlib.crc32(text):
        return None
    kinds: tuple[type[Header] | type[Interval], ...] = (Interval, Header)
    for kind in kinds:
        try:
            return msgspec.json.decode(text, type=kind)
        except msgspec.DecodeError:
            continue
    return None
