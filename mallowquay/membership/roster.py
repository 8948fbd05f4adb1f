"""The log servers that the list has named, and what a change of the list means for calls there."""

from __future__ import annotations

from datetime import timedelta

import structlog

from ..core.calls import Calls
from ..core.model import Attempt, Ending, ListTold, Server, ServerStatus

log = structlog.get_logger(part=__name__)

# What ended at a log server that says nothing, or that is gone, could not be told: it must be released within
# 8 s of its end, known or not.
SILENCE_LIMIT = timedelta(milliseconds=7600)


class Roster:
    """Follows the server list; the side of each wire adds what its connections need."""

    def __init__(self, calls: Calls) -> None:
        self.calls = calls
        self.servers: dict[str, Server] = {}

    def list_told(self, told: ListTold) -> None:
        """Take the whole list, or changes to it."""
        named = {server.id for server in told.servers}
        for server in told.servers:
            self._entry(server)
        if told.whole:
            for server in [server for name, server in self.servers.items() if name not in named]:
                self._gone(server)

    def _entry(self, server: Server) -> None:
        before = self.servers.get(server.id)
        if server.status is ServerStatus.GONE:
            if before is not None:
                self._gone(before)
            return
        self.servers[server.id] = server
        if before is not None and before.started != server.started:
            # A new process: what stood at the one before was cut. Told late, calls may stand at the new one.
            self.cut_standing(server.id, Ending.SERVER_GONE, self.anew_since(server))
        self.named(server)
        if server.status is not ServerStatus.READY:
            self.closing(server)

    def _gone(self, server: Server) -> None:
        del self.servers[server.id]
        for attempt in self.calls.trying_at(server.id):
            self.withdraw(attempt)
            self.calls.ended(attempt, Ending.SERVER_GONE)
        self.cut_standing(server.id, Ending.SERVER_GONE)
        self.removed(server)

    def cut_standing(self, server: str, ending: Ending, before: timedelta | None = None) -> None:
        """Release every call that stood there, or those alone that were sent before this point."""
        standing = self.calls.standing_at(server)
        if before is not None:
            standing = [call for call in standing if call.sent_before(before)]
        self.cut(server, [call.attempt for call in standing if call.attempt is not None], ending)

    def cut(self, server: str, attempts: list[Attempt], ending: Ending) -> None:
        """Release the calls that stand by these attempts, on both sides."""
        if attempts:
            log.info("standing_calls_cut", server=server, calls=len(attempts), ending=ending.name)
        for attempt in attempts:
            self.hang_up(attempt)
            self.calls.ended(attempt, ending)

    # --- for the side of each wire

    def withdraw(self, attempt: Attempt) -> None:
        """Give a set-up up."""
        raise NotImplementedError

    def examine(self, server: str) -> None:
        """Ask for a sign of life. No side asks on its own, and one whose wire has no such word says: none."""
        self.calls.examined(server, alive=False)

    def hang_up(self, attempt: Attempt) -> None:
        """A standing call is taken as cut."""

    def anew_since(self, server: Server) -> timedelta | None:
        """Since when set-ups have surely gone to the new process of a server; None where nobody can tell."""
        return None

    def named(self, server: Server) -> None:
        """A server is on the list, new or changed."""

    def closing(self, server: Server) -> None:
        """A server drains."""

    def removed(self, server: Server) -> None:
        """A server is gone."""
