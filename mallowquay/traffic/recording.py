"""Records while the program serves: one write an interval, on the loop that the calls run on."""

from __future__ import annotations

import time
from collections.abc import Iterable
from datetime import timedelta

from tornado.ioloop import IOLoop

from ..core.figures import Figures
from ..core.model import Clock
from .record import VERSION, Header, Recorder
from .store import Writer

MILLISECOND = timedelta(milliseconds=1)


class Recording:
    """Cuts and writes an interval whenever one is over; the last one when it is stopped."""

    def __init__(
        self, loop: IOLoop, clock: Clock, figures: Figures, path: str, interval: timedelta,
        classes: Iterable[str],
    ) -> None:  # fmt: skip
        """Begin to record. Errors: OSError if the file cannot be opened."""
        self._loop, self._clock, self._figures, self._interval = loop, clock, figures, interval
        started = time.time_ns() // 1_000_000
        self._writer = Writer(path, Header(VERSION, started, interval // MILLISECOND, list(classes)))
        self._due = clock()
        self._recorder = Recorder(self._due)
        figures.watch = self._recorder
        self._next()

    def _next(self) -> None:
        now = self._clock()
        self._due = max(self._due + self._interval, now)  # a loop that stood still leaves no heap of records
        self._handle = self._loop.add_timeout(self._due - now, self._cut)

    def _cut(self) -> None:
        self._writer.write(self._recorder.cut(self._clock()))
        self._next()

    def stop(self) -> None:
        """Write what the open interval holds."""
        self._loop.remove_timeout(self._handle)
        self._figures.watch = None
        self._writer.write(self._recorder.cut(self._clock()))
        self._writer.close()
