"""Cold log servers in virtual time: a counter at the server judges what all processes of a fleet send it.

    PYTHONPATH=. .venv/bin/python benchmarks/cold_worlds.py [--worlds 1000] [--seed 1] [--workers 2]

Told processes, both of an upgrade included, may send N + 2 x root of N + 2 set-ups in any window of the
length `fall`, N at the coldest allowed. Prints one line of JSON with `violations`; exit code 1 where it is
not 0.
"""

from __future__ import annotations

import heapq
import json
import random
import sys
from bisect import bisect_left
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from functools import partial
from math import inf, sqrt
from typing import Any

import click

from quincestand import (
    AttemptEnded,
    CallClass,
    CallerGone,
    CallOffered,
    CallStands,
    Controller,
    Event,
    ListKind,
    Outcome,
    Send,
    ServerEntry,
    ServerList,
    ServerReport,
    ServerState,
    SetTimer,
    Settings,
    TimerDue,
)

MS, SECOND = 1_000, 1_000_000
START = 100 * SECOND  # of the cold server
TOLD_LATEST, COLD, FALL = 7 * SECOND, 15 * SECOND, 3 * SECOND
COLD_FROM, MULTIPLE = 0.29, 3.0
HOLD = 8 * SECOND
RATE_MOST = 30.0  # set-ups a second that one process is offered for it
POLLED = 6.0  # looks a second, where calls are held
STARTS_WITHIN = SECOND  # a successor, from its memory to its word that it serves
WORD_WITHIN = 400 * MS  # and that word is read: a process that stands still longer may use a turn again
LINGERS = 10 * SECOND  # the process before, for its open calls
WARM, TARGET = "warm", "cold"
CALLS = CallClass(1_500_000, 9_000_000, 1.0, 0.25, True, HOLD, None)


def settings_of(size: int) -> Settings:
    """Of a fleet of `size` processes; no powers that the worlds do not need."""
    return Settings(
        group_size=size, classes=(CALLS,), groups=(), over_share_worth=0.2, own_number=None, max_attempts=4,
        max_retry_after=0, may_probe=True, may_cancel=False, list_on_request=False,
        report_fields=("free", "size"), repeat_interval=0, release_wait=300 * MS, drain_grace=500 * MS,
        cold_from=COLD_FROM, cold_time=COLD, fall_multiple=MULTIPLE, fall_time=FALL,
    )  # fmt: skip


@dataclass(frozen=True, slots=True)
class Verdict:
    """What the counter at the server saw in one world."""

    size: int
    seed: int
    budget: float  # N
    worst: float  # largest sum of a window over its bound
    served: int
    offered: int
    saturated: bool
    span: int  # for which it is cold


class Process:
    """One gatekeeper: its module, and which start it has been told of."""

    def __init__(self, world: ColdWorld, number: int, known: bool) -> None:
        self.world, self.number = world, number
        self.controller = Controller(settings_of(world.size), world.seed * 1009 + number)
        self.told = 0  # of which start
        self.before: Process | None = None  # of an upgrade
        self.ended = False
        servers = (WARM, TARGET) if known and world.same_id else (WARM,)
        self.handle(ServerList(ListKind.FULL, tuple(entry(name) for name in servers)))
        if known:
            for name in servers:
                self.learn(name)

    def learn(self, name: str) -> None:
        """Word of lines in use, from which it reckons what the server takes."""
        lines = self.world.capacity * HOLD / SECOND * self.world.random.uniform(0.9, 1.02)
        self.handle(ServerReport(name, True, False, (lines, 2 * lines)))

    def tell(self, boot: int) -> None:
        """The list's word of the start."""
        self.told = boot
        self.handle(ServerList(ListKind.CHANGES, (entry(TARGET, boot),)))
        if self.before is not None:
            self.before.tell(boot)

    def answer(self) -> None:
        """It found the server silent, and it answers again."""
        if TARGET in self.controller.servers and not self.told:
            self.controller.servers[TARGET].silent = True
            self.handle(ServerReport(TARGET, True, True, ()))
            self.told = self.world.boot

    def succeed(self, memory: dict[str, Any]) -> Process:
        """A second process takes over what this one knew as it told; this one still has calls for a while."""
        after = Process(self.world, self.number + self.world.size, True)
        after.tell(self.world.boot)
        after.controller.remember(self.world.now, memory)
        after.before = self
        return after

    def cede(self, ceded: bool) -> None:
        """Word of the successor: it serves, or has gone."""
        if not self.ended:
            self.controller.cede_cold(self.world.now, ceded)

    def end(self) -> None:
        """It sends no more, nor does the one before it."""
        self.ended = True
        if self.before is not None:
            self.before.end()

    def restart(self) -> Process:
        """A process in its place that knows nothing but the list."""
        self.end()
        after = Process(self.world, self.number + 2 * self.world.size, False)
        after.tell(self.world.boot)
        return after

    def offer(self) -> None:
        """One call that only the cold server may take."""
        if self.ended:
            return
        self.world.calls += 1
        if TARGET in self.controller.servers:
            call = self.world.calls
            self.handle(CallOffered(call, 0, 0, 0, SECOND, 1, False, False, frozenset({1})))
            if call in self.controller.held:
                self.handle(CallerGone(call))

    def handle(self, event: Event) -> None:
        """One event; a set-up that is sent stands at once, is reset or finds the server full."""
        world = self.world
        if self.ended:
            return
        for action in self.controller.handle(world.now, event):
            if isinstance(action, SetTimer) and action.delay == 300 * MS:
                world.at(world.now + action.delay, lambda token=action.token: self.handle(TimerDue(token)))
            if isinstance(action, Send) and action.server == TARGET:
                # Told of a start before, it must hold back until that one would be warm.
                counts = self.told == world.boot or world.now < self.told + COLD
                world.arrivals.append((world.now, counts))
                if world.random.random() < world.resets:
                    attempt = self.controller.calls[action.call].attempts - 1
                    self.handle(AttemptEnded(action.call, attempt, TARGET, Outcome.RESET, MS, False, False,
                                             False, ()))  # fmt: skip
                else:
                    self.handle(CallStands(action.call, 0, MS, TARGET))


def entry(name: str, boot: int = 0) -> ServerEntry:
    """Of the list."""
    return ServerEntry(name, int(name == TARGET), ServerState.READY, boot)


class ColdWorld:
    """A fleet and one cold server; all that may vary is drawn from the seed."""

    def __init__(self, size: int, seed: int) -> None:
        self.size, self.seed = size, seed
        draw = self.random = random.Random(f"cold {size} {seed}")
        self.budget = 10 ** draw.uniform(0.5, 3.0)  # 3 to 1,000 requests in a window
        self.capacity = self.budget * SECOND / (COLD_FROM * MULTIPLE * FALL)
        self.same_id, self.resets = draw.random() < 0.5, draw.choice((0.0, 0.0, 0.1))
        self.now, self.boot, self.calls, self.planned = START - SECOND, START, 0, 0
        self.arrivals: list[tuple[int, bool]] = []
        self.events: list[tuple[int, int, Callable[[], Any]]] = []
        fresh = draw.choice((0.0, 0.1, 0.3, 1.0))  # part of the processes that start while it is cold
        self.processes = [Process(self, number, draw.random() >= fresh) for number in range(size)]
        self._plan()

    def at(self, time: int, action: Callable[[], Any]) -> None:
        """Do so at `time`."""
        self.planned += 1
        heapq.heappush(self.events, (time, self.planned, action))

    def _plan(self) -> None:
        draw = self.random
        late = draw.choice((200 * MS, 2 * SECOND, TOLD_LATEST))
        load = draw.choice((0.5, 1.0, 3.0, 20.0, inf))  # of the budget; inf: held calls wait in each process
        self.saturated = load > 1.0
        weights = [draw.gammavariate(0.7, 1.0) for _ in self.processes]
        mean = load * self.budget * SECOND / FALL / sum(weights)
        again = START + draw.randrange(4 * SECOND, 8 * SECOND) if draw.random() < 0.3 else START
        self.ends = again + COLD
        upgraded = draw.choice((0.1, 0.1, 1.0))  # part of the processes, one by one or at one moment
        together = START + draw.randrange(2 * SECOND, COLD) if draw.random() < 0.3 else None
        restarted = draw.choice((0.0, 0.0, 0.1, 0.7))  # part of the processes, all at one moment
        killed = START + draw.randrange(2 * SECOND, COLD)
        for slot, weight in enumerate(weights):
            told = START + draw.randrange(late)
            if not self.processes[slot].controller.servers[WARM].lines:
                self._learn(slot, told)
            silent = self.same_id and draw.random() < 0.1  # never told, until it answers
            tell = Process.answer if silent else partial(Process.tell, boot=START)
            self.at(told, partial(self._do, slot, tell))
            rate = min(RATE_MOST, weight * mean) if load < inf else POLLED
            if draw.random() < upgraded:
                due = together or told + draw.randrange(5 * SECOND)
                self.at(due, partial(self._upgrade, slot, rate))
                if draw.random() < 0.2:
                    due += draw.randrange(STARTS_WITHIN, 5 * SECOND)
                    self.at(due, partial(self._upgrade, slot, rate))
            if draw.random() < restarted:
                self.at(killed, partial(self._restart, slot))
                self._learn(slot, killed)
            if again > START:
                self.at(again, partial(setattr, self, "boot", again))
                tell = partial(Process.tell, boot=again)
                self.at(again + draw.randrange(late), partial(self._do, slot, tell))
            if rate > 0.001:
                self._call(partial(self.processes.__getitem__, slot), rate, START, self.ends)
        for _ in range(draw.randrange(4)):  # all find another server lost at one moment
            self.at(draw.randrange(START, self.ends), self._burst)

    def _learn(self, slot: int, since: int) -> None:
        due = since + self.random.randrange(SECOND)
        self.at(due, partial(self._do, slot, partial(Process.learn, name=WARM)))

    def _do(self, slot: int, action: Callable[[Process], Any]) -> None:
        action(self.processes[slot])

    def _restart(self, slot: int) -> None:
        self.processes[slot] = self.processes[slot].restart()

    def _upgrade(self, slot: int, rate: float) -> None:
        """The older goes on, with callers until told that its successor serves, then with open calls."""
        draw, older = self.random, self.processes[slot]
        serves = self.now + draw.randrange(STARTS_WITHIN)
        told = serves + draw.choice((MS, draw.randrange(WORD_WITHIN)))
        ends = told + draw.randrange(LINGERS)
        self.at(serves, partial(self._succeed, slot, older, older.controller.memory()))
        self.at(told, partial(older.cede, True))
        self._call(lambda: older, max(rate, 0.01), serves, ends)
        self.at(ends, partial(self._end, slot, older))
        if draw.random() < 0.2:
            self.at(draw.randrange(serves, ends), partial(self._die, slot, older, told))

    def _succeed(self, slot: int, older: Process, memory: dict[str, Any]) -> None:
        if self.processes[slot] is older:
            self.processes[slot] = older.succeed(memory)

    def _end(self, slot: int, older: Process) -> None:
        if self.processes[slot] is not older:
            older.end()

    def _die(self, slot: int, older: Process, told: int) -> None:
        """The successor, and the older goes on alone; what was said before is read before."""
        if self.processes[slot].before is older and not older.ended:
            self.processes[slot].ended = True
            self.processes[slot] = older
            self.at(max(self.now, told) + MS, partial(older.cede, False))

    def _call(self, whose: Callable[[], Process], rate: float, at: int, until: int) -> None:
        def offered() -> None:
            whose().offer()
            self._call(whose, rate, self.now, until)

        if (due := at + int(self.random.expovariate(rate) * SECOND)) < until:
            self.at(due, offered)

    def _burst(self) -> None:
        for process in self.processes:
            process.offer()

    def run(self) -> Verdict:
        """Play it, and judge the sum of what told processes sent while it was cold."""
        while self.events:
            self.now, _, action = heapq.heappop(self.events)
            if self.now < self.ends:
                action()
        sent = [at for at, counts in self.arrivals if counts]
        most = max((number - bisect_left(sent, at - FALL) + 1 for number, at in enumerate(sent)), default=0)
        bound = self.budget + 2.0 * sqrt(self.budget) + 2.0
        return Verdict(self.size, self.seed, self.budget, most / bound, len(sent), self.calls, self.saturated,
                       self.ends - START)  # fmt: skip


def play(case: tuple[int, int]) -> Verdict:
    """One world of `(size, seed)`."""
    return ColdWorld(*case).run()


def told(verdicts: list[Verdict]) -> dict[str, Any]:
    """The figures of one size."""
    worst = sorted(verdict.worst for verdict in verdicts)
    parts = [worst[min(len(worst) - 1, int(len(worst) * part))] for part in (0.5, 0.9, 0.99)]
    most = max(verdicts, key=lambda verdict: verdict.worst)
    served = [v.served / (v.budget * v.span / FALL) for v in verdicts if v.saturated]
    return {"worlds": len(worst), "violations": sum(ratio > 1.0 for ratio in worst),
            "worst": round(most.worst, 3), "worst_seed": most.seed, "worst_budget": round(most.budget, 1),
            "p50_p90_p99": [round(part, 3) for part in parts], "served": sum(v.served for v in verdicts),
            "served_of_budget_saturated": round(sum(served) / max(1, len(served)), 3)}  # fmt: skip


@click.command()
@click.option("--worlds", default=1000)
@click.option("--seed", default=1)
@click.option("--sizes", default="20,30,200")
@click.option("--workers", default=2)
def main(worlds: int, seed: int, sizes: str, workers: int) -> None:
    """Play the worlds of each size."""
    result: dict[str, Any] = {}
    with ProcessPoolExecutor(workers) as pool:
        for size in (int(text) for text in sizes.split(",")):
            cases = [(size, number) for number in range(seed, seed + worlds)]
            result[str(size)] = told(list(pool.map(play, cases, chunksize=10)))
    result["violations"] = sum(figures["violations"] for figures in list(result.values()))
    click.echo(json.dumps(result))
    sys.exit(1 if result["violations"] else 0)


if __name__ == "__main__":
    main()
