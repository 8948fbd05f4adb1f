"""Wiring of the program, its signals and its exit codes: 0 ended as asked, 1 failed, 2 configuration."""

from __future__ import annotations

import asyncio
import gc
import logging
import signal
import sys
from datetime import timedelta

from tornado.ioloop import IOLoop
from tornado.netutil import bind_sockets

from . import config
from .config import Config, ConfigError, PlatformConfig
from .core.calls import Calls
from .core.decisions import Decisions
from .core.model import ListTold
from .net.clock import Metronome, UnixTime, monotonic
from .net.coordinator import Coordinator, read_known
from .net.platform_front import PlatformFront
from .net.platform_servers import PlatformServers

log = logging.getLogger("mallowquay")

STOP_ACCEPTS = timedelta(milliseconds=750)  # after SIGTERM new connections and requests come for so long
STOP_LOOKS = timedelta(milliseconds=20)
BACKLOG = 512


class Program:
    """One gatekeeper."""

    def __init__(self, settings: Config) -> None:
        self.config = settings
        self.loop = IOLoop.current()
        self.done = asyncio.Event()
        self.stopped_at: timedelta | None = None
        decisions = Decisions(settings.settings, settings.seed, monotonic)
        self.calls = Calls(
            decisions, monotonic, settings.release_wait, settings.guard_margin, settings.default_gap
        )
        self.metronome = Metronome(self.loop, self.calls)
        self.front: PlatformFront | None = None

    def start_platform(self, platform: PlatformConfig) -> None:
        """Listen for the platform's callers and follow its coordinator."""
        servers = PlatformServers(self.calls, self.loop, monotonic, self.config.connect_timeout)
        self.calls.attach(servers)
        front = self.front = PlatformFront(
            self.calls,
            monotonic,
            self.config.classes,
            self.config.end_margin,
            self.config.sockets - config.SOCKETS_KEPT,
        )
        front.stray_release = servers.release_stray
        servers.stray_ended = front.stray_ended

        def told(news: ListTold) -> None:
            self.calls.list_told(news)
            servers.list_told(news)

        unix = UnixTime()
        try:
            index, events = read_known(platform.known, unix)
        except (KeyError, TypeError, ValueError, AttributeError) as fault:
            raise ConfigError(f"known: {type(fault).__name__}: {fault}") from fault
        for event in events:
            told(event)
        self.coordinator = Coordinator(platform.coordinator, index, unix, told)
        servers.spawn(self.coordinator.follow())
        host, port = platform.listen
        front.add_sockets(bind_sockets(port, host, backlog=BACKLOG))
        log.info("%s serves at %s:%d", platform.name, host, port)

    def stop(self) -> None:
        """SIGTERM: finish what was taken, and go on accepting for the time that callers may still come."""
        if self.stopped_at is not None:
            return
        log.info("stopping with %d calls unanswered", self.calls.unanswered)
        self.stopped_at = monotonic()
        if self.front is not None:
            self.front.stopping = True
        self._look()

    def _look(self) -> None:
        assert self.stopped_at is not None
        quiet_since = max(self.stopped_at + STOP_ACCEPTS, self.calls.last_offer + STOP_LOOKS)
        if monotonic() >= quiet_since and self.calls.unanswered == 0:
            self.done.set()
        else:
            self.loop.add_timeout(STOP_LOOKS, self._look)


async def serve(settings: Config) -> None:
    """Run until SIGTERM or SIGINT has been carried out."""
    program = Program(settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, program.stop)
    if settings.platform is not None:
        program.start_platform(settings.platform)
    gc.collect()
    gc.freeze()  # what stands from the start is never looked through again: shorter pauses
    await program.done.wait()
    log.info("stopped")


def main() -> int:
    """Run the program."""
    logging.basicConfig(
        level=logging.INFO, stream=sys.stderr, format="%(asctime)s %(levelname)s %(name)s: %(message)s"
    )
    try:
        settings = config.from_environment()
    except ConfigError as fault:
        print(f"mallowquay: configuration: {fault}", file=sys.stderr)
        return 2
    try:
        asyncio.run(serve(settings))
    except ConfigError as fault:
        print(f"mallowquay: configuration: {fault}", file=sys.stderr)
        return 2
    except OSError as fault:
        print(f"mallowquay: {fault}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
