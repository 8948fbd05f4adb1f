"""What this gatekeeper promises stands on others, too. Loaded only with `[copies]`."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping
from datetime import timedelta
from pathlib import Path
from typing import Any

import msgspec
import structlog

from ..copies.machine import Adopted, CopyTerms
from ..copies.model import RecordRefused
from ..copies.node import CopiesNode
from ..core.calls import Call
from ..errors import Fault
from ..net.clock import monotonic
from ..operation.control import Page
from ..settings import Config, CopiesConfig, FleetConfig
from .base import Assembly, Heart
from .fleet import FleetAssembly

log = structlog.get_logger(part=__name__)

CALL, LEASE = "call", "lease"
LEASE_WITHIN = timedelta(seconds=5)
LEASES_MOST = 100_000  # granted here; those of lost machines come on top
LEASE_DRIFT = 1.2  # of the span of a lease that another member may still go by


class LeaseRefused(Fault, ValueError):
    """A lease cannot be granted or revoked as things stand."""

    code = "copies.lease"
    remedy = (
        "Look at `mallowquay fleet show` and `copies show`: ask the member that granted it, while a "
        "majority is up."
    )


class CopiesAssembly(Assembly):
    """Standing calls and granted leases are copied before they are promised."""

    def __init__(self, heart: Heart, copies: CopiesConfig, fleet: FleetConfig, member: FleetAssembly) -> None:
        self._heart, self._config, self._member = heart, copies, member
        terms = CopyTerms(copies.copies, copies.write, copies.copied_per_s, fleet.lease * LEASE_DRIFT)
        self.node = CopiesNode(
            member.node, Path(fleet.disk) / "copies", terms, fleet.districts, monotonic, copies.scrub
        )
        self.unprotected = self.late = self.protected = 0
        self._unprotected_now: set[str] = set()
        self.takes_over = False  # somebody goes on with calls of lost machines, and fetches them
        self.adopted: list[Adopted] = []  # these calls
        self.leases: set[str] = set()
        member.node.on_life.append(lambda life: self.leases.clear())  # those of the life before come anew
        self.node.owners = {CALL: self._adopt_call, LEASE: lambda one: self.leases.add(one.key)}

    async def start(self) -> None:
        """Wait for the fleet's life: copies begin with it."""
        self._heart.pages += [
            Page("/copies", shown=self.node.told),
            Page("/copies/leases", shown=lambda: {"leases": sorted(self.leases)}),
            Page("/copies/grant", act=self._grant),
            Page("/copies/revoke", act=self._revoke),
        ]
        if self._config.promise:
            self._heart.calls.promises = self

    def reload(self, settings: Config) -> None:
        """Members may have moved to other districts."""
        if settings.fleet is not None:
            self.node.districts = dict(settings.fleet.districts)

    def end(self) -> None:
        """Close the files."""
        self.node.end()

    def figures(self) -> Mapping[str, Any]:
        """In short; `/copies` has the rest."""
        told = self.node.told()
        shown = ("put", "promised", "copies_of_all", "records", "fenced", "recovering")
        return {
            "copies": {
                **{key: told.get(key) for key in shown},
                "calls_protected": self.protected,
                "calls_late": self.late,
                "calls_unprotected": self.unprotected,
                "calls_unprotected_now": len(self._unprotected_now),
            }
        }

    @property
    def may_act(self) -> bool:
        """Whether this machine may act for what it holds: it hears a majority, and its life is not fenced."""
        copies = self.node.copies
        return copies is not None and not copies.fenced and self._member.node.holds() is not None

    # --- calls

    def promise(self, call: Call, settled: Callable[[bool], None]) -> None:
        """Copy a call that its log server has answered; past the wait the operator's choice holds."""
        over = False

        def late() -> None:
            nonlocal over
            if not over:
                over = True
                self.late += 1
                if not self._config.refuse_late:
                    self.unprotected += 1
                    self._unprotected_now.add(call.request.id)
                settled(not self._config.refuse_late)

        def told(kept: bool) -> None:
            nonlocal over
            if kept:
                self._unprotected_now.discard(call.request.id)
            if not over and kept:
                over = True
                self.protected += 1
                self._heart.loop.remove_timeout(timer)
                settled(True)

        timer = self._heart.loop.add_timeout(self._config.wait, late)
        try:
            self.node.hold(CALL, call.request.id, record_of(call), told)
        except RecordRefused as fault:
            log.warning("call_cannot_be_copied", call=call.request.id, **fault.told())

    def forget(self, call: Call) -> None:
        """The call is over."""
        self._unprotected_now.discard(call.request.id)
        copies = self.node.copies
        if copies is not None and (CALL, call.request.id) in copies.records:
            self.node.release(CALL, call.request.id)

    def _adopt_call(self, one: Adopted) -> None:
        if self.takes_over and self._heart.calls.get(one.key) is None:
            self.adopted.append(one)  # else it stands here: this life goes on with it

    # --- leases: for tests, and the smallest example of a kind

    async def _grant(self, names: list[str]) -> None:
        if len(self.leases) + len(names) > LEASES_MOST:
            most = f"{len(self.leases)} leases are granted, and {LEASES_MOST} are the most"
            raise LeaseRefused(most, "names")
        await self._promised(lambda name, told: self.node.hold(LEASE, name, b"", told), names)
        self.leases.update(names)

    async def _revoke(self, names: list[str]) -> None:
        unknown = [name for name in names if name not in self.leases]
        if unknown:
            raise LeaseRefused(f"not granted here: {unknown[0]}", "names")
        if self._member.node.holds() is None:
            raise LeaseRefused("no majority is heard: another one may act for it", "names")
        self.leases.difference_update(names)
        await self._promised(lambda name, told: self.node.release(LEASE, name, told), names)

    async def _promised(self, ask: Callable[[str, Callable[[bool], None]], None], names: list[str]) -> None:
        """Errors: LeaseRefused, if a copy is not made in time; it may be all the same."""
        loop = asyncio.get_running_loop()
        waits: list[asyncio.Future[bool]] = []
        for name in names:
            wait: asyncio.Future[bool] = loop.create_future()
            waits.append(wait)
            ask(name, lambda kept, wait=wait: None if wait.done() else wait.set_result(kept))  # type: ignore[misc]
        try:
            async with asyncio.timeout(LEASE_WITHIN.total_seconds()):
                kept = [await wait for wait in waits]
        except TimeoutError:
            raise LeaseRefused("not copied in time", "names") from None
        if not all(kept):
            raise LeaseRefused("this life of the member has ended", "names")


def record_of(call: Call) -> bytes:
    """What is needed to end a call: who and where on both sides, its class, and when it came."""
    attempt, request = call.attempt, call.request
    assert attempt is not None
    told: dict[str, Any] = {
        "class": request.class_name,
        "number": request.number,
        "server": attempt.server,
        "began_ms": time.time_ns() // 1_000_000,
    }
    for side, leg in (("caller", call.caller), ("log", attempt.leg)):
        record = getattr(leg, "record", None)
        if record is not None:
            told[side] = record()
    return msgspec.msgpack.encode(told)
