"""Events of the fleet for those who asked. Loaded only with `[events]`."""

from __future__ import annotations

import random
import secrets
import time
from collections.abc import Mapping
from datetime import timedelta
from typing import Any

import structlog

from ..core.model import ListTold
from ..events.fields import Value
from ..events.index import Index
from ..events.language import compile_filter
from ..events.listener import EventsListener
from ..events.machine import Book, EventsMachine, EventTerms, OwnBook
from ..events.origin import Judge, KeptTerms, Matching
from ..events.sources import Sources
from ..events.wire import CHANNEL
from ..fleet.model import Life, State, View
from ..net.clock import monotonic
from ..operation.control import Page
from ..settings import Config, EventsConfig
from .base import Assembly, Heart
from .fleet import FleetAssembly

log = structlog.get_logger(part=__name__)

GATHERS = timedelta(milliseconds=10)  # what arises within it leaves together
LOOKS_BUSY, LOOKS_IDLE = timedelta(milliseconds=50), timedelta(milliseconds=250)
LEAVING = timedelta(seconds=40)  # a member that has left in order may yet tell of its last calls
ALONE = "here"  # the member's name where there is no fleet


class _Language:
    def compiled(self, text: str) -> tuple[Judge, str]:
        found = compile_filter(text)
        return found, found.text

    def index(self) -> Matching:
        return Index[int]()


class EventsAssembly(Assembly):
    """Clients are told what matches their filters, here and at all other members."""

    def __init__(
        self, heart: Heart, events: EventsConfig, member: FleetAssembly | None = None,
        book: Book | None = None,
    ) -> None:  # fmt: skip
        """Without a member, or a book that the fleet agrees on, clients are told of this gatekeeper alone."""
        self._heart, self._events = heart, events
        self._member = member if book is not None else None
        fleet = heart.config.fleet
        self.name = ALONE if member is None else member.node.name
        terms = EventTerms(events.clients_most, events.queue_most, KeptTerms(events.kept_most, events.kept))
        self.machine = EventsMachine(
            self.name, _Language(), terms, self._carry, book or OwnBook(),
            random.Random(secrets.randbits(128)), alone=self._member is None,
        )  # fmt: skip
        self._districts: Mapping[str, str] = {} if fleet is None else fleet.districts
        self.sources = Sources(
            self._emitted, lambda: self.machine.wanted, tuple(heart.config.terms.tenants),
            self._districts.get(self.name, ""),
        )  # fmt: skip
        self.listener = EventsListener(self.machine, monotonic)
        self._links: dict[str, object] = {}
        self._view: View | None = None
        self._left: dict[Life, timedelta] = {}  # lives that left in order, since when
        self._leaves: timedelta | None = None  # when the next of them counts as over
        self._gathering = self._ended = False
        if self._member is not None:  # before the member starts: what begins with its life is to hear of it
            self._member.node.on_life.append(self._life)
            self._member.node.on_end.append(self._leave)
            self._member.node.channel(CHANNEL, self._heard)

    async def start(self) -> None:
        """Listen for clients. Errors: OSError."""
        heart = self._heart
        heart.pages.append(Page("/subscriptions", shown=self._told))
        heart.calls.watches.append(self.sources)
        heart.shown.append(self.sources.listed)
        self.sources.listed(ListTold(tuple(heart.listed().values()), whole=True))
        if self._member is None:
            life = int(time.time()), secrets.randbits(32) | 1  # a later start has the greater number
            self.machine.begin(monotonic(), *life)
            self.machine.viewed(monotonic(), {self.name: (life, True)})
        self.listener.listen(self._events.listen)
        host, port = self._events.listen
        heart.addresses["events"] = f"{host}:{port}"
        self._look()

    # --- events

    def emit(self, kind: str, **fields: Value) -> None:
        """For other parts: something happened, `site.changed` or `closing.fired` say. `from_` is `from`."""
        if self.machine.wanted:
            self._emitted(kind, {name.rstrip("_"): value for name, value in fields.items()})

    def _emitted(self, kind: str, fields: dict[str, Value]) -> None:
        self.machine.event(monotonic(), {"kind": kind, "at_ms": time.time_ns() // 1_000_000, **fields})
        if not self._gathering:
            self._gathering = True
            self._heart.loop.add_timeout(GATHERS, self._gathered)

    def _gathered(self) -> None:
        self._gathering = False
        if self._ended:
            return
        self.machine.flush(monotonic())
        self.listener.pump()
        self._go_on()

    def _go_on(self) -> None:
        """What one look did not get done waits for the next, behind whatever calls have come."""
        origin = self.machine.origin
        if origin is not None and origin.pressing and not self._gathering:
            self._gathering = True
            self._heart.loop.add_timeout(GATHERS, self._gathered)

    # --- the fleet

    def _life(self, life: Life) -> None:
        self.machine.begin(monotonic(), life.number, life.mark)

    def _carry(self, to: str, data: bytes) -> bool:
        assert self._member is not None
        return self._member.node.carry(to, CHANNEL, data, bulk=True)

    def _heard(self, member: str, data: bytes) -> None:
        self.machine.heard(monotonic(), member, data)
        self.listener.pump()
        self._go_on()

    def _look_at_fleet(self, now: timedelta) -> None:
        assert self._member is not None
        node = self._member.node
        links = dict(node.links.links)
        for name, link in links.items():
            if self._links.get(name) is not link:
                self.machine.linked(now, name)
        self._links = dict(links)
        view = node.member.lasting.agreed
        if view == self._view and (self._leaves is None or now < self._leaves):
            return
        self._view, before = view, self._left
        left = [one.life for one in view.members if one.state is State.LEFT]
        self._left = {life: before.get(life, now) for life in left}
        self._leaves = min((at + LEAVING for at in self._left.values() if at + LEAVING > now), default=None)
        lives = {}
        for one in view.members:
            since = self._left.get(one.life)
            up = one.state is not State.DOWN and (since is None or since + LEAVING > now)
            lives[one.name] = (one.life.number, one.life.mark), up
        self.machine.viewed(now, lives)
        self.sources.viewed({one.name: one.state.name.lower() for one in view.members}, self._districts)

    # --- time

    def _look(self) -> None:
        if self._ended:
            return
        now = monotonic()
        if self._member is not None and self.machine.life is not None:
            self._look_at_fleet(now)
        self.sources.rate(now, self._heart.decisions.ratings)
        self.machine.tick(now)
        self.listener.look()
        self._heart.loop.add_timeout(LOOKS_BUSY if self.machine.wanted else LOOKS_IDLE, self._look)

    def reload(self, settings: Config) -> None:
        """Tenants and districts may have changed."""
        self.sources.tenants = tuple(settings.terms.tenants)
        if settings.fleet is not None:
            self._districts = dict(settings.fleet.districts)

    def stop(self) -> None:
        """What arose so far is told; clients are to go to another gatekeeper."""
        self.listener.stopping = True
        self.machine.flush(monotonic())
        self.listener.pump()

    def end(self) -> None:
        """The end of all streams."""
        if self._member is None:
            self._leave()
        self.listener.close()
        self._ended = True

    def _leave(self) -> None:
        """The last word, to the others and to clients here: a member's links close before this part ends."""
        self.machine.leave(monotonic())
        self.listener.pump()

    def purge(self) -> None:
        """A business day has closed: what is kept of it is gone."""
        self.machine.purge(monotonic())

    def _told(self) -> dict[str, Any]:
        return self.machine.told()

    def figures(self) -> Mapping[str, Any]:
        """In short; `/subscriptions` has the rest."""
        told = self.machine.told()
        return {"events": {key: told[key] for key in ("clients", "recording", "bytes_out", "not_carried")}}
