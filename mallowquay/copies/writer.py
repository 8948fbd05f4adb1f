"""The writer of a log: sends entries to its ensemble, knows what is promised, and changes the ensemble.
No I/O.

After BookKeeper (Junqueira, Kelly, Reed, 'Durability with BookKeeper', SIGOPS OSR 2013): one writer a
log, entries to
all holders, promised once `write` of them have synced, no agreement while the writer lives. The ensemble
changes
within the log itself, one holder at a time: an entry that names the next one has to be promised in both,
as in
Vertical Paxos (Lamport, Malkhi, Zhou, PODC 2009), so that whoever fences the old one learns of the new one.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from datetime import timedelta

import msgspec

from .keeper import Held, Keeper, pieces
from .model import (
    ENSEMBLE_KEY,
    OWN_KIND,
    Append,
    Appended,
    Drop,
    Ensemble,
    Entry,
    Holder,
    LogId,
    Message,
    Piece,
    Refusal,
)
from .placement import chosen, next_step, quorum

MILLISECOND = timedelta(milliseconds=1)
FRAME_ENTRIES, FRAME_BYTES = 128, 24 * 1024
TAIL_MOST, TAIL_BYTES = (
    8192,
    4 * 1024 * 1024,
)  # entries that are kept for holders that lag; past it they get a copy
AGAIN_AFTER = 250 * MILLISECOND  # without an answer
IDLE_AFTER = timedelta(seconds=1)  # a holder is asked, so that a writer that was written off finds out
COPY_AGAIN_AFTER = timedelta(seconds=2)
IN_FLIGHT = 512  # entries sent to a holder and not answered


@dataclass(slots=True)
class _Progress:
    """How far one holder is."""

    acked: int = 0
    sent: int = 0
    told_at: timedelta = timedelta(0)  # when something was last sent to it, or came from it
    copying: Iterator[tuple[int, tuple[Entry, ...], bool]] | None = None
    base: int = 0  # of the copy that is being sent
    chain: int = 0
    heard: bool = False


@dataclass(frozen=True, slots=True)
class Sent:
    """A message for another member; `bulk`: it may wait."""

    to: str
    message: Message
    bulk: bool = False


class Writer:
    """The log of this member's present life."""

    def __init__(self, log: LogId, keeper: Keeper, copies: int, write: int) -> None:
        self.log, self._keeper, self._copies, self._write = log, keeper, copies, write
        self.seq = self.promised = 0
        self.synced = 0  # on this member's own disk
        self.fenced = False
        self.ensemble: Ensemble | None = None
        self.ensemble_synced = False  # on this member's own disk: nothing is promised before
        self.next: Ensemble | None = None  # while the ensemble changes
        self._next_at: int | None = None  # the entry that names it
        self._tail: deque[Entry] = deque()
        self._tail_bytes = 0
        self._tail_before = (0, 0)  # number and chain before the tail
        self._chains: deque[int] = deque()  # after each entry of the tail
        self._progress: dict[Holder, _Progress] = {}
        self.copied_bytes = 0

    # --- what its owner asks

    @property
    def held(self) -> Held:
        """This member's own copy."""
        return self._keeper._held(self.log)

    def put(self, kind: str, key: str, body: bytes | None) -> int:
        """Append an entry; its number. It is promised once `promised` has reached that."""
        self.seq += 1
        entry = Entry(self.seq, kind, key, body)
        self._keeper.append(self.log, entry)
        self._tail.append(entry)
        self._chains.append(self.held.chain)
        self._tail_bytes += len(body or b"")
        return self.seq

    def own_synced(self, seq: int) -> None:
        """All up to an entry is on this member's own disk."""
        self.synced = seq
        if self.ensemble is not None:
            own = self._own()
            if own is not None:
                self._progress[own].acked = max(self._progress[own].acked, seq)
                self._count()

    def protection(self) -> int:
        """How many holders have all that was ever put."""
        return sum(progress.acked >= self.seq for progress in self._progress.values())

    def behind(self) -> int:
        """How many entries the holder that lags most has yet to acknowledge."""
        return self.seq - min((progress.acked for progress in self._progress.values()), default=0)

    # --- sending

    def flush(self, now: timedelta) -> list[Sent]:
        """Send what is new to each holder."""
        found: list[Sent] = []
        if self.ensemble is None or self.fenced:
            return found
        for holder, progress in self._progress.items():
            if holder.name != self.log.writer and progress.copying is None:
                self._send_tail(holder, progress, now, found)
        return found

    def _send_tail(self, holder: Holder, progress: _Progress, now: timedelta, found: list[Sent]) -> None:
        assert self.ensemble is not None
        start = self._tail_before[0]
        if progress.sent < start:
            return  # it needs a copy: see tick
        while progress.sent < self.seq and progress.sent - progress.acked < IN_FLIGHT:
            at, size = progress.sent - start, 0
            part: list[Entry] = []
            while at + len(part) < len(self._tail) and len(part) < FRAME_ENTRIES and size < FRAME_BYTES:
                entry = self._tail[at + len(part)]
                size += len(entry.body or b"") + len(entry.key) + 24
                part.append(entry)
            chain = self._tail_before[1] if at == 0 else self._chains[at - 1]
            found.append(
                Sent(holder.name, Append(self.log, self.ensemble, progress.sent, chain, tuple(part)))
            )
            progress.sent += len(part)
            progress.told_at = now

    def tick(self, now: timedelta, budget: int) -> tuple[list[Sent], int]:
        """Send again what was not answered, and copies within so many bytes; what is left of those."""
        found: list[Sent] = []
        if self.ensemble is None or self.fenced:
            return found, budget
        self._trim()
        for holder, progress in self._progress.items():
            if holder.name == self.log.writer:
                continue
            quiet = now - progress.told_at
            if progress.copying is not None:
                budget = self._send_copy(holder, progress, now, budget, found)
            elif progress.acked < self._tail_before[0]:
                if progress.heard or quiet >= COPY_AGAIN_AFTER:
                    self._begin_copy(progress)
                    budget = self._send_copy(holder, progress, now, budget, found)
            elif progress.acked < self.seq and quiet >= AGAIN_AFTER:
                progress.sent = progress.acked
                self._send_tail(holder, progress, now, found)
            elif (not progress.heard and quiet >= AGAIN_AFTER) or quiet >= IDLE_AFTER:
                progress.told_at = now
                found.append(Sent(holder.name, Append(self.log, self.ensemble, 0, 0, ())))
        return found, budget

    def _begin_copy(self, progress: _Progress) -> None:
        held = self.held
        progress.base, progress.chain = held.last, held.chain
        progress.copying = pieces(list(held.live.values()))

    def _send_copy(
        self, holder: Holder, progress: _Progress, now: timedelta, budget: int, found: list[Sent]
    ) -> int:
        assert self.ensemble is not None and progress.copying is not None
        while budget > 0:
            step = next(progress.copying, None)
            if step is None:
                # All of it is on its way; entries after its base follow by themselves.
                progress.copying = None
                progress.sent = progress.base
                progress.told_at = now
                progress.heard = False
                break
            index, part, last = step
            piece = Piece(self.log, self.ensemble, progress.base, progress.chain, index, part, last)
            size = sum(len(entry.body or b"") + len(entry.key) + 32 for entry in part)
            budget -= size
            self.copied_bytes += size
            found.append(Sent(holder.name, piece, bulk=True))
            progress.told_at = now
        return budget

    def _trim(self) -> None:
        """Forget the entries that every holder has, or that are too many to keep for one that lags."""
        least = min((one.acked for one in self._progress.values() if one.copying is None), default=self.seq)
        copying = [one.base for one in self._progress.values() if one.copying is not None]
        least = min([least, *copying])
        while self._tail:
            crowded = len(self._tail) > TAIL_MOST or self._tail_bytes > TAIL_BYTES
            if self._tail[0].seq > least and not crowded:
                return
            entry = self._tail.popleft()
            self._tail_before = (entry.seq, self._chains.popleft())
            self._tail_bytes -= len(entry.body or b"")

    # --- answers

    def heard(self, now: timedelta, message: Message) -> None:
        """An answer of a holder."""
        if isinstance(message, Refusal):
            if message.log == self.log:
                self.fenced = True
            return
        if not isinstance(message, Appended) or message.log != self.log:
            return
        progress = self._progress.get(message.holder)
        if progress is None:
            return
        progress.heard = True
        progress.told_at = now
        if message.upto > self.seq:
            return  # no copy of this log
        if message.upto < progress.acked:
            # It has less than it had acknowledged: its copy was no good, and is made anew.
            progress.acked = progress.sent = message.upto
            progress.copying = None
        elif message.upto > progress.acked:
            progress.acked = message.upto
        progress.sent = max(progress.sent, progress.acked)
        if progress.copying is not None and progress.acked >= progress.base:
            progress.copying = None
        self._count()

    def _count(self) -> None:
        if self.ensemble is None or self.fenced or not self.ensemble_synced:
            return
        parts = [self.ensemble] if self.next is None else [self.ensemble, self.next]
        promised = min(self._promised_in(ensemble) for ensemble in parts)
        self.promised = max(self.promised, promised)

    def _promised_in(self, ensemble: Ensemble) -> int:
        """The last entry that `write` holders have, this member among them."""
        own, others = 0, []
        for holder in ensemble.holders:
            acked = self._progress[holder].acked if holder in self._progress else 0
            if holder.name == self.log.writer:
                own = acked
            else:
                others.append(acked)
        others.sort(reverse=True)
        wanted = ensemble.write - 1
        if wanted == 0:
            return own
        return min(own, others[wanted - 1]) if len(others) >= wanted else 0

    # --- the ensemble

    def place(
        self, now: timedelta, disks: Mapping[str, int], lost: set[str], districts: Mapping[str, str]
    ) -> list[Sent]:
        """Follow the view: `disks` of all who are configured, and who of them is lost."""
        if self.fenced:
            return []
        # The view may yet name the disk that this member had before.
        disks = {**disks, self.log.writer: self._keeper.holder.disk}
        wanted = chosen(
            self.log.writer, [name for name in disks if name not in lost], districts, self._copies
        )
        if self.ensemble is None:
            holders = tuple(Holder(name, disks[name]) for name in wanted if name in disks)
            self.ensemble = Ensemble(1, holders, quorum(self._write, len(holders)))
            self._keeper.set_ensemble(self.log, self.ensemble)
            for holder in holders:
                self._progress.setdefault(holder, _Progress())
            own = self._own()
            if own is not None:
                self._progress[own].heard = True
            self.own_synced(self.synced)
            return self.flush(now)
        if self.next is None:
            return self._begin_change(wanted, disks, lost)
        return self._go_on_changing(now, disks, lost)

    def _own(self) -> Holder | None:
        assert self.ensemble is not None
        return next((one for one in self.ensemble.holders if one.name == self.log.writer), None)

    def _begin_change(self, wanted: tuple[str, ...], disks: Mapping[str, int], lost: set[str]) -> list[Sent]:
        assert self.ensemble is not None
        step = next_step(self.ensemble, wanted, disks, lost, self._write)
        if step is None:
            return []
        self.next, self._next_at = step, None
        for holder in step.holders:
            if holder not in self._progress:
                # A newcomer has nothing: where the tail does not reach back to the start it gets a copy.
                self._progress[holder] = _Progress()
        return []

    def _go_on_changing(self, now: timedelta, disks: Mapping[str, int], lost: set[str]) -> list[Sent]:
        assert self.ensemble is not None and self.next is not None
        new = [holder for holder in self.next.holders if holder not in self.ensemble.holders]
        if self._next_at is None:
            if any(holder.name in lost or disks.get(holder.name) != holder.disk for holder in new):
                # The newcomer was lost before the log names it: as if it had never been chosen.
                for holder in new:
                    self._progress.pop(holder, None)
                self.next = None
                return []
            if all(self._progress[holder].acked >= self.promised for holder in new):
                self._next_at = self.put(OWN_KIND, ENSEMBLE_KEY, msgspec.msgpack.encode(self.next))
                return self.flush(now)
            return []
        if self.promised < self._next_at:
            return []
        removed = [holder for holder in self.ensemble.holders if holder not in self.next.holders]
        self.ensemble, self.next, self._next_at = self.next, None, None
        self._keeper.set_ensemble(self.log, self.ensemble)
        found = []
        for holder in removed:
            self._progress.pop(holder, None)
            found.append(Sent(holder.name, Drop(self.log, done=False)))
        for holder, progress in self._progress.items():
            if holder.name != self.log.writer:  # each is to know whom a recovery has to ask
                chain = self._chain_at(progress.acked)
                if chain is not None:
                    found.append(
                        Sent(holder.name, Append(self.log, self.ensemble, progress.acked, chain, ()))
                    )  # fmt: skip
        return found

    def _chain_at(self, seq: int) -> int | None:
        start = self._tail_before[0]
        if seq == start:
            return self._tail_before[1]
        return self._chains[seq - start - 1] if start < seq <= start + len(self._chains) else None
