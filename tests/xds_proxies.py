"""Stand-ins round the control service: log servers that count, its process, and proxies."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import AsyncIterator
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import grpc
from envoy.config.endpoint.v3 import endpoint_pb2
from envoy.service.discovery.v3 import ads_pb2_grpc, discovery_pb2
from support import Process, free_port

from mallowquay.controlplane.snapshot import Kind
from mallowquay.controlplane.streams import TTL_FEATURE

CLUSTER = "log-servers"
DRAINING = 3  # of core.v3.HealthStatus


class CallServer:
    """A small gRPC server that says its name; `late`: calls that came after `until`."""

    def __init__(self, name: str) -> None:
        self.name, self.calls, self.late = name, 0, 0
        self.until: float | None = None
        self._server = grpc.server(ThreadPoolExecutor(4))
        handler = grpc.unary_unary_rpc_method_handler(self._call)
        self._server.add_generic_rpc_handlers(
            (grpc.method_handlers_generic_handler("t.T", {"M": handler}),)
        )
        self.port = self._server.add_insecure_port("127.0.0.1:0")
        self._server.start()

    def _call(self, request: bytes, context: object) -> bytes:
        self.calls += 1
        if self.until is not None and time.monotonic() > self.until:
            self.late += 1
        return self.name.encode()

    def stop(self) -> None:
        self._server.stop(0)


class Service:
    """`mallowquay control-plane` on an operator's file that is written anew and taken at SIGHUP."""

    def __init__(self, folder: Path, ports: list[int], more: str = "") -> None:
        self.ads, self.control, self._more = free_port(), free_port(), more
        self.ports, self.drained = ports, set[int]()
        self.file = folder / "control.toml"
        self.start()

    def write(self) -> None:
        text = f'control = "127.0.0.1:{self.control}"\n[xds]\nads = "127.0.0.1:{self.ads}"\n{self._more}\n'
        text += '[[classes]]\nname = "a"\naim_ms = 2000\ndeadline_ms = 9000\n'
        for number, port in enumerate(self.ports):
            status = "draining" if number in self.drained else "ready"
            text += f'[[servers]]\nid = "s{number}"\naddress = "127.0.0.1:{port}"\nstate = "{status}"\n'
        self.file.write_text(text)

    def start(self) -> None:
        self.write()
        self.process = Process(["control-plane", str(self.file)], {})
        self.process.wait_until_serves()

    def tell(self, drained: set[int]) -> float:
        """A new list; when the service was told."""
        self.drained = drained
        self.write()
        self.process.hang_up()
        return time.monotonic()

    def kill(self) -> None:
        self.process.process.kill()
        self.process.process.wait()


class StandIn:
    """A proxy that follows endpoints in either variant, lets leases run out, and reconnects when told."""

    def __init__(self, number: int, port: int, delta: bool) -> None:
        self.number, self.delta, self._port = number, delta, port
        self.endpoints: dict[int, tuple[bool, int]] = {}  # port to (draining, weight)
        self.good_until = 0.0
        self.version, self.versions = "", dict[str, str]()
        self.updates = self.beats = 0
        self.heard = asyncio.Event()
        self._channel: grpc.aio.Channel | None = None
        self._task: asyncio.Task[None] | None = None

    def pick(self, chance: random.Random) -> int | None:
        """The port of a log server for a new call; None where what is held has run out or drains."""
        if time.monotonic() >= self.good_until:
            return None
        ready = [(port, weight) for port, (drains, weight) in self.endpoints.items() if not drains]
        if not ready:
            return None
        return chance.choices([port for port, _ in ready], [weight for _, weight in ready])[0]

    def connect(self) -> None:
        self._task = asyncio.ensure_future(self._follow())

    async def disconnect(self) -> None:
        """Break, as a cut network would: half-way through whatever is on its way."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.gather(self._task, return_exceptions=True)
        if self._channel is not None:
            await self._channel.close()

    async def _follow(self) -> None:
        self._channel = grpc.aio.insecure_channel(
            f"127.0.0.1:{self._port}",
            options=[
                ("grpc.use_local_subchannel_pool", 1), ("grpc.initial_reconnect_backoff_ms", 100),
                ("grpc.min_reconnect_backoff_ms", 100), ("grpc.max_reconnect_backoff_ms", 500),
            ],
        )  # fmt: skip
        asks: asyncio.Queue[object] = asyncio.Queue()
        asks.put_nowait(self._first())
        stub = ads_pb2_grpc.AggregatedDiscoveryServiceStub(self._channel)
        method = stub.DeltaAggregatedResources if self.delta else stub.StreamAggregatedResources
        try:
            async for response in method(self._asks(asks), wait_for_ready=True):
                self._take(response)
                asks.put_nowait(self._answer(response))
        except grpc.aio.AioRpcError:
            await self._channel.close()
            await asyncio.sleep(random.Random(self.number).uniform(0.05, 0.5))
            self.connect()  # the service went: backoff with jitter is the client's

    async def _asks(self, asks: asyncio.Queue[object]) -> AsyncIterator[object]:
        while True:
            yield await asks.get()

    def _first(self) -> object:
        node = {"id": f"proxy-{self.number}", "client_features": [TTL_FEATURE]}
        if self.delta:
            return discovery_pb2.DeltaDiscoveryRequest(
                node=node, type_url=Kind.ENDPOINTS.value, resource_names_subscribe=[CLUSTER],
                initial_resource_versions=self.versions,
            )  # fmt: skip
        return discovery_pb2.DiscoveryRequest(
            node=node, type_url=Kind.ENDPOINTS.value, resource_names=[CLUSTER], version_info=self.version
        )

    def _answer(self, response: object) -> object:
        if self.delta:
            return discovery_pb2.DeltaDiscoveryRequest(
                type_url=Kind.ENDPOINTS.value, response_nonce=response.nonce
            )
        return discovery_pb2.DiscoveryRequest(
            type_url=Kind.ENDPOINTS.value, resource_names=[CLUSTER], version_info=self.version,
            response_nonce=response.nonce,
        )  # fmt: skip

    def _take(self, response: object) -> None:
        for packed in response.resources:
            resource = packed
            if not self.delta:
                resource = discovery_pb2.Resource()
                packed.Unpack(resource)
            self.good_until = time.monotonic() + resource.ttl.ToTimedelta().total_seconds()
            self.versions[resource.name] = resource.version
            if not resource.HasField("resource"):
                self.beats += 1
                continue
            self.updates += 1
            message = endpoint_pb2.ClusterLoadAssignment()
            resource.resource.Unpack(message)
            self.endpoints = {
                one.endpoint.address.socket_address.port_value: (
                    one.health_status == DRAINING, one.load_balancing_weight.value,
                )
                for group in message.endpoints
                for one in group.lb_endpoints
            }  # fmt: skip
        if not self.delta:
            self.version = response.version_info
        self.heard.set()
