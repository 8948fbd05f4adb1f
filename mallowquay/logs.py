"""Structured logs on standard error: an event has a stable name and fields, not a sentence."""

from __future__ import annotations

import logging
import sys
from enum import Enum

import structlog
from structlog.typing import Processor


class LogFormat(Enum):
    """How an event is written: a line for people, or one JSON object a line."""

    CONSOLE = "console"
    JSON = "json"


LEVELS = ("debug", "info", "warning", "error")
DEFAULT_LEVEL = "info"


def configure(form: LogFormat = LogFormat.CONSOLE, level: str = DEFAULT_LEVEL) -> None:
    """Write events of this level and above in this form, those of Tornado and asyncio too."""
    least = getattr(logging, level.upper())
    shared: list[Processor] = [
        structlog.stdlib.add_log_level,
        structlog.processors.TimeStamper(fmt="iso", utc=True),
        structlog.processors.UnicodeDecoder(),
    ]
    last: list[Processor]
    if form is LogFormat.JSON:
        last = [structlog.processors.format_exc_info, structlog.processors.JSONRenderer()]
    else:
        last = [structlog.dev.ConsoleRenderer(colors=False, pad_event_to=0, pad_level=False)]
    structlog.configure(
        processors=[*shared, *last],
        wrapper_class=structlog.make_filtering_bound_logger(least),
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        structlog.stdlib.ProcessorFormatter(
            foreign_pre_chain=[structlog.stdlib.add_logger_name, *shared],
            processors=[structlog.stdlib.ProcessorFormatter.remove_processors_meta, *last],
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(least)
