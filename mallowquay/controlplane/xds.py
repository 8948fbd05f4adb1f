"""xDS v3 endpoint discovery, REST-JSON: other proxies take the module's ratings as health and weights."""

from __future__ import annotations

import json
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import structlog
from tornado import gen
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.util import TimeoutError as TornadoTimeout
from tornado.web import Application, RequestHandler

from ..core.model import Level, Rating, Server, ServerStatus
from ..errors import Fault
from ..net.http import BoundedServer

log = structlog.get_logger(part=__name__)

TYPE = "type.googleapis.com/envoy.config.endpoint.v3.ClusterLoadAssignment"
PATH = "/v3/discovery:endpoints"
BODY_MOST = 64 * 1024
IDLE_MOST = timedelta(minutes=2)
WRITE_WITHIN = timedelta(seconds=10)  # a proxy that has not read its answer by then is let go
FAULT_MOST = 200  # characters of a stranger that are repeated
WEIGHT_MOST = 100  # weights are parts of the strongest server: coarse, so that noise makes no new version
HEALTH = {Level.NORMAL: "HEALTHY", Level.WARNING: "DEGRADED", Level.CRITICAL: "UNHEALTHY"}


class BadRequest(Fault):
    """A proxy's DiscoveryRequest cannot be served."""

    code = "xds.request"
    remedy = "Look at the proxy's configuration: this program serves endpoints of xds.cluster, as JSON."


class Endpoints:
    """The one resource, and its version: a new one for each change."""

    def __init__(
        self,
        cluster: str,
        ratings: Callable[[], list[Rating]],
        servers: Callable[[], dict[str, Server]],
        start: str,
    ) -> None:
        # `start` sets this process's versions apart from those of the one before it.
        self._start = start
        self._cluster, self._ratings, self._servers = cluster, ratings, servers
        self._version = 0
        self._last: dict[str, Any] | None = None
        self.refused = 0  # versions that a proxy would not take

    def answer(self, request: Any) -> dict[str, Any] | None:
        """The DiscoveryResponse; None where the proxy holds this version or has refused it."""
        if not isinstance(request, dict):
            raise BadRequest("the request is not an object", "request")
        wanted_type = _field(request, "type_url", "typeUrl") or TYPE
        if wanted_type != TYPE:
            raise BadRequest(f"type_url {wanted_type!r} is not served", "type_url")
        names = _field(request, "resource_names", "resourceNames") or []
        if not isinstance(names, list):
            raise BadRequest("resource_names is not a list", "resource_names")
        resource = self.resource()
        if resource != self._last:
            self._version, self._last = self._version + 1, resource
        version = f"{self._start}-{self._version}"
        fault = _field(request, "error_detail", "errorDetail")
        if fault and _field(request, "response_nonce", "responseNonce") == version:
            self.refused += 1
            log.warning("xds_version_refused", version=version, fault=str(fault)[:200])
            return None
        if _field(request, "version_info", "versionInfo") == version:
            return None
        served = not names or self._cluster in names
        return {
            "version_info": version,
            "resources": [resource] if served else [],
            "type_url": TYPE,
            "nonce": version,
            "control_plane": {"identifier": "mallowquay"},
        }

    def resource(self) -> dict[str, Any]:
        """The ClusterLoadAssignment as it is now."""
        servers = self._servers()
        ratings = [rating for rating in self._ratings() if rating.server in servers]
        most = max((rating.takes for rating in ratings), default=0.0)
        endpoints = [_endpoint(servers[rating.server], rating, most) for rating in ratings]
        return {
            "@type": TYPE,
            "cluster_name": self._cluster,
            "endpoints": [{"locality": {}, "lb_endpoints": endpoints}] if endpoints else [],
        }


def _endpoint(server: Server, rating: Rating, most: float) -> dict[str, Any]:
    host, port = server.address
    draining = server.status is not ServerStatus.READY
    address = {"address": host, "port_value": port, "protocol": server.transport.upper()}
    weight = round(WEIGHT_MOST * rating.takes / most) if most else WEIGHT_MOST
    return {
        "endpoint": {"address": {"socket_address": address}},
        "health_status": "DRAINING" if draining else HEALTH[rating.level],
        "load_balancing_weight": max(1, weight),
    }


def _field(request: dict[str, Any], snake: str, camel: str) -> Any:
    return request.get(snake, request.get(camel))


class _Discovery(RequestHandler):
    def initialize(self, endpoints: Endpoints) -> None:
        self._endpoints = endpoints

    async def post(self) -> None:
        """Answer one poll: 200 with the resources, 304 when there is nothing new, 400 with the fault."""
        try:
            answer = self._endpoints.answer(json.loads(self.request.body))
        except (ValueError, RecursionError, BadRequest) as fault:
            known = fault if isinstance(fault, BadRequest) else BadRequest(str(fault), "body")
            self.set_status(400)
            told = {**known.told(), "fault": known.what[:FAULT_MOST]}
            answer = {"message": str(fault)[:FAULT_MOST], **told}
        if answer is None:
            self.set_status(304)
        written = self.finish(answer)
        try:
            await gen.with_timeout(WRITE_WITHIN, written, quiet_exceptions=StreamClosedError)
        except (TornadoTimeout, StreamClosedError):
            self.request.connection.stream.close()  # type: ignore[union-attr]


def serve(endpoints: Endpoints, address: tuple[str, int]) -> HTTPServer:
    """Listen for proxies."""
    application = Application(
        [(PATH, _Discovery, {"endpoints": endpoints})], log_function=lambda handler: None
    )
    server = BoundedServer(
        application,
        max_body_size=BODY_MOST,
        max_buffer_size=2 * BODY_MOST,
        idle_connection_timeout=IDLE_MOST.total_seconds(),
    )
    server.listen(address[1], address[0])
    return server
