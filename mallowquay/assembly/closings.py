"""The business day ends here when it ends everywhere. Loaded only with `[[closings]]`."""

from __future__ import annotations

import random
import secrets
import time
from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta
from functools import partial
from typing import Any

import msgspec
import structlog
from msgspec import Struct

from ..book.model import BookFault, Outcome
from ..book.node import BookNode
from ..closings.caches import Caches, Generation, Purge, Scope
from ..closings.calendar import CalendarFault, Closing
from ..closings.clocks import BoundedClock, Interval
from ..closings.counts import CountsFault, DayCounts
from ..closings.ledger import Ledger
from ..closings.machine import ClosingsMachine, Standing
from ..closings.plan import KIND, due_changes
from ..core.calls import Call
from ..core.model import Attempt, Ending, FinalAnswer, Verdict
from ..net.clock import monotonic
from ..operation.control import Page
from ..settings import ClosingConfig, Config, FleetConfig
from .base import Assembly, Heart
from .fleet import FleetAssembly

log = structlog.get_logger(part=__name__)

CHANNEL = "closings"
LOOKS = timedelta(milliseconds=20)
ASKS_EVERY = timedelta(seconds=2)  # each other member for its clock; sooner until enough have answered
ASKS_FIRST = timedelta(milliseconds=200)
COUNTS_EVERY = timedelta(milliseconds=500)  # to one other member, by chance
PLANS_EVERY = timedelta(milliseconds=250)  # the leader looks at the plan
READY_WITHIN = timedelta(seconds=15)  # a start waits for so long; then nothing old is read anyway
MILLISECOND = timedelta(milliseconds=1)
MICROSECOND = timedelta(microseconds=1)


class Ask(Struct, frozen=True, array_like=True, tag="ask"):
    """What time is it with you? `stamp`: of the asker's own clock, microseconds."""

    stamp: int


class Tell(Struct, frozen=True, array_like=True, tag="tell"):
    """The wall clock, and how far it says that it can be off; microseconds."""

    stamp: int
    wall_us: int
    error_us: int


class Counted(Struct, frozen=True, array_like=True, tag="counted"):
    """A part of the day's counts."""

    data: bytes


_encode = msgspec.msgpack.Encoder().encode
_decoder = msgspec.msgpack.Decoder(Ask | Tell | Counted)  # type: ignore[var-annotated]


class Ratings:
    """What this gatekeeper has learned of log servers: a kind of cache that the module itself holds."""

    kind = "ratings"

    def __init__(self, start_anew: Callable[[], None]) -> None:
        self._start_anew = start_anew
        self.generation = Generation()
        self.begun = 0

    def open(self, purge: Purge) -> None:
        """Nothing that was learned before is gone by any more."""
        if purge.generation > self.generation:
            self.generation = purge.generation
            self.leave()

    def leave(self) -> None:
        """The day may be over: what was learned in it is not there from here on."""
        self.begun += 1
        self._start_anew()


class Kept:
    """Events that are kept for clients that come back."""

    kind = "events"

    def __init__(self, purge: Callable[[], None]) -> None:
        self._purge = purge
        self.generation = Generation()

    def open(self, purge: Purge) -> None:
        """They are gone."""
        if purge.generation > self.generation:
            self.generation = purge.generation
            self._purge()


class Plain:
    """A kind whose generation alone is told: for people and tests."""

    def __init__(self, kind: str) -> None:
        self.kind = kind

    def open(self, purge: Purge) -> None:
        """Nothing is held."""


def closing_of(one: ClosingConfig) -> Closing:
    """As the calendar takes it. Errors: CalendarFault."""
    return Closing(
        name=one.name, zone=one.zone, close=one.close, days=one.days, holidays=one.holidays, early=one.early,
        cancelled=one.cancelled, districts=one.districts, tenants=one.tenants, purge=one.purge,
    )  # fmt: skip


class ClosingsAssembly(Assembly):
    """Plans closings with the others, and carries them out."""

    def __init__(
        self, heart: Heart, closings: tuple[ClosingConfig, ...], fleet: FleetConfig, member: FleetAssembly,
        book: BookNode, purge_events: Callable[[], None] | None, emit: Callable[..., None] | None,
    ) -> None:  # fmt: skip
        self._heart, self._node, self._book, self._emit = heart, member.node, book, emit
        self._name, self._fleet = fleet.name, fleet
        self._home = fleet.districts.get(fleet.name, "")
        self._chance = random.Random(secrets.randbits(64))
        life = secrets.randbits(48) | 1
        # All that is held is held in memory: a life of the process is a life of it, and its ledger with it.
        self.machine = ClosingsMachine(Ledger(life))
        self.counts = DayCounts(fleet.name, life)
        self.ratings = Ratings(lambda: heart.decisions.start_anew(heart.listed().values()))
        self.caches = Caches()
        self.caches.add(self.ratings)
        self.caches.add(self.counts)
        self.caches.add(Kept(purge_events) if purge_events is not None else Plain("events"))
        self._take(closings)
        self.clock = BoundedClock(len(fleet.members), self._error)
        self._asked: dict[str, timedelta] = {}
        self._known = -1
        self._pending: set[str] = set()
        self._plans_at = self._counts_at = monotonic()
        self._away: set[str] = set()  # kinds that are not there now
        self._fired: list[dict[str, Any]] = []
        self.unreadable = self.fired = 0
        self._ready_until: timedelta | None = None
        self._ended = False

    def _take(self, closings: tuple[ClosingConfig, ...]) -> None:
        self.closings = [closing_of(one) for one in closings]
        self._freeze = max((one.freeze for one in closings), default=timedelta(0))
        self._error = max((one.clock_error for one in closings), default=timedelta(0))

    async def start(self) -> None:
        """Ask the others for the time, and look."""
        heart = self._heart
        self._node.channel(CHANNEL, self._heard)
        heart.calls.watches.append(self)
        heart.operation.waits.append(self._is_behind)
        self._ready_until = monotonic() + READY_WITHIN
        heart.pages.append(Page("/closings", shown=self._told))
        self._look()

    def reload(self, settings: Config) -> None:
        """Other calendars: for occurrences that are not frozen yet. Errors: CalendarFault."""
        if settings.closings:
            self._take(settings.closings)
        if settings.fleet is not None:
            self._fleet = settings.fleet
            self.clock.keep(settings.fleet.members, len(settings.fleet.members))

    def end(self) -> None:
        """No more looks."""
        self._ended = True

    def figures(self) -> Mapping[str, Any]:
        """In short; `/closings` has the rest."""
        now = self._now()
        return {
            "closings": {
                "standing": self.machine.standing(now).name.lower(),
                "carried_out": self.fired,
                "ratings_begun": self.ratings.begun,
                "clock_steps": self.clock.steps,
                "unreadable": self.unreadable,
            }
        }

    # --- time

    def _now(self) -> Interval | None:
        return self.clock.now(time.time_ns() // 1000, monotonic())

    def _is_behind(self) -> bool:
        """Whether a start has to wait: what was missed is carried out before callers come."""
        if self._ready_until is None or monotonic() >= self._ready_until:
            return False
        if self.machine.standing(self._now()) is not Standing.READY:
            return True
        self._ready_until = None
        return False

    def _look(self) -> None:
        if self._ended:
            return
        now, mono = self._now(), monotonic()
        self._learn()
        self._carry_out(now)
        self._leave(now)
        self._ask(mono, now)
        if mono >= self._plans_at:
            self._plans_at = mono + PLANS_EVERY
            self._plan(now)
        if mono >= self._counts_at:
            self._counts_at = mono + COUNTS_EVERY
            self._gossip()
        self._heart.loop.add_timeout(LOOKS, self._look)

    def _learn(self) -> None:
        self.machine.learn(self._book.entries(KIND))

    def _carry_out(self, now: Interval | None) -> None:
        for purge in self.machine.tick(now):
            self.caches.carry_out(purge)
            name, _, day = purge.generation.name.rpartition("/")
            self.fired += 1
            self._fired = [*self._fired[-31:], {"name": name, "day": day, "late_ms": purge.late_us // 1000}]
            log.info("closing_fired", name=name, day=day, late_ms=purge.late_us // 1000)
            if self._emit is not None:
                self._emit("closing.fired", name=name, day=day)
        if self.machine.unsaved:
            self.machine.saved(self.machine.ledger)

    def _leave(self, now: Interval | None) -> None:
        """What may belong to a day that is over is not gone by, from the first moment that this may be so."""
        for kind in self.caches.kinds:
            away = bool(self.machine.withheld(kind, Scope(self._home), now))
            if away and kind not in self._away:
                self._away.add(kind)
                if kind == Ratings.kind:
                    self.ratings.leave()
            elif not away:
                self._away.discard(kind)

    # --- the plan

    def _plan(self, now: Interval | None) -> None:
        if now is None or not self._book.leads():
            return
        try:
            changes = due_changes(now, self.closings, self._book.entries(KIND), freeze=self._freeze)
        except CalendarFault as fault:
            log.error("closings_not_planned", **fault.told())
            return
        for change in changes:
            if change.id in self._pending:
                continue
            self._pending.add(change.id)
            try:
                self._book.submit(change, partial(self._settled, change.id))
            except BookFault as fault:
                self._pending.discard(change.id)
                log.warning("closing_not_planned", change=change.name, **fault.told())
                return

    def _settled(self, change: str, outcome: Outcome) -> None:
        self._pending.discard(change)
        if not outcome.done and outcome.code != "book.conflict":  # the next look sees what the other did
            log.warning("closing_not_planned", change=change, code=outcome.code, fault=outcome.fault)

    # --- the others

    def _others(self) -> list[str]:
        return [name for name in self._fleet.members if name != self._name]

    def _ask(self, mono: timedelta, now: Interval | None) -> None:
        every = ASKS_EVERY if now is not None else ASKS_FIRST
        for name in self._others():
            if mono >= self._asked.get(name, -ASKS_EVERY) + every:
                self._asked[name] = mono
                self._node.carry(name, CHANNEL, _encode(Ask(mono // MICROSECOND)))

    def _heard(self, name: str, data: bytes) -> None:
        try:
            message = _decoder.decode(data)
        except (msgspec.DecodeError, RecursionError):
            self.unreadable += 1
            return
        if isinstance(message, Ask):
            wall = time.time_ns() // 1000
            self._node.carry(name, CHANNEL, _encode(Tell(message.stamp, wall, self._error // MICROSECOND)))
        elif isinstance(message, Tell):
            asked, came = message.stamp * MICROSECOND, monotonic()
            self.clock.heard(name, message.wall_us, message.error_us * MICROSECOND, asked, came)
        else:
            now = self._now()
            try:
                self.counts.merge(message.data, partial(self._handle, now), now)
            except CountsFault:
                self.unreadable += 1

    def _gossip(self) -> None:
        others = self._others()
        if others:
            name = self._chance.choice(others)
            for data in self.counts.encode():
                self._node.carry(name, CHANNEL, _encode(Counted(data)), bulk=True)

    def _handle(self, now: Interval | None, scope: Scope) -> Any:
        return self.machine.handle(self.counts.kind, scope, now)

    # --- the watch of calls: day-counts

    def _count(self, tenant: int, calls: int, use: timedelta) -> None:
        names = list(self._heart.config.terms.tenants)
        scope = Scope(self._home, names[tenant] if 0 <= tenant < len(names) else "")
        now = self._now()
        self.counts.count(self._handle(now, scope), now, calls, use)

    def answered(
        self, call: Call, answer: FinalAnswer, attempt: Attempt | None, why: str, now: timedelta
    ) -> None:  # fmt: skip
        """A call that stands counts for its day."""
        if answer.verdict is Verdict.STANDS:
            self._count(call.request.tenant, 1, timedelta(0))

    def over(self, call: Call, attempt: Attempt, ending: Ending, now: timedelta) -> None:
        """Its use counts for the day in which it ends."""
        if call.stood_at is not None:
            self._count(call.request.tenant, 0, now - call.stood_at)

    def offered(self, call: Call, now: timedelta) -> None:
        """Nothing is counted of it yet."""

    def sent(self, attempt: Attempt, now: timedelta) -> None:
        """Nor of its attempts."""

    def attempt_over(self, attempt: Attempt, ending: Ending | None, now: timedelta) -> None:
        """Nor of how they end."""

    # --- for people

    def _scopes(self) -> Iterable[Scope]:
        yield Scope(self._home)
        for tenant in list(self._heart.config.terms.tenants)[:64]:
            yield Scope(self._home, tenant)

    def _told(self) -> dict[str, Any]:
        self._learn()
        now = self._now()
        self._carry_out(now)
        held = []
        for kind in self.caches.kinds:
            for scope in self._scopes():
                handle = self.machine.handle(kind, scope, now)
                one: dict[str, Any] = {
                    "kind": kind, "district": scope.district, "tenant": scope.tenant,
                    "generation": None if handle is None else list(handle.generation),
                    "not_there": self.machine.withheld(kind, scope, now),
                }  # fmt: skip
                total = self.counts.total(handle, now) if kind == self.counts.kind else None
                if total is not None:
                    one |= {"calls": total.calls, "use_ms": total.use // MILLISECOND}
                held.append(one)
        return {
            **self.machine.told(now),
            "wall_us": time.time_ns() // 1000,
            "clock_steps": self.clock.steps,
            "fired": self._fired,
            "held": held,
            "uncounted": self.counts.uncounted,
        }
