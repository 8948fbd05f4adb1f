"""A stand-in for Consul: the health endpoint with blocking queries, after its public description."""

from __future__ import annotations

import json
import sys
import threading
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qs, urlsplit

from .process import WAIT


class StandInConsul(ThreadingHTTPServer):
    """The health endpoint of Consul's API with blocking queries, after its public description."""

    daemon_threads = True

    def __init__(self) -> None:
        super().__init__(("127.0.0.1", 0), _Handler)
        self.changed = threading.Condition()
        self.index, self.failing = 10, 0
        self.instances: list[dict[str, Any]] = []
        self.ended = threading.Event()
        self.silenced = 0  # queries up to this number are never answered
        self.queries: list[tuple[str, dict[str, list[str]], str | None]] = []
        threading.Thread(target=self.serve_forever, args=(0.02,), daemon=True).start()

    def tell(self, instances: list[dict[str, Any]], index: int | None = None) -> None:
        """The instances of the service from now on."""
        with self.changed:
            self.instances, self.index = instances, self.index + 1 if index is None else index
            self.changed.notify_all()

    def fall_silent(self) -> None:
        """The queries that are open are never answered; new ones are."""
        with self.changed:
            self.silenced = len(self.queries)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """A client that has gone is none of its concern."""
        if not isinstance(sys.exc_info()[1], ConnectionError):
            super().handle_error(request, client_address)

    def wait_for(self, what: Callable[[], bool]) -> bool:
        """Whether this comes true in time; looked at with each query and change."""
        with self.changed:
            return self.changed.wait_for(what, WAIT)


class _Handler(BaseHTTPRequestHandler):
    server: StandInConsul
    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:
        url = urlsplit(self.path)
        query = parse_qs(url.query)
        known = int(query["index"][0])
        with self.server.changed:
            self.server.queries.append((url.path, query, self.headers.get("X-Consul-Token")))
            number = len(self.server.queries)
            self.server.changed.notify_all()
            if self.server.failing:
                self.server.failing -= 1
                self.answer(500, b"no cluster leader")
                return
            wait = int(query["wait"][0].removesuffix("ms")) / 1000
            self.server.changed.wait_for(lambda: known == 0 or self.server.index != known, wait)
            silent = number <= self.server.silenced
            body = json.dumps(self.server.instances).encode()
            index = self.server.index
        if silent:
            self.server.ended.wait()
            self.close_connection = True
        else:
            self.answer(200, body, index)

    def answer(self, status: int, body: bytes, index: int = 0) -> None:
        self.send_response(status)
        self.send_header("Content-Length", str(len(body)))
        self.send_header("X-Consul-Index", str(index))
        self.send_header("X-Consul-KnownLeader", "true")
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_: object) -> None:
        """Quiet."""


def instance(name: str, port: int, status: str = "passing", **meta: str) -> dict[str, Any]:
    """An entry of the health endpoint."""
    return {
        "Node": {"Node": "n1", "Address": "127.0.0.1"},
        "Service": {"ID": name, "Service": "log-server", "Address": "", "Port": port, "Meta": meta or None},
        "Checks": [
            {"CheckID": "serfHealth", "Status": "passing"},
            {"CheckID": f"service:{name}", "Status": status},
        ],
    }
