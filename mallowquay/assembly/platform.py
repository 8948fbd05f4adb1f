"""The platform's front, its list from the coordinator, and the process that may succeed this one."""

from __future__ import annotations

import asyncio
import socket
from datetime import timedelta
from functools import partial

import structlog
from tornado.netutil import bind_sockets

from ..fronts.platform.front import PlatformFront
from ..fronts.platform.servers import PlatformServers
from ..membership.coordinator import Coordinator, read_known, read_servers, tell_servers
from ..net.clock import UnixTime, monotonic
from ..operation.twin import Twin
from ..settings import SOCKETS_KEPT, Config, ConfigError, PlatformConfig
from .base import Assembly, Heart

log = structlog.get_logger(part=__name__)

BACKLOG = 512


class PlatformAssembly(Assembly):
    """Listen for the platform's callers and follow its coordinator."""

    def __init__(self, heart: Heart, platform: PlatformConfig) -> None:
        self._heart, self._platform = heart, platform
        self._handing: asyncio.Future[None] | None = None
        self.twin = Twin(heart.loop)
        self.listeners: list[socket.socket] = []

    async def start(self) -> None:
        """Meet the process before this one, if there is one; then serve. Errors: ConfigError, OSError."""
        platform = self._platform
        if platform.inherited is not None and platform.meeting:
            host, port = platform.listen
            await self.twin.meet(platform.meeting, f"{host}-{port}")
        self._open(platform)

    def _open(self, platform: PlatformConfig) -> None:
        heart = self._heart
        calls, twin, settings = heart.calls, self.twin, heart.config
        servers = self.servers = PlatformServers(calls, heart.loop, monotonic, settings.connect_timeout)
        calls.attach(servers)
        most = settings.sockets - SOCKETS_KEPT
        front = self.front = PlatformFront(
            calls, monotonic, settings.terms, settings.end_margin, most, heart.operation, twin,
        )  # fmt: skip
        heart.shown.append(lambda news: self._share(len(servers.servers)))
        heart.front, heart.listed = front, lambda: servers.servers
        heart.unreadable = lambda: front.bad_messages + servers.unreadable
        front.stray_release = servers.release_stray
        servers.stray_ended = front.stray_ended
        unix = UnixTime()
        calls.opened, calls.closed = twin.taken, twin.over
        calls.came_to_stand = lambda call: twin.send("stands", **front.handover.tell_standing(call))
        front.listed = lambda server: server in servers.servers
        told = partial(heart.told, side=servers.list_told)
        try:
            index, events = read_known(platform.known, unix)
            before = twin.state
            if before is not None and before["index"] >= index:
                index, events = before["index"], [read_servers(before["servers"], unix)]
        except (KeyError, TypeError, ValueError, AttributeError) as fault:
            raise ConfigError(f"{type(fault).__name__}: {fault}", "known") from fault
        for event in events:
            told(event)
        if before is not None:
            heart.decisions.remember(before["module"])
            front.answered.add_all(before["answered"])
        self.coordinator = Coordinator(platform.coordinator, index, unix, told)
        servers.spawn(self.coordinator.follow())
        host, port = platform.listen
        if platform.inherited is None:
            self.listeners = bind_sockets(port, host, backlog=BACKLOG)
        else:
            self.listeners = [inherited_listener(platform.inherited, platform.listen)]
        front.add_sockets(self.listeners)
        heart.operation.listening = True
        twin.tells = lambda: {
            "index": self.coordinator.index,
            "servers": tell_servers(servers.servers.values(), unix),
            "module": heart.decisions.memory(),
            "ids": calls.open_ids(),
            "standing": [front.handover.tell_standing(call) for call in calls.standing()],
            "answered": front.answered.ids(),
        }
        twin.send("serves")
        heart.addresses = {"name": platform.name, "at": f"{host}:{port}"}

    def _share(self, servers: int) -> None:
        """Each log server on the list has its descriptor, whatever callers hold."""
        config = self._heart.config
        kept = config.kept(servers)
        self.front.resize(config.sockets - kept, kept)

    def reload(self, settings: Config) -> None:
        """The coordinator may have moved, and the classes changed."""
        if settings.platform is not None:
            self.coordinator.move(settings.platform.coordinator)
            self.servers.connect_timeout = settings.connect_timeout
        self.front.retune(settings.terms)

    def stop(self) -> None:
        """A successor takes the connections."""
        self.twin.closing = True
        if self.twin.succeeded:
            log.info("successor_takes_connections")
            self.front.stop()
            self._handing = asyncio.ensure_future(self.front.handover.hand_over())

    def settled(self, quiet_since: timedelta) -> bool:
        """Callers have come for as long as they may, or are the successor's."""
        if self.twin.succeeded:
            quiet = self._handing is not None and self._handing.done() and self.twin.settled
        else:
            quiet = monotonic() >= quiet_since
        return quiet and self.front.settled()


def inherited_listener(descriptor: int, address: tuple[str, int]) -> socket.socket:
    """The listening socket that the platform holds; ConfigError if the descriptor is anything else."""
    try:
        listener = socket.socket(fileno=descriptor)
    except OSError as fault:
        raise ConfigError(f"{descriptor}: {fault.strerror}", "LB_SOCKET_FD") from fault
    where = "LB_SOCKET_FD"
    if listener.type != socket.SOCK_STREAM or listener.family != socket.AF_INET:
        raise ConfigError(f"{descriptor} is no TCP socket", where)
    if not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        raise ConfigError(f"{descriptor} does not listen", where)
    if listener.getsockname() != address:
        raise ConfigError(f"{descriptor} listens at {listener.getsockname()}, not at {address}", where)
    listener.setblocking(False)
    return listener
