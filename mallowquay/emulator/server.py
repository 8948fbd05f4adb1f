"""A log server: lines, and a processor with one line of work for set-up, answer and release."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..core.model import Ending, Load
from .draws import Draws
from .scenario import Refusal, Servers, Spread
from .timeline import SECOND, Timeline

if TYPE_CHECKING:
    from .gatekeeper import Leg

MILLISECOND = SECOND // 1000
# The share that all senders are asked to hold back moves by this part of the gap, towards what keeps the
# processor this busy.
EPS_STEP, BUSY_AIM = 0.3, 0.9


class LogServer:
    """Work is microseconds. A set-up that is taken holds a line until its call is released or given up."""

    def __init__(
        self, number: int, shape: Servers, timeline: Timeline, draws: Draws, measured_from: int
    ) -> None:
        self.id, self.number, self.shape = f"log-{number}", number, shape
        self._time, self._draws, self._from = timeline, draws, measured_from
        self._busy_until = 0
        self.legs: set[Leg] = set()  # set-ups taken and calls that stand: each holds a line
        self.alive, self.silent, self.slow = True, False, 1.0
        self._cold_since: int | None = None
        self.eps = 0.0
        self._worked = 0.0  # since eps was refreshed
        # Of set-ups that came after the warm-up: how many, what they met, and the wait that they found.
        self.setups = self.refused_lines = self.refused_work = 0
        self.waited = 0.0
        self.work_done = 0.0
        self.work_off = 0.0  # what the work drawn so far is above its mean

    def _pace(self) -> float:
        """How long work takes, against a warm and healthy processor."""
        if self._cold_since is None:
            return self.slow
        part = (self._time.now - self._cold_since) / (self.shape.cold_s * SECOND)
        if part >= 1:
            self._cold_since = None
            return self.slow
        return self.slow / (self.shape.cold_from + (1 - self.shape.cold_from) * part)

    def _work(self, milliseconds: float) -> int:
        """Put work into line; when it is done."""
        if milliseconds <= 0:
            return max(self._busy_until, self._time.now)
        drawn = self._draws.exponential() if self.shape.work is Spread.EXPONENTIAL else 1.0
        mean = milliseconds * MILLISECOND * self._pace()
        work = round(mean * drawn)
        self._worked += work
        self.work_off += work - mean
        if self._time.now >= self._from:
            self.work_done += work
        self._busy_until = max(self._busy_until, self._time.now) + work
        return self._busy_until

    def wait(self) -> int:
        """How long the line is, in microseconds of work."""
        return max(0, self._busy_until - self._time.now)

    def load(self) -> Load:
        """What an answer tells."""
        told: Load = {"hold_back": self.eps} if self.shape.tells_eps else {}
        if self.shape.tells_lines:
            told |= {"free": float(self.shape.lines - len(self.legs)), "size": float(self.shape.lines)}
        return told

    def refresh(self) -> None:
        """Set anew what senders are asked to hold back, by the work of the time since."""
        busy = self._worked / (self.shape.told_ms * MILLISECOND)
        passed = (1 - self.eps) or 1e-3
        wanted = 1 - min(1.0, passed * BUSY_AIM / busy) if busy > 0 else 0.0
        self.eps += EPS_STEP * (max(0.0, wanted) - self.eps)
        self._worked = 0.0

    def arrives(self, leg: Leg) -> None:
        """A set-up comes in."""
        if self.silent:
            return
        if not self.alive:
            leg.back(lambda: leg.fails(Ending.CONNECTION_REFUSED))
            return
        counted, wait = self._time.now >= self._from, self.wait()
        if counted:
            self.setups += 1
            self.waited += wait
        if len(self.legs) >= self.shape.lines:
            self.refused_lines += counted
            self._turn_away(leg, Ending.LINES_FULL)
        elif wait > self.shape.wait_limit_ms * MILLISECOND:
            self.refused_work += counted
            self._turn_away(leg, Ending.PROCESSOR_FULL)
        else:
            self.legs.add(leg)
            self._time.at(self._work(self.shape.setup_ms), lambda: self._answers(leg))

    def _turn_away(self, leg: Leg, ending: Ending) -> None:
        if self.shape.refuses is Refusal.BUSY:
            ending = Ending.NUMBER_BUSY
        load = self.load()
        self._time.at(self._work(self.shape.refusal_ms), lambda: leg.back(lambda: leg.fails(ending, load)))

    def _answers(self, leg: Leg) -> None:
        """The set-up has been worked on: its answer goes into the same line."""
        if leg in self.legs:
            self._time.at(self._work(self.shape.answer_ms), lambda: self._answered(leg))

    def _answered(self, leg: Leg) -> None:
        if leg in self.legs:
            load = self.load()
            leg.back(lambda: leg.answers(load))

    def stands(self, leg: Leg, hold: int) -> None:
        """The call stands from now on, for so long."""
        self._time.after(hold, lambda: self._over(leg))

    def _over(self, leg: Leg) -> None:
        if leg in self.legs:
            self.legs.discard(leg)
            load = self.load()
            self._time.at(self._work(self.shape.release_ms), lambda: leg.back(lambda: leg.ends(load)))

    def given_up(self, leg: Leg) -> None:
        """The sender gives a set-up up, or releases a call."""
        if leg in self.legs:
            self.legs.discard(leg)
            self._work(self.shape.release_ms)

    def dies(self) -> None:
        """The processor dies: what is open breaks, and what stands is cut."""
        self.alive, self._busy_until = False, self._time.now
        broken, self.legs = self.legs, set()
        for leg in sorted(broken, key=lambda leg: leg.order):
            leg.back(leg.breaks)

    def starts(self) -> None:
        """A new processor, cold."""
        self.alive, self._cold_since, self._busy_until = True, self._time.now, self._time.now
