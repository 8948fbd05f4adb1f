"""How a lost site comes back: held down while it flaps, then opened in steps that are earned. No I/O.

The leader of the view decides, and all go by the agreed entry, so the bound on the whole is a bound on the
sum. Flaps are held down as RFC 2439 holds routes down: each loss adds to a figure that halves with time, and
the wait doubles with it. The steps stay below what a cold log server can do and below the budget beyond which
it falls over, both of all gatekeepers together; the module keeps its own budget besides.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from math import exp, log

from .model import ColdTerms, SiteState, SitesTerms, StateBody

COLD_SAFETY = 0.9  # of what a cold log server can do
FIRST = 0.5  # of that at the first step
GROWTH = 1.6  # from step to step
EARNED = 3  # answers that a step must have brought
CLEAN = 0.8  # of what was sent in it
HALVES_IN = 12  # times `hold_down`: the figure of losses halves
HOLD_MOST = 32  # times `hold_down`
STEP_BACK_STAY = 2  # times `step`: after a step back


def cold_part(cold: ColdTerms, age: timedelta | None) -> float:
    """The part of its capacity that a site started so long ago may be loaded to; None = long ago."""
    if age is None or age >= cold.warm_after:
        return 1.0
    able = cold.cold_from + (1.0 - cold.cold_from) * max(age / cold.warm_after, 0.0)
    return able * COLD_SAFETY * min(1.0, cold.fall_multiple)


def cold_open(cold: ColdTerms, started: Iterable[timedelta | None], now: timedelta) -> float:
    """The same for a site with log servers of these starts: each is an equal part of it."""
    parts = [cold_part(cold, None if at is None else now - at) for at in started]
    return sum(parts) / len(parts) if parts else 1.0


@dataclass(slots=True)
class Flaps:
    """RFC 2439, 4.2: a figure of merit that each loss raises by one and that halves with time."""

    half: timedelta
    figure: float = 0.0
    at: timedelta | None = None

    def value(self, now: timedelta) -> float:
        """The figure now."""
        if self.at is None:
            return 0.0
        return self.figure * exp(-log(2.0) * ((now - self.at) / self.half))

    def lost(self, now: timedelta) -> None:
        """Another loss."""
        self.figure, self.at = self.value(now) + 1.0, now

    def hold(self, base: timedelta, now: timedelta) -> timedelta:
        """For how long a return waits after the last loss."""
        return base * min(2.0 ** max(self.value(now) - 1.0, 0.0), HOLD_MOST)


@dataclass(frozen=True, slots=True)
class Shown:
    """What the leader knows of a site as it looks."""

    state: SiteState  # in its own opinion
    why: str
    alive: bool  # somebody has answers of it
    warm: bool  # it never stopped for its own district: it was only cut off
    sent: int  # by all that are heard, since their starts
    answers: int
    pressed: bool  # doubted by somebody, or slow
    cold: float  # `cold_open` of its log servers


@dataclass(slots=True)
class Return:
    """One site's way, as the leader of the view takes it on from the agreed entry."""

    terms: SitesTerms
    flaps: Flaps = field(init=False)
    agreed: StateBody = StateBody(SiteState.WHOLE.value, 1.0)
    since: timedelta | None = None  # when this member saw the agreed entry become what it is
    sent: int = 0  # at the step's beginning
    answers: int = 0
    stay: timedelta = timedelta(0)
    began: timedelta | None = None  # of the return, for one whose log servers' starts are not told

    def __post_init__(self) -> None:
        self.flaps = Flaps(self.terms.hold_down * HALVES_IN)

    def told(self, body: StateBody, now: timedelta) -> None:
        """The agreed entry; whoever leads goes on from it, and one that begins to lead waits a whole step."""
        if body == self.agreed and self.since is not None:
            return
        if body.state == SiteState.LOST.value and self.agreed.state != body.state:
            self.flaps.lost(now)
            self.flaps.figure = max(self.flaps.figure, float(min(body.flaps, 16)))
        if body.state == SiteState.RETURNING.value and self.agreed.state != body.state:
            self.began = now
        if body.state == SiteState.WHOLE.value:
            self.began = None
        self.agreed, self.since = body, now
        self.sent = self.answers = -1  # counted from the next look on

    def cold(self, listed: float, now: timedelta) -> float:
        """What its log servers may be loaded to; taken as started when its return began if no list tells."""
        if self.began is None or listed < 1.0:
            return listed
        return min(listed, cold_part(self.terms.cold, now - self.began))

    def look(self, shown: Shown, now: timedelta) -> StateBody | None:
        """The entry that is to be agreed next, if any."""
        agreed = self.agreed
        if self.since is None:
            self.since = now
        if self.sent < 0 or shown.sent < self.sent or shown.answers < self.answers:
            self.sent, self.answers = shown.sent, shown.answers  # a new step, or a gatekeeper less is heard
        flaps = round(self.flaps.value(now))
        if agreed.state != SiteState.LOST.value and shown.state is SiteState.LOST:
            return StateBody(SiteState.LOST.value, 0.0, shown.why, 0, flaps + 1)
        if agreed.state == SiteState.LOST.value:
            if shown.state in (SiteState.LOST, SiteState.DOUBTED):
                return None
            if now - self.since < self.flaps.hold(self.terms.hold_down, now):
                return None
            if shown.warm:
                why = "it was cut off and served its own"
                return StateBody(SiteState.RETURNING.value, 1.0, why, 0, flaps)
            first = FIRST * self.terms.cold.cold_from * COLD_SAFETY * min(1.0, self.terms.cold.fall_multiple)
            first = int(min(first, shown.cold) * 1000) / 1000
            return StateBody(SiteState.RETURNING.value, first, shown.why, 1, flaps)
        if agreed.state == SiteState.RETURNING.value:
            return self._step(shown, now, flaps)
        return None

    def _step(self, shown: Shown, now: timedelta, flaps: int) -> StateBody | None:
        agreed = self.agreed
        assert self.since is not None
        stayed = now - self.since
        sent, answers = shown.sent - self.sent, shown.answers - self.answers
        if shown.pressed and stayed >= self.terms.doubt:
            if agreed.step > 1:
                self.stay = self.terms.step * STEP_BACK_STAY
                back = max(agreed.open / GROWTH**2, 0.02)
                return StateBody(agreed.state, round(back, 3), "worse at this step", agreed.step - 1, flaps)
            return None
        if stayed < max(self.terms.step, self.stay):
            return None
        if agreed.open >= 1.0:
            return StateBody(SiteState.WHOLE.value, 1.0, "", 0, flaps)
        if answers < EARNED or answers < CLEAN * sent:
            if sent > 4 * EARNED and answers < CLEAN * sent:
                self.sent, self.answers = shown.sent, shown.answers  # judge the next ones anew
            return None
        self.stay = timedelta(0)
        further = min(agreed.open * GROWTH, self.cold(shown.cold, now))
        if further - agreed.open < 0.001:
            return None
        further = 1.0 if further > 0.97 else int(further * 1000) / 1000
        return StateBody(agreed.state, further, f"{answers} answers of {sent}", agreed.step + 1, flaps)
