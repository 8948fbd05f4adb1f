"""Faults planted in the copies' machines, to see that worlds find them. Each is a patch of one place."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta
from typing import Any
from unittest.mock import patch

from msgspec.structs import replace

from mallowquay.copies import machine, placement, writer
from mallowquay.copies.keeper import Keeper
from mallowquay.copies.model import Fenced, OpEntry, OpMeta
from mallowquay.copies.recovery import Recovery, Step
from mallowquay.emulator.fleet.copies import CopiesWorld


def patched(owner: Any, name: str, make: Callable[[Any], Any]) -> Any:
    return patch.object(owner, name, make(getattr(owner, name)))


def answers_before_sync(before: Any) -> Any:
    def answer(self: machine.Copies, to: str, message: Any) -> None:
        if to == self.name:
            before(self, to, message)
        else:
            self.sends.append(writer.Sent(to, message))

    return answer


def keeps(*kinds: type) -> Callable[[CopiesWorld, Any], Any]:
    return lambda world, ops: tuple(op for op in ops if not isinstance(op, kinds))


def one_is_enough(before: Any) -> Any:
    return lambda write, holders: 1


def empty_disk_counts(before: Any) -> Any:
    def enough(self: Recovery, holders: Any) -> bool:
        latest = self._latest()
        names = {holder.name for holder in holders}
        return latest is not None and sum(one.name in names for one in latest.holders) >= latest.fence

    return enough


def reads_the_shortest(before: Any) -> Any:
    def begin(self: Recovery, now: timedelta, found: Any) -> None:
        least = min(answer.last for answer in self._answers.values())
        self._answers = {
            holder: replace(answer, last=answer.last if answer.last == least else -1)
            for holder, answer in self._answers.items()
        }
        before(self, now, found)

    return begin


def no_fence(before: Any) -> Any:
    def fence(self: Keeper, name: str, message: Any) -> None:
        before(self, name, message)
        held = self.logs.get(message.log)
        if held is not None:
            held.fence = 0

    return fence


def seals_are_not_met(before: Any) -> Any:
    def fenced(self: Recovery, now: timedelta, message: Fenced) -> Any:
        return before(self, now, replace(message, seal=None, dropped=False))

    return fenced


def acts_before_seal(before: Any) -> Any:
    def tick(self: Recovery, now: timedelta, disks: Any) -> Any:
        found = before(self, now, disks)
        if self.step is Step.SEAL:
            self.step = Step.DONE
        return found

    return tick


def any_two_lives(before: Any) -> Any:
    def refuses(self: Keeper, name: str, log: Any) -> bool:
        return log.writer != name

    return refuses


PLANTED: dict[str, Callable[[], Any]] = {
    "answered before the sync": lambda: patched(machine.Copies, "_answer", answers_before_sync),
    "entries not synced": lambda: patch.object(CopiesWorld, "kept", keeps(OpEntry)),
    "fence not synced": lambda: patch.object(CopiesWorld, "kept", keeps(OpMeta)),
    "one machine is enough": lambda: patched(writer, "quorum", one_is_enough),
    "empty disk counted": lambda: patched(Recovery, "_enough", empty_disk_counts),
    "the shortest copy read": lambda: patched(Recovery, "_begin_reading", reads_the_shortest),
    "seals not met": lambda: patched(Recovery, "fenced", seals_are_not_met),
    "acted on before the seal": lambda: patched(Recovery, "tick", acts_before_seal),
    "a dead writer goes on": lambda: patched(Keeper, "_refuses", any_two_lives),
}

assert placement.quorum is not None
