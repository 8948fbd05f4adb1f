"""Faults planted in the fleet's machines, to see that its checks find them. Each is a patch of one place."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import Any
from unittest.mock import patch

from msgspec.structs import replace

from mallowquay.emulator.fleet.world import World
from mallowquay.fleet import views
from mallowquay.fleet.detector import Detector
from mallowquay.fleet.member import Member
from mallowquay.fleet.model import Key, Lasting, Lead, Life
from mallowquay.fleet.views import Role, Views


def half_is_enough(configured: Any, having: Any) -> bool:
    members = list(configured)
    return sum(map(having, members)) >= len(members) // 2


def forget(**changes: Any) -> Callable[[World, Lasting], Lasting]:
    def written(world: World, lasting: Lasting) -> Lasting:
        return replace(lasting, **changes)

    return written


def disk_is_not_told_apart(before: Any) -> Any:
    def begin(self: Member, lasting: Lasting | None, now: timedelta, least: int = 0) -> None:
        before(self, lasting, now, least)
        own = self.views.lasting
        self.views.lasting = replace(own, life=replace(own.life, disk=hash(self.name) | 1))
        self.detector.own = replace(self.detector.own, life=self.views.lasting.life)
        self.question.life = self.views.lasting.life

    return begin


def lease_from_now(before: Any) -> Any:
    def led(self: Views, now: timedelta, name: str, frame: Lead, sends: Any) -> None:
        before(self, now, name, frame, sends)
        if frame.lease > 0:
            self.lease_until, self.lease_term = now + 3 * frame.lease * views.MICROSECOND, frame.term

    return led


def no_loyalty(before: Any) -> Any:
    def candidate(self: Views, now: timedelta, name: str, frame: Any, sends: Any) -> None:
        self._led_at = timedelta(0)
        before(self, now, name, frame, sends)

    return candidate


def any_view_is_elected(before: Any) -> Any:
    def candidate(self: Views, now: timedelta, name: str, frame: Any, sends: Any) -> None:
        before(self, now, name, replace(frame, accepted=Key(1 << 40, 0)), sends)

    return candidate


def does_not_wait(before: Any) -> Any:
    def lead(self: Views, now: timedelta, standings: Any, sends: Any) -> None:
        before(self, now, standings, sends)
        if self.role is Role.LEADER and self.lasting.accepted.key != self.lasting.agreed.key:
            self.lasting = replace(self.lasting, agreed=self.lasting.accepted)

    return lead


def life_is_not_counted(before: Any) -> Any:
    def begin(self: Member, lasting: Lasting | None, now: timedelta, least: int = 0) -> None:
        if lasting is not None:
            life: Life = lasting.life
            lasting = replace(lasting, life=replace(life, number=max(life.number - 1, 0)))
        before(self, lasting, now, least)

    return begin


def believes_any_disk(before: Any) -> Any:
    def heard(self: Any, now: timedelta, name: str, known: Any) -> None:
        before(self, now, name, replace(known, life=Life(0, 0, 0), writes=0))

    return heard


def patched(owner: Any, name: str, make: Callable[[Any], Any]) -> Any:
    return patch.object(owner, name, make(getattr(owner, name)))


# Name to the patch, and whether disks of an earlier day must be among the faults.
PLANTED: dict[str, Callable[[], Any]] = {
    "majority off by one": lambda: patch.object(views, "majority", half_is_enough),
    "vote not synced": lambda: patch.object(World, "written", forget(voted_for="")),
    "accepted view not synced": lambda: patch.object(
        World, "written", lambda world, lasting: replace(lasting, accepted=lasting.agreed)
    ),
    "empty disk counted": lambda: patched(Member, "_begin", disk_is_not_told_apart),
    "lease by the receiver's clock": lambda: patched(Views, "_led", lease_from_now),
    "no promise to the leader": lambda: patched(Views, "_candidate", no_loyalty),
    "an older view elected": lambda: patched(Views, "_candidate", any_view_is_elected),
    "not waited for a majority": lambda: patched(Views, "_lead", does_not_wait),
    "life not counted": lambda: patched(Member, "_begin", life_is_not_counted),
    "no refutation": lambda: patch.object(Detector, "_about_me", lambda self, rumour: None),
}
