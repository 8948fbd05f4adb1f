"""Events in virtual time, and what they cost: worlds that must keep what is promised, bytes over links by
where filters are judged, and the time that a call gains.

    PYTHONPATH=. .venv/bin/python benchmarks/events_worlds.py [--worlds 200] [--from 1000] [--subscriptions
    1000]

One line of JSON; exit code 1 where a world broke a promise.
"""

from __future__ import annotations

import json
import logging
import os
import random
import statistics
import sys
import time
from collections import Counter
from concurrent.futures import ProcessPoolExecutor
from datetime import timedelta
from typing import Any

import click
import structlog

from mallowquay.core.calls import Call, Calls
from mallowquay.core.decisions import Decisions
from mallowquay.core.figures import Figures
from mallowquay.core.model import (
    Attempt,
    Ending,
    FinalAnswer,
    ListTold,
    Request,
    Server,
    ServerStatus,
)
from mallowquay.emulator.fleet.events import WorldLanguage, explore
from mallowquay.events.cover import merged
from mallowquay.events.fields import Value
from mallowquay.events.index import Index
from mallowquay.events.language import Filter, compile_filter
from mallowquay.events.machine import EventsMachine, EventTerms, OwnBook
from mallowquay.events.origin import KeptTerms, Origin, Subscribed
from mallowquay.events.sources import Sources
from mallowquay.events.wire import Ask, Batch, Message, encode
from mallowquay.settings.operator import load_operator

MS, SECOND = timedelta(milliseconds=1), timedelta(seconds=1)
KINDS = ("call.offered", "call.stood", "call.ended", "call.refused", "call.failed", "server.rated")
WEIGHTS = (30, 25, 25, 10, 4, 1)
GATEKEEPERS = 6  # others than the one where events arise
MERGED_MOST = 4  # entries of a gatekeeper that merges


def quiet() -> None:
    """Worlds log what they do to each other."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR))


def world(seed: int) -> tuple[Counter[str], str]:
    """One world."""
    quiet()
    try:
        return explore(seed)
    except Exception as fault:  # a machine that raises breaks its promise, too
        return Counter(), f"seed {seed}: {type(fault).__name__}: {fault}"


def drawn(chance: random.Random) -> dict[str, Value]:
    """An event as calls give them."""
    event: dict[str, Value] = {
        "kind": chance.choices(KINDS, WEIGHTS)[0], "at_ms": 1_800_000_000_000 + chance.randint(0, 10**7),
        "class": chance.choice(("lookup", "update")), "tenant": f"n{chance.randint(0, 49)}",
        "district": chance.choice(("reykjavik", "akureyri")),
    }  # fmt: skip
    if event["kind"] != "call.offered":
        event.update(server=f"s{chance.randint(0, 19)}", attempts=chance.randint(0, 3),
                     waited_ms=int(chance.expovariate(1 / 120)))  # fmt: skip
    if event["kind"] in ("call.refused", "call.failed"):
        event["cause"] = chance.choice(("timed_out", "processor_full", "lines_full"))
    return event


def asked(chance: random.Random) -> str:
    """A filter as staff and programs ask."""
    tenants = ", ".join(f'"n{chance.randint(0, 49)}"' for _ in range(chance.randint(1, 3)))
    return chance.choice((
        f'kind == "call.refused" && tenant in [{tenants}]',
        f'kind == "call.refused" && tenant in [{tenants}] && waited_ms > {chance.randint(1, 20) * 50}',
        f'kind == "call.stood" && server == "s{chance.randint(0, 19)}"'
        f" && waited_ms > {chance.randint(4, 20) * 50}",
        f'kind in ["call.failed", "call.refused"] && server == "s{chance.randint(0, 19)}"',
        f'tenant == "n{chance.randint(0, 49)}"',
    ))  # fmt: skip


def over_links(subscriptions: int, events: int, seed: int) -> dict[str, Any]:
    """Bytes that one member sends to six gatekeepers, who have so many subscriptions together."""
    chance = random.Random(seed)
    asks: dict[str, list[Filter]] = {f"g{number}": [] for number in range(GATEKEEPERS)}
    for number in range(subscriptions):
        asks[f"g{number % GATEKEEPERS}"].append(compile_filter(asked(chance)))
    row = [drawn(chance) for _ in range(events)]
    everything = compile_filter("true")
    ways = {
        "at_the_origin": asks,
        "at_the_origin_merged": {name: merged(found, MERGED_MOST) for name, found in asks.items()},
        "at_the_clients_gatekeeper": {name: [everything] for name in asks},
    }
    found: dict[str, Any] = {}
    for way, filters in ways.items():
        flat = [(name, one) for name in sorted(filters) for one in filters[name]]
        origin = Origin("m", (1, 1), Index[int](), KeptTerms(), SECOND)
        origin.subscribed(SECOND, 1, {n: Subscribed(name, one) for n, (name, one) in enumerate(flat, 1)})
        sent: Counter[str] = Counter()

        def send(to: str, message: Message) -> int:
            size = len(encode(message)) + 16  # what a frame on a link adds
            sent["bytes"] += size
            if isinstance(message, Batch):
                sent["copies"] += len(message.events)
            return size

        for place, event in enumerate(row):
            now = 2 * SECOND + place * MS * 5  # 200 events a second
            origin.record(now, {"member": "m", **event})
            if place % 2:
                origin.flush(now, send)
                for name in filters:
                    origin.asked(now, name, Ask((1, 1), origin.judged))
        found[way] = {
            "entries": len(flat), "bytes_an_event": round(sent["bytes"] / events, 1),
            "copies_an_event": round(sent["copies"] / events, 2),
        }  # fmt: skip
    return found


class Side:
    """Log servers that answer at once."""

    def __init__(self) -> None:
        self.out: list[Attempt] = []

    def start(self, attempt: Attempt) -> None:
        """Keep it."""
        self.out.append(attempt)

    def withdraw(self, attempt: Attempt) -> None:
        """Nothing is withdrawn."""

    def release(self, attempt: Attempt, cause: int) -> None:
        """It is over."""

    def examine(self, server: str) -> None:
        """Nothing is examined."""


class Caller:
    """A caller who asks for nothing more."""

    def answer(self, call: Call, answer: FinalAnswer) -> None:
        """Good."""

    def release(self, call: Call, ending: Ending) -> None:
        """Good."""


class Bench:
    """Calls through the core in virtual time; `asked`: subscriptions, None: no watch at all."""

    def __init__(self, subscriptions: int | None) -> None:
        self.now = 100 * SECOND
        config = load_operator("deploy/sip.toml")
        clock = lambda: self.now  # noqa: E731
        self.calls = Calls(
            Decisions(config.settings, 7, clock), clock, 300 * MS, 10 * MS, SECOND, Figures(config.classes)
        )
        self.side, self.name = Side(), next(iter(config.classes))
        self.calls.attach(self.side)
        servers = tuple(Server(f"s{n}", ("127.0.0.1", n), n, ServerStatus.READY) for n in range(2))
        self.calls.list_told(ListTold(servers, whole=True))
        self.machine: EventsMachine | None = None
        if subscriptions is None:
            return
        terms = EventTerms(100_000, 2_000, KeptTerms())
        machine = self.machine = EventsMachine(
            "m", WorldLanguage(False), terms, lambda to, data: True, OwnBook(), random.Random(1), alone=True
        )
        machine.begin(self.now, 1, 1)
        machine.viewed(self.now, {"m": ((1, 1), True)})
        chance = random.Random(3)
        texts: dict[str, None] = {}
        while len(texts) < subscriptions:
            texts[compile_filter(asked(chance)).text] = None
        for text in texts:
            machine.desk.join(self.now, "", text, None)
        for _ in range(4):
            machine.tick(self.now)
        machine.flush(self.now)
        sources = Sources(self._emit, lambda: machine.wanted, ("n1",), "west")
        self.calls.watches.append(sources)

    def _emit(self, kind: str, fields: dict[str, Value]) -> None:
        assert self.machine is not None
        self.machine.event(self.now, {"kind": kind, "at_ms": time.time_ns() // 1_000_000, **fields})

    def call(self, number: int) -> tuple[float, float]:
        """Seconds that a call takes the core, and that its events take afterwards."""
        self.now += 50 * MS
        self.calls.tick()
        begun = time.perf_counter()
        request = Request(f"r{number}", 0, self.name, "1f", SECOND, self.now, destination=0)
        self.calls.offer(request, Caller())
        if self.side.out:
            attempt = self.side.out.pop()
            self.calls.stood(attempt, "")
            self.calls.caller_released(request.id, 16)
        over = time.perf_counter()
        if self.machine is not None:
            self.machine.flush(self.now)
        return over - begun, time.perf_counter() - over


def gained(subscriptions: int, calls: int) -> dict[str, Any]:
    """Medians, with the three kinds of calls taken in turns so that the machine's moods meet all alike."""
    benches = {"off": Bench(None), "nobody_asked": Bench(0), "asked": Bench(subscriptions)}
    spans: dict[str, list[tuple[float, float]]] = {name: [] for name in benches}
    for number in range(calls):
        for name, bench in benches.items():
            spans[name].append(bench.call(number))
    medians = {name: 1e6 * statistics.median(one for one, _ in found) for name, found in spans.items()}
    after = 1e6 * statistics.median(rest for _, rest in spans["asked"])
    machine = benches["asked"].machine
    assert machine is not None and machine.origin is not None and machine.origin.judged >= 2 * calls
    return {
        "subscriptions": len(machine.origin.subscriptions),
        "core_us": {name: round(value, 1) for name, value in medians.items()},
        "before_the_answer_us": round(medians["asked"] - medians["off"], 1),
        "behind_it_us": round(after, 1),
        "of_a_call_of_17_ms": round((medians["asked"] - medians["off"] + after) / 17_400, 4),
    }


@click.command()
@click.option("--worlds", default=200, show_default=True)
@click.option("--from", "first", default=1_000, show_default=True, help="The first seed.")
@click.option("--subscriptions", default=1_000, show_default=True)
@click.option("--events", default=4_000, show_default=True)
@click.option("--calls", default=3_000, show_default=True)
@click.option("--jobs", default=os.cpu_count() or 1, show_default=True)
def main(worlds: int, first: int, subscriptions: int, events: int, calls: int, jobs: int) -> None:
    """Print one line of JSON."""
    quiet()
    counts: Counter[str] = Counter()
    broken: list[str] = []
    begun = time.monotonic()
    with ProcessPoolExecutor(jobs) as pool:
        for counted, fault in pool.map(world, range(first, first + worlds)):
            counts.update(counted)
            broken += [fault[:300]] if fault else []
    spent = time.monotonic() - begun
    found = {
        "violations": len(broken), "seed": first, "worlds": worlds, "seconds": round(spent, 1),
        "broken": broken[:5], "counts": dict(sorted(counts.items())),
        "links": over_links(200, events, 1), "call": gained(subscriptions, calls),
    }  # fmt: skip
    click.echo(json.dumps(found))
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
