"""`make dimension-check`: what the formulas say against the emulator, the real program, and each other.

    .venv/bin/python benchmarks/dimension_check.py [--short]

Prints tables, then one line of JSON: "violations" (rules broken and bounds missed) and the figures. A bound
is missed where what was seen is further from the prediction than the bound, and the run's own 95% interval
is too narrow to explain it.
"""

from __future__ import annotations

import argparse
import asyncio
import io
import json
import os
import sys
import tempfile
import time
from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor
from contextlib import redirect_stdout
from datetime import timedelta
from math import sqrt
from pathlib import Path
from typing import Any
from unittest.mock import patch

import loopback
import structlog
import work_line

from mallowquay.cli.values import table
from mallowquay.dimensioning import erlang, plan, transient
from mallowquay.dimensioning.plan import Aim, Demand
from mallowquay.dimensioning.processor import Processor, Work, meets
from mallowquay.dimensioning.transient import Flow
from mallowquay.emulator.estimate import estimate
from mallowquay.emulator.report import interval, predicted
from mallowquay.emulator.run import Outcome, _Run, play
from mallowquay.emulator.scenario import (
    CallerClass,
    Callers,
    Decider,
    Incident,
    Kind,
    Mix,
    Refusal,
    Scenario,
    Servers,
    Surge,
)
from mallowquay.traffic.store import read
from mallowquay.traffic.summary import summarise, windows

SECOND = timedelta(seconds=1)
BOUND, BOUND_REAL = 0.03, 0.05
SEEDS = 8  # runs of a point
NARROW_LEAST = 6  # points of the short form with a half below the bound: else no wrong formula would show
SPOIL = 1.05  # a formula that is wrong by this must be noticed
WARMUP = 120.0  # seconds: with too much load the line of work is soon at its limit


WARM = 4.0  # seconds of a loopback run
REAL_CORES = 2  # for the real program and its stand-ins


def ms(span: float) -> Work:
    """Exponential work of so many milliseconds."""
    return Work(timedelta(milliseconds=span))


def lines(load: float, count: int, each: int, decides: Decider, calls: float, hold: float = 10.0) -> Scenario:
    """Lines alone: a log server that has none left says that the number is busy."""
    rate = load / hold
    return Scenario(
        callers=Callers(rate=rate),
        servers=Servers(
            count=count,
            lines=each,
            told_ms=1000,
            tells_lines=False,
            # One group of all lines, or groups that a call cannot leave: the number is busy there.
            refuses=Refusal.FULL if decides is Decider.DIRECT else Refusal.BUSY,
        ),
        classes=[CallerClass(name="a", hold_s=hold)],
        seconds=calls / rate + 6 * hold,
        warmup_s=6 * hold,
        decides=decides,
    )


def processor(rate: float, count: int, decides: Decider, calls: float) -> Scenario:
    """The processor alone: set-up 20, answer 10, release 10, refusal 5 ms; turned away past 3 s."""
    return Scenario(
        callers=Callers(rate=rate * count),
        servers=Servers(
            count=count,
            lines=5000,
            setup_ms=20,
            answer_ms=10,
            release_ms=10,
            refusal_ms=5,
            wait_limit_ms=3000,
            told_ms=1000,
            refuses=Refusal.BUSY,
        ),
        classes=[CallerClass(name="a", hold_s=8, aim_ms=15_000, deadline_ms=60_000)],
        seconds=calls / rate / count + WARMUP,
        warmup_s=WARMUP,
        decides=decides,
    )


class Check:
    """Collects figures and what is wrong with them."""

    def __init__(self, short: bool, pool: ProcessPoolExecutor | None, spoil: str | None = None) -> None:
        self.short, self.spoil = short, spoil
        self.pool: Any = pool  # none where only the real program is played
        self.figures: dict[str, Any] = {}
        self.wrong: list[str] = []
        self.seed = 1

    def note(self, name: str, value: Any) -> None:
        """Keep a figure."""
        self.figures[name] = value

    def hold(self, truth: bool, text: str) -> None:
        """A bound."""
        if not truth:
            self.wrong.append(text)

    def spoiled(self, formula: str) -> float:
        """By how much a prediction of this formula is made wrong, to see that it is noticed."""
        return SPOIL if self.spoil == formula else 1.0

    def runs(self, scenario: Scenario, seeds: int = SEEDS) -> list[Any]:
        """Start runs with seeds that no other point has: what one draws must not show in all."""
        first, self.seed = self.seed, self.seed + seeds
        lose = self.spoil == "answer"
        return [self.pool.submit(quiet_play, scenario, seed, lose) for seed in range(first, self.seed)]

    def rules(self, outcomes: list[Outcome]) -> None:
        """No rule may be broken in any run."""
        for outcome in outcomes:
            for found in outcome.violations[:3]:
                self.wrong.append(f"rule: {found.rule}: seed {found.seed}, call {found.call}")


def quiet_play(scenario: Scenario, seed: int, lose: bool = False) -> Outcome:
    """A run whose module says nothing; one final answer is lost on its way, if asked for."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    if not lose:
        return play(scenario, seed)
    given, lost = _Run.answered, f"{seed:x}-64"

    def all_but_one(run: Any, caller: Any, answer: Any) -> None:
        if caller.request.id != lost:
            given(run, caller, answer)

    with patch.object(_Run, "answered", all_but_one):
        return play(scenario, seed)


def agreement(check: Check) -> None:
    """Loss at lines and processors, several sizes and loads each, of direct senders."""
    direct = Decider.DIRECT
    points: list[tuple[str, bool, Scenario]] = []
    for load, count, each, calls in SIZES_SHORT if check.short else SIZES:
        points.append(("lines direct", True, lines(load, count, each, direct, calls)))
    for rate, count, calls in WORK_SHORT if check.short else WORK:
        points.append(("processor direct", True, processor(rate, count, direct, calls)))
    compare(check, "points", points)


def with_module(check: Check) -> None:
    """The same with the module, in full only: bounded at lines, told at processors, where it is cautious."""
    if check.short:
        return
    module = Decider.MODULE
    points = [("lines module", True, lines(*size[:3], module, 15_000)) for size in SIZES]
    points += [("processor module", False, processor(rate, 1, module, 7_500)) for rate in (26.7, 28.5, 30.5)]
    compare(check, "points_module", points)


# Load, log servers, lines of each; calls of a run. Losses of 1% need the most of them.
SIZES = (
    (4.5, 1, 10, 200_000), (5.5, 1, 10, 60_000), (36.0, 2, 25, 300_000), (55.0, 1, 60, 60_000),
    (120.0, 2, 60, 40_000), (230.0, 4, 50, 40_000),
)  # fmt: skip
SIZES_SHORT = ((9.5, 1, 10, 6_000), (18.0, 1, 16, 6_000), (28.0, 1, 25, 6_000))
# Rate of each, log servers, calls of a run.
WORK = ((26.0, 1, 100_000), (26.7, 1, 60_000), (27.5, 2, 60_000), (28.5, 1, 60_000), (30.5, 1, 60_000))
WORK_SHORT = ((28.5, 1, 6_000), (30.5, 1, 6_000), (33.0, 1, 6_000))
# Limit, rate, and the work of set-up, answer, release and refusal in ms: nothing was fitted to these.
LINES_OF_WORK = (
    (1.0, 24.6, (20, 10, 10, 5)), (1.0, 25.2, (20, 10, 10, 5)), (1.0, 25.7, (20, 10, 10, 5)),
    (2.0, 25.2, (20, 10, 10, 5)), (3.0, 25.1, (20, 10, 10, 5)), (1.0, 12.6, (40, 20, 20, 10)),
    (1.0, 50.6, (10, 5, 5, 2.5)), (2.4, 50.6, (10, 5, 5, 2.5)), (1.0, 25.3, (30, 5, 5, 5)),
)  # fmt: skip
LINES_OF_WORK_SHORT = (LINES_OF_WORK[2], LINES_OF_WORK[5])


def line_of_work(check: Check) -> None:
    """The processor's formula where losses are small, against the line of work alone."""
    calls = 120_000 if check.short else 1_500_000
    points = LINES_OF_WORK_SHORT if check.short else LINES_OF_WORK
    jobs = []
    for limit, rate, work in points:
        line = work_line.Line(*(part / 1000 for part in work), limit)
        first, check.seed = check.seed, check.seed + SEEDS
        seeds = range(first, check.seed)
        runs = [check.pool.submit(work_line.play, line, rate, calls, seed) for seed in seeds]
        jobs.append((limit, rate, work, runs))
    rows = []
    for limit, rate, work, runs in jobs:
        batches = [batch for run in runs for batch in run.result()]
        seen, half = work_line.loss(batches, rate, calls)
        parts = Processor(*(ms(part) for part in work), timedelta(seconds=limit))
        told = meets(parts, rate).loss * check.spoiled("processor")
        off, half = seen / told - 1, half / told
        check.hold(within(off, half), f"line of work: {limit} s, {rate}: {seen:.4f}, predicted {told:.4f}")
        shape = "+".join(f"{part:g}" for part in work)
        rows.append((limit, rate, shape, SEEDS * calls, told, seen, f"{off:+.1%}", f"{half:.1%}"))
    names = ["limit", "rate", "work", "tries", "predicted", "observed", "off", "half"]
    print(table(rows, names))
    check.note("line_of_work", [dict(zip(names, row)) for row in rows])


def within(off: float, half: float) -> bool:
    """A wide interval explains what it can; a narrow one must hold the bound, with a little for chance."""
    return abs(off) <= (2 * half if half > BOUND else BOUND + half / 2)


def compare(check: Check, name_of_all: str, points: list[tuple[str, bool, Scenario]]) -> None:
    """Run points, print them beside their predictions, and hold those that are bounded to the bound."""
    jobs = [(name, bound, scenario, check.runs(scenario)) for name, bound, scenario in points]
    rows, narrow = [], []
    for name, bound, scenario, runs in jobs:
        outcomes = [job.result() for job in runs]
        check.rules(outcomes)
        told = predicted(scenario)["loss"] * check.spoiled(name.split()[0])
        seen = estimate(scenario, outcomes)
        off, half = seen.loss / told - 1, seen.half / told
        if bound:
            check.hold(within(off, half), f"{name}: loss {seen.loss:.4f}, predicted {told:.4f}")
            narrow += [abs(off)] if half <= BOUND else []
        shape = scenario.servers
        size = f"{shape.count} x {shape.lines}" if "lines" in name else f"{shape.count}"
        tries = sum(outcome.tries for outcome in outcomes)
        plain = f"{seen.plain_half / told:.1%}"
        rows.append(
            (name, size, scenario.callers.rate, tries, told, seen.loss, f"{off:+.1%}", f"{half:.1%}", plain)
        )
    rows.sort()
    print(table(rows, ["decides", "size", "rate", "tries", "predicted", "observed", "off", "half", "plain"]))
    worst = round(100 * max(narrow), 2) if narrow else None
    check.note(f"narrow_{name_of_all}", {"count": len(narrow), "worst_off_percent": worst})
    names = ("name", "size", "rate", "tries", "predicted", "observed", "off", "half", "plain_half")
    check.note(name_of_all, [dict(zip(names, row)) for row in rows])
    if check.short:
        check.hold(len(narrow) >= NARROW_LEAST, f"{len(narrow)} points are narrow, {NARROW_LEAST} are wanted")


def surge(check: Check) -> None:
    """1.7 x the usual for 8 s, calls of 12 s: what the lines lose, by each way of reckoning."""
    runs, load, group = (48 if check.short else 1500), 50.0, 62
    rate = load / 12
    scenario = Scenario(
        callers=Callers(rate=rate),
        seconds=110,
        warmup_s=100,
        decides=Decider.DIRECT,
        servers=Servers(count=1, lines=group, told_ms=10_000),
        classes=[CallerClass(name="a", hold_s=12)],
        surges=[Surge(at_s=100, for_s=8, times=1.7)],
    )
    scenario = _replace(scenario, seconds=108.0)
    outcomes = [job.result() for job in check.runs(scenario, runs)]
    check.rules(outcomes)
    tries, lost = sum(o.tries for o in outcomes), sum(o.lost for o in outcomes)
    seen = lost / tries
    spread = [o.lost - seen * o.tries for o in outcomes]
    half = 1.96 * sqrt(sum(value * value for value in spread)) / tries
    followed = transient.losses([Flow(8 * SECOND, 1.7 * rate, 12 * SECOND)], group, load)[0]
    standing = erlang.erlang_b(1.7 * load, group)
    print(
        f"\nsurge: observed {seen:.4f} +- {half:.4f}, followed in time {followed:.4f}, "
        f"as if it stood {standing:.4f}"
    )
    check.hold(abs(seen - followed) <= max(BOUND * followed, 2 * half), "surge: time-dependent loss")
    check.hold(standing > 1.5 * seen, "surge: the standing formula asks for far too much")
    by_time = erlang.fewest(
        lambda n: transient.losses([Flow(8 * SECOND, 1.7 * rate, 12 * SECOND)], n, load)[0] <= 0.01, 1
    )
    check.note(
        "surge",
        {
            "observed": seen,
            "half": half,
            "followed": followed,
            "standing": standing,
            "lines_followed": by_time,
            "lines_standing": erlang.erlang_b_servers(1.7 * load, 0.01),
        },
    )


def _replace(scenario: Scenario, **changes: Any) -> Scenario:
    import msgspec

    return msgspec.structs.replace(scenario, **changes)


def recorded(scenario: Scenario, seed: int, folder: str) -> str:
    """Play and record; the file."""
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    path = os.path.join(folder, f"{os.getpid()}-{time.monotonic_ns()}")
    play(scenario, seed, path)
    return path


def demands(path: str) -> list[Demand]:
    """What a record says of its classes."""
    intervals = list(read(path).intervals())
    return [
        Demand(
            kind.name,
            tuple(windows(intervals, kind.name, plan.WINDOW)),
            kind.rate,
            kind.hold,
            kind.peakedness,
        )
        for kind in summarise(intervals).classes
    ]


def hard_records(check: Check, folder: str) -> None:
    """An overloaded record, one whose mix shifts, and fleets of 2 and 5,000."""
    seconds = 180.0 if check.short else 1500.0
    overloaded = Scenario(
        callers=Callers(rate=40.0, redials=2, again=0.8, again_after_s=2.0),
        seconds=seconds,
        warmup_s=1,
        servers=Servers(count=1, lines=250, told_ms=1000),
        decides=Decider.DIRECT,
        classes=[CallerClass(name="a", hold_s=9.0)],
    )
    shares, at = [], 0.0
    while at < seconds:  # long calls alone for 15 s, short ones alone for 15 s
        shares.append(Mix(at_s=at, shares=[1.0, 0.0] if len(shares) % 2 else [0.0, 1.0]))
        at += 15.0
    mixed = Scenario(
        callers=Callers(rate=30.0),
        seconds=seconds,
        warmup_s=1,
        mixes=shares,
        decides=Decider.DIRECT,
        servers=Servers(count=8, lines=500, told_ms=1000),
        classes=[CallerClass(name="long", hold_s=16.0), CallerClass(name="short", hold_s=2.0)],
    )
    first, second = (check.pool.submit(recorded, scenario, 1, folder) for scenario in (overloaded, mixed))
    found = demands(first.result())[0]
    summary = summarise(list(read(first.result()).intervals())).classes[0]
    tried = summary.offered / (summary.first / summary.rate)
    print(f"\noverloaded record: 40 first tries a second, recovered {found.rate:.2f}, all tries {tried:.2f}")
    check.hold(abs(found.rate / 40 - 1) < BOUND + 2 / sqrt(found.first), "overloaded record: first tries")
    check.hold(tried > 1.1 * found.rate, "overloaded record: it was overloaded")
    kinds = demands(second.result())
    shape = plan.Shape(
        lines=20, processor=Processor(ms(1), ms(0), ms(0), ms(0), 3 * SECOND), dead=0, replaced=0
    )
    made = plan.make(kinds, shape, Aim(0.01))
    # A size is played: does the mean's size keep the loss that was asked, and does the plan's?
    played = {}
    for name, size in (("mix", made.size.servers), ("mean", made.for_mean)):
        scenario = _replace(
            mixed,
            servers=Servers(count=size, lines=20, told_ms=1000),
            callers=Callers(rate=30.0, first_choice=False),
            warmup_s=60.0,
        )
        outcomes = [job.result() for job in check.runs(scenario, 4)]
        check.rules(outcomes)
        played[name] = interval(outcomes)[0]
    print(
        f"shifting mix: {made.size.servers} log servers of 20 lines lose {played['mix']:.4f}; "
        f"sized for the mean {made.for_mean}, which lose {played['mean']:.4f} (asked: 0.01)"
    )
    check.hold(played["mix"] <= 0.0125, "shifting mix: the plan's size")
    check.hold(
        made.for_mean < made.size.servers and played["mean"] > 0.0125, "shifting mix: the mean is wrong"
    )
    sizes = {}
    for name, rate in (("small", 18.0), ("large", 97_000.0)):
        counts = tuple([round(rate * 5)] * 60)
        shape = plan.Shape(lines=1000, processor=Processor(ms(20), ms(10), ms(10), ms(5), 2.4 * SECOND))
        big = plan.make([Demand("a", counts, rate, 10 * SECOND)], shape, Aim(0.01))
        sizes[name] = big.size.servers
    print(f"fleets: {sizes['small']} and {sizes['large']} log servers")
    check.hold(sizes["small"] <= 3 and sizes["large"] >= 4500, "fleets of 2 and 5,000")
    check.note(
        "hard_records",
        {
            "recovered_rate": found.rate,
            "tried_rate": tried,
            "mix": played,
            "mix_size": made.size.servers,
            "mean_size": made.for_mean,
            "fleets": sizes,
        },
    )


def plan_holds(check: Check, folder: str) -> None:
    """From a record to a size, and the size played with the module: whole, with its dead, in a surge."""
    seconds = 45.0 if check.short else 600.0
    day = Scenario(
        callers=Callers(rate=50.0, redials=2, again=0.6),
        seconds=seconds,
        warmup_s=20,
        gatekeepers=2,
        delay_ms=10,
        servers=Servers(count=4, setup_ms=20, answer_ms=10, release_ms=10, refusal_ms=5, wait_limit_ms=2400),
        classes=[
            CallerClass(name="log-lookup", share=0.78, hold_s=10),
            CallerClass(name="log-update", share=0.22, hold_s=14, aim_ms=1500, worth=2.0),
        ],
    )
    shape = plan.Shape(lines=1000, processor=Processor(ms(20), ms(10), ms(10), ms(5), 2.4 * SECOND))
    made = plan.make(demands(recorded(day, 1, folder)), shape, Aim(0.01, SECOND, 1.7))
    size = made.size.servers
    dead = size - int(plan.left(size, shape)[0])
    whole = _replace(day, servers=_replace(day.servers, count=size))
    broken = _replace(
        whole,
        incidents=[
            Incident(at_s=0.5, server=number, kind=Kind.DIES, for_s=seconds, told_after_ms=100)
            for number in range(dead)
        ],
    )
    surged = _replace(whole, surges=[Surge(at_s=seconds / 2, for_s=8, times=1.7)])
    rows, losses = [], {}
    for name, scenario in (("whole", whole), ("dead", broken), ("surge", surged)):
        outcomes = [job.result() for job in check.runs(scenario, 4)]
        check.rules(outcomes)
        losses[name] = interval(outcomes)[0]
        rows.append((name, losses[name], sum(o.use for o in outcomes) / len(outcomes)))
        check.hold(losses[name] <= 0.01, f"the plan's size does not hold: {name} {losses[name]:.4f}")
    print(f"\nplan: {size} log servers ({made.least} to {made.most}), {made.size.binds} binds; played:")
    print(table(rows, ["fleet", "loss", "use"]))
    check.note(
        "plan", {"servers": size, "interval": [made.least, made.most], "binds": made.size.binds} | losses
    )


def speed(check: Check) -> None:
    """Calls a second of real time, alone on a core, at two sizes of gatekeepers and log servers."""
    found = {}
    for gatekeepers, count in ((10, 5), (100, 60)):
        rate = 18.0 * count
        scenario = Scenario(
            callers=Callers(rate=rate),
            seconds=(1_500 if check.short else 20_000) / rate,
            warmup_s=1,
            servers=Servers(count=count, setup_ms=20, answer_ms=10, release_ms=10, refusal_ms=5),
            classes=[CallerClass(name="a")],
            gatekeepers=gatekeepers,
        )
        outcome = check.pool.submit(quiet_play, scenario, 1).result()
        check.rules([outcome])
        found[f"{gatekeepers}x{count}"] = round(outcome.calls / outcome.took)
    print(f"\nspeed, calls a second: {found}")
    check.note("calls_per_s", found)


async def real(check: Check, folder: Path) -> None:
    """The real program between stand-ins: loss at their lines and processors, against its own record."""
    seconds = 14.0 if check.short else 90.0
    at_lines = loopback.Shape(lines=30, hold=0.25)
    at_work = loopback.Shape(
        lines=100_000, hold=0.5, setup=0.004, answer=0.002, release=0.002, refusal=0.001, limit=0.3
    )
    work = Processor(ms(4), ms(2), ms(2), ms(1), timedelta(seconds=0.3))
    cases: list[tuple[str, loopback.Shape, int, float, Callable[[float, float], float]]] = [
        ("lines", at_lines, 2, 290.0, lambda rate, hold: erlang.erlang_b(rate * hold / 2, 30)),
        ("processor", at_work, 1, 150.0, lambda rate, hold: meets(work, rate).loss),
    ]
    rows = []
    # Short: both at once; in full one after the other, so that neither is in the other's way.
    runs = [
        loopback.run(shape, servers, rate, seconds, 11 + number, folder)
        for number, (_, shape, servers, rate, _) in enumerate(cases)
    ]
    results = await asyncio.gather(*runs) if check.short else [await run for run in runs]
    for (name, shape, _, _, formula), seen in zip(cases, results):
        kind = summarise(list(read(seen.record).intervals())).classes[0]
        # From an empty line nothing is lost at first: what came before it filled is left out.
        steady = [one for one in read(seen.record).intervals() if WARM <= one.at_ms / 1000 < seconds - 1]
        late = summarise(steady).classes[0]
        measured, loss = late.rate, late.loss
        prediction = formula(measured, late.hold / SECOND)
        half = 4 * 1.96 * sqrt(loss * (1 - loss) / late.offered) / prediction  # in heaps
        off = loss / prediction - 1
        check.hold(
            abs(off) <= max(BOUND_REAL, half if check.short else 0),
            f"real program, {name}: {loss:.4f}, predicted {prediction:.4f}",
        )
        check.hold(seen.missing + seen.twice + seen.doubled == 0, f"real program, {name}: {seen}")
        check.hold(
            kind.offered == seen.offered and kind.stood == seen.stood, f"real program, {name}: its record"
        )
        rows.append(
            (name, seen.offered, measured, kind.hold / SECOND, prediction, loss, f"{off:+.1%}", f"{half:.1%}")
        )
    print("\nthe real program on loopback:")
    print(table(rows, ["at", "calls", "a second", "hold s", "predicted", "observed", "off", "chance"]))
    check.note(
        "loopback",
        [
            dict(zip(("at", "calls", "rate", "hold_s", "predicted", "observed", "off", "half"), row))
            for row in rows
        ],
    )


def wanted(part: str, asked: argparse.Namespace) -> bool:
    """Whether a part is to run."""
    return not asked.parts or part in asked.parts


def played_live(short: bool, folder: str) -> tuple[str, dict[str, Any], list[str]]:
    """The real program's part: what it prints, its figures, and what is wrong."""
    check = Check(short, None)
    with redirect_stdout(io.StringIO()) as text:
        asyncio.run(real(check, Path(folder)))
    return text.getvalue(), check.figures, check.wrong


def main() -> int:
    """The whole check, or the parts that are named; 1 if anything is wrong."""
    options = argparse.ArgumentParser()
    options.add_argument("--short", action="store_true", help="a seeded form in under 45 s on 8 cores")
    options.add_argument(
        "--spoil", choices=("lines", "processor", "answer"),
        help="see it fail: a formula that is off by 5%%, or a final answer that is lost",
    )  # fmt: skip
    parts_help = "real speed agreement line module surge records plan; all if none"
    options.add_argument("parts", nargs="*", help=parts_help)
    asked = options.parse_args()
    began = time.monotonic()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    # The real program runs in real time beside the rest: it gets cores of its own.
    workers = max(2, (os.cpu_count() or 2) - REAL_CORES)
    with tempfile.TemporaryDirectory() as folder, ProcessPoolExecutor(workers) as pool:
        check = Check(asked.short, pool, asked.spoil)
        parts: dict[str, Callable[[], None]] = {
            "speed": lambda: speed(check),
            "agreement": lambda: agreement(check),
            "line": lambda: line_of_work(check),
            "module": lambda: with_module(check),
            "surge": lambda: surge(check),
            "records": lambda: hard_records(check, folder),
            "plan": lambda: plan_holds(check, folder),
        }
        live = None
        if wanted("real", asked):  # in a process of its own: what is reckoned here must not hold it up
            live = ProcessPoolExecutor(1).submit(played_live, asked.short, folder)
        for name, part in parts.items():
            if wanted(name, asked):
                part()
        if live is not None:
            text, figures, wrong = live.result()
            print(text)
            check.figures |= figures
            check.wrong += wrong
    for wrong in check.wrong:
        print(f"wrong: {wrong}", file=sys.stderr)
    took = round(time.monotonic() - began, 1)
    print(
        json.dumps({"violations": len(check.wrong), "short": asked.short, "seconds": took, **check.figures})
    )
    return 1 if check.wrong else 0


if __name__ == "__main__":
    sys.exit(main())
