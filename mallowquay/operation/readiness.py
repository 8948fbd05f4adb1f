"""Whether this process serves, and how far it has sent its callers away."""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

import structlog

from ..core.model import Clock

log = structlog.get_logger(part=__name__)

CALLERS_KNOW = timedelta(milliseconds=700)  # by then nobody who asks comes anew: connections are closed
REFUSES_AFTER = timedelta(milliseconds=1500)  # and set-ups on those that never fall idle are refused


class Operation:
    """What the second address, OPTIONS on both fronts, the drain and SIGTERM share."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.listening = self.list_known = False
        self.drained = self.stopping = False
        self._away_since: timedelta | None = None
        self.waits: list[Callable[[], bool]] = []  # what has to come first, while one of them says so

    @property
    def ready(self) -> bool:
        """Whether callers are to come."""
        open_ = self.listening and self.list_known and not self.drained and not self.stopping
        return open_ and not any(behind() for behind in self.waits)

    def drain(self) -> None:
        """Send callers away; the process goes on."""
        if not self.drained:
            self.drained = True
            self._send_away("drained")

    def undo(self) -> None:
        """The end of the drain."""
        if self.drained:
            self.drained = False
            if not self.stopping:
                self._away_since = None
            log.info("drain_over")

    def stop(self) -> None:
        """SIGTERM: as a drain, without an end."""
        self.stopping = True
        self._send_away("stopping")

    def serve_again(self) -> None:
        """Told to end, so not ready, this process takes who comes: the one to succeed it is gone."""
        if not self.drained:
            self._away_since = None

    def _send_away(self, why: str) -> None:
        log.info("callers_sent_away", why=why)
        if self._away_since is None:
            self._away_since = self._clock()

    def _away_for(self, span: timedelta) -> bool:
        return self._away_since is not None and self._clock() - self._away_since >= span

    @property
    def closing(self) -> bool:
        """Whether connections are closed between requests."""
        return self._away_for(CALLERS_KNOW)

    @property
    def refusing(self) -> bool:
        """Whether new set-ups are refused, so that every connection falls idle."""
        return self._away_for(REFUSES_AFTER)
