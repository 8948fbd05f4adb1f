"""Consul's catalogue and health API as a source of the server list, followed by blocking queries."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any, TypeVar
from urllib.parse import quote, urlencode

import structlog
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest, HTTPResponse
from tornado.simple_httpclient import HTTPStreamClosedError, HTTPTimeoutError

from ..settings import OTHER, ConsulConfig
from ..core.model import Clock, ListTold, Server, ServerStatus
from ..errors import Fault
from ..net.clock import UnixTime, monotonic
from .catalogue import Catalogue, Instances

log = structlog.get_logger(part=__name__)

Outcome = TypeVar("Outcome")

RETRY_MIN = timedelta(milliseconds=500)
QUERY_INTERVAL_MIN = timedelta(milliseconds=200)  # whoever answers without waiting is not asked in a loop
ANSWER_TIMEOUT = timedelta(seconds=1)  # beyond the wait that a query asks for
BODY_MAX = 4 * 1024 * 1024
WAIT_SLACK = 16  # Consul itself adds up to a sixteenth of the wait
MAINTENANCE = ("_node_maintenance", "_service_maintenance:")


class ConsulFault(Fault):
    """An answer of Consul's that cannot be used; the list of before stays in force."""

    code = "consul.answer"
    remedy = "Look at Consul's own health and at the service's instances there; it is asked again by itself."


class ConsulSilent(Fault):
    """Consul cannot be reached, or answers with an error; the list of before stays in force."""

    code = "consul.silent"
    remedy = (
        "See that Consul runs at consul.address and that the token may read the service; it is asked again "
        "by itself."
    )


class ConsulDoubted(Fault):
    """Consul's answer lacks most of the list: until further answers confirm it, no call is cut."""

    code = "consul.doubted"
    remedy = (
        "See whether the service's instances were taken out on purpose: its name, its registrations, the "
        "token's rights. What consul.confirm_ms and consul.confirm_answers ask for makes it count."
    )


class Consul:
    """Follows the instances of one service."""

    def __init__(
        self,
        config: ConsulConfig,
        unix: UnixTime,
        tell: Callable[[ListTold], None],
        generator: random.Random,
        clock: Clock = monotonic,
    ) -> None:
        self._config, self._unix, self._tell, self._random = config, unix, tell, generator
        self._clock = clock
        self._catalogue = Catalogue(config.rules)
        self._where = "{}:{}".format(*config.address)
        self._client = AsyncHTTPClient(force_instance=True, max_body_size=BODY_MAX, max_clients=1)
        self.index = 0
        self._asked_at = clock() - QUERY_INTERVAL_MIN
        self._answered_at: timedelta | None = None
        self._last: tuple[Server, ...] | None = None

    def figures(self) -> dict[str, Any]:
        """What the second address reports; the age is in milliseconds, None before the first answer."""
        answered = self._answered_at
        age = None if answered is None else (self._clock() - answered) // timedelta(milliseconds=1)
        return {"list_age_ms": age, "list_unconfirmed": self._catalogue.unconfirmed}

    async def follow(self) -> None:
        """Ask, apply, and ask again from the index told.

        After the first fault it is asked again at once, as the list is as old as it may be; then after longer
        and longer gaps.
        """
        gap = timedelta(0)
        while True:
            pause = QUERY_INTERVAL_MIN - (self._clock() - self._asked_at)
            try:
                await self._while_due(asyncio.sleep(max(pause, timedelta(0)).total_seconds()))
                self._asked_at = self._clock()
                self.apply(await self._while_due(self._query()))
            except (ConsulFault, HTTPClientError, HTTPStreamClosedError, HTTPTimeoutError, OSError) as fault:
                known = fault if isinstance(fault, ConsulFault) else ConsulSilent(str(fault), self._where)
                log.warning("consul_fault", **known.told())
            except Exception as fault:  # whatever an answer has met here: the watch is not given up
                log.error("consul_fault", exc_info=fault, **ConsulSilent(repr(fault), self._where).told())
            else:
                gap = timedelta(0)
                if self._catalogue.unconfirmed:
                    await self._pause(self._config.rules.confirm / self._config.rules.confirm_answers)
                continue
            self.index = 0  # the next query answers at once, whatever was missed
            await self._pause(gap * (0.5 + self._random.random()))
            gap = min(max(2 * gap, RETRY_MIN), self._config.age)

    async def _pause(self, span: timedelta) -> None:
        try:
            await self._while_due(asyncio.sleep(min(span, self._config.age).total_seconds()))
        except Exception as fault:  # what the program met; told again with the next answer
            log.error("consul_fault", exc_info=fault, **ConsulSilent(repr(fault), self._where).told())

    async def _while_due(self, awaited: Awaitable[Outcome]) -> Outcome:
        """Await something, and meanwhile tell what time alone changes of the list."""
        waiting = asyncio.ensure_future(awaited)
        try:
            while not waiting.done():
                now = self._clock()
                change = self._catalogue.next_change(now)
                timeout = None if change is None else (change - now).total_seconds()
                await asyncio.wait({waiting}, timeout=timeout)
                self._tell_list()
            return waiting.result()
        finally:
            waiting.cancel()

    def _query(self) -> Awaitable[HTTPResponse]:
        config = self._config
        wait = min(config.wait, (config.age - ANSWER_TIMEOUT) * WAIT_SLACK / (WAIT_SLACK + 1))
        query = {"index": str(self.index), "wait": f"{wait // timedelta(milliseconds=1)}ms"}
        if config.datacenter:
            query["dc"] = config.datacenter
        host, port = config.address
        path = f"/v1/health/service/{quote(config.service, safe='')}?{urlencode(query)}"
        timeout = wait + wait / WAIT_SLACK + ANSWER_TIMEOUT
        request = HTTPRequest(
            f"http://{host}:{port}{path}",
            headers={"X-Consul-Token": config.token} if config.token else None,
            connect_timeout=ANSWER_TIMEOUT.total_seconds(),
            request_timeout=timeout.total_seconds(),
            follow_redirects=False,
        )
        return self._client.fetch(request)

    def apply(self, response: HTTPResponse) -> None:
        """Take one answer."""
        if response.headers.get("X-Consul-KnownLeader") == "false":
            raise ConsulFault("it knows no leader", "X-Consul-KnownLeader")
        text = response.headers.get("X-Consul-Index", "")
        if not text.isascii() or not text.isdigit():
            raise ConsulFault(f"X-Consul-Index is no number: {text!r}", "X-Consul-Index")
        instances = read_instances(response.body, self._unix)
        index = int(text)
        if index < self.index:
            # A catalogue restored from a copy, or an answer that is out of date: the next one tells, from 0.
            log.warning("consul_index_back", was=self.index, told=index)
            self.index = 0
            return
        self._catalogue.answered(instances, self._clock())
        self._answered_at = self._clock()
        self._tell_list()
        unconfirmed = self._catalogue.unconfirmed
        if unconfirmed:
            doubted = f"answer {unconfirmed} without most of the list; {len(instances.servers)} instances"
            log.warning("consul_fault", **ConsulDoubted(doubted, self._where).told())
        # What does not count yet is asked for anew. One of 0 would never block.
        self.index = 0 if unconfirmed else max(index, 1)

    def _tell_list(self) -> None:
        servers = self._catalogue.servers(self._clock())
        if self._answered_at is not None and servers != self._last:
            self._tell(ListTold(servers, whole=True))
            self._last = servers  # only now: what was not taken whole is told again


def read_instances(body: bytes, unix: UnixTime) -> Instances:
    """The instances of an answer; ConsulFault names what cannot be read."""
    try:
        entries = json.loads(body)
    except (ValueError, RecursionError) as fault:
        raise ConsulFault("the answer is not JSON") from fault
    if not isinstance(entries, list):
        raise ConsulFault("the answer is not a list")
    try:
        pairs = [(_instance(entry, unix), is_failing(entry.get("Checks") or [])) for entry in entries]
    except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as fault:
        raise ConsulFault(f"an instance cannot be read: {type(fault).__name__}: {fault}") from fault
    # Instances without a number of their own are numbered in the order of their ids.
    servers = sorted((server for server, _ in pairs), key=lambda server: server.id)
    taken = {server.number for server in servers}
    free = (number for number in range(len(taken) + len(servers) + 1) if number not in taken)
    numbered = tuple(s if s.number >= 0 else _numbered(s, next(free)) for s in servers)
    return Instances(numbered, frozenset(server.id for server, failing in pairs if failing))


def _numbered(server: Server, number: int) -> Server:
    return Server(server.id, server.address, number, server.status, server.started, server.transport)


def _instance(entry: dict[str, Any], unix: UnixTime) -> Server:
    service, node = entry["Service"], entry["Node"]
    meta = service.get("Meta") or {}
    transport = meta.get("transport", "udp")
    if transport not in OTHER:
        raise ValueError(f"transport {transport!r}")
    host = service.get("Address") or node["Address"]
    return Server(
        id=f"{node['Node']}/{service['ID']}",
        address=(str(host), int(service["Port"])),
        number=int(meta.get("number", -1)),
        status=status_of(entry.get("Checks") or []),
        started=unix.point(int(meta.get("started_ms", 0))),
        transport=transport,
    )


def is_failing(checks: list[dict[str, Any]]) -> bool:
    """Whether a check is critical; a warning still serves."""
    return any(check.get("Status") == "critical" for check in checks)


def status_of(checks: list[dict[str, Any]]) -> ServerStatus:
    """Nothing new goes where a check is critical or maintenance is declared."""
    maintained = any(str(check.get("CheckID", "")).startswith(MAINTENANCE) for check in checks)
    return ServerStatus.DRAINING if maintained or is_failing(checks) else ServerStatus.READY
