"""Coroutines that run beside their starter: kept until they end, and their faults logged."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

import structlog

log = structlog.get_logger(part=__name__)


class Tasks:
    """The coroutines that one owner has started."""

    def __init__(self) -> None:
        self._running: set[asyncio.Future[Any]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine; a fault in it is logged, never lost."""
        task = asyncio.ensure_future(coroutine)
        self._running.add(task)
        task.add_done_callback(self._done)

    def _done(self, task: asyncio.Future[Any]) -> None:
        self._running.discard(task)
        if not task.cancelled() and (fault := task.exception()) is not None:
            log.error("coroutine_failed", exc_info=fault)
