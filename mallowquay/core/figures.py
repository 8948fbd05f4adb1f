"""The figures of the process, counted from its start."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from typing import Any

from .model import Verdict


class Figures:
    """How requests ended, by class, and the attempts that were written whole."""

    def __init__(self, classes: Iterable[str]) -> None:
        self._classes = dict.fromkeys(classes)
        self._ended: Counter[tuple[str, Verdict]] = Counter()
        self.attempts = 0

    def name(self, classes: Iterable[str]) -> None:
        """Classes that are told from the start, with 0; those of before keep their counts."""
        self._classes |= dict.fromkeys(classes)

    def ended(self, class_name: str, verdict: Verdict) -> None:
        """A request had its final answer."""
        self._ended[class_name, verdict] += 1

    def told(self) -> dict[str, Any]:
        """The counts under the names that operators know."""
        return {
            "completed": self._of(Verdict.STANDS),
            "rejected": self._of(Verdict.REFUSED),
            "failed": self._of(Verdict.FAILED, Verdict.BAD),
            "upstream_requests": self.attempts,
        }

    def _of(self, *verdicts: Verdict) -> dict[str, int]:
        return {name: sum(self._ended[name, verdict] for verdict in verdicts) for name in self._classes}
