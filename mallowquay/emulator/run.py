"""One run of a scenario, or one for each of many seeds on all cores."""

from __future__ import annotations

import os
import time as wall
from bisect import bisect
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass, field
from datetime import timedelta
from functools import partial
from itertools import accumulate, pairwise

from quincestand.wire import read_settings

from ..core.calls import Call
from ..core.decisions import Decisions
from ..core.model import Attempt, Ending, FinalAnswer, ListTold, Request, Server, ServerStatus, Verdict
from ..traffic.record import VERSION, Header, Interval, Recorder
from ..traffic.store import Writer
from .audit import Audit, Violation
from .direct import Direct
from .draws import Draws
from .gatekeeper import EmulatedServers, Gatekeeper
from .scenario import Decider, Incident, Kind, Scenario, Spread, settings_text
from .server import LogServer
from .timeline import SECOND, Timeline

MICROSECOND = timedelta(microseconds=1)
BATCHES = 20  # parts of the measured time, for a confidence interval from one run
PLOT_POINTS = 200
RECORD_EVERY = SECOND


@dataclass(slots=True)
class Tally:
    """The tries of one class after the warm-up; `given_up`: first tries lost with all that followed."""

    first: int = 0
    tries: int = 0
    stood: int = 0
    lost: int = 0
    given_up: int = 0
    setup: float = 0.0  # seconds from set-up to answer, added up


@dataclass(slots=True)
class Outcome:
    """One run. Loads are erlang, waits seconds; a point of a series covers an equal part of the whole run."""

    seed: int
    classes: dict[str, Tally]
    batches: list[tuple[int, int]]  # tries and lost, a part of the measured time each
    controls: list[tuple[float, ...]]  # of each batch, chance that is known to be 0 on average (see estimate)
    calls_mean: float  # that stand at once, after the warm-up
    setups: int  # at log servers
    refused_lines: int
    refused_work: int
    wait_mean: float  # that set-ups found at a processor
    use: float  # of the processors
    violations: list[Violation]
    broken: int
    calls: int  # all that were offered, warm-up too
    took: float  # seconds of real time
    series: dict[str, list[float]] = field(default_factory=dict)

    @property
    def tries(self) -> int:
        """All tries after the warm-up."""
        return sum(tally.tries for tally in self.classes.values())

    @property
    def lost(self) -> int:
        """Those that did not come to stand."""
        return sum(tally.lost for tally in self.classes.values())

    @property
    def loss(self) -> float:
        """The share of tries that did not come to stand."""
        return self.lost / max(1, self.tries)


class _Caller:
    """The front's side of one try."""

    __slots__ = ("run", "request", "number", "redials")

    def __init__(self, run: _Run, request: Request, redials: int) -> None:
        self.run, self.request, self.redials = run, request, redials

    def answer(self, call: Call, answer: FinalAnswer) -> None:
        """See core.calls.Caller."""
        self.run.answered(self, answer)

    def release(self, call: Call, ending: Ending) -> None:
        """See core.calls.Caller."""


class _Run:
    """The world of one run."""

    def __init__(self, scenario: Scenario, seed: int, interval: Callable[[Interval], None] | None) -> None:
        self.scenario, self.seed = scenario, seed
        self.time = Timeline()
        self.audit = Audit(seed, scenario.release_wait_ms * 1000)
        self._callers, self._holds, chance = Draws(seed, 0), Draws(seed, 1), Draws(seed, 2)
        self._from = round(scenario.warmup_s * SECOND)
        self._until = round(scenario.seconds * SECOND)
        self._servers = {
            f"log-{number}": LogServer(number, scenario.servers, self.time, chance, self._from)
            for number in range(scenario.servers.count)
        }
        settings = read_settings(settings_text(scenario))
        names = [kind.name for kind in scenario.classes]
        delay = round(scenario.delay_ms * 1000)
        self._gatekeepers = []
        for number in range(scenario.gatekeepers):
            side = EmulatedServers(number, self.time, delay, self._servers, self.audit, self._hold_of)
            decisions = (
                Decisions(settings, seed * 1_000_003 + number, self.time.clock)
                if scenario.decides is Decider.MODULE
                else Direct(self._servers, chance.uniform, self.time.clock)
            )
            self._gatekeepers.append(Gatekeeper(self.time, settings, decisions, side, names))
        self._told = {name: ServerStatus.READY for name in self._servers}
        self._started: dict[str, timedelta] = {}
        self._shares = list(accumulate(kind.share for kind in scenario.classes))
        self.tallies = {kind.name: Tally() for kind in scenario.classes}
        self.batches = [[0, 0] for _ in range(BATCHES)]
        self._calls = self.standing = self._first = 0
        self._hold_off = 0.0  # what the lengths drawn so far are above their means, in seconds
        self._marks: list[tuple[float, ...]] = []
        self._area, self._area_at = 0.0, 0
        self.series: dict[str, list[float]] = {
            name: [] for name in ("at", "offered", "carried", "lost", "wait")
        }
        self._window_tries = self._window_lost = 0
        self._recorder = Recorder(timedelta(0)) if interval is not None else None
        self._interval = interval
        if self._recorder is not None:
            for gatekeeper in self._gatekeepers:
                gatekeeper.calls.figures.watch = self._recorder

    def play(self) -> Outcome:
        """Let it happen."""
        began = wall.perf_counter()
        whole = ListTold(tuple(self._entry(name) for name in self._servers), whole=True)
        for gatekeeper in self._gatekeepers:
            gatekeeper.told(whole)
        self._tell_lines()
        for part in range(BATCHES + 1):
            self.time.at(self._from + part * (self._until - self._from) // BATCHES, self._mark)
        for incident in self.scenario.incidents:
            self.time.at(round(incident.at_s * SECOND), partial(self._happens, incident))
        for mix in self.scenario.mixes:
            self.time.at(round(mix.at_s * SECOND), partial(self._mixes, mix.shares))
        self._look()
        if self._interval is not None:
            self.time.after(RECORD_EVERY, self._record)
        self._next_caller()
        self.time.run(self._until)
        self._stand(0)
        area = self._area / max(1, self._until - self._from)
        # What is open is still owed its answer; nobody new comes.
        deadline = max(kind.deadline_ms for kind in self.scenario.classes) * 1000
        self.time.run(self._until + deadline + SECOND)
        self.audit.close(self.time.now)
        return self._outcome(area, wall.perf_counter() - began)

    # --- callers

    def _rate(self) -> float:
        """First tries a second, now."""
        rate, now = self.scenario.callers.rate, self.time.now / SECOND
        for surge in self.scenario.surges:
            if surge.at_s <= now < surge.at_s + surge.for_s:
                rate *= surge.times
        return rate

    def _next_caller(self) -> None:
        gap = self._callers.exponential() / self._rate() * SECOND
        # Where the rate changes meanwhile the draw is made anew from there: Poisson has no memory.
        turns = [self.time.now + gap]
        for surge in self.scenario.surges:
            turns += [round(at * SECOND) for at in (surge.at_s, surge.at_s + surge.for_s)]
        first = min(at for at in turns if at > self.time.now) if self.scenario.surges else turns[0]
        if first >= self._until:
            return
        comes = first == turns[0]
        self.time.at(round(first), self._comes if comes else self._next_caller)

    def _comes(self) -> None:
        self._first += 1
        index = bisect(self._shares, self._callers.uniform() * self._shares[-1])
        self._dial(min(index, len(self._shares) - 1), self.scenario.callers.redials, again=False)
        self._next_caller()

    def _mark(self) -> None:
        """Between two batches: how far chance has been off its mean, and what stands and waits now."""
        servers = self._servers.values()
        self._marks.append((
            self._first - self.scenario.callers.rate * self.time.now / SECOND, self._hold_off,
            sum(server.work_off for server in servers) / SECOND,
            float(self.standing), sum(server.wait() for server in servers) / SECOND,
        ))  # fmt: skip

    def _mixes(self, shares: list[float]) -> None:
        self._shares = list(accumulate(shares))

    def _dial(self, index: int, redials: int, again: bool) -> None:
        kind = self.scenario.classes[index]
        self._calls += 1
        budget = kind.deadline_ms * self.scenario.callers.patience_share * 1000
        request = Request(
            id=f"{self.seed:x}-{self._calls:x}", call_class=index, class_name=kind.name,
            number=f"{self._calls:x}", budget=round(budget) * MICROSECOND, taken_at=self.time.clock(),
            redialled=again, destination=self._first_choice(),
        )  # fmt: skip
        if self.time.now >= self._from:
            tally = self.tallies[kind.name]
            tally.first += not again
            tally.tries += 1
            self._batch(0)
        self._window_tries += 1
        self.audit.taken(request.id, self.time.now + round(budget))
        gatekeeper = self._gatekeepers[self._calls % len(self._gatekeepers)]
        gatekeeper.calls.offer(request, _Caller(self, request, redials))

    def _first_choice(self) -> int:
        if not self.scenario.callers.first_choice:
            return -1
        return int(self._callers.uniform() * self.scenario.servers.count)

    def answered(self, caller: _Caller, answer: FinalAnswer) -> None:
        """A try has had its final answer."""
        self.audit.answered(caller.request.id, self.time.now)
        taken = caller.request.taken_at // MICROSECOND
        counted, tally = taken >= self._from, self.tallies[caller.request.class_name]
        if answer.verdict is Verdict.STANDS:
            tally.stood += counted
            tally.setup += (self.time.now - taken) / SECOND if counted else 0.0
            self._stand(+1)
            return
        self._window_lost += 1
        tally.lost += counted
        if counted:
            self._batch(1, taken)
        if caller.redials and self._callers.uniform() < self.scenario.callers.again:
            wait = self.scenario.callers.again_after_s * SECOND * (0.5 + self._callers.uniform())
            index = caller.request.call_class
            self.time.after(wait, lambda: self._dial(index, caller.redials - 1, again=True))
        else:
            tally.given_up += counted

    def _batch(self, what: int, at: int | None = None) -> None:
        at = self.time.now if at is None else at
        part = (at - self._from) * BATCHES // max(1, self._until - self._from)
        self.batches[min(BATCHES - 1, part)][what] += 1

    def _hold_of(self, attempt: Attempt) -> int:
        kind = self.scenario.classes[attempt.request.call_class]
        drawn = self._holds.exponential() if self.scenario.hold_spread is Spread.EXPONENTIAL else 1.0
        hold = round(kind.hold_s * SECOND * drawn)
        self._hold_off += kind.hold_s * (drawn - 1.0)
        self.time.after(hold, lambda: self._stand(-1))
        return hold

    def _stand(self, change: int) -> None:
        begin = max(self._area_at, self._from)
        if self.time.now > begin:
            self._area += self.standing * (min(self.time.now, self._until) - begin)
        self._area_at = max(self._area_at, min(self.time.now, self._until))
        self.standing += change

    # --- log servers

    def _entry(self, name: str) -> Server:
        server = self._servers[name]
        return Server(name, ("127.0.0.1", 1), server.number, self._told[name], self._started.get(name))

    def _tell_lines(self) -> None:
        """Word of free lines, unasked, to every gatekeeper."""
        for server in self._servers.values():
            server.refresh()
            if server.alive and not server.silent:
                load = server.load()
                for gatekeeper in self._gatekeepers:
                    gatekeeper.calls.load_told(server.id, load)
        if self.time.now < self._until:
            self.time.after(self.scenario.servers.told_ms * 1000, self._tell_lines)

    def _happens(self, incident: Incident) -> None:
        server = self._servers[f"log-{incident.server}"]
        over = self.time.now + round(incident.for_s * SECOND)
        match incident.kind:
            case Kind.DIES:
                server.dies()
                self._tells(incident, server, ServerStatus.GONE)
                self.time.at(over, lambda: self._starts(incident, server))
            case Kind.DRAINS:
                self._tells(incident, server, ServerStatus.DRAINING)
                self.time.at(over, lambda: self._tells(incident, server, ServerStatus.READY))
            case Kind.SLOWS:
                server.slow = incident.times
                self.time.at(over, lambda: setattr(server, "slow", 1.0))
            case Kind.SILENT:
                server.silent = True
                self.time.at(over, lambda: setattr(server, "silent", False))

    def _starts(self, incident: Incident, server: LogServer) -> None:
        server.starts()
        self._started[server.id] = self.time.clock()
        self._tells(incident, server, ServerStatus.READY)

    def _tells(self, incident: Incident, server: LogServer, status: ServerStatus) -> None:
        def tell() -> None:
            self._told[server.id] = status
            news = ListTold((self._entry(server.id),), whole=False)
            for gatekeeper in self._gatekeepers:
                gatekeeper.told(news)

        self.time.after(incident.told_after_ms * 1000, tell)

    # --- what is seen

    def _look(self) -> None:
        """A point of each series."""
        span = max(1, self._until // PLOT_POINTS)
        hold = sum(kind.hold_s * kind.share for kind in self.scenario.classes) / sum(
            kind.share for kind in self.scenario.classes
        )
        waits = [server.wait() for server in self._servers.values()]
        tries = self._window_tries
        for name, value in (
            ("at", self.time.now / SECOND), ("offered", tries / (span / SECOND) * hold),
            ("carried", float(self.standing)), ("lost", self._window_lost / tries if tries else 0.0),
            ("wait", sum(waits) / len(waits) / SECOND),
        ):  # fmt: skip
            self.series[name].append(value)
        self._window_tries = self._window_lost = 0
        if self.time.now < self._until:
            self.time.after(span, self._look)

    def _record(self) -> None:
        assert self._recorder is not None and self._interval is not None
        self._interval(self._recorder.cut(self.time.clock()))
        if self.time.now < self._until:
            self.time.after(RECORD_EVERY, self._record)

    def _outcome(self, calls_mean: float, took: float) -> Outcome:
        servers = list(self._servers.values())
        setups = sum(server.setups for server in servers)
        measured = (self._until - self._from) * len(servers)
        return Outcome(
            seed=self.seed,
            classes=self.tallies,
            batches=[(tries, lost) for tries, lost in self.batches],
            controls=[
                tuple(after - before for before, after in zip(*marks)) for marks in pairwise(self._marks)
            ],
            calls_mean=calls_mean,
            setups=setups,
            refused_lines=sum(server.refused_lines for server in servers),
            refused_work=sum(server.refused_work for server in servers),
            wait_mean=sum(server.waited for server in servers) / max(1, setups) / SECOND,
            use=sum(server.work_done for server in servers) / max(1, measured),
            violations=self.audit.found,
            broken=self.audit.count,
            calls=self._calls,
            took=took,
            series=self.series,
        )


def play(scenario: Scenario, seed: int, record: str | None = None) -> Outcome:
    """One run; `record` names a file that its traffic is recorded in. Errors: OSError."""
    if record is None:
        return _Run(scenario, seed, None).play()
    header = Header(VERSION, 0, RECORD_EVERY // 1000, [kind.name for kind in scenario.classes])
    writer = Writer(record, header)
    try:
        return _Run(scenario, seed, writer.write).play()
    finally:
        writer.close()


def play_all(scenario: Scenario, workers: int | None = None) -> list[Outcome]:
    """A run for each seed, in the order of the seeds, on so many cores (all, if None)."""
    seeds = range(scenario.seed, scenario.seed + scenario.seeds)
    if len(seeds) == 1:
        return [play(scenario, scenario.seed, scenario.record)]
    workers = min(len(seeds), workers or os.cpu_count() or 1)
    with ProcessPoolExecutor(workers) as pool:
        jobs = [
            pool.submit(play, scenario, seed, scenario.record if seed == scenario.seed else None)
            for seed in seeds
        ]
        return [job.result() for job in jobs]
