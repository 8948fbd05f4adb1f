"""What is held for a business day: generations of it, and how a kind of cache takes part. No I/O.

A purge is a new generation. Whoever reads or writes has a handle from the machine; the handle names the
generation and the instant up to which it may be used, and a cache returns nothing of another generation,
whoever kept it.

A further kind is one class (its `kind`, and `open`; `Sliced` is most of it) and one line:
`caches.add(Mine())`.
"""

from __future__ import annotations

from datetime import timedelta
from typing import ClassVar, Generic, NamedTuple, Protocol, TypeVar

import xxhash

from ..errors import Fault
from .clocks import Interval

SCOPES_MOST = 10_000
Value = TypeVar("Value")


class CacheFault(Fault):
    """Two caches of one kind."""

    code: ClassVar[str] = "closings.cache"
    remedy: ClassVar[str] = "Give each kind of cache a name of its own."


class Scope(NamedTuple):
    """Of what something is held. Empty: not held apart by it, so it goes with each closing that names one."""

    district: str = ""
    tenant: str = ""


class Generation(NamedTuple):
    """The closing that began it, alike on all members; `name` is "closing/day". Zeros: before any."""

    instant_us: int = 0
    name: str = ""


class Handle(NamedTuple):
    """The right to what is held of one scope, in one generation, while UTC is surely before `until_us`."""

    kind: str
    scope: Scope
    generation: Generation
    until_us: int

    def holds(self, now: Interval | None) -> bool:
        """Whether it may be used now."""
        return now is not None and now.latest < self.until_us


class Purge(NamedTuple):
    """What a closing that is carried out sweeps. `late_us`: how long after its instant, at the least."""

    generation: Generation
    kinds: tuple[str, ...]
    districts: tuple[str, ...]
    tenants: tuple[str, ...]
    late_us: int

    def covers(self, kind: str, scope: Scope) -> bool:
        """Whether this is swept."""
        return covers(self.kinds, self.districts, self.tenants, kind, scope)


def covers(
    kinds: tuple[str, ...], districts: tuple[str, ...], tenants: tuple[str, ...], kind: str, scope: Scope
) -> bool:
    """Whether a closing over these means this; what is not held apart by district or tenant goes whole."""
    return (
        kind in kinds
        and (not districts or not scope.district or scope.district in districts)
        and (not tenants or not scope.tenant or scope.tenant in tenants)
    )


class Cache(Protocol):
    """A kind of cache."""

    kind: str

    def open(self, purge: Purge) -> None:
        """Drop what the purge covers and what is older than its generation; twice is as good as once."""


class Sliced(Generic[Value]):
    """A cache that holds one value for each scope."""

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self._held: dict[Scope, tuple[Generation, Value]] = {}

    def get(self, handle: Handle, now: Interval | None) -> Value | None:
        """What is held in this generation, if the handle still may be used."""
        held = self._held.get(handle.scope)
        if held is None or held[0] != handle.generation or not handle.holds(now):
            return None
        return held[1]

    def put(self, handle: Handle, now: Interval | None, value: Value) -> bool:
        """Hold it; False where that generation is over, or there is no room."""
        held = self._held.get(handle.scope)
        if not handle.holds(now) or (held is not None and held[0] > handle.generation):
            return False
        if held is None and len(self._held) >= SCOPES_MOST:
            return False
        self._held[handle.scope] = handle.generation, value
        return True

    def open(self, purge: Purge) -> None:
        """See Cache."""
        self._held = {
            scope: held
            for scope, held in self._held.items()
            if held[0] >= purge.generation or not purge.covers(self.kind, scope)
        }

    def __len__(self) -> int:
        return len(self._held)


class Caches:
    """All kinds of this member."""

    def __init__(self) -> None:
        self._caches: dict[str, Cache] = {}

    def add(self, cache: Cache) -> None:
        """Errors: CacheFault."""
        if cache.kind in self._caches:
            raise CacheFault(f"two caches of kind {cache.kind!r}", "closings")
        self._caches[cache.kind] = cache

    @property
    def kinds(self) -> tuple[str, ...]:
        """Their names."""
        return tuple(self._caches)

    def carry_out(self, purge: Purge) -> None:
        """Kinds that this release does not know are passed over."""
        for kind in purge.kinds:
            if kind in self._caches:
                self._caches[kind].open(purge)


def spread(member: str, what: str, generation: Generation, span: timedelta) -> timedelta:
    """When after a closing this member learns `what` anew: even over the span, alike each time, no draw
    needed.
    """
    said = "\0".join((member, what, str(generation.instant_us), generation.name))
    return span * (xxhash.xxh3_64_intdigest(said.encode()) / 2**64)
