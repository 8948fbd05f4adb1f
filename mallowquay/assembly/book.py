"""The book that all members hold alike. Loaded only with a part that goes by it."""

from __future__ import annotations

import asyncio
from collections.abc import Mapping
from typing import Any

from ..book.model import BookFault, Outcome
from ..book.node import BookNode
from ..net.clock import monotonic
from ..operation.control import Page
from .base import Assembly, Heart
from .fleet import FleetAssembly


class BookAssembly(Assembly):
    """Carries the book beside the view."""

    def __init__(self, heart: Heart, member: FleetAssembly) -> None:
        self._heart = heart
        self.node = BookNode(member.node, monotonic)

    async def start(self) -> None:
        """Its pages; the book itself begins with the member's life."""
        self._heart.pages += [
            Page("/book", shown=self.node.told),
            Page("/book/put", act=self._put),
            Page("/book/remove", act=self._remove),
        ]

    def figures(self) -> Mapping[str, Any]:
        """In short; `/book` has the rest."""
        told = self.node.told()
        shown = ("last", "bytes", "digest", "age_ms", "written", "refused")
        return {"book": {key: told[key] for key in shown}}

    async def _put(self, names: list[str]) -> None:
        """An operator's note: `KIND/NAME=TEXT`, kept and passed on by all. Errors: BookFault."""
        for text in names:
            key, equals, body = text.partition("=")
            kind, slash, name = key.partition("/")
            if not equals or not slash:
                raise BookFault(f"KIND/NAME=TEXT is wanted, not {text!r}", "names")
            await self._ask(kind, name, body.encode())

    async def _remove(self, names: list[str]) -> None:
        """Remove `KIND/NAME`. Errors: BookFault."""
        for text in names:
            kind, slash, name = text.partition("/")
            if not slash or name not in self.node.entries(kind):
                raise BookFault("there is no such entry", text)
            await self._ask(kind, name, None)

    async def _ask(self, kind: str, name: str, body: bytes | None) -> None:
        wait: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        self.node.submit(
            self.node.change(kind, name, body), lambda got: None if wait.done() else wait.set_result(got)
        )
        outcome = await wait
        if not outcome.done:
            raise BookFault(outcome.fault, f"{kind}/{name}")
