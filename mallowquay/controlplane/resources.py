"""The xDS messages of what is shown: listener, route, cluster and endpoints, of the published classes.

A client that dials `xds:///NAME`, NAME being the cluster's name, needs nothing else: the listener of that
name routes all to the cluster, whose endpoints come over the same stream.

Warning is told by weight (the module's cap against what others take), not as DEGRADED, which gRPC takes as
unusable and others only where healthy ones run short: a pressed log server is to get less, not nothing.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from math import ceil, log2

from envoy.config.cluster.v3 import circuit_breaker_pb2, cluster_pb2
from envoy.config.core.v3 import address_pb2, base_pb2, config_source_pb2, health_check_pb2
from envoy.config.endpoint.v3 import endpoint_components_pb2, endpoint_pb2
from envoy.config.listener.v3 import api_listener_pb2, listener_pb2
from envoy.config.route.v3 import route_components_pb2, route_pb2
from envoy.extensions.filters.http.router.v3 import router_pb2
from envoy.extensions.filters.network.http_connection_manager.v3 import http_connection_manager_pb2
from google.protobuf.any_pb2 import Any
from google.protobuf.message import Message
from google.protobuf.wrappers_pb2 import UInt32Value

from ..core.model import Level
from .pacing import Shown
from .snapshot import Item, Kind, Snapshot

HEALTH = {
    Level.NORMAL: health_check_pb2.HEALTHY,
    Level.WARNING: health_check_pb2.HEALTHY,
    Level.CRITICAL: health_check_pb2.UNHEALTHY,
}
RING_LEAST = 1024  # places on the ring: weights of 1 to 100 are told apart among some dozens of endpoints
ADS = config_source_pb2.ConfigSource(
    ads=config_source_pb2.AggregatedConfigSource(), resource_api_version=config_source_pb2.V3
)


def _any(message: Message) -> Any:
    packed = Any()
    packed.Pack(message, deterministic=True)
    return packed


def _item(name: str, message: Message) -> Item:
    return Item.of(name, message.SerializeToString(deterministic=True))


def listener(cluster: str) -> listener_pb2.Listener:
    """What `xds:///NAME` asks for first."""
    manager = http_connection_manager_pb2.HttpConnectionManager(
        stat_prefix=cluster,
        rds=http_connection_manager_pb2.Rds(config_source=ADS, route_config_name=cluster),
        http_filters=[
            http_connection_manager_pb2.HttpFilter(name="router", typed_config=_any(router_pb2.Router()))
        ],
    )
    return listener_pb2.Listener(
        name=cluster, api_listener=api_listener_pb2.ApiListener(api_listener=_any(manager))
    )


def route(cluster: str) -> route_pb2.RouteConfiguration:
    """All to the one cluster; a proxy repeats no call by itself."""
    everything = route_components_pb2.Route(
        match=route_components_pb2.RouteMatch(prefix=""),
        route=route_components_pb2.RouteAction(cluster=cluster),
    )
    host = route_components_pb2.VirtualHost(name=cluster, domains=["*"], routes=[everything])
    return route_pb2.RouteConfiguration(name=cluster, virtual_hosts=[host])


def cluster_of(cluster: str, open_most: int | None) -> cluster_pb2.Cluster:
    """The cluster; `open_most`: its circuit breaker."""
    message = cluster_pb2.Cluster(
        name=cluster,
        type=cluster_pb2.Cluster.EDS,
        eds_cluster_config=cluster_pb2.Cluster.EdsClusterConfig(eds_config=ADS, service_name=cluster),
        # Round robin leaves weights of endpoints aside where it is gRPC's: the ring does not.
        lb_policy=cluster_pb2.Cluster.RING_HASH,
        ring_hash_lb_config=cluster_pb2.Cluster.RingHashLbConfig(),
    )
    message.ring_hash_lb_config.minimum_ring_size.value = RING_LEAST
    message.connect_timeout.FromMilliseconds(500)
    if open_most is not None:
        threshold = circuit_breaker_pb2.CircuitBreakers.Thresholds(max_requests=UInt32Value(value=open_most))
        message.circuit_breakers.CopyFrom(circuit_breaker_pb2.CircuitBreakers(thresholds=[threshold]))
    return message


def endpoints(
    cluster: str, shown: Sequence[Shown], districts: Sequence[str]
) -> endpoint_pb2.ClusterLoadAssignment:
    """Endpoints by district; those named first in `districts` have the higher priority."""
    message = endpoint_pb2.ClusterLoadAssignment(cluster_name=cluster)
    groups: dict[str, list[Shown]] = {}
    for one in shown:
        groups.setdefault(one.server.district, []).append(one)
    place = {district: index for index, district in enumerate(districts)}
    # Priorities may have no gap: districts that are not there are passed over.
    levels = sorted({place.get(district, len(districts)) for district in groups})
    for district, members in sorted(groups.items()):
        group = message.endpoints.add(priority=levels.index(place.get(district, len(districts))))
        group.locality.CopyFrom(base_pb2.Locality(zone=district))
        group.load_balancing_weight.value = sum(one.weight for one in members)
        for one in members:
            group.lb_endpoints.append(_endpoint(one))
    return message


def _endpoint(one: Shown) -> endpoint_components_pb2.LbEndpoint:
    host, port = one.server.address
    kinds = address_pb2.SocketAddress
    protocol = kinds.UDP if one.server.transport == "udp" else kinds.TCP
    socket = address_pb2.SocketAddress(address=host, port_value=port, protocol=protocol)
    message = endpoint_components_pb2.LbEndpoint(
        endpoint=endpoint_components_pb2.Endpoint(address=address_pb2.Address(socket_address=socket)),
        health_status=health_check_pb2.DRAINING if one.draining else HEALTH[one.level],
    )
    message.load_balancing_weight.value = one.weight
    return message


def open_most(takes: float, aim_s: float) -> int | None:
    """The circuit breaker: what may be set up within an aim, in powers of two; None if unknown."""
    return 2 ** ceil(log2(max(1.0, takes * aim_s))) if takes > 0 else None


def snapshot(
    cluster: str,
    shown: Mapping[str, Shown],
    districts: Sequence[str],
    most: int | None,
    sequence: int,
    withdrawn: int,
) -> Snapshot:
    """Everything that proxies are to hold."""
    members = [shown[name] for name in sorted(shown)]
    items = {
        Kind.LISTENER: {cluster: _item(cluster, listener(cluster))},
        Kind.ROUTE: {cluster: _item(cluster, route(cluster))},
        Kind.CLUSTER: {cluster: _item(cluster, cluster_of(cluster, most))},
        Kind.ENDPOINTS: {cluster: _item(cluster, endpoints(cluster, members, districts))},
    }
    return Snapshot(sequence, withdrawn, items)
