"""The journal of one member's copies: group commit in a thread, segments, snapshots, a scrubber.

The event loop hands over one batch at a time and goes on; the thread writes and syncs it, however many
records it has,
and the loop is told. What fails is never tried again on the same file: a sync that failed may have
dropped the pages
and say yes the next time (Rebello et al., USENIX ATC 2020). Then all that is held is written into a new
file, and only
once that is synced does the journal go on.
"""

from __future__ import annotations

import os
import shutil
import threading
from collections.abc import Callable, Iterable
from concurrent.futures import Future, ThreadPoolExecutor
from pathlib import Path
from typing import BinaryIO

import structlog

from ...errors import Fault
from ..model import Op
from . import files

log = structlog.get_logger(part=__name__)

SEGMENT_MOST = 8 * 1024 * 1024  # bytes; then a snapshot is due, if there is that much less to write
SNAPSHOT_TIMES = 2  # and the segments are so many times what is held


class JournalFailed(Fault, OSError):
    """Copies cannot be written; nothing more is promised until all that is held is written anew."""

    code = "copies.disk-failed"
    remedy = "See that the folder has room and may be written; it is tried again by itself."


class Journal:
    """Files of one folder. All methods but `write`'s work are for the event loop's thread."""

    def __init__(self, folder: str | Path) -> None:
        self.folder = Path(folder)
        self._thread = ThreadPoolExecutor(1, thread_name_prefix="copies-disk")
        self._lock = threading.Lock()  # round the file: the scrubber reads what the thread writes
        self._file: BinaryIO | None = None
        self._checksum = 0
        self._number = 0
        self.mark = 0
        self.size = 0  # of the segments since the last snapshot, bytes
        self.syncs = self.bytes_written = self.failures = self.snapshots = 0
        self.sync_file: Callable[[int], None] = os.fsync  # the layer at which tests let a sync fail

    def open(self, mark: int) -> list[Op]:
        """Read what is there, if it is of this disk; else begin anew. Errors: OSError.

        Spoilt files are set aside under another name: what they held is with others, and counts for
        nothing here.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        self.mark = mark
        loaded = files.Loaded([], 0, 0)
        if any(files.each(self.folder)):
            try:
                loaded = files.load(self.folder, mark)
            except files.Spoilt as fault:
                aside = self.folder.with_name(f"{self.folder.name}.spoilt")
                shutil.rmtree(aside, ignore_errors=True)
                self.folder.rename(aside)
                self.folder.mkdir()
                log.error("copies_disk_spoilt", aside=str(aside), **fault.told())
        if loaded.torn:
            log.warning("copies_journal_was_cut_off", bytes=loaded.torn)
            for _, path in files.numbered(self.folder, "segment"):
                files.cut_off(path, mark)
        self._number = loaded.last
        self._rotate()
        return loaded.ops

    def _rotate(self) -> None:
        """A new segment: what was cut off at the end of an earlier one is never written over."""
        with self._lock:
            if self._file is not None:
                self._file.close()
                self._file = None
            self._number += 1
            path = self.folder / f"segment-{self._number}"
            self._file = open(path, "wb", buffering=0)
            self._file.write(files.begun(self.mark))
            self.sync_file(self._file.fileno())
            files.sync_folder(self.folder)
            self._checksum = self.mark

    def write(self, ops: Iterable[Op]) -> Future[None]:
        """Append and sync in the thread. The future's exception: OSError, after which only `rewrite`
        helps.
        """
        return self._thread.submit(self._write, tuple(ops))

    def _write(self, ops: tuple[Op, ...]) -> None:
        parts = []
        checksum = self._checksum
        for op in ops:
            data, checksum = files.framed(op, checksum)
            parts.append(data)
        data = b"".join(parts)
        with self._lock:
            if self._file is None:
                raise JournalFailed("the journal failed before", str(self.folder))
            try:
                left = memoryview(data)
                while left:
                    left = left[self._file.write(left) :]
                self.sync_file(self._file.fileno())
            except OSError:
                self.failures += 1
                self._file.close()
                self._file = None
                raise
        self._checksum = checksum
        self.size += len(data)
        self.bytes_written += len(data)
        self.syncs += 1

    @property
    def failed(self) -> bool:
        """Whether nothing can be appended before all is written anew."""
        return self._file is None

    def wants_snapshot(self, held: int) -> bool:
        """Whether the segments have grown to much more than what is held, in bytes."""
        return self.size > SEGMENT_MOST and self.size > SNAPSHOT_TIMES * held

    def rewrite(self, ops: Iterable[Op]) -> Future[None]:
        """Write all that is held as a snapshot, begin a new segment, and let go of what was before."""
        return self._thread.submit(self._rewrite, tuple(ops))

    def _rewrite(self, ops: tuple[Op, ...]) -> None:
        number = self._number
        files.write_whole(self.folder / f"snapshot-{number}", self.mark, ops)
        self._rotate()
        for kind in ("segment", "snapshot"):
            for older, path in files.numbered(self.folder, kind):
                if older < number or (kind == "segment" and older <= number):
                    path.unlink(missing_ok=True)
        self.size = 0
        self.snapshots += 1

    def scrub(self) -> Future[list[str]]:
        """Read every file again; what is not as it was written."""
        return self._thread.submit(self._scrub)

    def _scrub(self) -> list[str]:
        faults = []
        with self._lock:
            for path in files.each(self.folder):
                try:
                    found = files.read(path, self.mark)
                    if found.torn and path.name != f"segment-{self._number}":
                        raise files.Spoilt(f"{found.torn} bytes at its end are no record", path.name)
                except (OSError, files.Spoilt) as fault:
                    faults.append(str(fault))
        return faults

    def close(self) -> None:
        """End the thread, with what it still has to write."""
        self._thread.shutdown(wait=True)
        if self._file is not None:
            self._file.close()
            self._file = None
