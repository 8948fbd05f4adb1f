"""The server list that a catalogue's answers come to: what a failing check means, and for how long."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

from ..core.model import Server


@dataclass(frozen=True, slots=True)
class Instances:
    """One answer of a catalogue; what has a failing check takes nothing new."""

    servers: tuple[Server, ...]
    failing: frozenset[str] = frozenset()  # ids of those with a failing check


class Catalogue:
    """The list in force.

    An instance whose check fails drains at once, and is gone once it has failed for `failing_limit`: a check
    that flaps cuts no call, and the calls of a process that is dead are released in bounded time.
    """

    def __init__(self, failing_limit: timedelta) -> None:
        self._failing_limit = failing_limit
        self._instances = Instances(())
        self._failing_since: dict[str, timedelta] = {}

    def answered(self, instances: Instances, now: timedelta) -> None:
        """The catalogue has answered."""
        since = self._failing_since
        self._failing_since = {name: since.get(name, now) for name in instances.failing}
        self._instances = instances

    def servers(self, now: timedelta) -> tuple[Server, ...]:
        """The whole list."""
        gone = {name for name, since in self._failing_since.items() if now - since >= self._failing_limit}
        return tuple(server for server in self._instances.servers if server.id not in gone)

    def next_change(self, now: timedelta) -> timedelta | None:
        """When time alone changes the list next."""
        changes = (since + self._failing_limit for since in self._failing_since.values())
        return min((change for change in changes if change > now), default=None)
