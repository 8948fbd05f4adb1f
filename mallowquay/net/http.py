"""An HTTP server that keeps a bounded number of connections open."""

from __future__ import annotations

from collections.abc import Awaitable
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream

from .accepting import AcceptingServer


class BoundedServer(AcceptingServer, HTTPServer):
    """At its bound a newcomer is refused or, with `gives_way`, the connection that is open longest closes."""

    most = 32  # of the descriptors that settings.SOCKETS_KEPT keeps
    gives_way = False

    def initialize(self, *arguments: Any, **named: Any) -> None:
        """Tornado's way to set up a server."""
        super().initialize(*arguments, **named)
        self._opened: dict[IOStream, None] = {}  # the oldest first

    def handle_stream(self, stream: IOStream, address: Any) -> Awaitable[None] | None:  # type: ignore[override]
        opened = self._opened
        for closed in [known for known in opened if known.closed()]:
            del opened[closed]
        if len(opened) >= self.most:
            if not self.gives_way:
                stream.close()
                return None
            oldest = next(iter(opened))
            del opened[oldest]
            oldest.close()
        opened[stream] = None
        return super().handle_stream(stream, address)  # type: ignore[return-value]
