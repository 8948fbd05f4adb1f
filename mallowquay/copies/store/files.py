"""The form of the files, and how they are read. Used by the serving program and offline alike.

A file is a magic line, the mark of the disk, and records: 4 bytes of length, 8 of checksum, msgpack. The
checksum is
XXH3-64 over the record, seeded with the checksum before it (the mark of the disk for the first), so that
a record that
was changed, left out, doubled or moved is noticed. Numbers are big-endian.

- `snapshot-N` holds all records as of the end of segment N; it is written under another name, synced and
  renamed.
- `segment-N` holds the operations that followed, the latest at its end.

A segment that ends in a record that is not whole was cut off by a crash: nothing that rested on it has
left. A record
that is not right and has others behind it is a spoilt file.
"""

from __future__ import annotations

import os
import struct
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path

import msgspec
import xxhash

from ...errors import Fault
from ..model import Op

MAGIC = b"mallowquay copies 1\n"
HEAD = struct.Struct(">IQ")
RECORD_MOST = 64 * 1024

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Op)  # type: ignore[var-annotated]


class Spoilt(Fault, ValueError):
    """A file of copies holds what nobody wrote; `where` is the file."""

    code = "copies.disk-spoilt"
    remedy = (
        "Look at the disk. `mallowquay copies verify FOLDER` tells what is wrong, `copies repair` sets the "
        "files aside while the member is down; its copies are made anew from the others."
    )


def begun(mark: int) -> bytes:
    """The first bytes of a file."""
    return MAGIC + mark.to_bytes(8, "big")


def framed(op: Op, before: int) -> tuple[bytes, int]:
    """A record, and its checksum, with which the next one is seeded."""
    body = _encoder.encode(op)
    checksum = xxhash.xxh3_64_intdigest(body, seed=before)
    return HEAD.pack(len(body), checksum) + body, checksum


@dataclass
class Contents:
    """What a file holds."""

    mark: int
    ops: list[Op] = field(default_factory=list)
    whole: int = 0  # bytes up to the end of the last record that is right
    torn: int = 0  # bytes after it, of a record that was cut off
    checksum: int = 0


def read(path: Path, mark: int | None = None) -> Contents:
    """Read a file. Errors: Spoilt; also if it is of another disk than `mark` says."""
    data = path.read_bytes()
    head = len(MAGIC) + 8
    if len(data) < head:
        if MAGIC.startswith(data[: len(MAGIC)]):
            return Contents(mark or 0, torn=len(data))
        raise Spoilt("not a file of copies", path.name)
    if data[: len(MAGIC)] != MAGIC:
        raise Spoilt("not a file of copies", path.name)
    found = Contents(int.from_bytes(data[len(MAGIC) : head], "big"), whole=head)
    if mark is not None and found.mark != mark:
        raise Spoilt("of another disk", path.name)
    found.checksum = found.mark
    at = head
    while at < len(data):
        step = _record(data, at, found.checksum)
        if step is None:
            if _right_behind(data, at):
                raise Spoilt(f"the record at byte {at} is not what was written", path.name)
            found.torn = len(data) - at
            break
        op, found.checksum, at = step
        found.ops.append(op)
        found.whole = at
    return found


def _record(data: bytes, at: int, before: int) -> tuple[Op, int, int] | None:
    if at + HEAD.size > len(data):
        return None
    size, checksum = HEAD.unpack_from(data, at)
    end = at + HEAD.size + size
    if not 0 < size <= RECORD_MOST or end > len(data):
        return None
    body = data[at + HEAD.size : end]
    if xxhash.xxh3_64_intdigest(body, seed=before) != checksum:
        return None
    try:
        return _decoder.decode(body), checksum, end
    except msgspec.DecodeError:
        return None


def _right_behind(data: bytes, at: int) -> bool:
    """Whether, by its told length, a record that is not right has another one behind it that is.

    The checksum of what stands at `at` may itself be what is wrong, so the one behind is tried with the
    checksum that
    is written there and with the one that its bytes have.
    """
    if at + HEAD.size > len(data):
        return False
    size, checksum = HEAD.unpack_from(data, at)
    end = at + HEAD.size + size
    if not 0 < size <= RECORD_MOST or end >= len(data):
        return _any_right(data, at + 1)
    return _record(data, end, checksum) is not None or _any_right(data, at + 1)


def _any_right(data: bytes, start: int) -> bool:
    """Whether two records that follow on each other stand anywhere from here on: a search, for damaged
    lengths.
    """
    limit = min(len(data), start + 4 * RECORD_MOST)
    for at in range(start, limit - HEAD.size):
        size, checksum = HEAD.unpack_from(data, at)
        end = at + HEAD.size + size
        if 0 < size <= RECORD_MOST and end + HEAD.size <= len(data):
            if _record(data, end, checksum) is not None:
                return True
    return False


def write_whole(path: Path, mark: int, ops: Iterable[Op]) -> tuple[int, int]:
    """A file in place of what is there, all or nothing, synced; its size and last checksum. Errors:
    OSError.
    """
    fresh = path.with_suffix(".new")
    checksum = mark
    size = 0
    with open(fresh, "wb") as file:
        size += file.write(begun(mark))
        for op in ops:
            data, checksum = framed(op, checksum)
            size += file.write(data)
        file.flush()
        os.fsync(file.fileno())
    fresh.replace(path)
    sync_folder(path.parent)
    return size, checksum


def cut_off(path: Path, mark: int) -> None:
    """Take away the record at the end of a file that was not written whole. Errors: OSError, Spoilt."""
    found = read(path, mark)
    if found.torn:
        with open(path, "r+b") as file:
            file.truncate(found.whole)
            if not found.whole:
                file.write(begun(mark))
            os.fsync(file.fileno())


def sync_folder(folder: Path) -> None:
    """Names that were made or changed are on the disk. Errors: OSError."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def numbered(folder: Path, kind: str) -> list[tuple[int, Path]]:
    """The files of a kind, by their numbers."""
    found = []
    for path in folder.glob(f"{kind}-*"):
        number = path.name.removeprefix(f"{kind}-")
        if number.isdigit():
            found.append((int(number), path))
    return sorted(found)


@dataclass
class Loaded:
    """All that a folder holds."""

    ops: list[Op]
    last: int  # the number of the last file
    torn: int
    faults: list[str] = field(default_factory=list)


def load(folder: Path, mark: int | None) -> Loaded:
    """The latest snapshot and the segments after it. Errors: Spoilt, if any of them is."""
    snapshots, segments = numbered(folder, "snapshot"), numbered(folder, "segment")
    base = snapshots[-1][0] if snapshots else 0
    ops: list[Op] = []
    torn = 0
    if snapshots:
        found = read(snapshots[-1][1], mark)
        if found.torn:
            raise Spoilt(f"{snapshots[-1][1].name} is not whole", snapshots[-1][1].name)
        ops += found.ops
    wanted = base + 1
    behind = [(number, path) for number, path in segments if number > base]
    for index, (number, path) in enumerate(behind):
        if number != wanted:
            raise Spoilt(f"segment-{wanted} is missing", f"segment-{wanted}")
        wanted += 1
        found = read(path, mark)
        if found.torn and index < len(behind) - 1 and read(behind[index + 1][1], mark).ops:
            raise Spoilt(f"{path.name} is not whole, and another one follows", path.name)
        ops += found.ops
        torn += found.torn
    return Loaded(ops, max([base, *(number for number, _ in behind)]), torn)


def each(folder: Path) -> Iterator[Path]:
    """All files of a folder, the oldest first."""
    for _, path in [*numbered(folder, "snapshot"), *numbered(folder, "segment")]:
        yield path
