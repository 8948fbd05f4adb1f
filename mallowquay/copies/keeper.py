"""What one member holds, of its own log and of others'. No I/O.

Everything that changes here is also an operation for the disk. What is answered rests on those
operations, so answers
leave only once they are synced: the owner of this machine sees to that.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field

from .model import (
    Append,
    Appended,
    Drop,
    Ensemble,
    Entry,
    Fence,
    Fenced,
    Holder,
    LogId,
    Message,
    Op,
    OpDrop,
    OpEntry,
    OpLive,
    OpMeta,
    OpState,
    Piece,
    Read,
    ReadPiece,
    Refusal,
    Seal,
    Sealed,
    SealIt,
    chained,
)

PIECE_ENTRIES, PIECE_BYTES = 64, 12 * 1024
LOGS_MOST = 10_000
RETIRED_MOST = 10_000

Key = tuple[str, str]


@dataclass
class _Assembling:
    """All records as of a number, as far as they have come."""

    base: int
    chain: int
    entries: list[Entry] = field(default_factory=list)
    index: int = 0


@dataclass
class Held:
    """One log, as this member has it."""

    log: LogId
    last: int = 0
    chain: int = 0
    live: dict[Key, Entry] = field(default_factory=dict)
    ensemble: Ensemble | None = None
    fence: int = 0  # the epoch of the latest recovery
    seal: Seal | None = None
    assembling: _Assembling | None = None
    bytes: int = 0  # of the bodies of what is live

    def take(self, entry: Entry) -> None:
        """The next entry."""
        self.last, self.chain = entry.seq, chained(self.chain, entry)
        before = self.live.pop((entry.kind, entry.key), None)
        if before is not None and before.body is not None:
            self.bytes -= len(before.body)
        if entry.body is not None:
            self.live[entry.kind, entry.key] = entry
            self.bytes += len(entry.body)

    def put(self, base: int, chain: int, entries: Iterable[Entry]) -> None:
        """All records as of a number, in place of what was there."""
        self.last, self.chain = base, chain
        self.live = {(entry.kind, entry.key): entry for entry in entries}
        self.bytes = sum(len(entry.body or b"") for entry in self.live.values())


def pieces(entries: list[Entry]) -> Iterator[tuple[int, tuple[Entry, ...], bool]]:
    """Cut into parts that fit into one message each: their number, entries, and whether it is the last."""
    index, start = 0, 0
    while True:
        end, size = start, 0
        while end < len(entries) and end - start < PIECE_ENTRIES:
            size += len(entries[end].body or b"") + len(entries[end].key) + 32
            if size > PIECE_BYTES and end > start:
                break
            end += 1
        yield index, tuple(entries[start:end]), end >= len(entries)
        if end >= len(entries):
            return
        index, start = index + 1, end


class Keeper:
    """All logs that one member holds."""

    def __init__(self, holder: Holder, ops: list[Op], answer: Callable[[str, Message], None]) -> None:
        """`ops` takes what goes to disk, `answer` what leaves once that is synced."""
        self.holder, self._ops, self._answer = holder, ops, answer
        self.logs: dict[LogId, Held] = {}
        self.retired: dict[str, int] = {}  # lives of a writer up to this number are never heard again
        self.done: dict[LogId, None] = {}  # logs that were taken over and dropped here, the oldest first
        self.spoilt = 0  # copies whose chain went another way than the writer's

    # --- reading the disk

    def load(self, ops: Iterable[Op]) -> None:
        """What was written, in its order."""
        waiting: tuple[OpState, list[Entry]] | None = None
        for op in ops:
            held = self.logs.get(op.log)
            if isinstance(op, OpLive):
                if waiting is not None and waiting[0].log == op.log:
                    waiting[1].append(op.entry)
                    if len(waiting[1]) == waiting[0].count:
                        self._held(op.log).put(waiting[0].base, waiting[0].chain, waiting[1])
                        waiting = None
                continue
            waiting = None
            if isinstance(op, OpState):
                if op.count:
                    waiting = (op, [])
                else:
                    self._held(op.log).put(op.base, op.chain, ())
            elif isinstance(op, OpEntry):
                held = self._held(op.log)
                if op.entry.seq == held.last + 1:
                    held.take(op.entry)
            elif isinstance(op, OpMeta):
                held = self._held(op.log)
                held.ensemble, held.fence, held.seal = op.ensemble, op.fence, op.seal
            else:
                self.logs.pop(op.log, None)
                if op.retired:
                    self.retired[op.log.writer] = max(op.retired, self.retired.get(op.log.writer, 0))
                    self._note_done(op.log)

    def dump(self) -> Iterator[Op]:
        """All that is held, as operations that bring it back."""
        for log in self.done:
            yield OpDrop(log, self.retired.get(log.writer, log.number))
        for held in self.logs.values():
            yield OpState(held.log, held.last, held.chain, len(held.live))
            for entry in held.live.values():
                yield OpLive(held.log, entry)
            yield self._meta(held)

    @staticmethod
    def _meta(held: Held) -> OpMeta:
        return OpMeta(held.log, held.ensemble, held.fence, held.seal)

    def _held(self, log: LogId) -> Held:
        held = self.logs.get(log)
        if held is None:
            held = self.logs[log] = Held(log)
        return held

    # --- the writer's own

    def append(self, log: LogId, entry: Entry) -> None:
        """An entry of this member's own log."""
        self._held(log).take(entry)
        self._ops.append(OpEntry(log, entry))

    def set_ensemble(self, log: LogId, ensemble: Ensemble) -> None:
        """The ensemble of a log, as its writer says."""
        held = self._held(log)
        if held.ensemble is None or ensemble.number > held.ensemble.number:
            held.ensemble = ensemble
            self._ops.append(self._meta(held))

    # --- from others

    def heard(self, name: str, message: Message) -> bool:
        """Take a message that is for a holder; False if it is not."""
        if isinstance(message, Append):
            self._append(name, message)
        elif isinstance(message, Piece):
            self._piece(name, message)
        elif isinstance(message, Fence):
            self._fence(name, message)
        elif isinstance(message, Read):
            self._read(name, message)
        elif isinstance(message, SealIt):
            self._seal(name, message)
        elif isinstance(message, Drop):
            self._drop(message)
        else:
            return False
        return True

    def _refuses(self, name: str, log: LogId) -> bool:
        """Whether the writer of this log is written off; it is told."""
        held = self.logs.get(log)
        if log.writer != name:
            return True
        if log.number <= self.retired.get(name, 0) or (held is not None and held.fence):
            self._answer(name, Refusal(log, self.holder, held.fence if held is not None else 0))
            return True
        return held is None and len(self.logs) >= LOGS_MOST

    def _append(self, name: str, message: Append) -> None:
        if self._refuses(name, message.log):
            return
        held = self._held(message.log)
        if message.before <= held.last and self._same_way(held, message):
            self.set_ensemble(message.log, message.ensemble)
            for entry in message.entries:
                if entry.seq == held.last + 1:
                    held.take(entry)
                    self._ops.append(OpEntry(held.log, entry))
        self._answer(name, Appended(held.log, self.holder, held.last, held.chain))

    def _same_way(self, held: Held, message: Append) -> bool:
        """Whether what is held here is what the writer has up to there."""
        if message.before != held.last or message.chain == held.chain:
            return True
        self.spoilt += 1
        held.put(0, 0, ())  # a copy that went another way is none: the writer sends all of it anew
        self._ops.append(OpState(held.log, 0, 0, 0))
        return False

    def _piece(self, name: str, message: Piece) -> None:
        if self._refuses(name, message.log):
            return
        held = self._held(message.log)
        if message.base <= held.last:
            self._answer(name, Appended(held.log, self.holder, held.last, held.chain))
            return
        if message.index == 0:
            held.assembling = _Assembling(message.base, message.chain)
        one = held.assembling
        if one is None or one.base != message.base or one.index != message.index:
            held.assembling = None  # one was lost: the writer begins anew
            self._answer(name, Appended(held.log, self.holder, held.last, held.chain))
            return
        one.entries += message.entries
        one.index += 1
        if message.last:
            held.assembling = None
            held.put(one.base, one.chain, one.entries)
            self._ops.append(OpState(held.log, one.base, one.chain, len(held.live)))
            self._ops += [OpLive(held.log, entry) for entry in held.live.values()]
            self.set_ensemble(message.log, message.ensemble)
            self._answer(name, Appended(held.log, self.holder, held.last, held.chain))

    def _fence(self, name: str, message: Fence) -> None:
        log = message.log
        held = self.logs.get(log)
        known = held is not None and (held.last > 0 or held.ensemble is not None)
        if held is None and log in self.done:
            self._answer(name, Fenced(log, message.epoch, self.holder, True, False, None, 0, 0, None, True))
            return
        held = self._held(log)
        granted = message.epoch >= held.fence
        if message.epoch > held.fence:
            held.fence = message.epoch
            self._ops.append(self._meta(held))
        self._answer(
            name,
            Fenced(log, message.epoch, self.holder, granted, known, held.ensemble, held.last, held.chain,
                   held.seal, False),
        )  # fmt: skip

    def _read(self, name: str, message: Read) -> None:
        held = self.logs.get(message.log)
        if held is None or held.fence != message.epoch:
            return
        for index, part, last in pieces(list(held.live.values())):
            self._answer(
                name, ReadPiece(held.log, message.epoch, held.last, held.chain, index, part, last)
            )  # fmt: skip

    def _seal(self, name: str, message: SealIt) -> None:
        held = self.logs.get(message.log)
        if held is None:
            done = message.log in self.done
            self._answer(name, Sealed(message.log, message.seal.epoch, self.holder, done))
            return
        granted = held.fence == message.seal.epoch
        if granted and held.seal != message.seal:
            held.seal = message.seal
            self._ops.append(self._meta(held))
        self._answer(name, Sealed(held.log, message.seal.epoch, self.holder, granted))

    def _drop(self, message: Drop) -> None:
        log = message.log
        if message.done:
            self.retire(log)
        elif log in self.logs and not self.logs[log].fence:
            del self.logs[log]
            self._ops.append(OpDrop(log, 0))

    def retire(self, log: LogId) -> None:
        """A log that is done with: neither it nor an earlier life of its writer is heard again."""
        self.logs.pop(log, None)
        if log not in self.done:
            self.retired[log.writer] = max(log.number, self.retired.get(log.writer, 0))
            self._note_done(log)
            self._ops.append(OpDrop(log, self.retired[log.writer]))

    def _note_done(self, log: LogId) -> None:
        self.done[log] = None
        while len(self.done) > RETIRED_MOST:
            self.done.pop(next(iter(self.done)))
