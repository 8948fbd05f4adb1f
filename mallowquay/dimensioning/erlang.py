"""Erlang's loss and delay formulas, their inverses and their relatives, for real sizes as well.

Sources: A. K. Erlang 1917; R. Fortet 1950 (the integral for real sizes); ITU-D SG 2/16, 'Teletraffic
Engineering Handbook', chapters 7 to 9 and 13; C. Palm 1957 and Garnett, Mandelbaum, Reiman 2002 (Erlang A).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from math import exp, inf, isfinite, log, log1p, pi

from scipy.integrate import quad
from scipy.optimize import brentq
from scipy.special import gammaincc, gammaln, kl_div

from ..errors import Fault

SIZE_MOST = 2**31  # no answer of an inverse lies above it
LOAD_MOST = 1e9
TAIL_LEAST = 1e-280  # below it the incomplete gamma function has lost its digits
STIRLING_FROM = 64  # above it the series is exact to the last digit, and log-gamma is not


class Unanswerable(Fault, ValueError):
    """What was asked of the formulas has no answer."""

    code = "dimension.unanswerable"
    remedy = "Ask for what can be had: a lower load, a larger share that may be lost or wait, or more room."


def _positive(name: str, value: float) -> float:
    if not isfinite(value) or value <= 0:
        raise Unanswerable(f"{name} must be a number above 0, not {value}")
    return value


def _share(name: str, value: float) -> float:
    if not 0 < value < 1:
        raise Unanswerable(f"{name} must lie between 0 and 1, not {value}")
    return value


def _size(servers: float) -> float:
    if not isfinite(servers) or servers < 0:
        raise Unanswerable(f"servers must be a number of 0 or more, not {servers}")
    return servers


def _excess(servers: float) -> float:
    """log(n!) less Stirling's n log n - n, so that no two large numbers are taken from one another."""
    if servers < STIRLING_FROM:
        stirling = servers * log(servers) - servers if servers > 0 else 0.0
        return float(gammaln(servers + 1)) - stirling
    inverse = 1 / servers
    series = inverse * (1 / 12 - inverse**2 * (1 / 360 - inverse**2 / 1260))
    return 0.5 * log(2 * pi * servers) + series


def erlang_b(load: float, servers: float) -> float:
    """The share of calls that find all of `servers` lines busy, for Poisson arrivals that are lost.

    `servers` may be any real number of 0 or more. Errors: Unanswerable.
    """
    _positive("load", load)
    _size(servers)
    tail = float(gammaincc(servers + 1, load))
    if tail > TAIL_LEAST:
        return min(1.0, exp(-float(kl_div(servers, load)) - _excess(servers)) / tail)
    # Far more load than lines: Fortet's integral, 1/B = int exp(-u) (1 + u/A)^n du, which falls from 1.
    width = 1 / (1 - servers / load)
    area, _ = quad(
        lambda s: exp(servers * log1p(s * width / load) - s * width),
        0, inf, epsabs=0, epsrel=1e-12, limit=200,
    )  # fmt: skip
    return 1 / (width * area)


def erlang_b_servers(load: float, target: float) -> int:
    """The fewest whole lines with a loss of at most `target`."""
    _positive("load", load)
    _share("target", target)
    return fewest(lambda servers: erlang_b(load, servers) <= target)


def erlang_b_load(servers: float, target: float) -> float:
    """The load in erlang at which `servers` lines lose the share `target`."""
    _positive("servers", servers)
    _share("target", target)
    most = max(1.0, servers)
    while erlang_b(most, servers) < target:
        most *= 2
        if most > LOAD_MOST * 1e6:
            raise Unanswerable(f"target {target} needs a load without bound")
    least = 1e-300
    return float(brentq(lambda load: erlang_b(load, servers) - target, least, most, xtol=1e-300, rtol=1e-14))


def fewest(enough: Callable[[int], bool], least: int = 0) -> int:
    """The smallest whole number from `least` on that is enough; `enough` stays true once it is."""
    step, high = 1, least
    while not enough(high):
        if high > SIZE_MOST:
            raise Unanswerable(f"not even {SIZE_MOST} servers are enough")
        least, high, step = high + 1, high + step, step * 2
    while least < high:
        middle = (least + high) // 2
        least, high = (least, middle) if enough(middle) else (middle + 1, high)
    return high


# --- delay ---------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Delay:
    """Waiting in M/M/n: `waits` is the share that waits at all, `spare` the servers beyond the load.

    Spans are in holding times, the only unit that the formula knows. The wait of those who wait is
    exponential with rate `spare`; that is 0 where the queue grows without bound.
    """

    waits: float
    spare: float

    @property
    def mean(self) -> float:
        """The mean wait of all, in holding times; infinite where it has no bound."""
        return self.waits / self.spare if self.spare > 0 else inf

    def longer(self, than: float) -> float:
        """The share that waits longer than so many holding times."""
        return self.waits * exp(-self.spare * than)

    def quantile(self, share: float) -> float:
        """What this share of all waits at most, in holding times; infinite where that has no bound."""
        _share("share", share)
        if 1 - share >= self.waits:
            return 0.0
        return log(self.waits / (1 - share)) / self.spare if self.spare > 0 else inf


def erlang_c(load: float, servers: float) -> Delay:
    """Waiting for one of `servers` that serve calls of exponential length. Errors: Unanswerable."""
    _positive("load", load)
    _size(servers)
    if load >= servers:
        return Delay(1.0, 0.0)
    loss = erlang_b(load, servers)
    spare = servers - load
    return Delay(loss * servers / (spare + load * loss), spare)


def erlang_c_servers(load: float, target: float, wait: float = 0.0) -> int:
    """The fewest whole servers with at most the share `target` waiting longer than `wait` holding times."""
    _positive("load", load)
    _share("target", target)
    if not wait >= 0:
        raise Unanswerable(f"wait must be 0 or more, not {wait}")
    return fewest(lambda servers: erlang_c(load, servers).longer(wait) <= target, int(load) + 1)


def erlang_c_load(servers: float, target: float, wait: float = 0.0) -> float:
    """The load in erlang at which the share `target` waits longer than `wait` holding times."""
    _positive("servers", servers)
    _share("target", target)
    most = servers * (1 - 1e-15)
    if erlang_c(most, servers).longer(wait) < target:
        return servers
    return float(
        brentq(
            lambda load: erlang_c(load, servers).longer(wait) - target,
            1e-300,
            most,
            xtol=1e-300,
            rtol=1e-14,
        )
    )


@dataclass(frozen=True, slots=True)
class Patience:
    """Waiting among callers who give up (Erlang A): shares of all calls, and the mean wait of all."""

    waits: float
    gives_up: float
    mean: timedelta


def erlang_a(load: float, servers: int, hold: timedelta, patience: timedelta) -> Patience:
    """M/M/n+M: calls of mean `hold` at `servers`, callers of exponential mean `patience`.

    Garnett, Mandelbaum, Reiman 2002, section 3, with x = n patience/hold and y = load patience/hold.
    """
    _positive("load", load)
    _positive("servers", servers)
    stretch = _positive("patience", patience.total_seconds()) / _positive("hold", hold.total_seconds())
    x, y, use = servers * stretch, load * stretch, load / servers
    # A(x, y) = x e^y y^-x (lower incomplete gamma); kept as a logarithm, for it has no bound in overload.
    below = 1 - float(gammaincc(x, y))
    if below <= 0:  # y far below x: the first terms of the series are all
        weight = 1 + y / (x + 1) + y * y / ((x + 1) * (x + 2))
        log_weight = log(weight)
    else:
        log_weight = log(x) + y - x * log(y) + float(gammaln(x)) + log(below)
    loss = erlang_b(load, servers)
    shrunk = exp(-log_weight)
    waits = loss / (loss + (1 - loss) * shrunk)
    gives_up = waits * max(0.0, shrunk / use + 1 - 1 / use)
    return Patience(waits, gives_up, gives_up * patience)


# --- callers who dial again, and traffic that is not Poisson -------------------------------------


@dataclass(frozen=True, slots=True)
class Redialled:
    """The fixed point of callers who dial again.

    `offered` is the load with further tries (erlang), `loss` what a single try meets, `given_up` the share of
    first tries whose every try is lost.
    """

    offered: float
    loss: float
    given_up: float


def tries(loss: float, again: float, most: int) -> tuple[float, float]:
    """Tries for each first one, and the share given up, if `again` of the lost dial again `most` times."""
    sent, reached, lost = 1.0, 1.0, 0.0
    for _ in range(most):
        lost += reached * loss * (1 - again)
        reached *= loss * again
        sent += reached
    return sent, lost + reached * loss


def redialled(load: float, again: float, loss_of: Callable[[float], float], most: int = 2) -> Redialled:
    """Extended Erlang B: the load that first tries of `load` grow to, with the loss that it meets.

    `again`: the share of lost tries that is followed by another. `loss_of`: the loss at a load; it rises.
    """
    _positive("load", load)
    if not 0 <= again <= 1 or most < 0:
        raise Unanswerable(f"the share that dials again must lie between 0 and 1, not {again}")

    def gap(loss: float) -> float:
        return loss_of(load * tries(loss, again, most)[0]) - loss

    loss = 1.0 if gap(1.0) >= 0 else float(brentq(gap, 0.0, 1.0, xtol=1e-15, rtol=1e-13))
    sent, given_up = tries(loss, again, most)
    return Redialled(load * sent, loss, given_up)


def extended_erlang_b(load: float, servers: float, again: float, most: int = 2) -> Redialled:
    """Erlang B where lost callers dial again up to `most` times."""
    _size(servers)
    return redialled(load, again, lambda offered: erlang_b(offered, servers), most)


def kaufman_roberts(lines: int, classes: list[tuple[float, int]]) -> list[float]:
    """The loss of each class (load in erlang, lines a call) that shares `lines` with the others.

    J. Kaufman 1981, J. Roberts 1981: j q(j) = sum a b q(j - b). Errors: Unanswerable, naming the class.
    """
    import numpy

    if lines < 1 or lines > SIZE_MOST:
        raise Unanswerable(f"lines must be a whole number above 0, not {lines}")
    if not classes:
        raise Unanswerable("no class is given")
    for index, (load, width) in enumerate(classes):
        _positive(f"class {index + 1}: load", load)
        if width < 1:
            raise Unanswerable(f"class {index + 1}: width must be a whole number above 0, not {width}")
        if width > lines:
            raise Unanswerable(f"class {index + 1}: width {width} is more than the {lines} lines")
    weights = numpy.zeros(lines + 1)
    weights[0] = 1.0
    pairs = [(load * width, width) for load, width in classes]
    for busy in range(1, lines + 1):
        weight = sum(part * weights[busy - width] for part, width in pairs if width <= busy) / busy
        weights[busy] = weight
        if weight > 1e250:  # what has become too small to matter may go to 0
            weights[: busy + 1] /= weight
    weights /= weights.sum()
    return [float(weights[lines - width + 1 :].sum()) for _, width in classes]


def hayward(load: float, servers: float, peakedness: float) -> float:
    """Loss of traffic whose variance is `peakedness` x its mean (Fredericks 1980): rough or smooth."""
    _positive("peakedness", peakedness)
    return erlang_b(load / peakedness, servers / peakedness)


@dataclass(frozen=True, slots=True)
class Overflow:
    """Poisson traffic of `load` erlang that overflowed `servers` lines: what rough traffic is equal to."""

    load: float
    servers: float


def overflow_moments(load: float, servers: float) -> tuple[float, float]:
    """Mean and variance of the calls that `servers` lines of `load` erlang turn away (Riordan 1956)."""
    mean = load * erlang_b(load, servers)
    return mean, mean * (1 - mean + load / (servers + 1 + mean - load))


def equivalent(mean: float, peakedness: float) -> Overflow:
    """Wilkinson's equivalent random traffic, solved from Rapp's start: exact moments, real lines.

    R. Wilkinson 1956; Y. Rapp 1964. Errors: Unanswerable for traffic that is not rougher than Poisson.
    """
    _positive("load", mean)
    if peakedness <= 1:
        raise Unanswerable(f"peakedness must be above 1 here, not {peakedness}")

    def lines(load: float) -> float:
        """The lines at which `load` overflows with this mean, from the formula of the variance."""
        return load * (mean + peakedness) / (mean + peakedness - 1) - mean - 1

    def gap(load: float) -> float:
        return load * erlang_b(load, max(0.0, lines(load))) - mean

    rapp = mean * peakedness + 3 * peakedness * (peakedness - 1)
    low = (mean + 1) * (mean + peakedness - 1) / (mean + peakedness)  # no lines at all
    high = max(rapp, low * 1.01)
    while gap(high) > 0:
        high *= 1.5
    while gap(low) < 0 and low > mean:
        low = max(mean, low * 0.9)
    load = float(brentq(gap, low, high, rtol=1e-13)) if gap(low) * gap(high) < 0 else rapp
    return Overflow(load, max(0.0, lines(load)))


def wilkinson(mean: float, servers: float, peakedness: float) -> float:
    """Loss of rough traffic of this mean (erlang) on `servers` lines by the equivalent random method."""
    same = equivalent(mean, peakedness)
    return min(1.0, overflow_moments(same.load, same.servers + servers)[0] / mean)


def rough_loss(load: float, servers: float, peakedness: float) -> float:
    """Loss by the method that fits: Erlang at 1, Wilkinson above it, Fredericks-Hayward below."""
    if abs(peakedness - 1) < 1e-3:
        return erlang_b(load, servers)
    return wilkinson(load, servers, peakedness) if peakedness > 1 else hayward(load, servers, peakedness)


def erlang_held(load: float, servers: float, hold: timedelta, held: timedelta) -> Patience:
    """M/M/n whose callers all wait `held` at most and are then turned away: what the decision module does.

    `gives_up` is the share turned away; a `held` of 0 is Erlang B. From the density of the wait that a call
    would have, load (p of n-1 busy) exp(-(n-load) t) up to `held` (B. Gnedenko, I. Kovalenko 1968).
    """
    _positive("load", load)
    _positive("servers", servers)
    if held < timedelta(0):
        raise Unanswerable("held must be 0 or more")
    most = held.total_seconds() / _positive("hold", hold.total_seconds())  # in holding times
    loss = erlang_b(load, servers)
    # All relative to the chance that all n lines are busy without a limit on the wait: with p(n) = load/n
    # p(n-1), the states below n weigh (1 - loss)/loss of it.
    drift = servers - load
    fall = exp(-max(-700.0, min(700.0, drift * most)))
    waiting = servers * (most if abs(drift * most) < 1e-9 else (1 - fall) / drift)  # wait between 0 and held
    beyond = fall  # wait of more than held: turned away
    total = (1 - loss) / loss + waiting + beyond if loss > 0 else inf
    if total == inf:
        return Patience(0.0, 0.0, timedelta(0))
    if abs(drift * most) < 1e-9:
        area = servers * most * most / 2
    else:
        area = servers * (1 - fall * (1 + drift * most)) / drift**2
    mean = (area + beyond * most) / total
    return Patience((waiting + beyond) / total, beyond / total, mean * hold)
