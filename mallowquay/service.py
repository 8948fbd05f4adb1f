"""A serving program: its assemblies in their order, its signals and its exit codes.

Exit codes: 0 ended as asked, 1 failed, 2 the configuration cannot be used.
"""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
from collections.abc import Callable, Sequence
from datetime import timedelta
from functools import partial
from typing import Any

import structlog

from . import settings as configuration
from .assembly.base import Assembly, Heart
from .assembly.platform import PlatformAssembly
from .errors import Fault, not_started
from .net.clock import monotonic
from .settings import Config, ConfigError

log = structlog.get_logger(part=__name__)

STOP_ACCEPTS = timedelta(milliseconds=750)  # after SIGTERM new connections and requests come for so long
STOP_STAYS = timedelta(seconds=30)  # and calls that stand are seen to their end for so long at most
STOP_LOOKS = timedelta(milliseconds=20)
STOOD_STILL = timedelta(milliseconds=200)  # a look so late: what came meanwhile is yet to be read
SIGNALS = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)


class Program:
    """One gatekeeper."""

    def __init__(self, settings: Config) -> None:
        self.heart = Heart(settings)
        self.done = asyncio.Event()
        self.stopped_at: timedelta | None = None
        self._sent_away_at: timedelta | None = None  # callers, the last time; None while they are served
        self._looked_at = monotonic() - STOOD_STILL  # whether it may end
        self._owed_at = self._looked_at  # something was owed, as far as was looked
        self._starting: asyncio.Future[None] | None = None
        self._read_after: Callable[[], Config] | None = None  # SIGHUP came during the start
        self.reloads = self.reload_errors = 0
        self._planned = self._chosen(settings)
        self.assemblies: list[Assembly] = []  # those that have started: nobody asks anything of the others

    def _chosen(self, settings: Config) -> list[Assembly]:
        """What the file sets up, in the order of the start; only that is loaded."""
        heart = self.heart
        chosen: list[Assembly] = []
        if settings.platform is not None:
            chosen.append(PlatformAssembly(heart, settings.platform, self._serve_again))
        sip = None
        if settings.sip is not None:
            from .assembly.sip import SipAssembly

            sip = SipAssembly(heart, settings.sip)
            chosen.append(sip)
        if settings.fleet is not None:
            from .assembly.fleet import FleetAssembly

            member = FleetAssembly(heart, settings.fleet)
            if settings.copies is not None:
                from .assembly.copies import CopiesAssembly

                # Before the member: what begins with its life is to hear of it.
                copies = CopiesAssembly(heart, settings.copies, settings.fleet, member)
                chosen.append(copies)
                if settings.takeover is not None and sip is not None:
                    from .assembly.takeover import TakeoverAssembly

                    chosen.append(TakeoverAssembly(heart, settings.takeover, copies, sip))
            if settings.sites is not None or settings.events is not None or settings.closings:
                from .assembly.book import BookAssembly

                book = BookAssembly(heart, member)
                chosen.append(book)  # before the member: it begins with its life
            chosen.append(member)
            if settings.sites is not None:
                from .assembly.sites import SitesAssembly

                sites = SitesAssembly(heart, settings.sites, settings.fleet, member, book.node)
                chosen.append(sites)
            events = None
            if settings.events is not None:
                from .assembly.events import EventsAssembly

                events = EventsAssembly(heart, settings.events, member, book.node)
                chosen.append(events)
            if settings.closings:
                from .assembly.closings import ClosingsAssembly

                emit, purge = (None, None) if events is None else (events.emit, events.purge)
                chosen.append(
                    ClosingsAssembly(
                        heart, settings.closings, settings.fleet, member, book.node, purge, emit
                    )
                )
        elif settings.events is not None:
            from .assembly.events import EventsAssembly

            chosen.append(EventsAssembly(heart, settings.events))
        if settings.xds is not None or settings.control is not None or settings.traffic is not None:
            from .assembly.beside import ControlAssembly, ControlPlaneAssembly, RecordAssembly

            if settings.xds is not None:
                chosen.append(ControlPlaneAssembly(heart, settings.xds))
            if settings.control is not None:
                chosen.append(ControlAssembly(heart, settings.control, self.figures))
            if settings.traffic is not None:
                chosen.append(RecordAssembly(heart, settings.traffic))
        return chosen

    async def start(self) -> None:
        """Start all, one after the other, unless SIGTERM comes first. Errors: ConfigError, OSError."""
        starting = self._starting = asyncio.ensure_future(self._start())
        await asyncio.wait([starting])
        self._starting = None
        if not starting.cancelled():
            starting.result()
        if self._read_after is not None:
            self.reload(self._read_after)
        if self.stopped_at is not None:
            self._wind_down()

    async def _start(self) -> None:
        for assembly in self._planned:
            await assembly.start()
            self.assemblies.append(assembly)
        for assembly in self.assemblies:
            assembly.admit()

    def reload(self, read: Callable[[], Config]) -> None:
        """SIGHUP: take from a new file what can change under calls; one that is faulty changes nothing."""
        if self._starting is not None:  # only what has started can take it
            self._read_after = read
            return
        heart = self.heart
        try:
            settings = read()
            configuration.check_reload(heart.config, settings)
        except ConfigError as fault:
            self.reload_errors += 1
            log.error("configuration_not_taken", **fault.told())
            return
        for assembly in self.assemblies:
            assembly.reload(settings)
        heart.decisions.retune(settings.settings)
        heart.calls.retune(settings.release_wait, settings.default_gap)
        heart.calls.figures.name(settings.classes)
        rest = configuration.fixed_changes(heart.config, settings)
        heart.config = configuration.taken(heart.config, settings)
        self.reloads += 1
        log.info("configuration_taken", at_next_start=rest)

    def figures(self) -> dict[str, Any]:
        """What the second address reports."""
        heart = self.heart
        told: dict[str, Any] = {
            **heart.calls.figures.told(),
            "pending": heart.calls.pending,
            "members": len(heart.listed()),
            "members_unavailable": heart.decisions.avoided(),
            "config_reloads": self.reloads,
            "config_reload_errors": self.reload_errors,
        }
        for assembly in self.assemblies:
            told.update(assembly.figures())
        return told

    def stop(self) -> None:
        """SIGTERM: finish what was taken, and go on accepting for the time that callers may still come."""
        if self.stopped_at is not None:
            if self._sent_away_at is None:  # it serves again: its calls are finished, and no more taken
                self._send_away()
            return
        log.info("stopping", unanswered=self.heart.calls.unanswered)
        self.stopped_at = monotonic()
        self._send_away()
        if self._starting is None:
            self._wind_down()
        else:  # whatever its start waits for may take longer than it is given to end
            self._starting.cancel()

    def _send_away(self) -> None:
        self._sent_away_at = monotonic()
        self.heart.operation.stop()

    def _serve_again(self) -> None:
        """The successor is gone: who comes is served while this process stays, though it is not ready."""
        if self._sent_away_at is not None:
            log.info("serving_again")
            self._sent_away_at = None
            self.heart.operation.serve_again()

    def _wind_down(self) -> None:
        for assembly in self.assemblies:
            assembly.stop()
        self._look()

    def _look(self) -> None:
        assert self.stopped_at is not None
        now, calls = monotonic(), self.heart.calls
        # Whoever sends the end of a call that stands is to find this process, which knows its other side.
        over = now >= self.stopped_at + STOP_STAYS
        if over:
            owed = calls.unanswered > 0
        else:
            owed = calls.pending > 0 or any(assembly.owes() for assembly in self.assemblies)
        if self._sent_away_at is None and (over or not owed):
            self._send_away()
        if owed or now - self._looked_at >= STOOD_STILL:
            self._owed_at = now
        self._looked_at = now
        sent_away_at = self._sent_away_at or now
        quiet_since = max(sent_away_at + STOP_ACCEPTS, calls.last_offer + STOP_LOOKS, self._owed_at)
        if not owed and all(assembly.settled(quiet_since) for assembly in self.assemblies):
            self.done.set()
            self.end()  # in this turn of the loop: a call that is taken after this look has no one to end it
        else:
            self.heart.loop.add_timeout(STOP_LOOKS, self._look)

    def end(self) -> None:
        """The last that each does, in the order of the start."""
        for assembly in self.assemblies:
            assembly.end()


async def serve(settings: Config, read: Callable[[], Config], hung_up: Callable[[], bool]) -> None:
    """Run until SIGTERM or SIGINT has been carried out.

    `read` reads the configuration anew; `hung_up`: whether SIGHUP came before this: `settings` may be old.
    """
    program = Program(settings)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, program.reload, read)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, program.stop)
    await program.start()
    if hung_up():
        program.reload(read)
    if program.stopped_at is None:
        log.info("serving", **program.heart.addresses)  # last: whoever reads it finds every address open
    gc.collect()
    gc.freeze()  # what stands from the start is never looked through again: shorter pauses
    await program.done.wait()
    # It has ended as asked: one more signal, once the loop lets go of them, would make that a death by it.
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
    log.info("stopped", unreadable=program.heart.unreadable())


def run(arguments: Sequence[str]) -> int:
    """Serve until asked to end; `arguments`: the operator's file, or nothing. The exit code comes back."""
    hang_ups: list[int] = []  # each means a new file, which may have been written after this one is read
    signal.signal(signal.SIGHUP, lambda number, frame: hang_ups.append(number))
    read = partial(configuration.of_process, arguments, os.environ)
    try:
        settings = read()
    except ConfigError as fault:
        print(f"mallowquay: configuration: {fault}\n{fault.advice()}", file=sys.stderr)
        return 2
    try:
        asyncio.run(serve(settings, read, lambda: bool(hang_ups)))
    except ConfigError as fault:
        print(f"mallowquay: configuration: {fault}\n{fault.advice()}", file=sys.stderr)
        return 2
    except (Fault, OSError) as fault:
        known = not_started(fault)
        print(f"mallowquay: {known}\n{known.advice()}", file=sys.stderr)
        return 1
    return 0
