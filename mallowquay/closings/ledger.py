"""What a member has carried out, for the life of what it holds. Lasting; no I/O.

Final occurrences come in one order (instant, name) and none is ever added before one that is final, so the
last one that was carried out says it for all before it. The ledger also knows the last of each closing, out
of which the generation of everything that is held follows after a restart.
"""

from __future__ import annotations

from typing import ClassVar

import msgspec
from msgspec import Struct
from msgspec.structs import replace

from ..errors import Fault
from .caches import Generation, Purge, Scope, covers
from .plan import Known

FIRED_MOST = 512
BYTES_MOST = 2 * 1024 * 1024


class LedgerFault(Fault):
    """A ledger that cannot be read."""

    code: ClassVar[str] = "closings.ledger"
    remedy: ClassVar[str] = (
        "Remove the file: what the member holds then starts anew, and nothing old is served from it."
    )


class Fired(Struct, frozen=True, array_like=True):
    """The last occurrence of a closing that was carried out, and what it swept."""

    instant_us: int
    name: str
    purge: tuple[str, ...]
    districts: tuple[str, ...]
    tenants: tuple[str, ...]


class Ledger(Struct, frozen=True, array_like=True):
    """`life` marks the life of what is held: who loses that starts with an empty ledger of another life."""

    life: int
    instant_us: int = 0  # the last one that was carried out
    name: str = ""
    count: int = 0  # carried out in this life
    fired: tuple[Fired, ...] = ()
    floor_us: int = 0  # no generation is older than this: closings that were dropped for room
    floor: str = ""

    @property
    def mark(self) -> Generation:
        """The last one that was carried out."""
        return Generation(self.instant_us, self.name)

    def generation(self, kind: str, scope: Scope) -> Generation:
        """What holds for this."""
        found = [
            Generation(one.instant_us, one.name)
            for one in self.fired
            if covers(one.purge, one.districts, one.tenants, kind, scope)
        ]
        return max(found, default=Generation(self.floor_us, self.floor))


def carried(ledger: Ledger, known: Known, earliest_us: int) -> tuple[Ledger, Purge | None]:
    """The ledger with one more occurrence, and what is to be swept; None where it was carried out before."""
    if known.generation <= ledger.mark:
        return ledger, None
    planned = known.planned
    one = Fired(planned.instant_us, known.name, planned.purge, planned.districts, planned.tenants)
    closing = known.name.rpartition("/")[0]
    fired = [
        before
        for before in ledger.fired
        if before.name.rpartition("/")[0] != closing
        or (before.purge, before.districts, before.tenants) != (one.purge, one.districts, one.tenants)
    ]
    floor = Generation(ledger.floor_us, ledger.floor)
    if len(fired) >= FIRED_MOST:
        fired.sort(key=lambda before: (before.instant_us, before.name))
        floor = max(floor, Generation(fired[0].instant_us, fired[0].name))
        del fired[0]
    after = Ledger(ledger.life, *known.generation, ledger.count + 1, (*fired, one), *floor)
    late = max(0, earliest_us - planned.instant_us)
    return after, Purge(known.generation, planned.purge, planned.districts, planned.tenants, late)


def joined(ours: Ledger, theirs: Ledger | None) -> Ledger:
    """The one that is further, of two processes on one disk; one of another life says nothing of ours."""
    if theirs is None or theirs.life != ours.life or theirs.mark <= ours.mark:
        return ours
    return replace(theirs)


_decoder = msgspec.msgpack.Decoder(Ledger)
encode = msgspec.msgpack.Encoder().encode


def decode(data: bytes) -> Ledger:
    """Errors: LedgerFault."""
    if len(data) > BYTES_MOST:
        raise LedgerFault(f"{len(data)} bytes, and {BYTES_MOST} are the most", "ledger")
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, RecursionError) as fault:
        raise LedgerFault(f"not a ledger: {fault}", "ledger") from fault
