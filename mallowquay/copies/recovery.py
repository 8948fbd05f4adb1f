"""The end of a log whose writer is gone: fence, read to the end, promise it anew, seal, hand over. No I/O.

One successor at a time acts, by the view that it holds; an epoch is the number of that view. Two that act
by different
views are told apart at the holders, each of which obeys the greater epoch alone (the ballots of Paxos).
The order is
what makes a crash between any two steps harmless:

1. fence: so many holders refuse the writer that it cannot have another entry promised. Whoever answers
names the
   ensemble that it knows; where the log names a later one, that one is fenced too.
2. read: of those that answered, the one with the most entries has all that was promised.
3. stage: every record is promised in the successor's own log, as staged; nobody acts on it yet.
4. seal: so many holders of the old log note into which log it went, at this epoch, that every later fence
meets one.
5. own: the successor's log notes that the staged records are its own. Now it acts.
6. drop: the old log is done with.

A successor that dies before 5 leaves staged records, which its own successor believes only if the old log
is sealed
into that very log. One that finds a seal at 1 has nothing to do but wait for whoever owns that log.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

import msgspec

from .model import (
    ENSEMBLE_KEY,
    OWN_KIND,
    Drop,
    Ensemble,
    Entry,
    Fence,
    Fenced,
    Holder,
    LogId,
    Read,
    ReadPiece,
    Seal,
    Sealed,
    SealIt,
    Yours,
)
from .writer import Sent, Writer

MILLISECOND = timedelta(milliseconds=1)
ASK_AGAIN = 300 * MILLISECOND
READ_AGAIN = timedelta(seconds=2)
STAGED = "staged "  # the kind of a record that is not acted on yet: this, the old log, the kind it had
OWNED = "owned"  # key of the note, with the old log: its staged records are this log's own


def staged_kind(log: LogId, kind: str) -> str:
    """The kind under which a record of another log is staged."""
    return f"{STAGED}{log} {kind}"


def owned_key(log: LogId) -> str:
    """The key of the note that what was staged of a log is owned."""
    return f"{OWNED} {log}"


def is_staged(kind: str) -> bool:
    """Whether this is such a kind."""
    return kind.startswith(STAGED)


class Step(Enum):
    """How far it is."""

    FENCE = "fence"
    READ = "read"
    VERDICT = (
        "verdict"  # some records were only staged there: was the log that they came from sealed into it?
    )
    STAGE = "stage"
    SEAL = "seal"
    RESEAL = "reseal"  # somebody else had begun to seal it: that is completed
    OWN = "own"
    DONE = "done"
    ELSEWHERE = "elsewhere"  # sealed into another log: its records are not here
    OUTDONE = "outdone"  # a later recovery has fenced


@dataclass(slots=True)
class _Reading:
    """What has come of a copy."""

    source: str
    base: int
    entries: list[Entry]
    index: int = 0
    since: timedelta = timedelta(0)


class Recovery:
    """One log's recovery by one successor at one epoch."""

    def __init__(
        self, log: LogId, epoch: int, writer: Writer, own: str, now: timedelta, acts_at: timedelta
    ) -> None:  # fmt: skip
        """`acts_at`: until then the writer may go by a lease of the view before, and act itself."""
        self._acts_at = acts_at
        self.log, self.epoch, self._writer, self._own = log, epoch, writer, own
        self.step = Step.FENCE
        self.begun = now
        self.records: list[Entry] = []  # without what the log keeps of itself
        self.ensembles: dict[int, Ensemble] = {}
        self._answers: dict[Holder, Fenced] = {}
        self._sealed: set[Holder] = set()
        self._reading: _Reading | None = None
        self._asked_at: timedelta | None = None
        self._staged_at = 0
        self._owned_at = 0
        self._disks: dict[str, int] = {}
        self.into: LogId | None = None
        self.doubtful: dict[LogId, bool | None] = {}  # logs staged and not owned there, to the verdict
        self.only_verdict = False  # nobody wants its records, only whether it is sealed
        self._entries: list[Entry] = []
        self._owned: set[str] = set()
        self.in_doubt = False  # it was outdone, but its seal may count

    def knows(self, ensemble: Ensemble | None) -> None:
        """Somebody told of an ensemble of this log."""
        if ensemble is not None:
            self.ensembles.setdefault(ensemble.number, ensemble)

    # --- time

    def tick(self, now: timedelta, disks: Mapping[str, int]) -> list[Sent]:
        """Ask again what was not answered, and go on where the log allows it."""
        self._disks = dict(disks)
        found: list[Sent] = []
        due = self._asked_at is None or now - self._asked_at >= ASK_AGAIN
        if self.step is Step.FENCE and due:
            self._asked_at = now
            word = Fence(self.log, self.epoch)
            found += [Sent(name, word) for name in self.everybody() if not self._answered(name)]
        elif self.step is Step.READ:
            reading = self._reading
            assert reading is not None
            if now - reading.since >= READ_AGAIN:
                self._begin_reading(now, found)
        elif self.step is Step.STAGE and self._writer.promised >= self._staged_at:
            self.step, self._asked_at = Step.SEAL, None
            return self.tick(now, disks)
        elif self.step in (Step.SEAL, Step.RESEAL) and due:
            self._asked_at = now
            into = self._writer.log if self.into is None else self.into
            word_of_seal = SealIt(self.log, Seal(self.epoch, into))
            found += [
                Sent(holder.name, word_of_seal) for holder in self._answers if holder not in self._sealed
            ]
        elif self.step is Step.OWN and self._writer.promised >= self._owned_at and now >= self._acts_at:
            self.step = Step.DONE
            found += [Sent(name, Drop(self.log, done=True)) for name in self.everybody()]
        return found

    def _answered(self, name: str) -> bool:
        disk = self._disks.get(name)
        return any(holder.name == name and disk in (None, holder.disk) for holder in self._answers)

    def everybody(self) -> list[str]:
        """Whoever may hold a copy."""
        names = {name for ensemble in self.ensembles.values() for name in ensemble.names()}
        return sorted(names | set(self._disks))

    # --- answers

    def fenced(self, now: timedelta, message: Fenced) -> list[Sent]:
        """A holder's answer to the fence."""
        found: list[Sent] = []
        if message.epoch != self.epoch or self.step not in (Step.FENCE, Step.READ):
            return found
        if not message.granted:
            self.step = Step.OUTDONE
            return found
        if message.dropped:
            self.step = Step.ELSEWHERE
            return [Sent(name, Drop(self.log, done=True)) for name in self.everybody()]
        self.knows(message.ensemble)
        self._answers[message.holder] = message
        if self.step is Step.FENCE and self._enough(set(self._answers)):
            self._shut(now, found)
        elif self._nobody_knows():
            # It never had an ensemble, so nothing of it was ever promised; or it was done with long ago.
            self.step = Step.ELSEWHERE
            found += [Sent(name, Drop(self.log, done=True)) for name in self.everybody()]
        return found

    def _shut(self, now: timedelta, found: list[Sent]) -> None:
        """Nothing more can be promised in it, nor sealed at an earlier epoch."""
        seals = [answer.seal for answer in self._answers.values() if answer.seal is not None]
        if seals:
            self.into = max(seals, key=lambda seal: seal.epoch).into
            self.step, self._asked_at = Step.RESEAL, None
            found += self.tick(now, self._disks)
        elif self.only_verdict:
            self.step = Step.DONE
        else:
            self._begin_reading(now, found)

    def _nobody_knows(self) -> bool:
        """Everybody has answered, and nobody has a copy: it was done with long ago."""
        there = {holder.name for holder in self._answers}
        return not self.ensembles and set(self._disks) <= there

    def _latest(self) -> Ensemble | None:
        return self.ensembles[max(self.ensembles)] if self.ensembles else None

    def _enough(self, holders: set[Holder]) -> bool:
        """Whether these are so many that the writer, or an earlier recovery, is shut out."""
        latest = self._latest()
        if latest is None:
            return False
        return sum(holder in holders for holder in latest.holders) >= latest.fence

    def _begin_reading(self, now: timedelta, found: list[Sent]) -> None:
        best = max(self._answers.values(), key=lambda one: (one.last, one.holder.name == self._own))
        self.step = Step.READ
        self._reading = _Reading(best.holder.name, best.last, [], since=now)
        if best.last == 0:
            self._read_whole(now, found)
        else:
            found.append(Sent(best.holder.name, Read(self.log, self.epoch)))

    def piece(self, now: timedelta, name: str, message: ReadPiece) -> list[Sent]:
        """A part of the copy that is read."""
        found: list[Sent] = []
        reading = self._reading
        if self.step is not Step.READ or reading is None or message.epoch != self.epoch:
            return found
        if name != reading.source or message.index != reading.index or message.base < reading.base:
            return found
        if message.index == 0:
            reading.base, reading.entries = message.base, []
        reading.entries += message.entries
        reading.index += 1
        reading.since = now
        if message.last:
            self._read_whole(now, found)
        return found

    def _read_whole(self, now: timedelta, found: list[Sent]) -> None:
        reading = self._reading
        assert reading is not None
        entries = reading.entries
        for entry in entries:
            if entry.kind == OWN_KIND and entry.key == ENSEMBLE_KEY and entry.body is not None:
                named = msgspec.msgpack.decode(entry.body, type=Ensemble)
                if named.number not in self.ensembles and named.number > max(self.ensembles, default=0):
                    # The writer had begun to go on with others: they are asked too before this counts.
                    self.ensembles[named.number] = named
                    self.step, self._asked_at, self._reading = Step.FENCE, None, None
                    if self._enough(set(self._answers)):
                        self._shut(now, found)
                    return
        self._entries = entries
        owned = self._owned = self._owned_logs(entries)
        staged = {LogId.parse(entry.kind.split(" ", 2)[1]) for entry in entries if is_staged(entry.kind)}
        self.doubtful = {log: None for log in sorted(staged) if str(log) not in owned}
        self.step = Step.VERDICT
        self._judged(now, found)

    def verdict(self, now: timedelta, log: LogId, owned: bool) -> list[Sent]:
        """Whether a log that was only staged in this one is sealed into it."""
        found: list[Sent] = []
        if self.step is Step.VERDICT and log in self.doubtful:
            self.doubtful[log] = owned
            self._judged(now, found)
        return found

    def _judged(self, now: timedelta, found: list[Sent]) -> None:
        if any(verdict is None for verdict in self.doubtful.values()):
            return
        self.records = self._believed(self._entries)
        self._entries = []
        for entry in self.records:
            self._writer.put(staged_kind(self.log, entry.kind), entry.key, entry.body)
        self._staged_at = self._writer.seq
        self.step = Step.STAGE
        found += self._writer.flush(now)

    @staticmethod
    def _owned_logs(entries: list[Entry]) -> set[str]:
        return {
            entry.key.partition(" ")[2]
            for entry in entries
            if entry.kind == OWN_KIND and entry.key.startswith(OWNED)
        }

    def _believed(self, entries: list[Entry]) -> list[Entry]:
        """The records that were this log's own: not those that it had only staged."""
        owned = self._owned_logs(entries)
        owned |= {str(log) for log, verdict in self.doubtful.items() if verdict}
        found: dict[tuple[str, str], Entry] = {}
        for entry in entries:
            if is_staged(entry.kind):
                _, log, kind = entry.kind.split(" ", 2)
                if log in owned:
                    found[kind, entry.key] = Entry(entry.seq, kind, entry.key, entry.body)
        for entry in entries:
            if entry.kind != OWN_KIND and not is_staged(entry.kind):
                found[entry.kind, entry.key] = entry
        return list(found.values())

    def sealed(self, now: timedelta, message: Sealed) -> list[Sent]:
        """A holder's answer to the seal."""
        if self.step not in (Step.SEAL, Step.RESEAL) or message.epoch != self.epoch:
            return []
        if not message.granted:
            self.in_doubt = self.step is Step.SEAL
            self.step = Step.OUTDONE
            return []
        self._sealed.add(message.holder)
        if not self._enough(self._sealed):
            return []
        if self.step is Step.RESEAL:
            assert self.into is not None
            self.step = Step.ELSEWHERE
            return [Sent(name, Yours(self.log, self.into)) for name in self.everybody()]
        # From here on every later recovery of the old log is told that it went into this one.
        self._writer.put(OWN_KIND, owned_key(self.log), b"")
        self._owned_at = self._writer.seq
        self.step = Step.OWN
        return self._writer.flush(now)

    def done_with(self) -> list[LogId]:
        """Earlier logs whose records had gone into this one: nobody needs them any more."""
        owned = {LogId.parse(text) for text in self._owned}
        return sorted(owned | {log for log, verdict in self.doubtful.items() if verdict})

    def give_up(self, now: timedelta) -> list[Sent]:
        """It is for another to do, or was outdone: what was staged is forgotten, unless it may be sealed."""
        self.in_doubt = self.in_doubt or self.step is Step.SEAL
        self.step = Step.OUTDONE
        if not self.in_doubt and self._staged_at:
            for entry in self.records:
                self._writer.put(staged_kind(self.log, entry.kind), entry.key, None)
            self._staged_at = 0
        return self._writer.flush(now)
