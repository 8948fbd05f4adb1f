"""What one stream is owed: the state-of-the-world and the delta variant of xDS, a machine a kind. No I/O.

A machine is asked for the next response and answers from the newest snapshot: nothing is queued, so a slow
proxy holds back one response and then gets the newest state. What a proxy has refused (NACK) is not sent
again until it changes. Responses are numbered by snapshot, so that one encoding serves all streams that ask
for the same.

Source: xDS REST and gRPC protocol (Envoy API v3): ACK, NACK and nonces, incremental xDS, resource
time-to-live.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import timedelta

from ..errors import Fault
from .snapshot import Item, Kind, Snapshot, Version, digest_of

NAMES_MOST = 1000  # of one kind that a stream may subscribe to
NAME_MOST = 1024  # characters
ALL = "*"


class TooMuch(Fault):
    """A proxy's stream is past its bounds: it is ended, and the proxy is told why."""

    code = "xds.stream"
    remedy = (
        "Look at the proxy: how many names it asks for, whether it reads, and whether xds.nodes has its id."
    )


@dataclass(frozen=True, slots=True)
class Lease:
    """How long what a proxy holds is good without word from us, and how often it gets that word."""

    time: timedelta
    renew: timedelta


@dataclass(frozen=True, slots=True)
class Response:
    """One response. `beat`: a renewal, without bodies. `lease`: time-to-live of each resource."""

    kind: Kind
    version: str
    nonce: str
    items: tuple[Item, ...]
    removed: tuple[str, ...] = ()
    lease: timedelta | None = None
    beat: bool = False


@dataclass(frozen=True, slots=True)
class Ask:
    """What a proxy says of one kind. `names`: all that it wants (world), or more (delta)."""

    kind: Kind
    names: tuple[str, ...] = ()
    leave: tuple[str, ...] = ()
    version: str = ""
    versions: Mapping[str, str] | None = None
    nonce: str = ""
    refusal: str | None = None


class Order:
    """Which of two lists decides: the one that knows of the newest withdrawal.

    A proxy that comes from another instance tells the version that it holds. Where that knows of a drain that
    this instance has not heard of, an older 'ready' must not undo it: nothing of the kind is sent until this
    list has caught up, or for `patience` at most, for the other instance's clock may be wrong.
    """

    def __init__(self, patience: timedelta) -> None:
        self._patience = patience
        self._seen, self._until = 0, timedelta(0)

    def came_with(self, versions: Iterable[str], now: timedelta) -> None:
        """The versions that a proxy holds when its stream begins."""
        told = [version.withdrawn for text in versions if (version := Version.read(text)) is not None]
        if told and max(told) > self._seen:
            self._seen, self._until = max(told), now + self._patience

    def behind(self, snapshot: Snapshot, now: timedelta) -> bool:
        """Whether this list is older than what the proxy has seen."""
        return snapshot.withdrawn < self._seen and now < self._until

    def due(self, snapshot: Snapshot, now: timedelta) -> timedelta | None:
        """When to look again while behind."""
        return self._until if self.behind(snapshot, now) else None


class Subscription:
    """What both variants share: leases, nonces, and who is told what."""

    def __init__(self, kind: Kind, lease: Lease | None, patience: timedelta) -> None:
        self.kind, self._lease = kind, lease if kind is Kind.ENDPOINTS else None
        self.order = Order(patience)
        self.names: set[str] = set()
        self.wildcard = False
        self.begun = False
        self.acknowledged = self.refused = 0
        self.unacknowledged_since: timedelta | None = None
        self._nonce, self._count = "", 0
        self._sequence: int | None = None  # of the snapshot that the latest response came from
        self._renewed_at: timedelta | None = None

    def _bounded(self, names: Iterable[str]) -> set[str]:
        wanted = set(names)
        if len(wanted) > NAMES_MOST:
            raise TooMuch(f"{len(wanted)} names of {self.kind.name}: {NAMES_MOST} at most", "names")
        if any(len(name) > NAME_MOST for name in wanted):
            raise TooMuch(f"a name of {self.kind.name} is longer than {NAME_MOST} characters", "names")
        return wanted

    def _selected(self, snapshot: Snapshot) -> dict[str, Item]:
        items = snapshot.of(self.kind)
        if self.wildcard:
            return dict(items)
        return {name: items[name] for name in sorted(self.names) if name in items}

    def _next_nonce(self, snapshot: Snapshot, now: timedelta) -> str:
        """Shared by all streams while a stream gets one response a snapshot; then the stream's own."""
        # Only the latest can be acknowledged; renewals of one snapshot are counted, not kept.
        self._count = self._count + 1 if snapshot.sequence == self._sequence else 0
        self._sequence = snapshot.sequence
        nonce = f"{snapshot.sequence:x}-{self._count:x}" if self._count else f"{snapshot.sequence:x}"
        self._nonce = nonce
        if self.unacknowledged_since is None:
            self.unacknowledged_since = now
        return nonce

    def _heard(self, ask: Ask) -> bool:
        """Take the acknowledgement that an ask may be; True if it speaks of the latest response."""
        if not ask.nonce or ask.nonce != self._nonce:
            return False
        self.unacknowledged_since = None
        if ask.refusal is None:
            self.acknowledged += 1
        else:
            self.refused += 1
        return True

    def beat_due(self) -> timedelta | None:
        """When the leases are to be renewed next."""
        if self._lease is None or self._renewed_at is None:
            return None
        return self._renewed_at + self._lease.renew

    def _time(self) -> timedelta | None:
        return self._lease.time if self._lease is not None else None


class World(Subscription):
    """State of the world: all clusters or listeners in each response; of the others what is new."""

    def __init__(self, kind: Kind, lease: Lease | None, patience: timedelta) -> None:
        super().__init__(kind, lease, patience)
        self._held: dict[str, str] = {}  # name to digest, as last sent
        self._digest: str | None = None  # of the selection that the proxy holds or was sent
        self._bad: str | None = None  # of the selection that it refused
        self._believed: str | None = None  # of all that it told to hold when its stream began

    def ask(self, ask: Ask, now: timedelta) -> None:
        """Take a request. Errors: TooMuch."""
        if self._heard(ask):
            self._bad = self._digest if ask.refusal is not None else None
        elif ask.nonce and self.begun:
            return  # it speaks of an older response; what it wants now comes with its answer to the latest
        names = self._bounded(ask.names)
        if not self.begun:
            self.begun = True
            # An empty first list means all, of the kinds that are whole; so does the name for all.
            self.wildcard = self.kind.whole and (not names or ALL in names)
            held = Version.read(ask.version)
            # Of names a version says nothing sure: what the proxy has left since it holds no more, and its
            # version is that of before. So named resources are sent once anew, and only 'all' is believed.
            self._believed = held.digest if held is not None and self.wildcard else None
            self.order.came_with([ask.version], now)
            self._renewed_at = now - self._lease.renew if self._lease is not None else None
        elif self.kind.whole and ALL in names:
            self.wildcard = True
        elif names and self.wildcard:
            self.wildcard = False
        left, self.names = self.names - names, names - {ALL}
        for name in left:  # asked for again it is to be sent again
            self._held.pop(name, None)

    def next(self, snapshot: Snapshot, now: timedelta) -> Response | None:
        """What is due now."""
        if not self.begun or self.order.behind(snapshot, now):
            return None
        selected = self._selected(snapshot)
        digest = digest_of(part.encode() for item in selected.values() for part in (item.name, item.digest))
        if digest == self._believed:
            self._held = {name: item.digest for name, item in selected.items()}  # held since before
            self._digest = digest
        self._believed = None
        new = [item for item in selected.values() if self._held.get(item.name) != item.digest]
        gone = self.kind.whole and set(self._held) - set(selected)
        if digest != self._bad and (new or gone or (self._digest is None and self.kind.whole)):
            items = tuple(selected.values()) if self.kind.whole else tuple(new)
            kept = {name: self._held[name] for name in self._held if not self.kind.whole or name in selected}
            self._held = kept | {item.name: item.digest for item in items}
            self._digest, self._renewed_at = digest, now
            version = str(snapshot.version(digest))
            return Response(
                self.kind, version, self._next_nonce(snapshot, now), items, lease=self._time()
            )
        due = self.beat_due()
        if due is not None and now >= due and selected and digest != self._bad:
            self._renewed_at = now
            nonce = self._next_nonce(snapshot, now)
            version = str(snapshot.version(digest))
            return Response(self.kind, version, nonce, tuple(selected.values()), (), self._time(), True)
        return None


class Delta(Subscription):
    """Incremental: what is new to the proxy, and what has vanished."""

    def __init__(self, kind: Kind, lease: Lease | None, patience: timedelta) -> None:
        super().__init__(kind, lease, patience)
        self._held: dict[str, str] = {}  # name to digest; "" for one that it was told does not exist
        self._bad: dict[str, str] = {}  # what it refused
        self._flying: dict[str, dict[str, str]] = {}  # of each response without an answer, what was in it

    def ask(self, ask: Ask, now: timedelta) -> None:
        """Take a request. Errors: TooMuch."""
        flown = self._flying.pop(ask.nonce, None) if ask.nonce else None
        self._heard(ask)
        if flown is not None:
            for name, digest in flown.items():
                if ask.refusal is not None:
                    self._bad[name] = digest
                elif self._bad.get(name) == digest:
                    del self._bad[name]
        wanted = self._bounded(ask.names)
        if not self.begun:
            self.begun = True
            self.wildcard = ALL in wanted or (self.kind.whole and not wanted)
            told = ask.versions or {}
            if len(told) > NAMES_MOST:
                held = f"{len(told)} held versions of {self.kind.name}"
                raise TooMuch(f"{held}: {NAMES_MOST} at most", "versions")
            versions = {name: Version.read(text) for name, text in told.items()}
            self._held = {name: version.digest for name, version in versions.items() if version is not None}
            self.order.came_with(told.values(), now)
            self._renewed_at = now - self._lease.renew if self._lease is not None else None
        elif ALL in wanted:
            self.wildcard = True
        for name in wanted - {ALL}:  # asked for again it is sent again
            if name in self.names:
                self._held.pop(name, None)
        if len(self.names | wanted) > NAMES_MOST:
            raise TooMuch(f"more than {NAMES_MOST} names of {self.kind.name}", "names")
        self.names |= wanted - {ALL}
        for name in ask.leave:
            if name == ALL:
                self.wildcard = False
            self.names.discard(name)
            self._held.pop(name, None)

    def next(self, snapshot: Snapshot, now: timedelta) -> Response | None:
        """What is due now."""
        if not self.begun or self.order.behind(snapshot, now):
            return None
        selected = self._selected(snapshot)
        new = tuple(
            item
            for item in selected.values()
            if self._held.get(item.name) != item.digest and self._bad.get(item.name) != item.digest
        )
        known = {name for name, digest in self._held.items() if digest}
        absent = {name for name in self.names if name not in selected and name not in self._held}
        gone = tuple(sorted((known - set(selected)) | absent))
        if new or gone:
            sent = {item.name: item.digest for item in new}
            self._held |= sent | {name: "" for name in gone}
            if self.wildcard:  # of those that it did not name nothing is kept
                self._held = {name: held for name, held in self._held.items() if held or name in self.names}
            self._renewed_at = now if new and len(new) == len(selected) else self._renewed_at
            return self._respond(snapshot, now, new, gone, sent, beat=False)
        due = self.beat_due()
        held = tuple(item for item in selected.values() if self._held.get(item.name) == item.digest)
        if due is not None and now >= due and held:
            self._renewed_at = now
            return self._respond(snapshot, now, held, (), {}, beat=True)
        return None

    def _respond(
        self,
        snapshot: Snapshot,
        now: timedelta,
        items: tuple[Item, ...],
        gone: tuple[str, ...],
        sent: dict[str, str],
        beat: bool,
    ) -> Response:
        nonce = self._next_nonce(snapshot, now)
        # A proxy that never answers: only the latest are remembered.
        while len(self._flying) >= FLYING_MOST:
            del self._flying[next(iter(self._flying))]
        self._flying[nonce] = sent
        version = str(snapshot.version(digest_of(item.digest.encode() for item in items)))
        return Response(self.kind, version, nonce, items, gone, self._time(), beat)


FLYING_MOST = 16
