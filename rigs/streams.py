"""Connections and listening sockets of one event loop, with one owner that closes them before it ends.

What is left open is collected after the loop has closed, wherever a garbage collection falls, and a
`StreamWriter` raises there.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any

Handler = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Coroutine[Any, Any, None]]


class OwnedStreams:
    """Opens and accepts connections; leaving its context closes them all."""

    def __init__(self) -> None:
        self._servers: list[asyncio.Server] = []
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._closed = False

    async def __aenter__(self) -> OwnedStreams:
        return self

    async def __aexit__(self, *exception: object) -> None:
        await self.close()

    async def open(
        self, host: str, port: int, **options: Any
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """A new connection. Errors: OSError."""
        reader, writer = await asyncio.open_connection(host, port, **options)
        self._own(writer)
        return reader, writer

    async def serve(
        self, handle: Handler, host: str | None = None, port: int | None = None, **options: Any
    ) -> asyncio.Server:
        """Listen as `asyncio.start_server` does.

        A connection is closed when its handler ends, and the handler is cancelled at the end.
        """

        def accepted(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            # Not a coroutine: one that is cancelled before its first step would leave the connection open.
            self._own(writer)
            if self._closed:
                return
            task = asyncio.ensure_future(handle(reader, writer))
            self._tasks.add(task)
            task.add_done_callback(lambda done: self._handled(done, writer))

        server = await asyncio.start_server(accepted, host, port or (None if host is None else 0), **options)
        self._servers.append(server)
        return server

    def _handled(self, task: asyncio.Task[None], writer: asyncio.StreamWriter) -> None:
        self._tasks.discard(task)
        writer.close()

    def _own(self, writer: asyncio.StreamWriter) -> None:
        self._writers = {known for known in self._writers if not known.is_closing()}
        self._writers.add(writer)
        if self._closed:
            writer.transport.abort()

    async def close(self) -> None:
        """Close everything, now."""
        self._closed = True
        for server in self._servers:
            server.close()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for writer in self._writers:
            writer.transport.abort()
        await asyncio.sleep(0)  # the transports tell their ends in the loop's next turn
