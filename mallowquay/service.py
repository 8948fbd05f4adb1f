"""Wiring of a serving program, its signals and its exit codes: 0 as asked, 1 failed, 2 configuration."""

from __future__ import annotations

import asyncio
import gc
import os
import random
import secrets
import signal
import socket
import sys
from collections.abc import Callable, Mapping, Sequence
from datetime import timedelta
from functools import partial
from typing import TYPE_CHECKING, Any

import structlog
from tornado.httpserver import HTTPServer
from tornado.ioloop import IOLoop
from tornado.netutil import bind_sockets

from . import config
from .config import Config, ConfigError, PlatformConfig, SipConfig, TrafficConfig
from .core.calls import Calls
from .core.decisions import Decisions
from .core.figures import Figures
from .core.model import ListTold, Server
from .fronts.platform.front import PlatformFront
from .fronts.platform.servers import PlatformServers
from .membership.coordinator import Coordinator, read_known, read_servers, tell_servers
from .net.clock import Metronome, UnixTime, monotonic
from .operation.control import serve as serve_control
from .operation.readiness import Operation
from .operation.twin import Twin

if TYPE_CHECKING:
    from .controlplane.streams import Hub
    from .fronts.sip.front import SipFront
    from .traffic.recording import Recording

log = structlog.get_logger(part=__name__)

STOP_ACCEPTS = timedelta(milliseconds=750)  # after SIGTERM new connections and requests come for so long
STOP_STAYS = timedelta(seconds=30)  # and calls that stand are seen to their end for so long at most
STOP_LOOKS = timedelta(milliseconds=20)
BACKLOG = 512


class Program:
    """One gatekeeper."""

    def __init__(self, settings: Config) -> None:
        self.config = settings
        self.loop = IOLoop.current()
        self.done = asyncio.Event()
        self.stopped_at: timedelta | None = None
        self._handing: asyncio.Future[None] | None = None
        self.operation = Operation(monotonic)
        self.twin = Twin(self.loop)
        decisions = self.decisions = Decisions(settings.settings, settings.seed, monotonic)
        self.calls = Calls(
            decisions, monotonic, settings.release_wait, settings.guard_margin, settings.default_gap,
            Figures(settings.classes),
        )  # fmt: skip
        self.metronome = Metronome(self.loop, self.calls)
        self.members: Callable[[], int] = lambda: 0  # log servers in the list
        self.reloads = self.reload_errors = 0
        self.front: PlatformFront | SipFront | None = None
        self.control: HTTPServer | None = None
        self.recording: Recording | None = None
        self.addresses: dict[str, Any] = {}  # for the log
        self.listeners: list[socket.socket] = []
        self.unreadable: Callable[[], int] = lambda: 0  # messages that were dropped or answered as bad
        self.listed: Callable[[], Mapping[str, Server]] = dict  # the list as the second front has it
        self.shown: Callable[[ListTold], None] = lambda news: None  # told of the list for other proxies
        self.hub: Hub | None = None
        self._reload: Callable[[Config], None] = lambda settings: None  # what a new file changes at once

    def start_platform(self, platform: PlatformConfig) -> None:
        """Listen for the platform's callers and follow its coordinator."""
        servers = PlatformServers(self.calls, self.loop, monotonic, self.config.connect_timeout)
        self.servers_side = servers
        self.calls.attach(servers)
        most = self.config.sockets - config.SOCKETS_KEPT
        front = self.front = PlatformFront(
            self.calls, monotonic, self.config.classes, self.config.end_margin, most, self.operation,
            self.twin,
        )  # fmt: skip
        self.members = lambda: len(servers.servers)
        self.unreadable = lambda: front.bad_messages + servers.unreadable
        front.stray_release = servers.release_stray
        servers.stray_ended = front.stray_ended

        def told(news: ListTold) -> None:
            self.calls.list_told(news)
            servers.list_told(news)
            self.operation.list_known = True

        unix = UnixTime()
        self.calls.opened, self.calls.closed = self.twin.taken, self.twin.over
        self.calls.came_to_stand = lambda call: self.twin.send("stands", **front.handover.tell_standing(call))
        front.listed = lambda server: server in servers.servers
        try:
            index, events = read_known(platform.known, unix)
            before = self.twin.state
            if before is not None and before["index"] >= index:
                index, events = before["index"], [read_servers(before["servers"], unix)]
        except (KeyError, TypeError, ValueError, AttributeError) as fault:
            raise ConfigError(f"known: {type(fault).__name__}: {fault}") from fault
        for event in events:
            told(event)
        if before is not None:
            self.decisions.remember(before["module"])
            front.answered.add_all(before["answered"])
        self.coordinator = Coordinator(platform.coordinator, index, unix, told)
        servers.spawn(self.coordinator.follow())
        self._reload = self._reload_platform
        host, port = platform.listen
        if platform.inherited is None:
            self.listeners = bind_sockets(port, host, backlog=BACKLOG)
        else:
            self.listeners = [inherited_listener(platform.inherited, platform.listen)]
        front.add_sockets(self.listeners)
        self.operation.listening = True
        self.twin.tells = lambda: {
            "index": self.coordinator.index,
            "servers": tell_servers(servers.servers.values(), unix),
            "module": self.decisions.memory(),
            "ids": self.calls.open_ids(),
            "standing": [front.handover.tell_standing(call) for call in self.calls.standing()],
            "answered": front.answered.ids(),
        }
        self.twin.send("serves")
        self.addresses = {"name": platform.name, "at": f"{host}:{port}"}

    def start_sip(self, sip: SipConfig) -> None:
        """Serve SIP over UDP and TCP."""
        # Loaded here: two processes of the platform share one allowance of memory at an upgrade.
        from .controlplane.xds import Endpoints
        from .controlplane.xds import serve as serve_xds
        from .fronts.sip.front import SipFront
        from .fronts.sip.servers import SipServers
        from .fronts.sip.transactions import Timers, Transactions
        from .fronts.sip.transport import Transport
        from .membership.consul import Consul

        chance = random.Random(self.config.seed)
        tag = partial(_tag, chance)
        most = self.config.sockets - config.SOCKETS_KEPT
        transport = Transport(self.loop, self.config.connect_timeout, most)
        timers = Timers(sip.t1, sip.t2, sip.t4)
        layer = Transactions(transport, timers, self._later, tag, sip.transactions_most)
        self.unreadable = lambda: transport.garbage
        transport.take, transport.lost = layer.take, layer.connection_lost
        servers = SipServers(self.calls, layer, monotonic, tag)
        self.calls.attach(servers)
        self.members, self.listed = lambda: len(servers.servers), lambda: servers.servers
        self.front = SipFront(
            self.calls, layer, servers, monotonic, tag, sip, self.config.classes, self.config.end_margin,
            self.operation,
        )  # fmt: skip

        def told(news: ListTold) -> None:
            self.calls.list_told(news)
            servers.list_told(news)
            self.operation.list_known = True
            self.shown(news)

        if self.config.consul is not None:
            transport.spawn(Consul(self.config.consul, UnixTime(), told, chance).follow())
        else:
            told(ListTold(sip.servers, whole=True))
            self._reload = partial(self._reload_sip, told)
        if self.config.xds is not None and self.config.xds.listen is not None:
            start = f"{secrets.randbits(32):08x}"
            endpoints = Endpoints(
                self.config.xds.cluster, self.decisions.ratings, lambda: servers.servers, start
            )
            self.xds = serve_xds(endpoints, self.config.xds.listen)
        if sip.udp is not None:
            transport.listen_udp(sip.udp)
        if sip.tcp is not None:
            transport.listen_tcp(sip.tcp)
        self.operation.listening = True
        places = [f"{name} {host}:{port}" for name, (host, port) in transport.listening().items()]
        self.addresses = {"at": places}

    async def start_streams(self) -> None:
        """The control plane beside the front: proxies are shown what it knows. Errors: OSError."""
        if self.config.xds is None or self.config.xds.ads is None:
            return
        from .controlplane.service import start

        plane, self.hub, self.streams = await start(self.config, self.decisions.ratings, lambda place: None)
        plane.list_told(ListTold(tuple(self.listed().values()), whole=True))
        self.shown = plane.list_told

    def _later(self, delay: timedelta, action: Callable[[], None]) -> asyncio.TimerHandle:
        return asyncio.get_running_loop().call_later(delay.total_seconds(), action)

    def record(self, traffic: TrafficConfig) -> None:
        """Record what the core sees. Errors: OSError."""
        from .traffic.recording import Recording  # off on the platform, which does not pay for it

        self.recording = Recording(
            self.loop, monotonic, self.calls.figures, traffic.file, traffic.interval, self.config.classes
        )

    def reload(self, read: Callable[[], Config]) -> None:
        """SIGHUP: take from a new file what can change under calls; one that is faulty changes nothing."""
        try:
            settings = read()
            config.check_reload(self.config, settings)
            self._reload(settings)
            self._retune(settings)
        except ConfigError as fault:
            self.reload_errors += 1
            log.error("configuration_not_taken", fault=str(fault))
            return
        self.reloads += 1
        rest = config.fixed_changes(self.config, settings)
        log.info("configuration_taken", at_next_start=rest)

    def figures(self) -> dict[str, Any]:
        """What the second address reports."""
        return {
            **self.calls.figures.told(),
            "pending": self.calls.pending,
            "members": self.members(),
            "members_unavailable": self.decisions.avoided(),
            "config_reloads": self.reloads,
            "config_reload_errors": self.reload_errors,
            **({"xds": self.hub.figures()} if self.hub is not None else {}),
        }

    def _retune(self, settings: Config) -> None:
        """All that new settings change, at one moment."""
        self.decisions.retune(settings.settings)
        self.calls.retune(settings.release_wait, settings.default_gap)
        self.calls.figures.name(settings.classes)
        if isinstance(self.front, PlatformFront):
            self.front.retune(settings.classes)
        elif self.front is not None and settings.sip is not None:
            self.front.retune(settings.classes, settings.sip.default_class)
        self.config = config.taken(self.config, settings)

    def _reload_platform(self, settings: Config) -> None:
        if settings.platform is not None:
            self.coordinator.move(settings.platform.coordinator)
            self.servers_side.connect_timeout = settings.connect_timeout

    def _reload_sip(self, told: Callable[[ListTold], None], settings: Config) -> None:
        assert settings.sip is not None
        told(ListTold(settings.sip.servers, whole=True))

    def stop(self) -> None:
        """SIGTERM: finish what was taken, and go on accepting for the time that callers may still come."""
        if self.stopped_at is not None:
            return
        log.info("stopping", unanswered=self.calls.unanswered)
        self.stopped_at = monotonic()
        self.operation.stop()
        self.twin.closing = True
        if isinstance(self.front, PlatformFront) and self.twin.succeeded:
            log.info("successor_takes_connections")
            self.front.stop()
            self._handing = asyncio.ensure_future(self.front.handover.hand_over())
        self._look()

    def _look(self) -> None:
        assert self.stopped_at is not None
        quiet_since = max(self.stopped_at + STOP_ACCEPTS, self.calls.last_offer + STOP_LOOKS)
        settled = self.front is None or self.front.settled()
        if self.twin.succeeded:
            quiet = self._handing is not None and self._handing.done() and self.twin.settled
        else:
            quiet = monotonic() >= quiet_since
        # Whoever sends the end of a call that stands is to find this process, which knows its other side.
        owed = self.calls.unanswered if monotonic() >= self.stopped_at + STOP_STAYS else self.calls.pending
        if quiet and owed == 0 and settled:
            self.done.set()
        else:
            self.loop.add_timeout(STOP_LOOKS, self._look)


def inherited_listener(descriptor: int, address: tuple[str, int]) -> socket.socket:
    """The listening socket that the platform holds; ConfigError if the descriptor is anything else."""
    try:
        listener = socket.socket(fileno=descriptor)
    except OSError as fault:
        raise ConfigError(f"LB_SOCKET_FD: {descriptor}: {fault.strerror}") from fault
    where = f"LB_SOCKET_FD: {descriptor}"
    if listener.type != socket.SOCK_STREAM or listener.family != socket.AF_INET:
        raise ConfigError(f"{where} is no TCP socket")
    if not listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN):
        raise ConfigError(f"{where} does not listen")
    if listener.getsockname() != address:
        raise ConfigError(f"{where} listens at {listener.getsockname()}, not at {address}")
    listener.setblocking(False)
    return listener


def _tag(chance: random.Random) -> str:
    return f"{chance.getrandbits(64):016x}"


async def serve(settings: Config, read: Callable[[], Config]) -> None:
    """Run until SIGTERM or SIGINT has been carried out; `read` reads the configuration anew."""
    program = Program(settings)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, program.reload, read)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, program.stop)
    if settings.platform is not None:
        if settings.platform.inherited is not None and settings.platform.meeting:
            host, port = settings.platform.listen
            await program.twin.meet(settings.platform.meeting, f"{host}-{port}")
        program.start_platform(settings.platform)
    if settings.sip is not None:
        program.start_sip(settings.sip)
        await program.start_streams()
    if settings.control is not None:
        program.control = serve_control(program.operation, program.figures, settings.control)
    if settings.traffic is not None:
        program.record(settings.traffic)
    log.info("serving", **program.addresses)  # last: whoever reads it finds every address open
    gc.collect()
    gc.freeze()  # what stands from the start is never looked through again: shorter pauses
    await program.done.wait()
    if program.recording is not None:
        program.recording.stop()
    log.info("stopped", unreadable=program.unreadable())


def run(arguments: Sequence[str]) -> int:
    """Serve until asked to end; `arguments`: the operator's file, or nothing. The exit code comes back."""
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # it means a new file, and the file is yet to be read
    read = partial(config.of_process, arguments, os.environ)
    try:
        settings = read()
    except ConfigError as fault:
        print(f"mallowquay: configuration: {fault}", file=sys.stderr)
        return 2
    try:
        asyncio.run(serve(settings, read))
    except ConfigError as fault:
        print(f"mallowquay: configuration: {fault}", file=sys.stderr)
        return 2
    except OSError as fault:
        print(f"mallowquay: {fault}", file=sys.stderr)
        return 1
    return 0
