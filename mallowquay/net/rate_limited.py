"""A rate-limited logger: one warning of a kind a second, with the number of those left out."""

from __future__ import annotations

from datetime import timedelta
from typing import Any

from ..core.model import Clock

GAP = timedelta(seconds=1)


class RateLimitedLogger:
    """Logs what may come thousands of times a second."""

    def __init__(self, log: Any, clock: Clock) -> None:
        self._log, self._clock = log, clock
        self._next: timedelta | None = None
        self._left_out = 0

    def warning(self, event: str, **fields: object) -> None:
        """Log a warning, or count it."""
        now = self._clock()
        if self._next is not None and now < self._next:
            self._left_out += 1
            return
        if self._left_out:
            fields["like_it"] = self._left_out
        self._next, self._left_out = now + GAP, 0
        self._log.warning(event, **fields)
