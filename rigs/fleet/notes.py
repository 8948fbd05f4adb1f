"""Clients of the book: each writes a note of its own again and again, and reads all notes at every machine.

A client believes what it was told and nothing else; `judge` compares only that with what later readings show.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

from .history import Event, History, now_us

ANSWERS = (OSError, ValueError, TimeoutError, asyncio.IncompleteReadError)
Ask = Callable[[str, str, str | None], Awaitable[dict[str, Any]]]
SLACK_US = 2_000  # between a clock that was read here and there: the same machine, but not the same moment


class Notes:
    """One writer and one reader a machine."""

    def __init__(self, seed: int, names: list[str], ask: Ask, history: History, every: float) -> None:
        self._chance = random.Random(seed)
        self._names, self._ask, self._history, self._every = names, ask, history, every
        self._tasks: list[asyncio.Task[None]] = []
        self.runs: Callable[[str], bool] = lambda name: True

    def begin(self) -> None:
        """They come."""
        self._tasks = [asyncio.create_task(self._write(name)) for name in self._names]
        self._tasks += [asyncio.create_task(self._read(name)) for name in self._names]

    async def _write(self, name: str) -> None:
        """A note of its own, with a number that grows, at whichever machine chance picks."""
        number = 0
        while True:
            await asyncio.sleep(self._every * (0.5 + self._chance.random()))
            at = self._chance.choice(self._names)
            if not self.runs(at):
                continue
            number += 1
            self._history.add("writing", at, note=name, number=number)
            try:
                told = await self._ask(at, "/book/put", f"names=note/{name}%3D{number}")
            except ANSWERS:
                continue  # it may be written or not
            if told.get("done"):
                self._history.add("written", at, note=name, number=number)

    async def _read(self, name: str) -> None:
        while True:
            await asyncio.sleep(self._every / 2 * (0.5 + self._chance.random()))
            if self.runs(name):
                await self.read(name)

    async def read(self, name: str) -> dict[str, Any] | None:
        """What a machine's book says now."""
        begun = now_us()
        try:
            told = await self._ask(name, "/book", None)
        except ANSWERS:
            return None
        if "digest" not in told:
            return None
        kept = {key: told[key] for key in ("last", "digest", "age_ms", "notes")}
        self._history.add("book", name, begun_us=begun, **kept)
        return kept

    async def finish(self) -> None:
        """No more of them; each machine is read once more."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        last = [await self.read(name) for name in self._names if self.runs(name)]
        self._history.add("last_readings", books=[None if one is None else one["digest"] for one in last])


def judge(events: list[Event]) -> list[str]:
    """What clients saw that may not be."""
    found: list[str] = []
    digests: dict[int, tuple[str, str]] = {}
    written: dict[str, list[tuple[int, int]]] = {}  # a note's numbers that were told as written, and when
    asked: dict[str, int] = {}
    for event in events:
        told = event.fields
        if event.what == "writing":
            asked[told["note"]] = told["number"]
        elif event.what == "written":
            written.setdefault(told["note"], []).append((event.at_us, told["number"]))
        elif event.what == "book":
            known, first = digests.setdefault(told["last"], (told["digest"], event.name))
            if known != told["digest"]:
                found.append(f"{event.name} and {first} have two books that end with {told['last']}")
            if told["age_ms"] is None:
                continue
            # All that was agreed before this moment is in it, says the reading.
            as_of = told["begun_us"] - 1000 * (told["age_ms"] + 1) - SLACK_US
            for note, numbers in written.items():
                shown = int(told["notes"].get(note, 0))
                least = max((number for at, number in numbers if at < as_of), default=0)
                # What was asked for without an answer may be carried out later, after the next one.
                if shown < least and (shown == 0 or any(number == shown for _, number in numbers)):
                    found.append(f"{event.name} shows {note} as {shown}, and {least} was written before")
                if shown > asked.get(note, 0):
                    found.append(f"{event.name} shows {note} as {shown}, which nobody asked for")
        elif event.what == "last_readings":
            if len(set(told["books"])) != 1 or None in told["books"]:
                found.append(f"books differ at the end: {told['books']}")
    return found


def figures(events: list[Event]) -> dict[str, Any]:
    """How much of it there was."""
    ages = sorted(e.fields["age_ms"] for e in events if e.what == "book" and e.fields["age_ms"] is not None)
    return {
        "asked": sum(event.what == "writing" for event in events),
        "written": sum(event.what == "written" for event in events),
        "read": sum(event.what == "book" for event in events),
        "age_ms_median": ages[len(ages) // 2] if ages else None,
    }
