"""The kinds of entries that this release knows, and what a member does that has not heard for longer.

An entry of a kind that is not here is kept and passed on like any other.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum


class Stale(Enum):
    """What a member does by an entry once what it knows may be older than the kind allows."""

    GO_ON = "goes by the last that it heard"
    NARROW = "goes by the last that it heard, at the least of what that and the even part allow"
    STOP = "does not go by it"


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of entry. `within`: so old may a member's knowledge be before `then` holds."""

    name: str
    within: timedelta
    then: Stale
    why: str


SECOND = timedelta(seconds=1)
KINDS = {
    kind.name: kind
    for kind in (
        Kind("site-plan", 2 * SECOND, Stale.NARROW, "others may act by a later plan by now"),
        Kind("site-parts", 2 * SECOND, Stale.NARROW, "others' parts may have grown meanwhile"),
        Kind("site-shed", 5 * SECOND, Stale.GO_ON, "its own servers' answers correct it soon"),
        Kind("site-state", 5 * SECOND, Stale.GO_ON, "its own evidence decides for its own calls"),
        Kind("closing", timedelta(hours=48), Stale.GO_ON, "planned ahead; changes freeze before the instant"),
        Kind("note", timedelta(days=365), Stale.GO_ON, "for people: nothing goes by it"),
        Kind("subscription", timedelta(days=365), Stale.GO_ON, "an event too many is judged again"),
    )
}
