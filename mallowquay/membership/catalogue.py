"""The server list that a catalogue's answers come to: when failing checks and missing instances count."""

from __future__ import annotations

from dataclasses import dataclass, replace
from datetime import timedelta

from ..core.model import Server, ServerStatus
from ..settings import CatalogueRules


@dataclass(frozen=True, slots=True)
class Instances:
    """One answer of a catalogue; what has a failing check takes nothing new."""

    servers: tuple[Server, ...]
    failing: frozenset[str] = frozenset()  # ids of those with a failing check


@dataclass(frozen=True, slots=True)
class _Doubt:
    """Answers that lack most of the list."""

    since: timedelta
    answers: int


class Catalogue:
    """The list in force.

    An instance whose check fails drains at once, and is gone once it has failed for long: a check that flaps
    cuts no call, and the calls of a process that is dead are released in bounded time. An answer without most
    of the instances may be a mistake of the catalogue's: until further answers confirm it, no call is cut;
    the missing ones drain, unless the answer is empty, for then nobody would be left to take a call.
    """

    def __init__(self, rules: CatalogueRules) -> None:
        self._rules = rules
        self._instances = Instances(())  # as they were told last, missing ones included while in doubt
        self._missing: frozenset[str] = frozenset()
        self._doubt: _Doubt | None = None
        self._failing_since: dict[str, timedelta] = {}

    @property
    def unconfirmed(self) -> int:
        """How many answers in a row lack most of the list and do not count yet."""
        return 0 if self._doubt is None else self._doubt.answers

    def answered(self, instances: Instances, now: timedelta) -> None:
        """The catalogue has answered."""
        told = {server.id for server in instances.servers}
        known = {server.id for server in self._instances.servers}
        missing = known - told
        if 2 * len(missing) > len(known) and not self._doubt_confirmed(now):
            kept = tuple(server for server in self._instances.servers if server.id in missing)
            failing = instances.failing | (self._instances.failing & missing)
            instances, self._missing = Instances(instances.servers + kept, failing), frozenset(missing)
        else:
            self._missing, self._doubt = frozenset(), None
        since = self._failing_since
        self._failing_since = {name: since.get(name, now) for name in instances.failing}
        self._instances = instances

    def _doubt_confirmed(self, now: timedelta) -> bool:
        """Count an answer that lacks most of the list; True once they are too many to be a mistake."""
        before = self._doubt or _Doubt(now, 0)
        self._doubt = replace(before, answers=before.answers + 1)
        enough = self._doubt.answers >= self._rules.confirm_answers
        return enough and now - before.since >= self._rules.confirm

    def servers(self, now: timedelta) -> tuple[Server, ...]:
        """The whole list."""
        limit = self._rules.failing
        gone = {name for name, since in self._failing_since.items() if now - since >= limit}
        listed = [server for server in self._instances.servers if server.id not in gone]
        if len(self._missing) == len(self._instances.servers):  # the answer was empty
            return tuple(listed)
        return tuple(_draining(server) if server.id in self._missing else server for server in listed)

    def next_change(self, now: timedelta) -> timedelta | None:
        """When time alone changes the list next."""
        changes = (since + self._rules.failing for since in self._failing_since.values())
        return min((change for change in changes if change > now), default=None)


def _draining(server: Server) -> Server:
    return replace(server, status=ServerStatus.DRAINING)
