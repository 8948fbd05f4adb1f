"""Datagrams between a gatekeeper and a log server, some of the log server's lost on the way."""

from __future__ import annotations

import asyncio
from typing import Any

from .common import HOST, Record


class _End(asyncio.DatagramProtocol):
    def __init__(self, received) -> None:
        self.received = received

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        self.received(data, address)


class Relay:
    """Listens where the list names the log server; each `each`-th datagram that comes from it is lost."""

    def __init__(self, record: Record, name: str, server: int, each: int) -> None:
        self.record, self.name, self.server, self.each = record, name, server, each
        self.gatekeeper: tuple[str, int] | None = None
        self.count = self.lost = 0

    async def listen(self, port: int) -> None:
        loop = asyncio.get_running_loop()
        _, self.front = await loop.create_datagram_endpoint(
            lambda: _End(self._to_server), local_addr=(HOST, port)
        )
        _, self.back = await loop.create_datagram_endpoint(
            lambda: _End(self._from_server), local_addr=(HOST, 0)
        )

    def _to_server(self, data: bytes, address: tuple[str, int]) -> None:
        self.gatekeeper = address
        self.back.transport.sendto(data, (HOST, self.server))

    def _from_server(self, data: bytes, address: tuple[str, int]) -> None:
        self.count += 1
        if self.each and self.count % self.each == 0:
            self.lost += 1
            self.record.add("lost on the way from", self.name, data.split(b"\r\n", 1)[0].decode())
        elif self.gatekeeper is not None:
            self.front.transport.sendto(data, self.gatekeeper)
