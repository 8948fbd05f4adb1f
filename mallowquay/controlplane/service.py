"""`mallowquay control-plane FILE`: the control service alone, and the same beside a front."""

from __future__ import annotations

import asyncio
import random
import secrets
import signal
import sys
import time
from collections.abc import Callable
from datetime import timedelta
from functools import partial
from typing import Any

import structlog

from ..core.decisions import Decisions
from ..core.model import ListTold, LoadTold, Rating
from ..errors import Fault, not_started
from ..membership.consul import Consul
from ..net.clock import UnixTime, monotonic
from ..net.tasks import Tasks
from ..operation.control import serve as serve_control
from ..operation.readiness import Operation
from ..settings import MICROSECOND, Config, ConfigError, XdsConfig, check_reload, fixed_changes
from ..settings.operator import load_control_plane
from .pacing import Pace
from .plane import Plane
from .streams import Hub, Terms, listen
from .subscriptions import Lease
from .xds import Endpoints
from .xds import serve as serve_rest

log = structlog.get_logger(part=__name__)

PULSE = timedelta(milliseconds=250)  # without calls the module is woken so often to judge anew
STOP_WITHIN = timedelta(milliseconds=100)  # streams are closed after this: proxies go to another instance


def terms_of(xds: XdsConfig) -> Terms:
    """What streams are granted, by the file."""
    lease = Lease(xds.lease, xds.renew) if xds.lease else None
    return Terms(lease, xds.catch_up, xds.streams_most, xds.first_pushes_per_s, xds.nodes)


async def start(
    settings: Config, ratings: Callable[[], list[Rating]], lister: Callable[[str], None]
) -> tuple[Plane, Hub, Any]:
    """Listen for proxies: what they are shown, the streams, and the server. Errors: OSError."""
    xds = settings.xds
    assert xds is not None and xds.ads is not None, "config checked it"
    hub = Hub(terms_of(xds), monotonic)
    aim = min(kind.aim for kind in settings.settings.classes) * MICROSECOND
    pace = Pace(xds.gather, xds.weight_band, xds.changes_per_s)

    def unix_ms() -> int:
        return time.time_ns() // 1_000_000

    plane = Plane(hub, xds.cluster, xds.districts, pace, ratings, aim, monotonic, unix_ms)
    server, _ = await listen(hub, xds.ads, lister)
    plane.start()
    return plane, hub, server


async def _serve(path: str, settings: Config, hung_up: Callable[[], bool]) -> None:
    decisions = Decisions(settings.settings, settings.seed, monotonic)
    places: dict[str, Any] = {}
    plane, hub, server = await start(settings, decisions.ratings, partial(places.__setitem__, "ads"))
    operation, tasks, done = Operation(monotonic), Tasks(), asyncio.Event()
    counts = {"config_reloads": 0, "config_reload_errors": 0}
    listed: dict[str, Any] = {}

    def told(news: ListTold) -> None:
        # The module first: what it shows of a server that has just come is asked for at once.
        decisions.report(news)
        if news.whole:
            listed.clear()
        listed.update({one.id: one for one in news.servers})
        plane.list_told(news)
        operation.list_known = True

    def reload() -> None:
        try:
            new = load_control_plane(path)
            check_reload(settings, new)
        except ConfigError as fault:
            counts["config_reload_errors"] += 1
            log.error("configuration_not_taken", **fault.told())
            return
        counts["config_reloads"] += 1
        decisions.retune(new.settings)
        if new.consul is None:
            told(ListTold(new.servers, whole=True))
        log.info("configuration_taken", at_next_start=fixed_changes(settings, new))

    async def pulse() -> None:
        while True:
            await asyncio.sleep(PULSE.total_seconds())
            for name in listed:
                decisions.report(LoadTold(name, {}))
                break  # any one event has the module look at all of them
            decisions.tick(monotonic())

    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGHUP, reload)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, done.set)
    if settings.consul is not None:
        chance = random.Random(settings.seed)
        tasks.spawn(Consul(settings.consul, UnixTime(), told, chance).follow())
    else:
        told(ListTold(settings.servers, whole=True))
    tasks.spawn(pulse())
    xds = settings.xds
    assert xds is not None
    if xds.listen is not None:
        endpoints = Endpoints(xds.cluster, decisions.ratings, lambda: listed, f"{secrets.randbits(32):08x}")
        places["rest"] = f"{xds.listen[0]}:{xds.listen[1]}"
        rest = serve_rest(endpoints, xds.listen)
    operation.listening = True
    if settings.control is not None:
        figures = lambda: {"members": len(listed), **counts, "xds": hub.figures()}  # noqa: E731
        control = serve_control(operation, figures, settings.control)
    if hung_up():
        reload()
    log.info("serving", **places)
    await done.wait()
    operation.stop()
    await server.stop(STOP_WITHIN.total_seconds())
    if xds.listen is not None:
        rest.stop()
    if settings.control is not None:
        control.stop()
    log.info("stopped")


def run(path: str) -> int:
    """Serve until asked to end; the exit code: 0 as asked, 1 failed, 2 the file cannot be used."""
    hang_ups: list[int] = []  # each means a new file, which may have been written after this one is read
    signal.signal(signal.SIGHUP, lambda number, frame: hang_ups.append(number))
    try:
        settings = load_control_plane(path)
    except ConfigError as fault:
        print(f"mallowquay: configuration: {fault}\n{fault.advice()}", file=sys.stderr)
        return 2
    try:
        asyncio.run(_serve(path, settings, lambda: bool(hang_ups)))
    except (Fault, OSError) as fault:
        known = not_started(fault)
        print(f"mallowquay: {known}\n{known.advice()}", file=sys.stderr)
        return 1
    return 0
