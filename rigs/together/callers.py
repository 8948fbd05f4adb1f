"""Callers of all districts: an open loop with times, classes and lengths that one seed fixes beforehand.

A caller dials a gatekeeper of its own district, and one of another where its own has none that it could
reach.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from ..sip_peers import Headers, Heard, decode, encode
from .servers import T1, T2, Calls, CallSeen, Datagrams, micros, whole_message

UPDATES = 0.22  # share of the calls that are of the class worth most
WORTH = {"log-lookup": 1.0, "log-update": 2.0}
AIM_US = {"log-lookup": 2_000_000, "log-update": 1_500_000}
DEADLINE = 3.0  # seconds
BY_TCP = 0.25  # share of the calls
HOLD_MEAN, HOLD_MOST = 0.3, 2.0
ENDS = 6.5  # seconds after which nothing more comes of a call


@dataclass(frozen=True, slots=True)
class Planned:
    """A call that will be offered: seconds from the begin, and all that chance decides of it."""

    at: float
    id: str
    district: str
    kind: str
    hold: float
    pick: float  # which gatekeeper, of those in reach
    by_tcp: bool
    rings_off: bool


Rate = Callable[[float], float]  # calls a second of all districts, at so many seconds from the begin


def planned(seed: int, districts: list[str], rate: Rate, seconds: float, most: float) -> list[Planned]:
    """Poisson arrivals by thinning (Lewis and Shedler, 1979); one seed, one result. `most`: of `rate`."""
    chance = random.Random(seed)
    found: list[Planned] = []
    at = 0.0
    while (at := at + chance.expovariate(most)) < seconds:
        draws = [chance.random() for _ in range(5)]
        hold = min(chance.expovariate(1 / HOLD_MEAN), HOLD_MOST) + 0.05
        district = chance.choice(districts)
        if draws[0] * most > rate(at):
            continue
        kind = "log-update" if draws[1] < UPDATES else "log-lookup"
        found.append(Planned(at, f"{len(found):08x}", district, kind, hold, draws[2], draws[3] < BY_TCP,
                             draws[4] < 0.5))  # fmt: skip
    return found


class Desk:
    """All callers of one gatekeeper: a socket, and a connection that they share."""

    def __init__(self, name: str, port: int, calls: Calls) -> None:
        self.name, self._far, self._calls = name, ("127.0.0.1", port), calls
        self._udp: Datagrams | None = None
        self._tcp: _Stream | None = None
        self._invites: dict[str, tuple[Headers, str]] = {}
        self._acks: dict[str, tuple[str, bytes]] = {}
        self._quiet: dict[str, asyncio.Event] = {}

    async def open(self) -> None:
        """Errors: OSError."""
        self._udp = Datagrams(lambda data, address: self.take(decode(data), "udp"))
        self._port = self._udp.port

    async def connect(self) -> None:
        """A new connection, as soon as the gatekeeper listens; none if it does not."""
        try:
            made = await asyncio.get_running_loop().create_connection(lambda: _Stream(self.take), *self._far)
            self._tcp = made[1]
        except OSError:
            self._tcp = None

    def close(self) -> None:
        """End it."""
        if self._udp is not None:
            self._udp.close()
        if self._tcp is not None:
            self._tcp.transport.abort()

    def _write(self, transport: str, data: bytes) -> None:
        if transport == "tcp" and self._tcp is not None and not self._tcp.transport.is_closing():
            self._tcp.transport.write(data)
        elif self._udp is not None:
            self._udp.send(data, self._far)

    def _request(self, name: str, method: str, transport: str, to_tag: str = "", cseq: int = 1,
                 mark: str = "") -> bytes:  # fmt: skip
        headers, _ = self._invites[name]
        via = (
            f"SIP/2.0/{transport.upper()} 127.0.0.1:{self._port};branch=z9hG4bK{name}{transport}{mark};rport"
        )
        to = f"<sip:{name}@127.0.0.1>" + (f";tag={to_tag}" if to_tag else "")
        lines = [("Via", via), ("To", to), ("CSeq", f"{cseq} {method}"), *headers]
        body = b"offer " + name.encode() if method == "INVITE" else b""
        return encode(f"{method} sip:{name}@127.0.0.1:{self._far[1]} SIP/2.0", lines, body)

    async def call(self, call: CallSeen, by_tcp: bool) -> None:
        """Offer a call, and send it again over UDP until it is heard of."""
        transport = "tcp" if by_tcp and self._tcp and not self._tcp.transport.is_closing() else "udp"
        contact = f"<sip:caller@127.0.0.1:{self._port};transport=udp>"
        headers = [("From", f"<sip:caller@127.0.0.1>;tag=c{call.id}"), ("Call-ID", f"call-{call.id}"),
                   ("Max-Forwards", "70"), ("Contact", contact), ("Expires", str(round(DEADLINE))),
                   ("P-Kind", call.kind)]  # fmt: skip
        self._invites[call.id] = (headers, transport)
        heard = self._quiet[call.id] = asyncio.Event()
        gap, waited = T1, 0.0
        while waited < DEADLINE:
            self._write(transport, self._request(call.id, "INVITE", transport))
            if transport == "tcp":
                break
            try:
                await asyncio.wait_for(heard.wait(), gap)
                break
            except TimeoutError:
                waited, gap = waited + gap, min(2 * gap, T2)

    def take(self, heard: Heard, transport: str) -> None:
        """A message of the gatekeeper."""
        name = heard.get("call-id").removeprefix("call-")
        call = self._calls.get(name)
        now = micros(asyncio.get_running_loop().time())
        if not heard.status:
            if heard.first.startswith("BYE ") and call is not None:
                if not call.released:
                    call.released = now
                    cause = heard.get("reason").partition("cause=")[2]
                    call.cause = int(cause) if cause.isdigit() else 0
                self._write(transport, encode("SIP/2.0 200 OK", heard.copied()))
            return
        if heard.method != "INVITE" or call is None:
            return
        if name in self._quiet:
            self._quiet.pop(name).set()
        if heard.status < 200:
            return
        answer = (heard.status, heard.tag("to"))
        first = answer not in call.tags
        if first:
            call.tags.add(answer)
            gap = heard.get("p-gap-ms")
            call.finals.append((now, heard.status, int(gap) if gap.isdigit() else 0))
        if heard.status >= 300:
            self._write(transport, self._request(name, "ACK", transport, answer[1]))
            return
        if name not in self._acks:
            self._acks[name] = (transport, self._request(name, "ACK", transport, answer[1], mark="a"))
            if call.rings_off:
                loop = asyncio.get_running_loop()
                loop.call_later(call.hold, self._bye, call, transport, answer[1])
        self._write(*self._acks[name])

    def _bye(self, call: CallSeen, transport: str, tag: str) -> None:
        if call.released:
            return
        call.over = call.over or micros(asyncio.get_running_loop().time())
        for copy in range(3):
            asyncio.get_running_loop().call_later(
                T1 * (2**copy - 1), self._write, "udp", self._request(call.id, "BYE", "udp", tag, 2)
            )


class _Stream(asyncio.Protocol):
    """The connection of the callers of one gatekeeper."""

    def __init__(self, take: Callable[[Heard, str], None]) -> None:
        self._take, self._kept = take, b""

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self._kept += data
        while (whole := whole_message(self._kept)) is not None:
            message, self._kept = whole
            self._take(decode(message), "tcp")
