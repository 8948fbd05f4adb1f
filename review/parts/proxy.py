"""A proxy that follows endpoints over xDS (state of the world, ADS) and places calls by them.

It tells the version that it holds when its stream begins anew, as every client does, and goes on by what it holds
while it is cut off: it asks for no leases (resource time-to-live), as gRPC's own client does not.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator

import grpc
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.service.discovery.v3 import ads_pb2_grpc, discovery_pb2

from .stage import Stage

ENDPOINTS = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
UNKNOWN, HEALTHY = 0, 1
OPTIONS = [
    ("grpc.use_local_subchannel_pool", 1), ("grpc.enable_http_proxy", 0), ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100), ("grpc.max_reconnect_backoff_ms", 300),
]  # fmt: skip


class Proxy:
    """One proxy; `sent` holds when it sent a call, and to which port."""

    def __init__(self, stage: Stage, name: str, ads: int, gap: float) -> None:
        self.stage, self.name, self._ads, self._gap = stage, name, ads, gap
        self.version, self.ready = "", list[int]()
        self.connected_at: float | None = None  # its stream is open, and was so since then
        self.sent: list[tuple[float, int, float | None]] = []
        self._chance = random.Random(name)

    async def follow(self) -> None:
        while True:
            channel = grpc.aio.insecure_channel(f"127.0.0.1:{self._ads}", options=OPTIONS)
            try:
                await channel.channel_ready()
                self.connected_at = self.stage.note(self.name, f"connected, holds {self.version or 'nothing'}")
                asks: asyncio.Queue[object] = asyncio.Queue()
                asks.put_nowait(self._ask(node={"id": self.name}))
                stub = ads_pb2_grpc.AggregatedDiscoveryServiceStub(channel)
                async for response in stub.StreamAggregatedResources(self._asks(asks)):
                    self._take(response)
                    asks.put_nowait(self._ask(response_nonce=response.nonce))
            except grpc.aio.AioRpcError as fault:
                self.stage.note(self.name, f"stream ended: {fault.code().name}")
            self.connected_at = None
            await channel.close()
            await asyncio.sleep(0.1)

    def _ask(self, **more: object) -> object:
        return discovery_pb2.DiscoveryRequest(
            type_url=ENDPOINTS, resource_names=["log-servers"], version_info=self.version, **more
        )

    async def _asks(self, asks: asyncio.Queue[object]) -> AsyncIterator[object]:
        while True:
            yield await asks.get()

    def _take(self, response: discovery_pb2.DiscoveryResponse) -> None:
        self.version = response.version_info
        for packed in response.resources:
            told = endpoint_pb2.ClusterLoadAssignment()
            packed.Unpack(told)
            ends = [end for group in told.endpoints for end in group.lb_endpoints]
            self.ready = [
                end.endpoint.address.socket_address.port_value
                for end in ends
                if end.health_status in (UNKNOWN, HEALTHY)
            ]
            self.stage.note(self.name, f"told {self.version}: ready {self.ready} of {len(ends)}")

    async def place_calls(self) -> None:
        while True:
            await asyncio.sleep(self._gap)
            if self.ready:
                port = self._chance.choice(self.ready)
                self.sent.append((self.stage.now(), port, self.connected_at))
                try:
                    _, writer = await asyncio.open_connection("127.0.0.1", port)
                    writer.write(b"call\n")
                    writer.close()
                except OSError:
                    pass
