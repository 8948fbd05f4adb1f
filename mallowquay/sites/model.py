"""What crosses a border of this package: terms, states, words between gatekeepers, bodies of book entries.

Points in time are timedeltas of a member's own monotonic clock and never cross a link; spans do, in
milliseconds. Rates are set-ups a second.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from math import isfinite
from typing import ClassVar, TypeVar

import msgspec
from msgspec import Struct

from ..errors import Fault

MILLISECOND = timedelta(milliseconds=1)
SECOND = timedelta(seconds=1)
SITES_MOST = 16
CLASSES_MOST = 64
WORD_MOST = 8 * 1024  # bytes of one word
COUNT_MOST = 2**53
RATE_MOST = 1e7
SPAN_MOST = 86_400_000  # milliseconds that a word may name

KIND_STATE, KIND_PLAN, KIND_PARTS, KIND_SHED = "site-state", "site-plan", "site-parts", "site-shed"
PLAN_NAME, PARTS_NAME = "all", "all"  # there is one entry of either


class SiteState(Enum):
    """What is thought of a site; docs/sites.md has the evidence of each."""

    WHOLE = "whole"
    PARTLY = "partly"
    DOUBTED = "doubted"
    LOST = "lost"
    RETURNING = "returning"


class SitesFault(Fault):
    """A word or an entry about sites cannot be read."""

    code: ClassVar[str] = "sites.word"
    remedy: ClassVar[str] = "It was dropped and counted; see whether the members' releases know each other."


@dataclass(frozen=True, slots=True)
class SiteTerms:
    """A site as the file has it."""

    name: str
    capacity: float  # set-ups a second that its log servers can do together, warm
    costs: Mapping[str, timedelta] = field(default_factory=dict)  # of the way to each other site


@dataclass(frozen=True, slots=True)
class ClassTerms:
    """What the order of refusals knows of a class."""

    name: str
    worth: float = 1.0
    late_worth: float = 0.0  # the part of its worth that is left past its aim
    aim: timedelta = timedelta(seconds=1)
    repeatable: bool = True  # a set-up that may have run may be sent again
    pools: frozenset[int] | None = None  # numbers of the log servers that may have it; None = any
    work: float = 1.0  # against an ordinary set-up


@dataclass(frozen=True, slots=True)
class ColdTerms:
    """How a started log server warms up, as the settings have it for the module."""

    cold_from: float = 0.29
    warm_after: timedelta = timedelta(seconds=15)
    fall_multiple: float = 3.0


@dataclass(frozen=True, slots=True)
class SitesTerms:
    """All that this package is told. Errors: SitesFault from `checked`."""

    sites: tuple[SiteTerms, ...]
    classes: tuple[ClassTerms, ...]
    ceiling: float = 0.9
    doubt: timedelta = 400 * MILLISECOND
    step: timedelta = 2 * SECOND
    hold_down: timedelta = 5 * SECOND
    lease: timedelta = 900 * MILLISECOND
    cold: ColdTerms = ColdTerms()
    beyond_worth: float = 1.0  # part of the worth of a tenant's call beyond its share
    most_gap: timedelta = 4 * SECOND  # no refusal tells a later time to come back

    def checked(self) -> SitesTerms:
        """Itself. Errors: SitesFault with the place."""
        if not 2 <= len(self.sites) <= SITES_MOST or not 0 < len(self.classes) <= CLASSES_MOST:
            bounds = f"2 to {SITES_MOST} sites and 1 to {CLASSES_MOST} classes are taken"
            raise SitesFault(bounds, "sites.site")
        for index, site in enumerate(self.sites):
            if not 0 < site.capacity <= RATE_MOST:
                raise SitesFault("a capacity is above 0 and finite", f"sites.site.{index}.set_ups_per_s")
        return self

    def cost(self, here: str, there: str) -> float:
        """Milliseconds of the way between two sites; the file may name it at either end."""
        if here == there:
            return 0.0
        by_name = {site.name: site for site in self.sites}
        known = [
            by_name[a].costs[b] / MILLISECOND
            for a, b in ((here, there), (there, here))
            if a in by_name and b in by_name[a].costs
        ]
        return known[0] if known else UNKNOWN_COST


UNKNOWN_COST = 100.0  # milliseconds; a way that the file does not name is taken as long


# --- words between gatekeepers -------------------------------------------------------------------


class Seen(Struct, frozen=True, array_like=True):
    """What one gatekeeper saw of one site's log servers by its own calls."""

    site: str
    sent: int  # set-ups since the start of its life
    answers: int
    answered_ms: int = -1  # since the last answer; -1 = none ever
    silent_ms: int = -1  # for so long all answers are owed; -1 = none is
    delay_ms: int = 0  # of answers, smoothed
    doubted: bool = False  # the sender keeps its own calls away
    kept: bool = False  # the sender's own site, which it never stopped to use


class Word(Struct, frozen=True, array_like=True):
    """What a gatekeeper tells the others every `WORD_EVERY`, and when a doubt comes or goes."""

    number: int  # counts the words of one life
    holds: bool  # its view holds
    parts: int  # the number of the parts entry that it goes by; 0 = none
    load: tuple[float, ...]  # first set-ups offered a second, by class
    seen: tuple[Seen, ...]


# --- bodies of book entries ----------------------------------------------------------------------


class StateBody(Struct, frozen=True, array_like=True):
    """`site-state`, one entry a site: what all go by."""

    state: str
    open: float  # the part of its capacity that may be used; 1 = all
    why: str = ""
    step: int = 0  # of a return
    flaps: int = 0  # losses that still count


class Flow(Struct, frozen=True, array_like=True):
    """Set-ups a second of one class from one district to one site."""

    origin: str
    site: str
    kind: int
    rate: float


class LossPlan(Struct, frozen=True, array_like=True):
    """Where the load goes while these sites are lost."""

    lost: tuple[str, ...]
    flows: tuple[Flow, ...]
    remainder: tuple[Flow, ...]  # what nobody can take, `site` empty
    receives: tuple[str, ...]  # sites that take others' calls, so are loaded to the ceiling and no further


class PlanBody(Struct, frozen=True, array_like=True):
    """`site-plan`: worked out before any loss."""

    version: int
    capacities: int  # a hash of capacities, costs and ceiling that it was worked out for
    losses: tuple[LossPlan, ...]
    shed_order: tuple[str, ...]  # class names, the last is refused first


class PartBody(Struct, frozen=True, array_like=True):
    """One member's part of one site. `held`: what it may still be using of an entry before, at most."""

    member: str
    site: str
    part: float
    held: float


class PartsBody(Struct, frozen=True, array_like=True):
    """`site-parts`. Of each site the sum of `held` is within its limit, but while a limit has just fallen."""

    plan: int
    parts: tuple[PartBody, ...]


class ShedBody(Struct, frozen=True, array_like=True):
    """`site-shed`, one entry a site: calls of rank `level` are refused but for `part`, lesser ones all."""

    level: int
    part: float


T = TypeVar("T", bound=Struct)
_encoder = msgspec.msgpack.Encoder()
_decoders: dict[type[Struct], msgspec.msgpack.Decoder] = {}


def pack(body: Struct) -> bytes:
    """A word or the body of an entry as bytes."""
    return _encoder.encode(body)


def unpack(kind: type[T], data: bytes) -> T:
    """The word or body. Errors: SitesFault."""
    if len(data) > WORD_MOST:
        raise SitesFault(f"{len(data)} bytes, and {WORD_MOST} are the most", kind.__name__)
    decoder = _decoders.get(kind)
    if decoder is None:
        decoder = _decoders[kind] = msgspec.msgpack.Decoder(kind)
    try:
        found: T = decoder.decode(data)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as fault:
        raise SitesFault(f"not readable: {fault}", kind.__name__) from None
    return found


def read_word(data: bytes) -> Word:
    """A word within its bounds. Errors: SitesFault."""
    word = unpack(Word, data)
    if len(word.seen) > SITES_MOST or len(word.load) > CLASSES_MOST or not 0 <= word.number < COUNT_MOST:
        raise SitesFault("more sites or classes than there can be", "Word")
    if not all(isfinite(rate) and 0 <= rate <= RATE_MOST for rate in word.load):
        raise SitesFault("a load is no rate", "Word.load")
    for one in word.seen:
        counts = 0 <= one.sent < COUNT_MOST and 0 <= one.answers < COUNT_MOST
        spans = (one.answered_ms, one.silent_ms, one.delay_ms)
        if not counts or not all(-1 <= span <= SPAN_MOST for span in spans):
            raise SitesFault("a count or a span is out of bounds", "Word.seen")
    return word
