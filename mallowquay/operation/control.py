"""The second address, for on-call staff and the platform: readiness, figures, the drain."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from ..errors import Fault
from ..net.http import BoundedServer
from .readiness import Operation

PLACES = 16  # connections at once, of the descriptors that settings.SOCKETS_KEPT keeps
CALL_WITHIN = timedelta(seconds=5)  # a connection that finishes no call by then is closed
HEAD_MOST, BODY_MOST = 8 * 1024, 4 * 1024

Figures = Callable[[], dict[str, Any]]
Action = Callable[[list[str]], Awaitable[None] | None]  # errors: Fault


class ControlServer(BoundedServer):
    """Callers that finish no call give way to others."""

    most, gives_way = PLACES, True


class _Handler(RequestHandler):
    def initialize(self, operation: Operation) -> None:
        self._operation = operation

    def _say(self, yes: bool) -> None:
        self.set_status(200 if yes else 503)
        self.finish({"ready": yes})


class _Healthcheck(_Handler):
    def get(self) -> None:
        """Whether this process is ready to serve."""
        self._say(self._operation.ready)


class _Stats(_Handler):
    def initialize(self, operation: Operation, figures: Figures) -> None:  # type: ignore[override]
        super().initialize(operation)
        self._figures = figures

    def get(self) -> None:
        """The figures."""
        self.finish(self._figures())


class _Fail(_Handler):
    def post(self) -> None:
        """Drain."""
        self._operation.drain()
        self.finish({"drained": True})


class _Ok(_Handler):
    def post(self) -> None:
        """The end of the drain."""
        self._operation.undo()
        self.finish({"drained": False})


class _Page(RequestHandler):
    def initialize(self, shown: Figures | None, act: Action | None) -> None:
        self._shown, self._act = shown, act

    def get(self) -> None:
        """What a subsystem shows."""
        if self._shown is None:
            self.send_error(405)
        else:
            self.finish(self._shown())

    async def post(self) -> None:
        """What an operator asks of it: `names`, one or more. 409 with the fault where it cannot be done."""
        if self._act is None:
            self.send_error(405)
            return
        try:
            done = self._act(self.get_arguments("names"))
            if done is not None:
                await done
        except Fault as fault:
            self.set_status(409)
            self.finish(fault.told())
        else:
            self.finish({"done": True})


@dataclass(frozen=True, slots=True)
class Page:
    """A page of a subsystem on the second address."""

    path: str
    shown: Figures | None = None
    act: Action | None = None


def serve(
    operation: Operation, figures: Figures, address: tuple[str, int], pages: Sequence[Page] = ()
) -> HTTPServer:
    """Listen on the second address: one call per connection."""
    own = {"operation": operation}
    application = Application(
        [
            ("/healthcheck", _Healthcheck, own),
            ("/stats", _Stats, {**own, "figures": figures}),
            ("/healthcheck/fail", _Fail, own),
            ("/healthcheck/ok", _Ok, own),
            *((page.path, _Page, {"shown": page.shown, "act": page.act}) for page in pages),
        ],
        log_function=lambda handler: None,
    )
    server = ControlServer(
        application,
        no_keep_alive=True,
        max_header_size=HEAD_MOST,
        max_body_size=BODY_MOST,
        max_buffer_size=HEAD_MOST + BODY_MOST,
        idle_connection_timeout=CALL_WITHIN.total_seconds(),
        body_timeout=CALL_WITHIN.total_seconds(),
    )
    server.listen(address[1], address[0])
    return server
