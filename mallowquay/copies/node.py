"""Copies on the real links, a real disk and the real clock."""

from __future__ import annotations

import asyncio
import random
import shutil
from collections import deque
from collections.abc import Callable, Mapping
from concurrent.futures import Future
from datetime import timedelta
from pathlib import Path
from typing import Any

import msgspec
import structlog
from tornado.ioloop import IOLoop

from ..core.model import Clock
from ..errors import Fault
from ..fleet.model import Garbled, Life
from ..fleet.node import Node
from ..net.rate_limited import RateLimitedLogger
from .machine import Adopted, Batch, Copies, CopyTerms
from .model import decode, encode
from .store.journal import Journal, JournalFailed

log = structlog.get_logger(part=__name__)

CHANNEL = "copies"
TICK = timedelta(milliseconds=25)
DISK_AGAIN = timedelta(milliseconds=300)  # after a write that failed, before all is written anew
WAITING_MOST = 100_000  # promises that are waited for


class CopiesNode:
    """One member's copies: carries out what `Copies` says."""

    def __init__(
        self, fleet: Node, folder: Path, terms: CopyTerms, districts: Mapping[str, str], clock: Clock,
        scrub: timedelta,
    ) -> None:  # fmt: skip
        self._fleet, self._folder, self._terms, self._clock = fleet, folder, terms, clock
        self.districts = dict(districts)
        self._loop = IOLoop.current()
        self._journal = Journal(folder)
        self._copies: Copies | None = None
        self._open = False
        self._writing = False
        self._flush_due = False
        self._ended = False
        self._waiting: deque[tuple[int, Callable[[bool], None]]] = deque()
        self._scrub, self._scrub_at = scrub, clock() + scrub
        self._rate_limited = RateLimitedLogger(log, clock)
        self._chance = random.Random()
        self.owners: dict[
            str, Callable[[Adopted], None]
        ] = {}  # of records by kind, told of what they take over
        self.faults = 0  # of files, that the scrubber found
        self.unreadable = 0
        fleet.channel(CHANNEL, self._heard)
        fleet.on_life.append(self._begin)

    # --- lives

    def _begin(self, life: Life) -> None:
        """A life of this member began: its copies go by what the disk has, if that is still the same disk."""
        if self._open and self._journal.mark != life.disk:
            self._journal.close()
            shutil.rmtree(self._folder, ignore_errors=True)
            self._journal = Journal(self._folder)
            self._open = False
        before = self._copies
        self._tell_waiting(False)
        if not self._open:
            loaded = self._journal.open(life.disk)
            self._open = True
            self._copies = Copies(self._fleet.name, life, loaded, self._terms, self._chance, self._clock())
        else:
            assert before is not None
            held = list(before.keeper.dump())
            self._copies = Copies(self._fleet.name, life, held, self._terms, self._chance, self._clock())
            # What the life before had under way goes to disk with all the rest, in place of it.
            self._write_anew(None)
        log.info("copies_begin", log=str(self._copies.log), held=len(self._copies.keeper.logs))
        self._loop.add_callback(self._tick, life)

    def _tick(self, life: Life) -> None:
        copies = self._copies
        if self._ended or copies is None or copies.life != life:
            return
        now = self._clock()
        if copies.fenced and self._fleet.member.question.status.value == "trusted":
            log.warning("copies_fenced", log=str(copies.log))
            self._fleet.renew()  # begins anew, here too
            return
        copies.tick(now, self._fleet.holds(), self.districts)
        self._pump()
        if now >= self._scrub_at:
            self._scrub_at = now + self._scrub
            self._loop.add_future(asyncio.wrap_future(self._journal.scrub()), self._scrubbed)
        self._loop.add_timeout(TICK, self._tick, life)

    # --- for whoever has something to promise

    @property
    def copies(self) -> Copies | None:
        """The machine, once a life has begun."""
        return self._copies

    def hold(self, kind: str, key: str, body: bytes, told: Callable[[bool], None]) -> None:
        """Hold a record; `told` hears True once it is promised, False if this life ends before.

        Errors: RecordRefused, if it is no record.
        """
        copies = self._copies
        if copies is None or copies.fenced or len(self._waiting) >= WAITING_MOST:
            told(False)
            return
        self._wait(copies.put(kind, key, body), told)

    def release(self, kind: str, key: str, told: Callable[[bool], None] | None = None) -> None:
        """Let go of a record; `told` hears True once that is promised."""
        copies = self._copies
        if copies is None or copies.fenced:
            if told is not None:
                told(False)
            return
        self._wait(copies.forget(kind, key), told or _nobody)

    def _wait(self, seq: int, told: Callable[[bool], None]) -> None:
        self._waiting.append((seq, told))
        if not self._flush_due:  # all that this turn of the loop puts leaves together
            self._flush_due = True
            self._loop.add_callback(self._flush)

    def _flush(self) -> None:
        self._flush_due = False
        if self._copies is not None and not self._ended:
            self._copies.flush(self._clock())
            self._pump()

    def _tell_waiting(self, kept: bool) -> None:
        waiting, self._waiting = self._waiting, deque()
        for _, told in waiting:
            told(kept)

    # --- messages and the disk

    def _heard(self, name: str, data: bytes) -> None:
        copies = self._copies
        if copies is None or self._ended:
            return
        try:
            message = decode(data)
        except msgspec.DecodeError as fault:
            self.unreadable += 1
            garbled = Garbled(str(fault), CHANNEL)
            self._rate_limited.warning("copies_message_not_read", member=name, **garbled.told())
            return
        copies.heard(self._clock(), name, message)
        self._pump()

    def _pump(self) -> None:
        """Send what may leave, tell of promises, and give the disk the next batch."""
        copies = self._copies
        assert copies is not None
        while True:
            sends, copies.sends = copies.sends, []
            for sent in sends:
                self._fleet.carry(sent.to, CHANNEL, encode(sent.message), sent.bulk)
            while self._waiting and self._waiting[0][0] <= copies.promised:
                self._waiting.popleft()[1](True)
            if copies.adopted:
                adopted, copies.adopted = copies.adopted, []
                for one in adopted:
                    self.owners.get(one.kind, _no_owner)(one)
            for what, fields in copies.events:
                log.info(what, **fields)
            copies.events.clear()
            if self._writing:
                return
            batch = copies.take()
            if batch is None:
                return
            if batch.ops:
                self._writing = True
                self._after(self._journal.write(batch.ops), batch, copies)
                return
            copies.synced(self._clock(), batch)

    def _after(self, done: Future[None], batch: Batch | None, copies: Copies) -> None:
        def written(future: asyncio.Future[None]) -> None:
            if future.cancelled() or self._ended:
                return
            fault = future.exception()
            if fault is not None:
                known = fault if isinstance(fault, Fault) else JournalFailed(str(fault), str(self._folder))
                self._rate_limited.warning("copies_disk_failed", **known.told())
                self._loop.add_timeout(DISK_AGAIN, self._write_anew, batch)
                return
            self._writing = False
            if copies is self._copies:
                if batch is not None:
                    copies.synced(self._clock(), batch)
                if self._journal.wants_snapshot(sum(held.bytes for held in copies.keeper.logs.values())):
                    self._write_anew(None)
                self._pump()

        self._loop.add_future(asyncio.wrap_future(done), written)

    def _write_anew(self, batch: Batch | None) -> None:
        """All that is held into a new file; a batch that failed is in it."""
        copies = self._copies
        if copies is None or self._ended:
            return
        self._writing = True
        self._after(self._journal.rewrite(copies.keeper.dump()), batch, copies)

    def _scrubbed(self, future: asyncio.Future[list[str]]) -> None:
        if future.cancelled() or future.exception() is not None or self._ended:
            return
        faults = future.result()
        if faults:
            # What is in memory was checked when it came: it replaces what the disk no longer has.
            self.faults += len(faults)
            log.error("copies_file_not_as_written", faults=faults[:4])
            if not self._writing:
                self._write_anew(None)

    # --- for the program

    def end(self) -> None:
        """Close the files."""
        self._ended = True
        self._tell_waiting(False)
        if self._open:
            self._journal.close()

    def told(self) -> dict[str, Any]:
        """For people."""
        copies, journal = self._copies, self._journal
        disk = {
            "syncs": journal.syncs, "bytes": journal.bytes_written, "failures": journal.failures,
            "snapshots": journal.snapshots, "faults": self.faults, "since_snapshot": journal.size,
        }  # fmt: skip
        if copies is None:
            return {"disk": disk}
        return {**copies.told(), "kinds": copies.kinds(), "waiting": len(self._waiting), "disk": disk}


def _nobody(kept: bool) -> None:
    """Nobody waits for it."""


def _no_owner(adopted: Adopted) -> None:
    log.warning("copies_without_owner", kind=adopted.kind, key=adopted.key)
