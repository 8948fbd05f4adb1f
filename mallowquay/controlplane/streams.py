"""Aggregated discovery over gRPC: one task a stream that writes what its machines owe.

Nothing is queued for a stream: each write takes the newest snapshot, so a proxy that reads slowly holds back
one response, and one that does not read for `WRITE_WITHIN` is let go.
"""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator, Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta
from functools import lru_cache
from typing import Any

import grpc
import structlog
from envoy.service.discovery.v3 import discovery_pb2

from ..core.model import Clock
from ..errors import NotStarted
from ..net.rate_limited import RateLimitedLogger
from .snapshot import KINDS, Kind, Snapshot
from .subscriptions import Ask, Delta, Lease, Response, TooMuch, World

log = structlog.get_logger(part=__name__)

SERVICE = "envoy.service.discovery.v3.AggregatedDiscoveryService"
TTL_FEATURE = "xds.config.supports-resource-ttl"  # a client that tells it lets resources run out
MESSAGE_MOST = 1024 * 1024  # bytes of a request
WRITE_WITHIN = timedelta(seconds=10)
ASK_WITHIN = timedelta(seconds=10)  # a stream that has asked for nothing by then gives its place to others
ENCODED_MOST = 256  # responses kept as they are written: all streams that hold the same share them
FAULT_MOST = 200  # characters of a refusal that are logged
SECOND = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class Terms:
    """What streams are granted. `nodes`: the node ids that may come, all if empty."""

    lease: Lease | None
    patience: timedelta
    streams_most: int
    first_pushes_per_s: float
    nodes: frozenset[str] = frozenset()


@dataclass(slots=True)
class Counts:
    """Since the start of this process."""

    streams_opened: int = 0
    streams_refused: int = 0
    pushes: int = 0
    beats: int = 0
    acknowledged: int = 0
    refused: int = 0
    slow: int = 0


class Hub:
    """The newest snapshot, and the streams that follow it."""

    def __init__(self, terms: Terms, clock: Clock) -> None:
        self.terms, self.clock = terms, clock
        self.snapshot = Snapshot(0, 0)
        self.streams: set[Stream] = set()
        self.counts = Counts()
        self._warn_ended = RateLimitedLogger(log, clock)
        self._turn = timedelta(0)  # when the next new stream may have its first response

    def publish(self, snapshot: Snapshot) -> None:
        """All streams are owed this from now on."""
        self.snapshot = snapshot
        for stream in self.streams:
            stream.stir.set()

    def first_turn(self) -> timedelta:
        """How long a new stream waits for its first response: after a restart all come at once."""
        now = self.clock()
        self._turn = max(self._turn, now) + SECOND / self.terms.first_pushes_per_s
        return self._turn - now

    def figures(self) -> dict[str, Any]:
        """For the second address."""
        now = self.clock()
        waiting = [
            now - machine.unacknowledged_since
            for stream in self.streams
            for machine in stream.machines.values()
            if machine.unacknowledged_since is not None
        ]
        return {
            "streams": len(self.streams),
            "sequence": self.snapshot.sequence,
            "oldest_unacknowledged_ms": max(waiting, default=timedelta(0)) / timedelta(milliseconds=1),
            **{name: getattr(self.counts, name) for name in Counts.__slots__},
        }

    def handlers(self) -> grpc.GenericRpcHandler:
        """The two methods of the service; responses are bytes already."""

        def method(delta: bool, request: Any) -> grpc.RpcMethodHandler:
            async def serve(requests: AsyncIterator[Any], context: Any) -> None:
                await self._serve(requests, context, delta)

            return grpc.stream_stream_rpc_method_handler(
                serve, request_deserializer=request.FromString, response_serializer=lambda message: message
            )

        return grpc.method_handlers_generic_handler(
            SERVICE,
            {
                "StreamAggregatedResources": method(False, discovery_pb2.DiscoveryRequest),
                "DeltaAggregatedResources": method(True, discovery_pb2.DeltaDiscoveryRequest),
            },
        )

    async def _serve(self, requests: AsyncIterator[Any], context: Any, delta: bool) -> None:
        if len(self.streams) >= self.terms.streams_most:
            self.counts.streams_refused += 1
            await context.abort(grpc.StatusCode.RESOURCE_EXHAUSTED, "too many streams: try another instance")
        stream = Stream(self, context, delta)
        self.streams.add(stream)
        self.counts.streams_opened += 1
        try:
            await stream.run(requests)
        except TooMuch as fault:
            self.counts.streams_refused += 1
            self._warn_ended.warning("xds_stream_ended", node=stream.node[:FAULT_MOST], **fault.told())
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, str(fault))
        finally:
            self.streams.discard(stream)


class Stream:
    """One proxy."""

    def __init__(self, hub: Hub, context: Any, delta: bool) -> None:
        self._hub, self._context, self._delta = hub, context, delta
        self.stir, self._asks = asyncio.Event(), asyncio.Event()
        self.machines: dict[Kind, World | Delta] = {}
        self._lease: Lease | None = None
        self.node = ""

    async def run(self, requests: AsyncIterator[Any]) -> None:
        """Until the proxy goes. Errors: TooMuch."""
        reading = asyncio.ensure_future(self._read(requests))
        writing = asyncio.ensure_future(self._write())
        try:
            done, _ = await asyncio.wait((reading, writing), return_when=asyncio.FIRST_COMPLETED)
            for task in done:
                task.result()
        finally:
            for task in (reading, writing):
                task.cancel()
            await asyncio.gather(reading, writing, return_exceptions=True)

    async def _read(self, requests: AsyncIterator[Any]) -> None:
        async for request in requests:
            self._asks.set()
            if not self.node and request.HasField("node"):
                self._named(request.node)
            kind = KINDS.get(request.type_url)
            if kind is None:
                continue  # a kind that is not served: nothing of it will ever come
            machine = self.machines.get(kind)
            if machine is None:
                made = Delta if self._delta else World
                machine = self.machines[kind] = made(kind, self._lease, self._hub.terms.patience)
            before = (machine.acknowledged, machine.refused)
            machine.ask(self._asked(kind, request), self._hub.clock())
            self._hub.counts.acknowledged += machine.acknowledged - before[0]
            if machine.refused > before[1]:
                self._hub.counts.refused += 1
                fault = request.error_detail.message[:FAULT_MOST]
                log.warning("xds_refused", node=self.node[:FAULT_MOST], kind=kind.name, fault=fault)
            self.stir.set()

    def _named(self, node: Any) -> None:
        terms = self._hub.terms
        if terms.nodes and node.id not in terms.nodes:
            raise TooMuch(f"{node.id[:FAULT_MOST]!r} is not on the list", "node")
        self.node = node.id
        self._lease = terms.lease if TTL_FEATURE in node.client_features else None

    def _asked(self, kind: Kind, request: Any) -> Ask:
        refusal = request.error_detail.message or "refused" if request.HasField("error_detail") else None
        if self._delta:
            return Ask(
                kind,
                tuple(request.resource_names_subscribe),
                tuple(request.resource_names_unsubscribe),
                versions=dict(request.initial_resource_versions),
                nonce=request.response_nonce,
                refusal=refusal,
            )
        names = tuple(request.resource_names)
        return Ask(kind, names, version=request.version_info, nonce=request.response_nonce, refusal=refusal)

    async def _write(self) -> None:
        try:
            async with asyncio.timeout(ASK_WITHIN / SECOND):
                await self._asks.wait()
        except TimeoutError:
            raise TooMuch("nothing was asked for too long", "stream") from None
        await self.stir.wait()
        await asyncio.sleep(self._hub.first_turn() / SECOND)
        while True:
            self.stir.clear()
            # In the order in which a proxy needs them; after each write the newest snapshot counts.
            for kind in Kind:
                machine = self.machines.get(kind)
                response = machine.next(self._hub.snapshot, self._hub.clock()) if machine else None
                if response is not None:
                    await self._push(response)
            due = self._due()
            try:
                async with asyncio.timeout(None if due is None else max(0.0, due / SECOND)):
                    await self.stir.wait()
            except TimeoutError:
                pass

    def _due(self) -> timedelta | None:
        now, times = self._hub.clock(), []
        for machine in self.machines.values():
            held_back = machine.order.due(self._hub.snapshot, now)
            due = held_back if held_back is not None else machine.beat_due()
            times += [due] if due is not None else []
        return min(times) - now if times else None

    async def _push(self, response: Response) -> None:
        counts = self._hub.counts
        counts.beats += response.beat
        counts.pushes += not response.beat
        try:
            async with asyncio.timeout(WRITE_WITHIN / SECOND):
                await self._context.write(encode(response, self._delta))
        except TimeoutError:
            counts.slow += 1
            log.warning("xds_proxy_does_not_read", node=self.node[:FAULT_MOST])
            raise TooMuch("nothing was read for too long", "stream") from None


@lru_cache(ENCODED_MOST)
def encode(response: Response, delta: bool) -> bytes:
    """A response as it is written."""
    return _delta(response) if delta else _world(response)


def _resources(response: Response) -> Iterable[Any]:
    for item in response.items:
        resource = discovery_pb2.Resource(name=item.name, version=f"{item.digest}{_withdrawn(response)}")
        if response.lease is not None:
            resource.ttl.FromTimedelta(response.lease)
        if not response.beat:
            resource.resource.type_url, resource.resource.value = response.kind.value, item.body
        yield resource


def _withdrawn(response: Response) -> str:
    return "." + response.version.partition(".")[2]


def _world(response: Response) -> bytes:
    message = discovery_pb2.DiscoveryResponse(
        version_info=response.version, nonce=response.nonce, type_url=response.kind.value
    )
    if response.lease is None:
        for item in response.items:
            message.resources.add(type_url=response.kind.value, value=item.body)
    else:
        for resource in _resources(response):
            message.resources.add().Pack(resource)
    return message.SerializeToString()


def _delta(response: Response) -> bytes:
    return discovery_pb2.DeltaDiscoveryResponse(
        system_version_info=response.version,
        nonce=response.nonce,
        type_url=response.kind.value,
        resources=list(_resources(response)),
        removed_resources=response.removed,
    ).SerializeToString()


async def listen(hub: Hub, address: tuple[str, int], lister: Callable[[str], None]) -> tuple[Any, int]:
    """Serve; the server and its port. Errors: OSError where the address is taken."""
    options = [
        ("grpc.max_receive_message_length", MESSAGE_MOST),
        ("grpc.so_reuseport", 0),
        ("grpc.max_concurrent_streams", 2 * hub.terms.streams_most),
    ]
    server = grpc.aio.server(options=options)
    server.add_generic_rpc_handlers((hub.handlers(),))
    host, wanted = address
    try:
        port = server.add_insecure_port(f"{host}:{wanted}")
    except RuntimeError as fault:
        raise NotStarted(f"{host}:{wanted}: {fault}", "xds.ads") from fault
    await server.start()
    lister(f"{host}:{port}")
    return server, port
