"""`make catalogue-endurance`: faults of Consul under calls that stand, with gatekeepers as real processes.

    .venv/bin/python benchmarks/catalogue_endurance.py [--short]

Two gatekeepers follow the stand-in for Consul. Thirty calls stand at each, spread over three log servers, and
further ones are set up throughout. Judged by what callers and log servers saw: calls cut that should stand,
set-ups that a log server got after it could be known to take none, and queries a second. Ends with one line
of JSON: "violations" and the figures; exit code 1 if there are any.
"""

from __future__ import annotations

import argparse
import asyncio
import itertools
import json
import os
import sys
import time
from collections.abc import Awaitable, Callable
from typing import Any

from rigs.consul import StandInConsul, instance
from rigs.process import Process
from rigs.sip_peers import Heard, decode, encode, operators_file, sip_port

NAMES = ("a", "b", "c")
GATEKEEPERS = 2
STANDING = 30  # calls at each gatekeeper, before the fault
SET_UP_INTERVAL = 0.1  # seconds between further calls at each
AGE, FAILING, CONFIRM = 2.0, 3.0, 3.0  # seconds, of the settings
GRACE = 0.5  # seconds after which nothing new may go to a log server that could be known to take none
QUERIES_A_SECOND_MAX = 5.5  # of one gatekeeper: the least pause between two queries is 0.2 s
SLACK = 0.3  # seconds, for the rig's own loop
SETTINGS = (
    f"age_ms = {AGE * 1000:.0f}\nfailing_ms = {FAILING * 1000:.0f}\nconfirm_ms = {CONFIRM * 1000:.0f}\n"
)


class Datagrams(asyncio.DatagramProtocol):
    """A socket of a stand-in."""

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.port: int = transport.get_extra_info("sockname")[1]

    def datagram_received(self, data: bytes, address: tuple[str, int]) -> None:
        self.take(decode(data), address)

    def take(self, heard: Heard, address: tuple[str, int]) -> None:
        raise NotImplementedError


class LogServer(Datagrams):
    """Answers each set-up, and ends no call of its own accord."""

    def __init__(self) -> None:
        self.set_ups: list[float] = []  # when each came

    def take(self, heard: Heard, address: tuple[str, int]) -> None:
        if heard.status or heard.method == "ACK":
            return
        copied = [(k, f"{v};tag=s" if k == "to" and ";tag=" not in v else v) for k, v in heard.copied()]
        if heard.method == "INVITE":
            self.set_ups.append(time.monotonic())
            copied.append(("Contact", f"<sip:log@127.0.0.1:{self.port}>"))
        self.transport.sendto(encode("SIP/2.0 200 OK", copied, b"answer"), address)


class Callers(Datagrams):
    """The callers of one gatekeeper; none ends a call."""

    def __init__(self, gatekeeper: int) -> None:
        self.gatekeeper = ("127.0.0.1", gatekeeper)
        self.standing: dict[str, int] = {}  # each call that was answered, and its log server
        self.released: dict[str, float] = {}
        self.refused = 0

    def invite(self, call: str, server: int) -> None:
        headers = [("P-Path", f"dest:{server};width:1;via:-1"), ("Content-Type", "application/sdp")]
        self._send("INVITE", call, f"<sip:{server}@h>", *headers)

    def _send(self, method: str, call: str, to: str, *more: tuple[str, str]) -> None:
        headers = [
            ("Via", f"SIP/2.0/UDP 127.0.0.1:{self.port};branch=z9hG4bK{call}{method};rport"), ("To", to),
            ("From", "<sip:c@h>;tag=c"), ("Call-ID", call), ("CSeq", f"1 {method}"), ("Max-Forwards", "70"),
            ("Contact", f"<sip:c@127.0.0.1:{self.port}>"), *more,
        ]  # fmt: skip
        self.transport.sendto(encode(f"{method} sip:7f@h SIP/2.0", headers, b"offer"), self.gatekeeper)

    def take(self, heard: Heard, address: tuple[str, int]) -> None:
        call = heard.get("call-id")
        if heard.first.startswith("BYE "):
            self.released.setdefault(call, time.monotonic())
            self.transport.sendto(encode("SIP/2.0 200 OK", heard.copied()), address)
        elif heard.status >= 200 and heard.method == "INVITE":
            self._send("ACK", call, heard.get("to"))
            if heard.status == 200:
                self.standing[call] = int(heard.get("to").partition("sip:")[2].partition("@")[0])
            else:
                self.refused += 1


class Stage:
    """Consul, log servers, gatekeepers and their callers, for one scenario."""

    async def open(self) -> None:
        loop = asyncio.get_running_loop()
        self.consul = StandInConsul()
        self.servers = [await self._socket(loop, LogServer()) for _ in NAMES]
        self.tell()
        where = "127.0.0.1:%d" % self.consul.server_address[1]
        table = f'[consul]\naddress = "{where}"\nservice = "log-server"\n{SETTINGS}'
        ports = [sip_port() for _ in range(GATEKEEPERS)]
        self.files = [operators_file(port, [], extra=table) for port in ports]
        self.processes = [Process([file], {}) for file in self.files]
        for process in self.processes:
            await asyncio.to_thread(process.wait_until_serves)
        self.callers = [await self._socket(loop, Callers(port)) for port in ports]
        self.calls = itertools.count()
        await self.until(lambda: len(self.consul.queries) >= 2 * GATEKEEPERS)

    @staticmethod
    async def _socket(loop: asyncio.AbstractEventLoop, stand_in: Any) -> Any:
        await loop.create_datagram_endpoint(lambda: stand_in, local_addr=("127.0.0.1", 0))
        return stand_in

    def tell(self, *names: str, critical: str = "") -> None:
        """What Consul knows: all log servers where none is named."""
        told = [
            instance(name, server.port, "critical" if name == critical else "passing", number=str(number))
            for number, (name, server) in enumerate(zip(NAMES, self.servers, strict=True))
            if not names or name in names
        ]
        self.consul.tell(told)

    async def until(self, what: Callable[[], bool], seconds: float = 20.0) -> None:
        async with asyncio.timeout(seconds):
            while not what():
                await asyncio.sleep(0.02)

    async def stand(self) -> None:
        """Let the calls of the scenario come to stand."""
        for number in range(STANDING):
            for callers in self.callers:
                callers.invite(f"call{next(self.calls)}", number % len(NAMES))
            await asyncio.sleep(0.02)
        await self.until(lambda: all(len(callers.standing) == STANDING for callers in self.callers))

    async def traffic(self, seconds: float) -> None:
        """Further set-ups, to each log server in turn."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            number = next(self.calls)
            for callers in self.callers:
                callers.invite(f"call{number}-{callers.port}", number % len(NAMES))
            await asyncio.sleep(SET_UP_INTERVAL)

    def released(self, *servers: int) -> int:
        """How many calls at these log servers were released."""
        return sum(
            callers.standing.get(call) in servers for callers in self.callers for call in callers.released
        )

    def set_ups_after(self, moment: float, *servers: int) -> int:
        """How many set-ups came to these log servers after this moment."""
        return sum(at > moment for server in servers for at in self.servers[server].set_ups)

    def close(self) -> None:
        for process in self.processes:
            process.stop()
        for file in self.files:
            os.unlink(file)
        for stand_in in (*self.servers, *self.callers):
            stand_in.transport.close()
        self.consul.ended.set()
        self.consul.shutdown()
        self.consul.server_close()


Outcome = dict[str, float]
Scenario = Callable[[Stage, float], Awaitable[Outcome]]
ALL = tuple(range(len(NAMES)))


async def emptied_for_a_moment(stage: Stage, seconds: float) -> Outcome:
    """Consul tells an empty list for two seconds."""
    stage.consul.tell([])
    await stage.traffic(2.0)
    stage.tell()
    await stage.traffic(seconds)
    refused = sum(callers.refused for callers in stage.callers)
    return {"cut": stage.released(*ALL), "refused": refused}


async def emptied_for_good(stage: Stage, seconds: float) -> Outcome:
    """Consul tells an empty list from now on: all calls are over, in 8 s."""
    stage.consul.tell([])
    at = time.monotonic()
    await stage.traffic(8.0 + seconds)
    known = at + CONFIRM + CONFIRM / 3 + GRACE + SLACK
    left = sum(len(callers.standing) - len(callers.released) for callers in stage.callers)
    late = sum(moment > at + 8.0 for callers in stage.callers for moment in callers.released.values())
    return {"left standing": left + late, "set-ups": stage.set_ups_after(known, *ALL)}


async def watch_silent(stage: Stage, seconds: float) -> Outcome:
    """The open queries are never answered; a second later a log server fails its check."""
    stage.consul.fall_silent()
    await stage.traffic(1.0)
    at = time.monotonic()
    stage.tell(critical="a")
    await stage.traffic(seconds)
    known = at + AGE + GRACE + SLACK
    return {"cut": stage.released(1, 2), "set-ups": stage.set_ups_after(known, 0)}


async def catalogue_down(stage: Stage, seconds: float) -> Outcome:
    """Each query is answered with an error for a while; then a log server is gone from the list."""
    stage.consul.failing = 1_000_000
    stage.tell()
    await stage.traffic(seconds)
    cut = stage.released(*ALL)
    with stage.consul.changed:
        stage.consul.failing = 0
    stage.tell("b", "c")
    at = time.monotonic()
    await stage.traffic(AGE * 1.5 + GRACE + 1.0)
    known = at + AGE * 1.5 + GRACE + SLACK  # a pause after a fault grows to the age, drawn up to 1.5 times
    return {"cut": cut + stage.released(1, 2), "set-ups": stage.set_ups_after(known, 0)}


async def flapping(stage: Stage, seconds: float) -> Outcome:
    """A log server's check changes five times a second."""
    end = time.monotonic() + seconds
    for turn in itertools.count():
        if time.monotonic() >= end:
            break
        stage.tell(critical="a" if turn % 2 else "")
        await stage.traffic(0.2)
    stage.tell()
    await stage.traffic(1.0)
    return {"cut": stage.released(*ALL)}


# Seconds in the short form, and in full.
SCENARIOS: tuple[tuple[Scenario, tuple[float, ...], tuple[float, ...]], ...] = (
    (emptied_for_a_moment, (4.0,), (10.0,)),
    (emptied_for_good, (1.0,), (5.0,)),
    (watch_silent, (6.0,), (10.0, 30.0, 90.0)),
    (catalogue_down, (4.0,), (30.0,)),
    (flapping, (4.0,), (20.0,)),
)


async def play(scenario: Scenario, seconds: float) -> dict[str, Any]:
    """One scenario: its counts, which are all to be 0, and the most queries a second of a gatekeeper."""
    stage = Stage()
    await stage.open()
    try:
        await stage.stand()
        queries, began = len(stage.consul.queries), time.monotonic()
        wrong = await scenario(stage, seconds)
        rate = (len(stage.consul.queries) - queries) / (time.monotonic() - began) / GATEKEEPERS
        for process in stage.processes:
            wrong["exits"] = wrong.get("exits", 0) + (process.process.poll() is not None)
        wrong["queries"] = float(rate > QUERIES_A_SECOND_MAX)
        told = {"name": scenario.__name__, "seconds": seconds, "wrong": wrong}
        return {**told, "queries_a_second": round(rate, 2)}
    finally:
        stage.close()


async def run(short: bool) -> list[dict[str, Any]]:
    """All scenarios: side by side in the short form, one after the other in full."""
    plays = [(scenario, span) for scenario, brief, full in SCENARIOS for span in (brief if short else full)]
    if short:
        return list(await asyncio.gather(*(play(scenario, span) for scenario, span in plays)))
    return [await play(scenario, span) for scenario, span in plays]


def main() -> int:
    """Play all, tell the figures."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--short", action="store_true")
    results = asyncio.run(run(parser.parse_args().short))
    violations = sum(count > 0 for result in results for count in result["wrong"].values())
    print(json.dumps({"violations": violations, "scenarios": results}))
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
