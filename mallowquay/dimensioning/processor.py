"""Loss and wait at a log server's processor: one line of work, set-ups turned away past a limit on the wait.

The work in line is a process that jumps by the size of each job and falls by 1 a second. Set-ups come as a
Poisson stream and are taken while the work in line is at most the limit; one turned away brings the work of
refusing. The density of the work in line, f, satisfies the balance of crossings of a level (P. Brill,
M. Posner 1977)

    f(x) = sum over streams of rate * int f(u) P(job > x - u) du + the same from the empty state,

which for jobs of phase type is a linear differential equation with one set of coefficients below the limit
and another above it: solved with matrix exponentials, without a grid. What set-ups meet is what an outside
observer sees (Poisson arrivals see time averages).

Answers and releases are no streams of their own: each follows a set-up that was taken. Three things follow.

1. Near the limit fewer come, away from it as many as set-ups do. So they come with the set-ups taken, and not
   at the mean rate at all times, which keeps the processor idle too often and loses up to half too much.
2. An answer joins the line when its set-up leaves it: a line at its limit is owed the answers of all set-ups
   in it, so what can be in line, set-ups with their answers, is the limit times 1 + rate * answer.
3. A release comes a call's length later. Over times that are long against that length it is work of the
   set-up as well (more spread), over short ones it is not. The part of calls that are taken as bringing it
   at once, JOINT * sqrt(loss * sqrt(work * JOINT_HOLD) / limit), is fitted to simulated lines of work; it
   decides between bounds that are 1% to 20% apart at losses of 2% to 10%. Calls of 2 to 30 s in place of
   JOINT_HOLD move the loss by 4% (docs/dimensioning.md).

Ruled out: answers and releases as Poisson streams of the mean rate (at a loss of 2% and a limit of 1 s 20%
too high, at 0.5% 30 to 50%), a call's whole work as one job at its set-up (50% too high there), and M/G/1
with the limit ignored (no loss at all below full use, none that is finite above).
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

import numpy
from scipy.linalg import block_diag, expm, solve
from scipy.optimize import brentq

from .erlang import Unanswerable

PHASES_MOST = 4  # a squared variation below 1/4 is taken as that: the loss hardly moves, the time does
STEPS_MOST = 600.0  # of the exponent that is put into one matrix exponential
# Fitted to 19 points of one shape (set-up, answer, release of 20, 10, 10 ms) with limits of 0.5 to 3 s.
JOINT, JOINT_HOLD = 2.93, 8.0  # a number, seconds
ROUNDS, SETTLED = 30, 1e-7  # in which the part of joint calls and the loss settle, to this part of the loss


@dataclass(frozen=True, slots=True)
class Work:
    """One kind of job: its mean, and its spread as the squared coefficient of variation (1: exponential)."""

    mean: timedelta
    spread: float = 1.0


@dataclass(frozen=True, slots=True)
class Processor:
    """What a call costs at the processor, and the wait past which set-ups are turned away."""

    setup: Work
    answer: Work
    release: Work
    refusal: Work
    limit: timedelta

    @property
    def call(self) -> timedelta:
        """Work of a call that comes to stand."""
        return self.setup.mean + self.answer.mean + self.release.mean


@dataclass(frozen=True, slots=True)
class ProcessorLoad:
    """What set-ups meet: `use` of the processor, mean wait of those taken, `longer` than a span asked."""

    loss: float
    use: float
    wait: timedelta
    longer: float


Phases = tuple[numpy.ndarray, numpy.ndarray]  # start vector, generator among phases


def _phases(job: Work) -> Phases | None:
    """A job's size as a phase type with its first two moments; None if it is nothing."""
    mean = job.mean.total_seconds()
    if mean <= 0:
        return None
    if job.spread <= 1:
        count = min(PHASES_MOST, max(1, round(1 / max(job.spread, 1e-9))))
        rate = count / mean
        return numpy.eye(1, count)[0], numpy.diag([-rate] * count) + numpy.diag([rate] * (count - 1), 1)
    # Two branches of balanced means (H. Tijms 2003, appendix B).
    part = 0.5 * (1 + ((job.spread - 1) / (job.spread + 1)) ** 0.5)
    return numpy.array([part, 1 - part]), numpy.diag([-2 * part / mean, -2 * (1 - part) / mean])


def _solve(
    generator: numpy.ndarray, start: numpy.ndarray, start_above: numpy.ndarray, limit: float, asked: float
) -> tuple[float, float, float, float]:
    """Shares of time: empty, beyond the limit, beyond `asked`; and the mean work in line up to the limit.

    `generator` moves a job among its phases; jobs start in phases at these rates, below the limit and above.
    """

    def coefficients(start: numpy.ndarray) -> numpy.ndarray:
        return generator + numpy.outer(numpy.ones(len(start)), start)

    low, high = coefficients(start), coefficients(start_above)
    ones = numpy.ones(len(start))
    growth = max(numpy.linalg.eigvals(high).real)
    if growth >= 0:
        raise Unanswerable("the processor cannot even turn away what comes")
    # y(x) = start exp(low x) up to the limit; the empty state weighs 1. Scaled where that grows large.
    steps = max(1, int(max(numpy.linalg.eigvals(low).real.max() * limit, 0.0) / STEPS_MOST) + 1)
    size = len(start)

    # The integrals of y and x y come with y: one exponential of a matrix of blocks (C. Van Loan 1978).
    def piece(span: float) -> tuple[numpy.ndarray, numpy.ndarray, numpy.ndarray]:
        """exp(low span), and the integrals of exp(low x) and x exp(low x) over the span."""
        eye, none = numpy.eye(size), numpy.zeros((size, size))
        whole = expm(numpy.block([[low, eye, none], [none, none, eye], [none, none, none]]) * span)
        first = whole[:size, size : 2 * size]
        twice = whole[:size, 2 * size :]  # int (span - x) exp(low x)
        return whole[:size, :size], first, span * first - twice

    def upto(span: float, parts: int) -> tuple[numpy.ndarray, float, float, float]:
        """y, mass, moment at the end of a span that begins at 0, and the weight left of the empty state."""
        flow, empty, mass, moment = start.copy(), 1.0, 0.0, 0.0
        move, area, first = piece(span / parts)
        for index in range(parts):
            share = float(flow @ area @ ones)
            moment += float(flow @ first @ ones) + index * span / parts * share
            mass += share
            flow = flow @ move
            scale = max(1.0, float(flow.sum()))
            flow, empty, mass, moment = flow / scale, empty / scale, mass / scale, moment / scale
        return flow, empty, mass, moment

    flow, empty, mass, moment = upto(limit, steps)
    beyond = -float(flow @ solve(high, ones))
    total = empty + mass + beyond
    longer = beyond / total
    if asked < limit:
        _, early_empty, early_mass, _ = upto(asked, steps)
        # Both parts begin with the same weight of the empty state.
        longer = 1 - (early_empty + early_mass) * (empty / early_empty if early_empty else 0.0) / total
    return empty / total, beyond / total, max(0.0, longer), moment / total


def meets(processor: Processor, rate: float, asked: timedelta = timedelta(0)) -> ProcessorLoad:
    """What set-ups of `rate` a second meet. `asked`: the share that waits longer is told.

    Errors: Unanswerable, where refusing alone is more than the processor can do.
    """
    if not rate > 0:
        raise Unanswerable(f"rate must be above 0, not {rate}")
    limit, span = processor.limit.total_seconds(), asked.total_seconds()
    refusal = _phases(processor.refusal)
    kinds = [_phases(processor.setup), _phases(processor.answer), _phases(processor.release)]
    if kinds[0] is None:
        raise Unanswerable("the work of a set-up must be above 0")
    if refusal is not None and rate * processor.refusal.mean.total_seconds() >= 1:
        raise Unanswerable("the processor cannot even turn away what comes")
    calls = [phases for phases in kinds if phases is not None]
    releases = kinds[2] is not None
    parts = calls + ([refusal] if refusal is not None else [])
    generator = block_diag(*(moves for _, moves in parts))
    ends = numpy.cumsum([0, *(len(start) for start, _ in parts)])

    def starts(part: int, rate: float) -> numpy.ndarray:
        """Jobs that start with a part, at a rate."""
        begin = numpy.zeros(ends[-1])
        begin[ends[part] : ends[part + 1]] = rate * parts[part][0]
        return begin

    turned = starts(len(parts) - 1, rate) if refusal is not None else numpy.zeros(ends[-1])

    def found(joint: float, stretch: float) -> tuple[float, float, float, float]:
        moves, below = generator.copy(), starts(0, rate)
        for part in range(1, len(calls)):  # the answer follows its set-up as one job, and of releases a part
            share = joint if releases and part == len(calls) - 1 else 1.0
            before = slice(ends[part - 1], ends[part])
            leave = -generator[before, before].sum(axis=1)
            moves[before, ends[part] : ends[part + 1]] += share * numpy.outer(leave, parts[part][0])
        if releases:
            below = below + starts(len(calls) - 1, rate * (1 - joint))
        return _solve(moves, below, turned, limit * stretch, span * stretch)

    work = processor.call.total_seconds()
    answer, loss, stretch = processor.answer.mean.total_seconds(), 0.0, 1.0
    for _ in range(ROUNDS):
        joint = min(1.0, JOINT * loss**0.5 * (work * JOINT_HOLD / limit**2) ** 0.25) if releases else 0.0
        stretch = 1 + rate * (1 - loss) * answer
        empty, before, longer, moment = found(joint, stretch)
        if abs(before - loss) <= SETTLED * before:
            break
        loss = before
    loss = min(before, 1.0 - 1e-12)
    return ProcessorLoad(loss, 1 - empty, timedelta(seconds=moment / stretch / (1 - loss)), longer)


def most_rate(processor: Processor, loss: float, wait: timedelta | None = None) -> float:
    """The rate of set-ups, a second, at which this share is lost, or waits longer than `wait`."""

    def over(rate: float) -> float:
        try:
            met = meets(processor, rate, wait or timedelta(0))
        except Unanswerable:
            return 1.0
        return max(met.loss, met.longer if wait is not None else 0.0) - loss

    high = 1 / processor.call.total_seconds()
    while over(high) < 0:
        high *= 1.5
    return float(brentq(over, high * 1e-6, high, xtol=1e-9, rtol=1e-9))
