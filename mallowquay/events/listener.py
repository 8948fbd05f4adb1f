"""`[events] listen`: GET /events as a stream of server-sent events (WHATWG HTML Living Standard, 9.2).

A client has one write under way at a time, of bounded size; what comes meanwhile waits in its queue at the
desk.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import structlog
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream, StreamClosedError
from tornado.web import Application, RequestHandler

from ..core.model import Clock
from ..errors import Fault
from ..net.http import BoundedServer
from ..net.tasks import Tasks
from .cursor import TEXT_MOST
from .desk import Client
from .machine import EventsFull, EventsLate, EventsMachine, StreamUnknown

log = structlog.get_logger(part=__name__)

AGREED_WITHIN = timedelta(seconds=5)  # of a subscription, before the answer begins
WRITE_WITHIN = timedelta(seconds=60)  # a client that takes nothing for so long is let go
HEAD_MOST, BODY_MOST = 16 * 1024, 16 * 1024
PLACES_BESIDE = 16  # connections for refusals and changes of filters, beside those of clients
LOOKS_EVERY = 0.02  # seconds, at whether a subscription is agreed


def status_of(fault: Fault) -> int:
    """The status of an answer: 429 too many clients, 503 not agreed, 409 no such stream, 400 what was
    asked.
    """
    if isinstance(fault, EventsFull):
        return 429
    if isinstance(fault, EventsLate):
        return 503
    return 409 if isinstance(fault, StreamUnknown) else 400


class EventsListener(Tasks):
    """The streams of all clients."""

    def __init__(self, machine: EventsMachine, clock: Clock) -> None:
        super().__init__()
        self.machine, self.clock = machine, clock
        self.stopping = False
        self.streams: dict[int, _Events] = {}
        self._server: HTTPServer | None = None

    def listen(self, address: tuple[str, int]) -> None:
        """Take clients. Errors: OSError."""
        own = {"listener": self}
        application = Application(
            [("/events", _Events, own), ("/events/filter", _Change, own)],
            log_function=lambda handler: None,
        )
        most = self.machine.terms.clients_most + PLACES_BESIDE
        kind = type("EventsServer", (BoundedServer,), {"most": most})
        self._server = kind(
            application, no_keep_alive=True, max_header_size=HEAD_MOST, max_body_size=BODY_MOST,
            max_buffer_size=HEAD_MOST + BODY_MOST, idle_connection_timeout=10.0, body_timeout=10.0,
        )  # fmt: skip
        self._server.listen(address[1], address[0])

    def pump(self) -> None:
        """Write to whoever has something waiting and no write under way."""
        for ticket in list(self.machine.desk.written):
            stream = self.streams.get(ticket)
            if stream is not None:
                stream.pump()

    def look(self) -> None:
        """What is due of each stream: signs of life, and an end to those that read nothing."""
        for stream in list(self.streams.values()):
            stream.pump()

    def close(self) -> None:
        """End all streams, after what can be written at once."""
        self.stopping = True
        if self._server is not None:
            self._server.stop()
        for stream in list(self.streams.values()):
            stream.over()


class _Answers(RequestHandler):
    def initialize(self, listener: EventsListener) -> None:
        self._listener = listener

    def say(self, fault: Fault) -> None:
        """The fault, with its status."""
        status = status_of(fault)
        self.set_status(status)
        if status in (429, 503):
            self.set_header("Retry-After", "1")
        self.finish(fault.told())

    def asked(self, name: str) -> str:
        """An argument of the query or the body."""
        return self.get_argument(name, "", strip=False)

    async def agreed(self, client: Client, still: Callable[[], bool]) -> None:
        """Wait until the book has the client's filter. Errors: EventsLate."""
        listener = self._listener
        until = listener.clock() + AGREED_WITHIN
        while still() and not client.number:
            refused = listener.machine.refused(client)
            if refused is not None or listener.clock() > until:
                why = "not agreed in time" if refused is None else f"not taken: {refused.fault}"
                raise EventsLate(f"the subscription is {why}", "filter")
            await asyncio.sleep(LOOKS_EVERY)


class _Events(_Answers):
    def initialize(self, listener: EventsListener) -> None:
        super().initialize(listener)
        self._client: Client | None = None
        self._stream: IOStream = self.request.connection.stream  # type: ignore[union-attr]
        self._writing = False
        self._since: timedelta | None = None
        self._over = asyncio.Event()

    async def get(self) -> None:
        """Events that match `filter`, from `since` or the header Last-Event-ID on, else from now."""
        listener = self._listener
        since = self.asked("since") or self.request.headers.get("Last-Event-ID", "")
        try:
            if listener.stopping:
                raise EventsLate("this gatekeeper stops", "", "Ask another gatekeeper.")
            client = listener.machine.join(listener.clock(), self.asked("filter"), since[: TEXT_MOST + 1])
        except Fault as fault:
            self.say(fault)
            return
        self._client = client
        try:
            await self.agreed(client, lambda: not self._over.is_set())
        except Fault as fault:
            self._part()
            self.say(fault)
            return
        if self._over.is_set():
            self._part()
            return
        self.set_header("Content-Type", "text/event-stream; charset=utf-8")
        self.set_header("Cache-Control", "no-store")
        self.set_header("X-Accel-Buffering", "no")  # proxies that know it hand each event on at once
        listener.streams[client.ticket] = self
        try:
            self.write(b": events\n\n")
            self.flush()
            self.pump()
            await self._over.wait()
        finally:
            self._part()
        if not self._stream.closed():
            self.finish()

    def pump(self) -> None:
        """Write on, unless a write is under way."""
        client, listener = self._client, self._listener
        if client is None or self._over.is_set():
            return
        now = listener.clock()
        if client.closed or (self._writing and self._since is not None and now - self._since > WRITE_WITHIN):
            log.info("events_client_let_go", why=client.closed or "it takes nothing")
            self._stream.close()
            self.over()
            return
        if self._writing:
            return
        data = listener.machine.desk.take(now, client)
        if not data:
            return
        self._writing, self._since = True, now
        self.write(data)
        try:
            done = asyncio.ensure_future(self.flush())
        except StreamClosedError:
            self.over()
            return
        done.add_done_callback(self._written)

    def _written(self, done: asyncio.Future[Any]) -> None:
        self._writing = False
        if done.cancelled() or done.exception() is not None:
            self.over()
        else:
            self.pump()

    def over(self) -> None:
        """The stream ends."""
        self._over.set()

    def on_connection_close(self) -> None:
        """The client has gone."""
        self.over()

    def _part(self) -> None:
        if self._client is not None:
            self._listener.streams.pop(self._client.ticket, None)
            self._listener.machine.part(self._client.ticket)


class _Change(_Answers):
    async def post(self) -> None:
        """Another `filter` for an open `stream`: from one exact place in each member's order, told in it."""
        listener = self._listener
        try:
            client = listener.machine.change(listener.clock(), self.asked("stream"), self.asked("filter"))
            await self.agreed(client, lambda: client.ticket in listener.machine.desk.clients)
        except Fault as fault:
            self.say(fault)
            return
        self.finish({"filter": client.text, "number": client.number})
