"""A bounded memory of ids met lately."""

from __future__ import annotations


class RecentlySeen:
    """Remembers the last so many ids."""

    def __init__(self, most: int) -> None:
        self._most = most
        self._ids: dict[str, None] = {}

    def add(self, name: str) -> None:
        """Remember an id, forgetting the oldest."""
        self._ids.pop(name, None)
        self._ids[name] = None
        if len(self._ids) > self._most:
            del self._ids[next(iter(self._ids))]

    def add_all(self, names: list[str]) -> None:
        """Remember several, the oldest first."""
        for name in names:
            self.add(name)

    def ids(self) -> list[str]:
        """All that are remembered, the oldest first."""
        return list(self._ids)

    def holds(self, name: str) -> bool:
        """Whether the id was met lately."""
        return name in self._ids
