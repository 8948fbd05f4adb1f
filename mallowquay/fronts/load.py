"""Load reports of log servers, the same text on both wires."""

from __future__ import annotations

from math import isfinite

from ..core.model import Load

# The settings name report fields in one way, the reports in another; both are read.
FIELD_WORDS = {"x0": "free", "x1": "size", "eps": "hold_back", "inflight": "in_work", "rif": "in_work"}
FIELD_WORDS |= {"q": "queue", "util": "busy", "lat_ms": "delay_ms", "latency_ms": "delay_ms"}
FIELD_WORDS |= {"qps": "can_take"}


def read_load(text: object) -> Load:
    """A report such as `x0:12;x1:40`; parts that cannot be read are left out."""
    load: Load = {}
    if not isinstance(text, str):
        return load
    for part in text.split(";"):
        name, colon, value = part.partition(":")
        try:
            figure = float(value) if colon else -1.0
        except ValueError:
            continue
        if colon and isfinite(figure):
            load[FIELD_WORDS.get(name.strip(), name.strip())] = figure
    return load
