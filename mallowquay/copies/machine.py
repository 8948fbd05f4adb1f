"""All of one member's part in copies: its own log, what it holds for others, and the logs whose end it
brings about.

No I/O. The owner passes in time, the view that is held (or None), and messages; it writes `ops`, and once
they are
synced gives back what was held for them. Nothing that rests on the disk leaves earlier.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from msgspec import Struct

from ..fleet.model import Life, State, View
from .keeper import Keeper
from .model import (
    BODY_MOST,
    KEY_MOST,
    KIND_MOST,
    OWN_KIND,
    Appended,
    Drop,
    Fenced,
    Holder,
    LogId,
    Message,
    Op,
    OpMeta,
    Orphan,
    ReadPiece,
    RecordRefused,
    RecordsFull,
    Refusal,
    Sealed,
    Yours,
)
from .placement import rank
from .recovery import Recovery, Step, owned_key, staged_kind
from .writer import Sent, Writer

MILLISECOND = timedelta(milliseconds=1)
ANNOUNCE_EVERY = 700 * MILLISECOND
OUTDONE_WAITS = 1500 * MILLISECOND  # at most, before a recovery that was outdone is begun anew
RECOVERIES_MOST = 64  # under way, and as many that were outdone and are in doubt
RECORDS_MOST = 200_000  # that this member promises; those of lost members come on top
TAKEN_MOST = 10_000  # logs taken over that are remembered: who asks later is told by whoever dropped them
VERDICTS_MOST = 1024  # logs whose seal is asked for; the others wait
TICK = 50 * MILLISECOND


@dataclass(frozen=True, slots=True)
class CopyTerms:
    """How many, and at what pace."""

    copies: int = 3
    write: int = 2
    copied_per_s: int = 4_000_000  # bytes of copies that are made anew
    old_lease: timedelta = (
        1000 * MILLISECOND
    )  # whoever the view has lost may go by the one before for so long


class Adopted(Struct, frozen=True):
    """A record of a log that was taken over: this member acts for it now."""

    kind: str
    key: str
    body: bytes
    origin: LogId


@dataclass(frozen=True, slots=True)
class Batch:
    """What goes to disk together, and what leaves once it is there."""

    ops: tuple[Op, ...]
    answers: tuple[tuple[str, Message], ...]


class Copies:
    """One member's copies, for one life."""

    def __init__(
        self, name: str, life: Life, loaded: Iterable[Op], terms: CopyTerms, chance: random.Random,
        now: timedelta,
    ) -> None:  # fmt: skip
        self.name, self.life, self._terms, self._chance = name, life, terms, chance
        self.ops: list[Op] = []
        self._answers: list[tuple[str, Message]] = []
        self.sends: list[Sent] = []
        self.keeper = Keeper(Holder(name, life.disk), self.ops, self._answer)
        self.keeper.load(loaded)
        self.log = LogId(name, life.number, life.mark)
        self.writer = Writer(self.log, self.keeper, terms.copies, terms.write)
        self.records: dict[tuple[str, str], tuple[str, bytes]] = {}  # acted on here: kind in the log, body
        self._kinds: Counter[str] = Counter()  # of these records
        self.recoveries: dict[LogId, Recovery] = {}
        self.taken: dict[LogId, None] = {}  # logs whose records are this one's, the oldest first
        self.adopted: list[Adopted] = []  # for whoever acts, to be fetched
        self.events: list[tuple[str, dict[str, Any]]] = []
        self._retry_at: dict[LogId, timedelta] = {}
        self._attempts: dict[LogId, tuple[int, int]] = {}  # the number of the view, and tries within it
        self._in_doubt: dict[LogId, Recovery] = {}  # staged here, outdone, and perhaps sealed all the same
        self._claims: dict[LogId, int] = {}  # of those: sealed into this log; the note that says so
        self._wanted_verdicts: dict[LogId, set[LogId]] = {}  # staged log: logs that it was staged in
        self._announce_at = now
        self._ticked = now
        self._allowance = 0.0
        self._view: View | None = None
        self._view_since = now  # when this member first held it

    # --- for whoever has something to promise

    @property
    def fenced(self) -> bool:
        """Whether others took this life for lost: it promises nothing more."""
        return self.writer.fenced

    def put(self, kind: str, key: str, body: bytes) -> int:
        """Hold a record; it is promised once `promised` reaches the number that comes back. Errors:
        RecordRefused.
        """
        if not 0 < len(kind) <= KIND_MOST or " " in kind or kind == OWN_KIND:
            raise RecordRefused(f"no kind of record: {kind!r}", "kind")
        if len(key) > KEY_MOST or len(body) > BODY_MOST:
            size = f"a record of {len(key)} + {len(body)}; {KEY_MOST} + {BODY_MOST} are the most"
            raise RecordRefused(size, f"{kind} {key[:KEY_MOST]}")
        known = self.records.get((kind, key))
        if known is None:
            if len(self.records) >= RECORDS_MOST:
                raise RecordsFull(f"{RECORDS_MOST} records are held, and no more can be", f"{kind} {key}")
            self._kinds[kind] += 1
        in_log = known[0] if known is not None else kind
        self.records[kind, key] = (in_log, body)
        return self.writer.put(in_log, key, body)

    def forget(self, kind: str, key: str) -> int:
        """Let go of a record; its end is promised like its beginning. A record that is not held: the last
        number.
        """
        known = self.records.pop((kind, key), None)
        if known is None:
            return self.writer.seq
        self._kinds[kind] -= 1
        return self.writer.put(known[0], key, None)

    @property
    def promised(self) -> int:
        """The last number that `write` machines have on disk."""
        return self.writer.promised

    # --- the disk

    def take(self) -> Batch | None:
        """What is to be written next, if anything."""
        if not self.ops and not self._answers:
            return None
        batch = Batch(tuple(self.ops), tuple(self._answers))
        self.ops.clear()
        self._answers.clear()
        return batch

    def synced(self, now: timedelta, batch: Batch) -> None:
        """A batch is on disk: what rested on it leaves."""
        for to, message in batch.answers:
            if to == self.name:
                self.heard(now, to, message)
            else:
                self.sends.append(Sent(to, message, bulk=isinstance(message, ReadPiece)))
        if any(isinstance(op, OpMeta) and op.log == self.log for op in batch.ops):
            self.writer.ensemble_synced = True
        last = [op.entry for op in batch.ops if getattr(op, "log", None) == self.log and hasattr(op, "entry")]
        if last or batch.ops:
            self.writer.own_synced(last[-1].seq if last else self.writer.synced)

    def _answer(self, to: str, message: Message) -> None:
        self._answers.append((to, message))

    def _send(self, now: timedelta, found: list[Sent]) -> None:
        for sent in found:
            if sent.to == self.name:
                self.heard(now, self.name, sent.message)
            else:
                self.sends.append(sent)

    # --- time

    def flush(self, now: timedelta) -> None:
        """Send the entries that were put since."""
        self._send(now, self.writer.flush(now))

    def tick(self, now: timedelta, view: View | None, districts: Mapping[str, str]) -> None:
        """Do what is due; `view`: the one that is held now, None in a minority."""
        self._allowance = min(
            self._terms.copied_per_s / 4,
            self._allowance + (now - self._ticked) / timedelta(seconds=1) * self._terms.copied_per_s,
        )
        self._ticked = now
        if view is not None and (self._view is None or view.number != self._view.number):
            self._view_since = now  # not for a change of the book alone
        self._view = view
        own = self.keeper.logs.get(self.log)
        if self.log in self.keeper.done or (own is not None and own.fence):
            self.writer.fenced = True
        if view is not None:
            disks = {member.name: member.disk for member in view.configured}
            lost = {one.name for one in view.members if one.state is not State.UP} - {self.name}
            lost |= set(disks) - {one.name for one in view.members} - {self.name}
            self._send(now, self.writer.place(now, disks, lost, districts))
            self._recover(now, view, disks)
            self._settle_claims(now)
        self._send(now, self.writer.flush(now))
        found, left = self.writer.tick(now, int(self._allowance))
        self._allowance = float(left)
        self._send(now, found)

    def _recover(self, now: timedelta, view: View, disks: Mapping[str, int]) -> None:
        if now >= self._announce_at:
            self._announce_at = now + ANNOUNCE_EVERY
            self._tidy(now, view)
            for log, held in list(self.keeper.logs.items()):
                successor = self.successor(log, view)
                if successor is None or log == self.log:
                    continue
                word = Orphan(log, self.keeper.holder, held.ensemble, held.last)
                self._send(now, [Sent(successor, word)])
        for log, recovery in list(self.recoveries.items()):
            mine = recovery.only_verdict or self.successor(log, view) == self.name
            if not mine and recovery.step is not Step.OWN:  # by this view it is another's to do
                self._send(now, recovery.give_up(now))
                self._settle(now, log, recovery)
                continue
            self._send(now, recovery.tick(now, disks))
            self._settle(now, log, recovery)
        for log, into in list(self._wanted_verdicts.items()):
            if log not in self.recoveries and now >= self._retry_at.get(log, now):
                self._begin(now, log, view, only_verdict=True)
                del into

    def _tidy(self, now: timedelta, view: View) -> None:
        """Keep nothing of logs that are gone, but tries within this view: no epoch may come twice."""
        alive = self.keeper.logs.keys() | self.recoveries.keys() | self._in_doubt.keys()
        for log in [log for log, due in self._retry_at.items() if now >= due and log not in alive]:
            del self._retry_at[log]
        for log, (number, _) in list(self._attempts.items()):
            if number < view.number and log not in alive:
                del self._attempts[log]

    def successor(self, log: LogId, view: View) -> str | None:
        """Who brings about the end of a log; None while its writer's life goes on, or is not known."""
        standing = view.standing(log.writer)
        up = {one.name for one in view.members if one.state is State.UP}
        if standing is not None:
            life = standing.life
            if (life.number, life.mark) == (log.number, log.mark):
                if standing.state is State.UP:
                    return None
            elif life.number < log.number:
                return None  # a life that the view does not know yet
            elif standing.state is State.UP:
                return log.writer  # it is back, and goes on with what it had
        return max(up, key=lambda name: rank(log.writer, name)) if up else None

    def _begin(self, now: timedelta, log: LogId, view: View, only_verdict: bool = False) -> Recovery:
        number, tries = self._attempts.get(log, (view.number, -1))
        attempt = tries + 1 if number == view.number else 0
        self._attempts[log] = (view.number, attempt)
        place = sorted(member.name for member in view.configured).index(self.name)
        # Greater with each view and attempt, and never the same for two members.
        epoch = (view.number << 24) | (min(attempt, 4095) << 12) | place
        acts_at = self._view_since + self._terms.old_lease
        recovery = self.recoveries[log] = Recovery(log, epoch, self.writer, self.name, now, acts_at)
        recovery.only_verdict = only_verdict
        held = self.keeper.logs.get(log)
        if held is not None:
            recovery.knows(held.ensemble)
        if not only_verdict:
            self.events.append(("copies_recovery", {"log": str(log), "epoch": epoch}))
        return recovery

    def _settle(self, now: timedelta, log: LogId, recovery: Recovery) -> None:
        """See to a recovery that has come to an end, or to a question."""
        step = recovery.step
        if step is Step.VERDICT:
            for doubtful, verdict in recovery.doubtful.items():
                if verdict is None and (
                    doubtful in self._wanted_verdicts or len(self._wanted_verdicts) < VERDICTS_MOST
                ):
                    self._wanted_verdicts.setdefault(doubtful, set()).add(log)
            return
        if step not in (Step.DONE, Step.ELSEWHERE, Step.OUTDONE):
            return
        del self.recoveries[log]
        if step is Step.OUTDONE:
            self._send(now, recovery.give_up(now))
            if recovery.in_doubt:
                self._in_doubt[log] = recovery
            self._retry_at[log] = now + OUTDONE_WAITS * self._chance.random()
            return
        waiting = self._wanted_verdicts.pop(log, set())
        for asker in waiting:
            other = self.recoveries.get(asker)
            if other is not None:
                self._send(now, other.verdict(now, log, recovery.into == asker))
        if recovery.only_verdict:
            return
        self._retry_at[log] = now + 2 * OUTDONE_WAITS
        if step is Step.DONE:
            self._take_over(now, log, recovery)
        self.events.append(
            ("copies_recovered", {"log": str(log), "records": len(recovery.records), "how": step.value,
             "ms": round((now - recovery.begun) / MILLISECOND)})
        )  # fmt: skip

    def _take_over(self, now: timedelta, log: LogId, recovery: Recovery) -> None:
        """Its records are this member's to act on."""
        self.taken[log] = None
        if len(self.taken) > TAKEN_MOST:
            del self.taken[next(iter(self.taken))]
        for done in (log, *recovery.done_with()):
            self._send(now, [Sent(name, Drop(done, done=True)) for name in recovery.everybody()])
        for entry in recovery.records:
            body = entry.body or b""
            if (entry.kind, entry.key) not in self.records:
                self.records[entry.kind, entry.key] = (staged_kind(log, entry.kind), body)
                self._kinds[entry.kind] += 1
                self.adopted.append(Adopted(entry.kind, entry.key, body, log))

    # --- messages

    def heard(self, now: timedelta, name: str, message: Message) -> None:
        """Take a message of another member, or of this one to itself."""
        if self.keeper.heard(name, message):
            return
        if isinstance(message, Appended | Refusal):
            self.writer.heard(now, message)
            return
        if isinstance(message, Orphan):
            self._orphan(now, message)
            return
        if isinstance(message, Yours):
            self._yours(now, message)
            return
        recovery = self.recoveries.get(message.log)
        if recovery is None:
            return
        if isinstance(message, Fenced):
            self._send(now, recovery.fenced(now, message))
        elif isinstance(message, ReadPiece):
            self._send(now, recovery.piece(now, name, message))
        elif isinstance(message, Sealed):
            self._send(now, recovery.sealed(now, message))
        self._settle(now, message.log, recovery)

    def _yours(self, now: timedelta, message: Yours) -> None:
        """A log is sealed into this one, or into one that is done with here."""
        log = message.log
        if message.into in self.keeper.done or log in self.taken:
            view = self._view
            names = [] if view is None else [member.name for member in view.configured]
            self._send(now, [Sent(name, Drop(log, done=True)) for name in names])
        elif message.into == self.log and log in self._in_doubt and log not in self._claims:
            self._claims[log] = self.writer.put(OWN_KIND, owned_key(log), b"")
            self._send(now, self.writer.flush(now))

    def _settle_claims(self, now: timedelta) -> None:
        """Records that were in doubt and are this member's after all."""
        if now < self._view_since + self._terms.old_lease:
            return
        for log, seq in list(self._claims.items()):
            if self.writer.promised >= seq:
                del self._claims[log]
                self._take_over(now, log, self._in_doubt.pop(log))

    def _orphan(self, now: timedelta, message: Orphan) -> None:
        log, view = message.log, self._view
        if view is None or self.fenced or self.successor(log, view) != self.name:
            return
        if log in self.taken:
            self._send(now, [Sent(message.holder.name, Drop(log, done=True))])
            return
        recovery = self.recoveries.get(log)
        if recovery is not None:
            recovery.knows(message.ensemble)
            return
        if len(self.recoveries) + len(self._in_doubt) >= 2 * RECOVERIES_MOST:
            return
        if len(self.recoveries) >= RECOVERIES_MOST or now < self._retry_at.get(log, now):
            return
        self._begin(now, log, view).knows(message.ensemble)

    # --- for people

    def told(self) -> dict[str, Any]:
        """What is held, and how well."""
        ensemble = self.writer.ensemble
        logs = self.keeper.logs
        return {
            "log": str(self.log),
            "fenced": self.fenced,
            "ensemble": [] if ensemble is None else list(ensemble.names()),
            "changing": self.writer.next is not None,
            "put": self.writer.seq,
            "promised": self.writer.promised,
            "copies_of_all": self.writer.protection(),
            "behind": self.writer.behind(),
            "records": len(self.records),
            "held_for": {str(log): [held.last, len(held.live), held.bytes] for log, held in logs.items()},
            "recovering": {str(log): one.step.value for log, one in self.recoveries.items()},
            "copied_bytes": self.writer.copied_bytes,
            "spoilt_copies": self.keeper.spoilt,
        }

    def kinds(self) -> dict[str, int]:
        """How many records of each kind this member acts for."""
        return {kind: count for kind, count in self._kinds.items() if count}
