"""What of a member lasts on disk: written whole, synced, checked by a hash; one process at a time has the
folder.
"""

from __future__ import annotations

import fcntl
import os
from pathlib import Path

import msgspec
import structlog
import xxhash

from ..errors import Fault
from .model import Lasting

log = structlog.get_logger(part=__name__)

MAGIC = b"mallowquay fleet 1\n"
NAME = "member"
LARGEST = 4 * 1024 * 1024


class InUse(Fault, OSError):
    """Another process has the member's folder."""

    code = "fleet.disk-in-use"
    remedy = "End the other process of this member, or name a folder of its own in fleet.disk."


class Spoilt(Fault, ValueError):
    """The member's file is not what was written; it is set aside, and the disk counts as empty."""

    code = "fleet.disk-spoilt"
    remedy = "Look at the disk; the member comes back by itself once the others have it in their view."


class DiskFailed(Fault, OSError):
    """What must last cannot be written to the member's folder; what was there stands. It is tried again."""

    code = "fleet.disk-failed"
    remedy = (
        "See that fleet.disk has room and may be written; until then the member takes part in no decision."
    )


def packed(lasting: Lasting) -> bytes:
    """The file's bytes: a magic line, 16 bytes of XXH3-128 over the rest, msgpack."""
    body = msgspec.msgpack.encode(lasting)
    return MAGIC + xxhash.xxh3_128_digest(body) + body


def unpacked(data: bytes) -> Lasting:
    """What `packed` wrote. Errors: Spoilt."""
    head, body = data[: len(MAGIC) + 16], data[len(MAGIC) + 16 :]
    if head != MAGIC + xxhash.xxh3_128_digest(body):
        raise Spoilt("the hash does not fit", NAME)
    try:
        return msgspec.msgpack.decode(body, type=Lasting)
    except msgspec.DecodeError as fault:
        raise Spoilt(str(fault), NAME) from fault


class Disk:
    """The folder of one member."""

    def __init__(self, folder: str | Path) -> None:
        self.folder = Path(folder)
        self.writes = self.failures = 0
        self._lock: int | None = None

    def open(self) -> Lasting | None:
        """Take the folder, made if missing, and read it; None where nothing usable is there.

        A spoilt file is set aside under another name, once, and counts as nothing. Errors: OSError, InUse.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        self._lock = os.open(self.folder / "lock", os.O_RDWR | os.O_CREAT, 0o644)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as fault:
            self.close()
            raise InUse(f"{self.folder} is in use by another process", "fleet.disk") from fault
        path = self.folder / NAME
        try:
            if path.stat().st_size > LARGEST:
                raise Spoilt("the file is too large", NAME)
            return unpacked(path.read_bytes())
        except FileNotFoundError:
            return None
        except Spoilt as fault:
            path.replace(self.folder / f"{NAME}.spoilt")
            log.error("fleet_disk_spoilt", file=str(path), **fault.told())
            return None

    def write(self, lasting: Lasting) -> None:
        """Replace what is there; on return it is on the disk. Errors: OSError, with what was there untouched.

        A sync that failed is never tried again on the same file: its pages may count as clean by then
        (Rebello et
        al., 'Can Applications Recover from fsync Failures?', USENIX ATC 2020).
        """
        data, fresh = packed(lasting), self.folder / f"{NAME}.new"
        try:
            with open(fresh, "wb") as file:
                file.write(data)
                file.flush()
                os.fsync(file.fileno())
            fresh.replace(self.folder / NAME)
            folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
            try:
                os.fsync(folder)
            finally:
                os.close(folder)
        except OSError:
            self.failures += 1
            raise
        self.writes += 1

    def close(self) -> None:
        """Give the folder up."""
        if self._lock is not None:
            os.close(self._lock)
            self._lock = None
