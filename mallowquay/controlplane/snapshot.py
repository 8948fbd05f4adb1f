"""What proxies are to hold: resources by kind, each with a version that is a hash of its content. No I/O.

Two instances of the service with the same state give the same versions, so a proxy that moves from one to the
other is sent nothing anew. A version also carries `withdrawn`, the time of the newest drain or removal that
went into it: by that an instance whose list is older than what a proxy has seen knows so
(`subscriptions.Order`).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from types import MappingProxyType

import xxhash

_PREFIX = "type.googleapis.com/envoy.config."


class Kind(Enum):
    """The kinds of resources, by their type URL, in the order in which a proxy is to hear of them."""

    CLUSTER = _PREFIX + "cluster.v3.Cluster"
    ENDPOINTS = _PREFIX + "endpoint.v3.ClusterLoadAssignment"
    LISTENER = _PREFIX + "listener.v3.Listener"
    ROUTE = _PREFIX + "route.v3.RouteConfiguration"

    @property
    def whole(self) -> bool:
        """Whether a state-of-the-world response is the whole set: what is not in it has vanished."""
        return self in (Kind.CLUSTER, Kind.LISTENER)


KINDS = {kind.value: kind for kind in Kind}


@dataclass(frozen=True, slots=True)
class Version:
    """`digest` of content; `withdrawn`: Unix milliseconds of the newest withdrawal in it, 0 for none."""

    digest: str
    withdrawn: int = 0

    def __str__(self) -> str:
        return f"{self.digest}.{self.withdrawn:x}"

    @staticmethod
    def read(text: str) -> Version | None:
        """A version as a proxy repeats it; None if it is none of ours."""
        digest, dot, withdrawn = text.partition(".")
        if len(digest) != 16 or not dot or len(withdrawn) > 16:
            return None
        try:
            int(digest, 16)
            return Version(digest, int(withdrawn, 16))
        except ValueError:
            return None


def digest_of(parts: Iterable[bytes]) -> str:
    """A hash of parts in their order, 16 hex digits."""
    whole = xxhash.xxh3_64()
    for part in parts:
        whole.update(len(part).to_bytes(4, "big"))
        whole.update(part)
    return whole.hexdigest()


@dataclass(frozen=True, slots=True)
class Item:
    """One resource: the serialized message, and the digest of that."""

    name: str
    digest: str
    body: bytes = field(repr=False, compare=False)

    @staticmethod
    def of(name: str, body: bytes) -> Item:
        """A resource from its serialized message."""
        return Item(name, digest_of([body]), body)


NOTHING: Mapping[str, Item] = MappingProxyType({})


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All resources at a moment. `sequence` numbers the snapshots of this process, for nonces."""

    sequence: int
    withdrawn: int
    items: Mapping[Kind, Mapping[str, Item]] = field(default_factory=dict)

    def of(self, kind: Kind) -> Mapping[str, Item]:
        """The resources of a kind by name."""
        return self.items.get(kind, NOTHING)

    def version(self, digest: str) -> Version:
        """A version of this moment."""
        return Version(digest, self.withdrawn)
