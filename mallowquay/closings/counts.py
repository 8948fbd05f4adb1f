"""Calls and use of a business day, by district and tenant, summed over the fleet. No I/O.

Grow-only counters (G-Counter; Shapiro, Preguica, Baquero, Zawirski: Conflict-free Replicated Data Types,
2011): each gatekeeper in each life counts for itself, two states are joined by the greater of each, so twice
or out of order is as good as once. They belong to a generation: counts of a day that is over never add to
another.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from datetime import timedelta
from typing import ClassVar, NamedTuple

import msgspec
from msgspec import Struct

from ..errors import Fault
from .caches import Generation, Handle, Purge, Scope
from .calendar import MICROSECOND
from .clocks import Interval

KIND = "day-counts"
SCOPES_MOST = 1_000
COUNTERS_MOST = 1_024  # gatekeepers and lives that are counted apart in one scope
NAME_MOST = 128
MESSAGE_MOST = 64 * 1024  # bytes
COUNT_MOST = 2**53


class CountsFault(Fault):
    """Counts that cannot be read."""

    code: ClassVar[str] = "closings.counts"
    remedy: ClassVar[str] = "Look at the release of the member that sent them; its next ones count."


class Total(NamedTuple):
    """What a scope has had in its business day."""

    calls: int
    use: timedelta


class Counter(Struct, frozen=True, array_like=True):
    """Of one gatekeeper in one life."""

    member: str
    life: int
    calls: int
    use_us: int


class Counts(Struct, frozen=True, array_like=True):
    """Of one scope and generation, or a part of it."""

    district: str
    tenant: str
    instant_us: int
    name: str
    counters: tuple[Counter, ...]


_Key = tuple[str, int]
_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(tuple[Counts, ...])


class DayCounts:
    """A kind of cache."""

    kind = KIND

    def __init__(self, member: str, life: int) -> None:
        self._me: _Key = member, life
        self._held: dict[Scope, tuple[Generation, dict[_Key, tuple[int, int]]]] = {}
        self.uncounted = 0  # calls that came while the day could not be told, or for which there was no room
        self.passed_over = 0  # counters of others: of another generation, or for which there was no room

    def count(self, handle: Handle | None, now: Interval | None, calls: int, use: timedelta) -> None:
        """What happened. Without a handle that holds it is not counted, as it may belong to either day."""
        held = self._open(handle, now)
        if held is None or calls < 0 or use < timedelta(0):
            self.uncounted += calls
            return
        before = held.get(self._me, (0, 0))
        held[self._me] = (
            min(before[0] + calls, COUNT_MOST),
            min(before[1] + use // MICROSECOND, COUNT_MOST),
        )

    def total(self, handle: Handle | None, now: Interval | None) -> Total | None:
        """The sum as far as it is known here; None: not there."""
        if handle is None or not handle.holds(now):
            return None
        held = self._held.get(handle.scope)
        if held is None or held[0] != handle.generation:
            return Total(0, timedelta(0))
        counters = held[1].values()
        return Total(sum(calls for calls, _ in counters), sum(use for _, use in counters) * MICROSECOND)

    def open(self, purge: Purge) -> None:
        """See Cache."""
        self._held = {
            scope: held
            for scope, held in self._held.items()
            if held[0] >= purge.generation or not purge.covers(KIND, scope)
        }

    def encode(self, most: int = MESSAGE_MOST) -> Iterator[bytes]:
        """All of it as messages of at most so many bytes (a counter takes up to 300)."""
        message: list[Counts] = []
        room = most
        for scope, (generation, counters) in self._held.items():
            head = 64 + len(_encode((*scope, *generation)))
            part: list[Counter] = []
            room -= head
            for (member, life), (calls, use) in counters.items():
                counter = Counter(member, life, calls, use)
                size = len(_encode(counter))
                if room < size + 8 and (part or message):
                    if part:
                        message.append(Counts(*scope, *generation, tuple(part)))
                    yield _encode(message)
                    message, part, room = [], [], most - head
                part.append(counter)
                room -= size
            message.append(Counts(*scope, *generation, tuple(part)))
        if message:
            yield _encode(message)

    def merge(self, data: bytes, handle: Callable[[Scope], Handle | None], now: Interval | None) -> None:
        """Another member's. `handle` is this member's own right to a scope. Errors: CountsFault, nothing
        merged.
        """
        if len(data) > MESSAGE_MOST:
            raise CountsFault(f"{len(data)} bytes, and {MESSAGE_MOST} are the most", "counts")
        try:
            found = _decoder.decode(data)
        except (msgspec.DecodeError, RecursionError) as fault:
            raise CountsFault(f"not counts: {fault}", "counts") from fault
        for counts in found:
            for one in counts.counters:
                if not (0 <= one.calls <= COUNT_MOST and 0 <= one.use_us <= COUNT_MOST and one.life >= 0):
                    raise CountsFault("a count below zero or out of bounds", one.member[:NAME_MOST])
                if not 0 < len(one.member) <= NAME_MOST:
                    raise CountsFault(f"a member's name takes 1 to {NAME_MOST} characters", "counts")
        for counts in found:
            own = handle(Scope(counts.district, counts.tenant))
            held = None
            if own is not None and own.generation == (counts.instant_us, counts.name):
                held = self._open(own, now)
            if held is None:  # it comes again, if it is of a day that is yet to begin here
                self.passed_over += len(counts.counters)
                continue
            self._join(held, counts.counters)

    def _join(self, held: dict[_Key, tuple[int, int]], counters: tuple[Counter, ...]) -> None:
        for one in counters:
            key = one.member, one.life
            before = held.get(key, (0, 0))
            if key not in held and len(held) >= COUNTERS_MOST:
                self.passed_over += 1
                continue
            held[key] = max(before[0], one.calls), max(before[1], one.use_us)

    def _open(self, handle: Handle | None, now: Interval | None) -> dict[_Key, tuple[int, int]] | None:
        if handle is None or not handle.holds(now):
            return None
        held = self._held.get(handle.scope)
        if held is not None and held[0] == handle.generation:
            return held[1]
        if held is not None and held[0] > handle.generation:
            return None
        if held is None and len(self._held) >= SCOPES_MOST:
            return None
        counters: dict[_Key, tuple[int, int]] = {}
        self._held[handle.scope] = handle.generation, counters
        return counters
