"""What is done about the loss of a whole site. Loaded only with `[sites]`."""

from __future__ import annotations

import random
import secrets
from collections.abc import Mapping
from concurrent.futures import Future, ThreadPoolExecutor
from datetime import timedelta
from typing import Any, Protocol

import structlog

from ..book.model import BookFault, Change, Entry, Outcome
from ..core.decisions import MICROSECOND
from ..core.model import ListTold
from ..net.clock import monotonic
from ..operation.control import Page
from ..settings import Config, FleetConfig, SitesConfig
from ..sites.machine import TICK, SitesMachine
from ..sites.model import ClassTerms, ColdTerms, SiteTerms, SitesTerms
from ..sites.plan import PlanInputs, Solved, work_out
from .base import Assembly, Heart
from .fleet import FleetAssembly

log = structlog.get_logger(part=__name__)

CHANNEL = "sites"
KINDS = ("site-state", "site-plan", "site-parts", "site-shed")
RATINGS_EVERY = timedelta(seconds=1)


class Book(Protocol):
    """What it asks of the book; `mallowquay/book/node.py` is one."""

    def entries(self, kind: str) -> Mapping[str, Entry]:
        """The agreed entries of a kind, by name."""

    @property
    def last(self) -> int:
        """The number of the newest agreed change."""

    def leads(self) -> bool:
        """Whether this member may number changes."""

    def catch_up(self) -> bool:
        """Read what the member knows as agreed; False where it is not on disk yet."""

    def watch(self, kind: str, told: Any) -> None:
        """`told` is called after each change of this kind's entries."""

    def submit(self, change: Change, told: Any) -> None:
        """Ask for a change. Errors: BookFault."""


def terms_of(config: Config, sites: SitesConfig, fleet: FleetConfig) -> SitesTerms:
    """What the file says, as the package takes it."""
    module = config.settings
    names = {kind.index: kind.name for kind in config.classes.values()}
    classes = tuple(
        ClassTerms(
            names.get(index, str(index)), kind.worth, kind.late_worth, kind.aim * MICROSECOND,
            kind.repeatable, None if kind.pools is None else frozenset(kind.pools),
        )
        for index, kind in enumerate(module.classes)
    )  # fmt: skip
    cold = ColdTerms(module.cold_from, module.cold_time * MICROSECOND, module.fall_multiple)
    return SitesTerms(
        tuple(SiteTerms(site.name, site.set_ups_per_s, site.costs) for site in sites.sites), classes,
        sites.ceiling, sites.doubt, sites.step, sites.hold_down, fleet.lease, cold,
        module.over_share_worth if module.groups else 1.0, module.max_retry_after * MICROSECOND,
    ).checked()  # fmt: skip


class SitesAssembly(Assembly):
    """The gate before the module, and this gatekeeper's voice about sites."""

    def __init__(
        self, heart: Heart, sites: SitesConfig, fleet: FleetConfig, member: FleetAssembly, book: Book
    ) -> None:  # fmt: skip
        self._heart, self._node, self._book = heart, member.node, book
        module = heart.config.settings
        quotas = tuple(group.quota_per_s / module.group_size for group in module.groups)
        self.machine = SitesMachine(
            fleet.name, terms_of(heart.config, sites, fleet), fleet.districts,
            random.Random(secrets.randbits(64)), monotonic(), quotas,
        )  # fmt: skip
        # The solver takes tens of milliseconds: beside the loop, one at a time.
        self._beside = ThreadPoolExecutor(1, "site-plan")
        self._ratings_due = timedelta(0)
        self._ended = False

    async def start(self) -> None:
        """Stand before the module and begin to look."""
        import scipy.optimize  # noqa: F401  not first in the seconds of a loss: it takes half a second
        import scipy.sparse  # noqa: F401

        heart = self._heart
        self._node.channel(CHANNEL, lambda name, data: self.machine.heard(name, data, monotonic()))
        for kind in KINDS:
            self._book.watch(kind, self._read)
        self._read()
        heart.calls.gate = self.machine
        heart.calls.watches.append(self.machine)
        heart.shown.append(self._list)
        self._list()
        heart.pages.append(Page("/sites", shown=lambda: self.machine.told(monotonic())))
        self._look()

    def reload(self, settings: Config) -> None:
        """Members that are new in the file or missing from it."""
        if settings.fleet is not None:
            self.machine.districts_told(settings.fleet.districts)

    def end(self) -> None:
        """No more looks."""
        self._ended = True
        self._beside.shutdown(wait=False, cancel_futures=True)

    def figures(self) -> Mapping[str, Any]:
        """In short; `/sites` has the rest."""
        machine = self.machine
        states = {site: machine.evidence.opinions[site].state.value for site in machine.sites}
        return {
            "sites": {
                "states": states, "admitted": machine.admitted, "refused": machine.refused,
                "moved": machine.moved, "trickled": machine.trickled, "words_unreadable": machine.spoilt,
            }
        }  # fmt: skip

    def _list(self, news: ListTold | None = None) -> None:
        self.machine.list_told(self._heart.listed(), monotonic())

    def _read(self) -> None:
        self.machine.book_told(self._book, monotonic())

    def _look(self) -> None:
        if self._ended:
            return
        now = monotonic()
        held = None
        if hasattr(self._node, "member"):
            # The view carries the book: whoever has a lease again by it goes by no part of before.
            self._book.catch_up()
            held = self._node.holds()
        self.machine.view_told(held, now)
        if now >= self._ratings_due:
            self._ratings_due = now + RATINGS_EVERY
            self.machine.ratings_told(self._heart.decisions.ratings())
        steps = self.machine.tick(now)
        for name, data in steps.sends:
            self._node.carry(name, CHANNEL, data)
        for event in steps.events:
            log.info(event.what.replace(".", "_"), **event.fields)
        for change in steps.changes:
            self._submit(change)
        for move in steps.moves:
            self._heart.calls.rethink(move.request_id, move.among)
        if steps.job is not None:
            self._work(steps.job)
        self._heart.loop.add_timeout(TICK, self._look)

    def _submit(self, change: Change) -> None:
        try:
            self._book.submit(change, self._outcome)
        except BookFault as fault:
            log.warning("site_change_not_made", **fault.told())
            self.machine.outcome(Outcome(change.id, 0, fault.code, str(fault)))

    def _outcome(self, outcome: Outcome) -> None:
        if not outcome.done and outcome.code != "book.conflict":  # a conflict: another decided, by the same
            log.warning("site_change_not_made", code=outcome.code, fault=outcome.fault)
        self.machine.outcome(outcome)

    def _work(self, inputs: PlanInputs) -> None:
        def done(future: Future[Solved]) -> None:
            if not self._ended:
                self._heart.loop.add_callback(self._solved, future)

        self._beside.submit(work_out, self.machine.terms, inputs).add_done_callback(done)

    def _solved(self, future: Future[Solved]) -> None:
        fault = None if future.cancelled() else future.exception()
        if fault is not None:
            log.error("site_plan_not_made", fault=str(fault))
        result = None if future.cancelled() or fault is not None else future.result()
        self.machine.solved(result, monotonic())
