"""The platform's front, its list from the coordinator, and the process that may succeed this one."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from contextlib import suppress
from datetime import timedelta
from functools import partial

import structlog
from tornado.netutil import bind_sockets

from ..fronts.platform.front import PlatformFront
from ..fronts.platform.servers import PlatformServers
from ..membership.coordinator import Coordinator, read_known, read_servers, tell_servers
from ..net.clock import UnixTime, monotonic
from ..operation.twin import Packet, Twin
from ..settings import SOCKETS_KEPT, Config, ConfigError, PlatformConfig
from .base import Assembly, Heart

log = structlog.get_logger(part=__name__)

BACKLOG = 512
UNUSABLE = (KeyError, TypeError, ValueError, AttributeError)  # what reading a document of others may raise
# Once nothing is owed any more, what is written has so long to leave: releases are due within 1 s, and a peer
# that never reads must not hold the exit.
WRITTEN_WITHIN = timedelta(seconds=2)


class PlatformAssembly(Assembly):
    """Listen for the platform's callers and follow its coordinator."""

    def __init__(
        self, heart: Heart, platform: PlatformConfig, serve_again: Callable[[], None] = lambda: None
    ) -> None:
        self._heart, self._platform, self._serve_again = heart, platform, serve_again
        self._handing: asyncio.Future[None] | None = None
        self._kept: list[socket.socket] = []  # the listeners of a process that gives way, for the worst
        self._stopping = False  # told to end
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
        front.handover.lost_with = servers.ask
        unix = UnixTime()
        calls.opened, calls.closed = twin.taken, twin.over
        calls.came_to_stand, calls.gave_up = front.handover.stands, front.handover.gave_up
        front.listed = lambda server: server in servers.servers
        told = partial(heart.told, side=servers.list_told)
        try:
            index, events = read_known(platform.known, unix)
        except UNUSABLE as fault:
            raise ConfigError(f"{type(fault).__name__}: {fault}", "known") from fault
        before = twin.state
        if before is not None:
            try:
                front.answered.add_all(before["answered"])
                front.over.add_all(before.get("over", []))  # log servers tell these ends on new connections
                front.handover.hold_back(before.get("held_back", {}))
                if before["index"] >= index:
                    index, events = before["index"], [read_servers(before["servers"], unix)]
            except UNUSABLE as fault:  # another version may say other things
                log.error("state_before_unusable", fault=f"{type(fault).__name__}: {fault}")
        for event in events:
            told(event)
        if before is not None:
            try:
                heart.decisions.remember(before["module"])
            except UNUSABLE as fault:
                log.error("memory_before_unusable", fault=f"{type(fault).__name__}: {fault}")
        self.coordinator = Coordinator(platform.coordinator, index, unix, told)
        self.coordinator.followed = self._pass_list
        self._unix = unix
        servers.spawn(self.coordinator.follow())
        host, port = platform.listen
        if platform.inherited is None:
            self.listeners = bind_sockets(port, host, backlog=BACKLOG)
        else:
            self.listeners = [inherited_listener(platform.inherited, platform.listen)]
        # Turns at cold log servers are used by one of the two: here once the process before has ceded them.
        heart.decisions.cede_cold(twin.alive)
        front.add_sockets(self.listeners)
        heart.operation.listening = True
        twin.tells = lambda: {
            **self._tell_list(),
            "module": heart.decisions.memory(),
            "ids": calls.open_ids(),
            "standing": [front.handover.tell_standing(call) for call in calls.standing()],
            "answered": front.answered.ids(),
            "over": front.over.ids(),
            "held_back": front.handover.tell_held_back(),
        }
        twin.serves, twin.stops, twin.alone = self._succeeded, self._go_on, self._go_on
        twin.takes["ceded"], twin.takes["give"] = self._ceded, self._give
        twin.takes["list"] = self._learn_list
        twin.catch_up()
        twin.serve()
        if before is not None and before.get("index") != index:  # who has the older one learns the other's
            self._pass_list()
        heart.addresses = {"name": platform.name, "at": f"{host}:{port}"}

    def _tell_list(self) -> Packet:
        """The list, for the other process of an upgrade."""
        servers = tell_servers(self.servers.servers.values(), self._unix)
        return {"index": self.coordinator.index, "servers": servers}

    def _pass_list(self) -> None:
        """What is told to one of the two counts as told to both: the other one's feed may be down."""
        if self.twin.alive:
            self.twin.send("list", **self._tell_list())

    def _learn_list(self, told: Packet) -> None:
        try:
            self.coordinator.learn(int(told["index"]), read_servers(told["servers"], self._unix))
        except (ConfigError, *UNUSABLE) as fault:  # another version may say other things
            log.error("list_of_the_other_unusable", fault=f"{type(fault).__name__}: {fault}")

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
        """A successor takes the connections; one that ends is handed none."""
        self._stopping = True
        if self.twin.succeeded:
            self._give_way()
        elif self.twin.alive:
            self._heart.decisions.cede_cold(True)  # first: the other one uses its turns once it has read this
            self.twin.send("stops")

    # --- the process that a successor has met

    def _succeeded(self) -> None:
        """The successor serves: turns at cold log servers are its own; callers come to both until SIGTERM.

        Fewer calls than allowed reach a cold log server for so long; the two together never send it more.
        """
        self._heart.decisions.cede_cold(True)
        self.twin.send("ceded")
        self._give_way()

    def _give_way(self) -> None:
        """Hand over what is here, once this process is to end and its successor serves, in either order."""
        if self._stopping and self._handing is None:
            log.info("successor_takes_connections")
            with suppress(OSError):  # no descriptor is left: then nobody listens should the successor go
                self._kept = [sock.dup() for sock in self.listeners]
            self.front.stop()
            self._handing = asyncio.ensure_future(self._hand_over())

    async def _hand_over(self) -> None:
        await self.front.handover.hand_over()
        log.info("successor_has_connections")

    def _give(self, told: Packet) -> None:
        """A further process waits to succeed the successor, which is met by one at a time."""
        if self._stopping and self.twin.succeeded:
            log.info("successor_takes_calls")
            self.front.handover.give()

    def _go_on(self) -> None:
        """The successor ends and has ceded its turns, or is gone: nobody else takes the callers that come."""
        self._heart.decisions.cede_cold(False)
        self.servers.come_back()
        if self._handing is not None:
            self._handing.cancel()
            self._handing = None
            self.listeners, self._kept = self._kept, []
            self.front.add_sockets(self.listeners)
            self._serve_again()

    # --- the process that succeeds

    def _ceded(self, told: Packet) -> None:
        """The process before uses no more turns at cold log servers."""
        if not self._stopping:
            self._heart.decisions.cede_cold(False)

    def owes(self) -> bool:
        """What the other process is to hear, and answers of its calls that are written here."""
        return not self.twin.settled or self.front.handover.carries

    def settled(self, quiet_since: timedelta) -> bool:
        """Callers have come for as long as they may, or are the successor's; what they are owed has left."""
        now = monotonic()
        if now >= quiet_since + WRITTEN_WITHIN:
            return True
        if self.twin.succeeded and self._handing is not None:
            quiet = self._handing.done()
        else:
            quiet = now >= quiet_since
        done = quiet and self.twin.settled and self.front.settled() and self.servers.settled()
        if done and self.twin.succeeded:  # what comes on the way goes to the successor, and has to leave
            return self.servers.leave() and self.twin.settled
        return done

    def end(self) -> None:
        """Nothing more is read from callers."""
        self.front.stop()
        for connection in list(self.front.connections):
            connection.closing = True  # what has been read and is not taken yet would have no one to end it
            connection.stream.close()


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
