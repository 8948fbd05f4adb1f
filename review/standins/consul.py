"""Consul's health endpoint with blocking queries, after its public description."""

from __future__ import annotations

import asyncio
import json
from typing import Any
from urllib.parse import parse_qs, urlsplit

from .common import HOST, Record


class Consul:
    """One service and its instances."""

    def __init__(self, record: Record) -> None:
        self.record, self.index = record, 10
        self.instances: dict[str, dict[str, Any]] = {}
        self.changed = asyncio.Condition()
        self.watches = 0

    async def listen(self, port: int) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, port)

    async def tell(self, name: str, port: int, status: str = "passing", **meta: str) -> None:
        """An instance is registered, or its check has changed."""
        self.record.add("consul", name, status, meta)
        async with self.changed:
            self.instances[name] = {
                "Node": {"Node": "n1", "Address": HOST},
                "Service": {"ID": name, "Service": "log-server", "Address": HOST, "Port": port, "Meta": meta},
                "Checks": [{"CheckID": "serfHealth", "Status": "passing"},
                           {"CheckID": f"service:{name}", "Status": status}],
            }  # fmt: skip
            self.index += 1
            self.changed.notify_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.watches += 1
        number = self.watches
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                query = parse_qs(urlsplit(head.split()[1]).query)
                known, wait = (
                    int(query.get("index", ["0"])[0]),
                    float(query.get("wait", ["300000ms"])[0][:-2]) / 1000,
                )
                self.record.add("consul", "query", number, "index", known, "wait", wait)
                async with self.changed:
                    try:
                        async with asyncio.timeout(wait):
                            await self.changed.wait_for(lambda: self.index != known)
                    except TimeoutError:
                        pass
                listed = list(self.instances.values())
                body = json.dumps(listed).encode()
                self.record.add("consul", "answer", number, "index", self.index, "instances", len(listed))
                writer.write(
                    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nX-Consul-KnownLeader: true\r\n"
                    b"X-Consul-Index: %d\r\nContent-Length: %d\r\n\r\n" % (self.index, len(body)) + body
                )
                await writer.drain()
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
