"""Clients of the copies: they have leases granted and revoked, and believe only what they were told."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

from .history import History

ANSWERS = (OSError, ValueError, TimeoutError, asyncio.IncompleteReadError)
Ask = Callable[[str, str, str | None], Awaitable[dict[str, Any]]]


class Leases:
    """One client a machine, each with one request out at a time."""

    def __init__(self, seed: int, names: list[str], ask: Ask, history: History, every: float) -> None:
        self._chance = random.Random(seed)
        self._names, self._ask, self._history, self._every = names, ask, history, every
        self._granted: dict[str, str] = {}  # key to the machine that said so
        self._number = 0
        self._tasks: list[asyncio.Task[None]] = []
        self.runs: Callable[[str], bool] = lambda name: True

    def begin(self) -> None:
        """Clients come to every machine."""
        self._tasks = [asyncio.create_task(self._client(name)) for name in self._names]

    async def _client(self, name: str) -> None:
        while True:
            await asyncio.sleep(self._every * (0.5 + self._chance.random()))
            if not self.runs(name):
                continue
            here = [key for key, at in self._granted.items() if at == name]
            if here and self._chance.random() < 0.4:
                await self._revoke(name, self._chance.choice(here))
            else:
                await self._grant(name)

    async def _grant(self, name: str) -> None:
        self._number += 1
        key = f"{name}-{self._number}"
        try:
            told = await self._ask(name, "/copies/grant", f"names={key}")
        except ANSWERS:
            return  # nothing was promised
        if told.get("done"):
            self._granted[key] = name
            self._history.add("granted", name, key=key)

    async def _revoke(self, name: str, key: str) -> None:
        self._granted.pop(key, None)
        self._history.add("revoking", name, key=key)
        try:
            told = await self._ask(name, "/copies/revoke", f"names={key}")
        except ANSWERS:
            return  # it may have ended or not
        if told.get("done"):
            self._history.add("revoked", name, key=key)
        elif "not granted here" in str(told.get("fault")):
            self._history.add("revoke_refused", name, key=key)

    async def finish(self) -> None:
        """No more requests."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def show(self) -> dict[str, list[str]]:
        """What each machine acts for now."""
        found = {}
        for name in self._names:
            try:
                found[name] = (await self._ask(name, "/copies/leases", None))["leases"]
            except (*ANSWERS, KeyError):
                continue
        return found
