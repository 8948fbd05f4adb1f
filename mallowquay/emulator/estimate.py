"""The loss of runs, and how sure it is: batch means, with control variates where their means are known.

The chance of a run that is known to be 0 on average (how many more calls came than the rate says, how much
longer they and the work at processors were than their means, by how much what stands and what waits has
grown) explains most of what the loss of a part of a run is off its mean: at an overloaded processor, work
that came and work that was done are one balance. Regressing on it leaves the rest (S. Lavenberg, P. Welch
1981; for loss models R. Srikant, W. Whitt 1999). Weighed against it: antithetic streams (half a point at a
processor: what is lost is far from monotone in one draw), common streams (for pairs of sizes only),
splitting (for losses that are rarer than any asked here).
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy
from scipy import stats

from .run import Outcome
from .scenario import Scenario, Spread

CONFIDENCE = 0.95
BATCHES_LEAST = 3  # beyond the coefficients: with fewer nothing is known of the spread
BATCHES_WANTED = 40  # more are put together: the edge of a batch is noise that no control sees


@dataclass(frozen=True, slots=True)
class Estimate:
    """A share of tries lost, half of its confidence interval, and that half by plain batch means."""

    loss: float
    half: float
    plain_half: float


def standing(scenario: Scenario) -> bool:
    """Whether traffic and log servers stand still, so that the means of the controls are known."""
    moves = scenario.surges or scenario.incidents or scenario.mixes
    return not moves and not scenario.callers.redials


def estimate(scenario: Scenario, outcomes: Sequence[Outcome]) -> Estimate:
    """The loss of all runs of one scenario."""
    whole = [
        numpy.array([(*batch, *off) for batch, off in zip(outcome.batches, outcome.controls)], float)
        for outcome in outcomes
    ]
    each = max(1, min(len(whole[0]), -(-BATCHES_WANTED // len(whole)))) if whole else 1
    rows = numpy.array([part.sum(axis=0) for run in whole for part in numpy.array_split(run, each)])
    rows = rows[rows[:, 0] > 0] if len(rows) else rows
    if len(rows) < 2:
        return Estimate(0.0, 1.0, 1.0)
    tries, lost, controls = rows[:, 0], rows[:, 1], rows[:, 2:]
    # A ratio of sums: its spread is that of what each part is off the common ratio.
    loss = float(lost.sum() / tries.sum())
    plain = _half((lost - loss * tries) / tries.mean(), len(rows) - 1)
    controls = controls[:, controls.std(axis=0) > 0]
    # A length that is always the same is no control, but then what stands and waits may still be one.
    if not standing(scenario) or scenario.hold_spread is not Spread.EXPONENTIAL:
        return Estimate(loss, plain, plain)
    coefficients = controls.shape[1] + 1
    if len(rows) < coefficients + BATCHES_LEAST:
        return Estimate(loss, plain, plain)
    measured = (scenario.seconds - scenario.warmup_s) * len(outcomes)
    expected = scenario.callers.rate * measured / len(rows)
    share = lost / expected
    design = numpy.column_stack([numpy.ones(len(rows)), controls / controls.std(axis=0)])
    fitted, *_ = numpy.linalg.lstsq(design, share, rcond=None)
    rest = share - design @ fitted
    widened = float(numpy.linalg.pinv(design.T @ design)[0, 0] * len(rows)) ** 0.5
    half = _half(rest, len(rows) - coefficients) * widened
    return Estimate(float(fitted[0]), min(half, plain), plain)


def _half(off: numpy.ndarray, freedom: int) -> float:
    """Half of the interval of a mean from what its parts are off; parts side by side may hang together."""
    spread = float((off @ off / freedom) ** 0.5)
    beside = float(off[1:] @ off[:-1] / (off @ off)) if off @ off > 0 else 0.0
    together = (1 + 2 * max(0.0, beside)) ** 0.5
    return float(stats.t.ppf((1 + CONFIDENCE) / 2, freedom)) * spread * together / len(off) ** 0.5
