"""A scenario followed in time by formula: its surges, mixes and incidents, with the servers that are there.

The prediction for standing traffic knows one rate and all servers. Here the work in line of a processor is a
distribution over a grid that moves with the rate and the servers of each moment (a birth and death chain with
the drift and the spread of the work that comes: the diffusion of a bounded wait, A. Kolmogorov's forward
equation in backward Euler steps), and lines lose as standing traffic does that keeps as many busy (see
`dimensioning.transient.flow_losses`). Lost tries come again as the scenario says. What the decisions add or
spare (a death that is told late, a cold server that is spared) is left out: beside what was seen it shows.
"""

from __future__ import annotations

from dataclasses import dataclass

import numpy
from scipy.linalg import solve_banded

from ..dimensioning.erlang import erlang_b
from .scenario import Incident, Kind, Refusal, Scenario, Spread

STEP = 0.05  # seconds
CELLS = 100  # of the wait up to its limit
BEYOND = 20  # and of that past it: nothing but refusals and releases comes there


@dataclass(frozen=True, slots=True)
class Followed:
    """Loss over the measured time, its worst 10 s, and a point of each series a second."""

    loss: float
    worst: float
    at: list[float]
    lost: list[float]
    wait: list[float]


def capacity(scenario: Scenario, at: float) -> tuple[float, float]:
    """Processors' worth and log servers that take set-ups at a moment."""
    pace, count = 0.0, 0
    for number in range(scenario.servers.count):
        incidents = [one for one in scenario.incidents if one.server == number]
        worth = min((_worth(scenario, one, at) for one in incidents), default=1.0)
        pace, count = pace + worth, count + (worth > 0)
    return pace, float(count)


def _worth(scenario: Scenario, incident: Incident, at: float) -> float:
    since = at - incident.at_s
    if since < 0:
        return 1.0
    if since < incident.for_s:
        return 1 / incident.times if incident.kind is Kind.SLOWS else 0.0
    if incident.kind is Kind.DIES:  # it starts cold
        part = (since - incident.for_s) / scenario.servers.cold_s
        return min(1.0, scenario.servers.cold_from + (1 - scenario.servers.cold_from) * part)
    return 1.0


def _traffic(scenario: Scenario, at: float) -> tuple[float, float]:
    """First tries a second, and the mean length of their calls."""
    rate = scenario.callers.rate
    for surge in scenario.surges:
        rate *= surge.times if surge.at_s <= at < surge.at_s + surge.for_s else 1.0
    shares = [kind.share for kind in scenario.classes]
    for mix in scenario.mixes:
        shares = mix.shares if mix.at_s <= at else shares
    hold = sum(share * kind.hold_s for share, kind in zip(shares, scenario.classes)) / sum(shares)
    return rate, hold


class _Line:
    """The work in line of one processor, as shares of time on a grid."""

    def __init__(self, scenario: Scenario) -> None:
        shape = scenario.servers
        self.cell = shape.wait_limit_ms / 1000 / CELLS
        self.share = numpy.zeros(CELLS + BEYOND)
        self.share[0] = 1.0
        self.twice = 2.0 if shape.work is Spread.EXPONENTIAL else 1.0  # second moment over the mean's square
        self.works = [part / 1000 for part in (shape.setup_ms, shape.answer_ms, shape.release_ms)]
        self.refusal = shape.refusal_ms / 1000

    def step(self, rate: float, ends: float, span: float) -> None:
        """Let a moment pass: so many set-ups and releases a second and processor."""
        setup, answer, release = self.works
        second = self.twice * ends * release**2
        up, down = numpy.zeros(CELLS + BEYOND), numpy.zeros(CELLS + BEYOND)
        for part, drift, spread in (
            (slice(0, CELLS), rate * (setup + answer), self.twice * rate * (setup**2 + answer**2)),
            (slice(CELLS, None), rate * self.refusal, self.twice * rate * self.refusal**2),
        ):
            drift, spread = drift + ends * release - 1, spread + second
            # Upwind where the drift outweighs the spread: no rate may be below 0.
            half = max(spread / self.cell**2, abs(drift) / self.cell) / 2
            up[part], down[part] = half + drift / self.cell / 2, half - drift / self.cell / 2
        up[-1] = down[0] = 0.0
        bands = numpy.zeros((3, CELLS + BEYOND))
        bands[0, 1:], bands[1], bands[2, :-1] = -span * down[1:], 1 + span * (up + down), -span * up[:-1]
        self.share = numpy.maximum(solve_banded((1, 1), bands, self.share), 0.0)
        self.share /= self.share.sum()

    @property
    def full(self) -> float:
        """The share of set-ups that find it past its limit."""
        return float(self.share[CELLS:].sum())

    @property
    def wait(self) -> float:
        """The mean work in line, in seconds."""
        return float(self.share @ numpy.arange(CELLS + BEYOND)) * self.cell


def _lines_table(scenario: Scenario) -> tuple[numpy.ndarray, numpy.ndarray]:
    """Busy lines of one group of standing traffic, and its loss."""
    alone = scenario.servers.refuses is Refusal.BUSY  # a call cannot leave its server: each is a group
    size = scenario.servers.lines * (1 if alone else scenario.servers.count)
    loads = size * numpy.concatenate([numpy.linspace(0.01, 1.5, 120), numpy.geomspace(1.52, 100, 40)])
    lost = numpy.array([erlang_b(load, size) for load in loads.tolist()])
    return numpy.maximum.accumulate(loads * (1 - lost)) / size, lost


def follow(scenario: Scenario) -> Followed:
    """Follow it from its start."""
    busy, lost_at = _lines_table(scenario)
    line, callers = _Line(scenario), scenario.callers
    steps = int(scenario.seconds / STEP)
    later = max(1, round(callers.again_after_s / STEP))
    coming = [numpy.zeros(steps + 1 + later) for _ in range(callers.redials + 1)]  # tries by how often
    standing, tried, gone = 0.0, numpy.zeros(steps), numpy.zeros(steps)
    at, lost, wait = [], [], []
    for step in range(steps):
        now = step * STEP
        rate, hold = _traffic(scenario, now)
        pace, there = capacity(scenario, now)
        coming[0][step] += rate
        tries = sum(float(each[step]) for each in coming)
        loss = 1.0
        if pace > 0:
            if line.works[0] > 0:
                line.step(tries / pace, standing / hold / pace, STEP)
            part = standing / (there * scenario.servers.lines)
            at_lines = float(numpy.interp(part, busy, lost_at)) if part < busy[-1] else 1.0
            loss = 1 - (1 - at_lines) * (1 - line.full)
        for often, each in enumerate(coming[:-1]):
            coming[often + 1][step + later] += callers.again * loss * float(each[step])
        standing += STEP * (tries * (1 - loss) - standing / hold)
        tried[step], gone[step] = tries * STEP, tries * loss * STEP
        if step % round(1 / STEP) == 0:
            at.append(now)
            lost.append(loss)
            wait.append(line.wait)
    first, window = int(scenario.warmup_s / STEP), max(1, min(steps, round(10 / STEP)))
    sums = [numpy.convolve(each[first:], numpy.ones(window), "valid") for each in (gone, tried)]
    worst = float((sums[0] / numpy.maximum(sums[1], 1e-12)).max()) if len(sums[0]) else 0.0
    return Followed(float(gone[first:].sum() / max(tried[first:].sum(), 1e-12)), worst, at, lost, wait)
