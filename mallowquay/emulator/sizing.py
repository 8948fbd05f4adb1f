"""The smallest fleet that holds when it is played with the decision module, searched from a formula's size.

A formula knows lines and processors; the module also holds calls, spares pressed and cold log servers and
refuses sooner, so its loss follows no formula. Each size is played whole, with its dead, and with a part
replaced and cold; all sizes hear the same callers (common random numbers), so that what differs is the size.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from concurrent.futures import Executor
from dataclasses import dataclass
from math import ceil

import msgspec

from .estimate import estimate
from .run import Outcome, play
from .scenario import Incident, Kind, Scenario

RESTART_S = 2.0  # seconds without a process where one is replaced
REPLACED_AT = 0.5  # of the measured time
GROWTH_MOST = 3  # times the formula's size, beyond which the search ends
DEAD_AT = 0.5  # seconds: before anything is measured


@dataclass(frozen=True, slots=True)
class Spare:
    """What a fleet must hold out: `dead` of it for good, `replaced` at once."""

    dead: float
    replaced: float


@dataclass(frozen=True, slots=True)
class Played:
    """A size as played: the loss of each state with half of its interval, and whether all hold the target."""

    servers: int
    losses: dict[str, tuple[float, float]]
    holds: bool
    sure: bool  # no interval has the target in it
    violations: int


@dataclass(frozen=True, slots=True)
class Sized:
    """The answer: the smallest size that held, with the least and the most that chance leaves open."""

    servers: int | None  # none up to the bound of the search
    least: int
    most: int | None
    played: tuple[Played, ...]


def states(scenario: Scenario, servers: int, spare: Spare) -> dict[str, Scenario]:
    """What is played of one size."""
    whole = msgspec.structs.replace(
        scenario, servers=msgspec.structs.replace(scenario.servers, count=servers), incidents=[], record=None
    )
    result = {"whole": whole}
    dead = ceil(spare.dead * servers - 1e-9)
    if dead:
        gone = [
            Incident(at_s=DEAD_AT, server=number, kind=Kind.DIES, for_s=scenario.seconds, told_after_ms=100)
            for number in range(min(dead, servers - 1))
        ]
        result["dead"] = msgspec.structs.replace(whole, incidents=gone)
    replaced = ceil(spare.replaced * servers - 1e-9)
    if replaced:
        at = scenario.warmup_s + REPLACED_AT * (scenario.seconds - scenario.warmup_s)
        cold = [
            Incident(at_s=at, server=number, kind=Kind.DIES, for_s=RESTART_S)
            for number in range(min(replaced, servers - 1))
        ]
        result["replaced"] = msgspec.structs.replace(whole, incidents=cold)
    return result


def search(
    scenario: Scenario,
    spare: Spare,
    target: float,
    start: int,
    pool: Executor,
    told: Callable[[Played], None] = lambda played: None,
) -> Sized:
    """Search from `start`: down while sizes hold, else up to one that does. `told` hears of each size."""
    found: dict[int, Played] = {}

    def at(servers: int) -> Played:
        if servers not in found:
            found[servers] = _play(scenario, servers, spare, target, pool)
            told(found[servers])
        return found[servers]

    size = max(1, start)
    if at(size).holds:
        while size > 1 and at(size - 1).holds:
            size -= 1
        answer: int | None = size
    else:
        most = GROWTH_MOST * size + 1
        while size <= most and not at(size).holds:
            size += 1
        answer = size if size <= most else None
    if answer is not None and not found[answer].sure and answer + 1 not in found:
        at(answer + 1)  # how much more would be sure
    sure = [servers for servers, played in found.items() if played.holds and played.sure]
    fails = [servers for servers, played in found.items() if not played.holds and played.sure]
    least = max(fails, default=0) + 1
    return Sized(answer, least, min(sure, default=None), tuple(found[servers] for servers in sorted(found)))


def _play(scenario: Scenario, servers: int, spare: Spare, target: float, pool: Executor) -> Played:
    seeds = range(scenario.seed, scenario.seed + scenario.seeds)
    jobs = {
        name: (one, [pool.submit(_quiet, one, seed) for seed in seeds])
        for name, one in states(scenario, servers, spare).items()
    }
    losses, broken = {}, 0
    for name, (one, runs) in jobs.items():
        outcomes = [run.result() for run in runs]
        broken += sum(outcome.broken for outcome in outcomes)
        losses[name] = _loss(one, outcomes)
    sure = all(abs(loss - target) > half for loss, half in losses.values())
    return Played(servers, losses, all(loss <= target for loss, _ in losses.values()), sure, broken)


def _loss(scenario: Scenario, outcomes: Iterable[Outcome]) -> tuple[float, float]:
    seen = estimate(scenario, list(outcomes))
    return seen.loss, seen.half


def _quiet(scenario: Scenario, seed: int) -> Outcome:
    """A run whose module says nothing: hundreds of runs would fill the screen."""
    import structlog

    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(50))
    return play(scenario, seed)
