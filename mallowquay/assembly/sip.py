"""The second front, and its list from the operator's file or from Consul.

Loaded only where it is set up: two processes of the platform share one allowance of memory at an upgrade.
"""

from __future__ import annotations

import asyncio
import random
import secrets
from collections.abc import Callable, Mapping
from datetime import timedelta
from functools import partial
from typing import Any

from ..core.model import ListTold
from ..fronts.sip.front import SipFront
from ..fronts.sip.servers import SipServers
from ..fronts.sip.transactions import Timers, Transactions
from ..fronts.sip.transport import Transport
from ..membership.consul import Consul
from ..net.clock import UnixTime, monotonic
from ..settings import SOCKETS_KEPT, Config, SipConfig
from .base import Assembly, Heart


# T1 that a stopping process stays for a BYE or a refusal that was not heard: four copies, the last of them
# with time for its answer. A peer that is gone holds it up no longer.
LEAVES_WITHIN = 8


class SipAssembly(Assembly):
    """Serve SIP over UDP and TCP."""

    def __init__(self, heart: Heart, sip: SipConfig) -> None:
        self._heart, self._sip = heart, sip
        self._consul: Consul | None = None  # the source of the list, unless the file is
        self._leaves: tuple[timedelta, timedelta] | None = None  # quiet since when, and stays until

    async def start(self) -> None:
        """Take the list."""
        heart, sip, settings = self._heart, self._sip, self._heart.config
        chance = random.Random(settings.seed)
        # Never by the file's seed: a process that is started again would name its calls as the one before
        # did, and
        # a log server that still has those would take them for copies (RFC 3261, 8.1.1.4: unique over
        # space and time).
        tag = partial(_tag, random.Random(secrets.randbits(128)))
        most = settings.sockets - SOCKETS_KEPT
        transport = self._transport = Transport(heart.loop, settings.connect_timeout, most, monotonic)
        timers = Timers(sip.t1, sip.t2, sip.t4)
        layer = self.layer = Transactions(transport, timers, _later, tag, sip.transactions_most)
        heart.unreadable = lambda: transport.garbage
        transport.take, transport.lost = layer.take, layer.connection_lost
        servers = SipServers(heart.calls, layer, monotonic, tag)
        heart.calls.attach(servers)
        heart.listed = lambda: servers.servers
        self.front = heart.front = SipFront(
            heart.calls, layer, servers, monotonic, tag, sip, settings.classes, settings.end_margin,
            heart.operation,
        )  # fmt: skip
        self._told = partial(heart.told, side=servers.list_told)
        if settings.consul is not None:
            self._consul = Consul(settings.consul, UnixTime(), self._told, chance)
            transport.spawn(self._consul.follow())
        else:
            self._told(ListTold(sip.servers, whole=True))

    def admit(self) -> None:
        """Listen over what the file names. Errors: OSError."""
        heart, sip, transport = self._heart, self._sip, self._transport
        if sip.udp is not None:
            transport.listen_udp(sip.udp)
        if sip.tcp is not None:
            transport.listen_tcp(sip.tcp)
        heart.operation.listening = True
        places = [f"{name} {host}:{port}" for name, (host, port) in transport.listening().items()]
        heart.addresses = {"at": places}

    def reload(self, settings: Config) -> None:
        """The servers of the file become the list; classes may have changed."""
        assert settings.sip is not None, "check_reload saw to it"
        if self._heart.config.consul is None:
            self._told(ListTold(settings.sip.servers, whole=True))
        self.front.retune(settings.classes, settings.sip.default_class)

    def figures(self) -> Mapping[str, Any]:
        """How old the list is, where Consul tells it."""
        return {} if self._consul is None else self._consul.figures()

    def settled(self, quiet_since: timedelta) -> bool:
        """Callers have come for as long as they may, and what they are owed is written."""
        now = monotonic()
        if now < quiet_since or not self.front.settled():
            return False
        if self._leaves is None or self._leaves[0] != quiet_since:
            self._leaves = (quiet_since, now + LEAVES_WITHIN * self._sip.t1)
        return self.layer.settled() or now >= self._leaves[1]


def _later(delay: timedelta, action: Callable[[], None]) -> asyncio.TimerHandle:
    return asyncio.get_running_loop().call_later(delay.total_seconds(), action)


def _tag(chance: random.Random) -> str:
    return f"{chance.getrandbits(64):016x}"
