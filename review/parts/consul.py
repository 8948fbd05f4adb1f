"""A stand-in for Consul: the health endpoint of one service with blocking queries, after its public description."""

from __future__ import annotations

import json
import threading
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from typing import Any
from urllib.parse import parse_qs, urlsplit


class Consul(ThreadingHTTPServer):
    """`answered` is told of each answer as it has been written: the ids in it, and when."""

    daemon_threads = True

    def __init__(self, port: int, answered: Callable[[list[str]], None]) -> None:
        super().__init__(("127.0.0.1", port), Handler)
        self.answered = answered
        self.changed = threading.Condition()
        self.index, self.instances, self.down = 10, list[dict[str, Any]](), False
        threading.Thread(target=self.serve_forever, args=(0.02,), daemon=True).start()

    def tell(self, instances: list[dict[str, Any]]) -> None:
        with self.changed:
            self.instances, self.index = instances, self.index + 1
            self.changed.notify_all()

    def handle_error(self, request: Any, client_address: Any) -> None:
        pass


class Handler(BaseHTTPRequestHandler):
    server: Consul
    protocol_version = "HTTP/1.1"

    def do_GET(self) -> None:
        query = parse_qs(urlsplit(self.path).query)
        known, wait = int(query["index"][0]), int(query["wait"][0].removesuffix("ms")) / 1000
        server = self.server
        with server.changed:
            server.changed.wait_for(lambda: server.down or known == 0 or server.index != known, wait)
            index, instances, down = server.index, list(server.instances), server.down
        body = b"No cluster leader" if down else json.dumps(instances).encode()
        self.send_response(500 if down else 200)
        self.send_header("Content-Type", "application/json")
        self.send_header("X-Consul-Index", str(index))
        if not down:
            self.send_header("X-Consul-KnownLeader", "true")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)
        if not down:
            server.answered([one["Service"]["ID"] for one in instances])

    def log_message(self, *_: object) -> None:
        pass


def instance(name: str, port: int, maintained: bool = False) -> dict[str, Any]:
    """An instance as the health endpoint tells it."""
    checks = [{"CheckID": "serfHealth", "Status": "passing"}, {"CheckID": f"service:{name}", "Status": "passing"}]
    if maintained:
        checks.append({"CheckID": f"_service_maintenance:{name}", "Status": "critical"})
    return {
        "Node": {"Node": f"node-{name}", "Address": "127.0.0.1"},
        "Service": {"ID": name, "Service": "log-server", "Address": "127.0.0.1", "Port": port,
                    "Meta": {"transport": "tcp"}},
        "Checks": checks,
    }  # fmt: skip
