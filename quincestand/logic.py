"""Every decision of quincestand. Types, events and actions stand in interface.py.

A call is offered; it goes to the core server it names, or, when that one is pressed, to another open one;
it is refused only when none is open. Whether a server is pressed is judged once a cycle from what this
gateway alone saw of it. Times are microseconds.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace
from functools import partial
from math import exp, inf, sqrt
from typing import Any

from .interface import (
    Action, AttemptEnded, CallClass, CallerGone, CallId, CallOffered, CallStands, CancelAttempt, Event, Fail,
    ListKind, Log, NewSettings, Outcome, Probe, Refuse, Send, ServerEntry, ServerId, ServerList, ServerReport,
    ServerState, SetTimer, Settings, TimerDue, WatchList,
)  # fmt: skip

# --- constants --------------------------------------------------------------------------------------

MS, SECOND = 1_000, 1_000_000
# The spans that `Pace` names suit aims from here on. Where callers want more haste all else is quicker too: a
# server passed over for longer than a caller waits is lost to it, and fewer are left for the others.
AIM_SUITED = 1500 * MS
CYCLE = 2 * SECOND  # least measuring span: long enough for a handful of set-ups, short against a trouble
PART_LEAST = 0.2  # of an even part: a gateway with no call for seconds may still send its next one
CYCLE_MOST = 8 * SECOND  # a thin cycle stays open for more answers up to this: about one call's length,
# and to four times that under a cap, or hundreds would let go at once
L1_OF_AIM, L2_OF_AIM, LR_OF_AIM = 0.35, 0.7, 0.25  # delay thresholds, as parts of the tightest aim
L1_LOSS, L2_LOSS, LR_LOSS = 0.1, 0.3, 0.05  # share ended full or timed out
CRITICAL_LOSS = 0.5  # a cycle lost beyond this is Critical at once
K_CROSSINGS = 2  # cycles in a row past L2: one alone may be a short pause
MIN_JUDGED = 2  # ended set-ups a cycle must hold to be judged
GROWTH = 1.1  # target over last cycle's clean answers: room to find the server recovered
M_RETURNS = 2  # returns to Normal after which the control is held
BUCKET_SPAN = 1500 * MS  # depth of the leaky bucket: as many set-ups as leak in this time
SPARE_GROWTH = 1.5  # overflow to a server of unknown room may let its flow grow so within FLOW_MEMORY
SPARE_DRAWN = 20.0  # not every gateway has overflow for it, and what came is soon seen in its flow
FLOOR_PART = 0.05  # part of a server's usual work that capped gateways may always send it together
REVIEW_EVERY = 250 * MS  # caps and this gateway's part are set anew this often
STANDING_MEMORY = 60 * SECOND  # the most calls that stood are forgotten slowly, as an outage lasts
CLEAN_MEMORY = 0.2  # weight of one answer in the share answered cleanly: one alone says little
REPORT_LIFE = 4 * SECOND  # a reported capacity is trusted less and less, and no more after this
REPORT_LATE = 6 * SECOND  # a report sooner after a start may be from before it
FLOW_SPAN = 500 * MS  # counts of lines in use closer than this say nothing of the flow
SHORT_SPAN = 0.2  # part of a call's length in which hardly a call begins and ends
HOLD_MEMORY = 0.02  # weight of one call's class in the mean length
FLOW_MEMORY = 2 * SECOND  # memory of a server's flow
VANISHED_PART = 0.1  # more calls gone at once than ends and chance explain: the server restarted
PASS_OVER = 500 * MS  # a server answering full or slowly is passed over for this
FULL_LEAST = 200 * MS  # but never shorter than this for one that says that it is full
PASS_OVER_MOST = 4 * SECOND  # or for the usual time between two set-ups to it, at most this
SILENT_TIMEOUTS = 2  # lost attempts in a row, without any answer, that make a server silent
ERRORS_MOST = 2  # a call answered so often with an error is one that no server can use
FAULTS_IN_ROW = 3  # faults in a row after which a server is passed over: one alone is chance
NUMBER_GAP = 2 * SECOND  # a number with all lines busy is left alone for this
SILENT_AFTER = 4 * SECOND  # no answer for longer than any queue lasts: silent rather than slow
PROBE_EVERY = 1 * SECOND  # a silent server is probed this often in place of calls
PROBES_APART = 20 * MS  # or by all gateways together this often
TICK = 50 * MS  # held calls are looked at again this often; calls cut by one cause end within this
END_MARGIN = 30 * MS  # final answers come this long before the caller gives up
COLD_SAFETY = 0.9  # part of the cold budget used: capacities are estimates
COLD_SPREAD = 4 * SECOND  # gateways take a server as cold longer by up to this
COLD_TURN = 500 * MS  # a gateway's turn lapses, no sooner, or those idle till now would all send at once
COLD_DEVIATIONS = 3.5  # the sum of gateways that know nothing of each other scatters; so many are kept free
COLD_OPEN_DEVIATIONS = 2.0  # and so many by turns that stay open longer: seldom are all of them unused
CAPACITY_UP, CAPACITY_DOWN = 0.3, 0.03  # weight of a new figure: an idle moment says little of what it can
OVER_SHARE = 1.1  # a caller group is over its usual share past this multiple: counts are thin
SHARE_SPAN = 5 * SECOND  # memory of a caller group's rate
WINDOW_LOSSY = 2  # unanswered set-ups a quick server may have while answers are lost, or an unknown one
LOSSY_MEMORY = 15 * SECOND  # answers are thought to be lost for so long after one was
HOLD_OF_AIM = 0.6  # a call finds none open: held to this part of its aim, then refused in time to matter
STALL = 200 * MS  # a tick this late: the gateway itself stood still, not the servers
OVER_SHARE_RESERVE = 0.5  # part of the bucket kept from calls that are cut first
LOG_EVERY = 5 * SECOND  # a log line about one server at most this often

# What a successor goes on from: of the controller, and of its view of each server.
KEPT_OWN = "last_clean part demand demand_at demand_seen standing hold lines_cut_at lossy_until".split()
KEPT_OF_VIEW = (
    "state returns capped cut clean_share offered_rate clean_rate pass_until full_until cold_since "
    "cold_until cold_next cold_gap cold_turn reset_at last_delay answered_at lost_in_row faults_in_row free "
    "lines in_use lines_at hold told_at told_gap flow turnover can_take can_take_at capacity bucket.rate "
    "bucket.level bucket.at spare.rate spare.level spare.at delay_state.state delay_state.crossings "
    "loss_state.state loss_state.crossings "
).split()


class Pace:
    """The spans that are shorter where the tightest aim is."""

    def __init__(self, aim: int = AIM_SUITED) -> None:
        part = min(1.0, aim / AIM_SUITED)
        self.cycle, self.cycle_most = int(CYCLE * part), int(CYCLE_MOST * part)
        self.bucket, self.review = int(BUCKET_SPAN * part), int(REVIEW_EVERY * part)
        self.tick = int(TICK * part)
        self.pass_over, self.pass_over_most = int(PASS_OVER * part), int(PASS_OVER_MOST * part)
        self.full = max(self.pass_over, FULL_LEAST)


class Indicator:
    """A figure of one server with hysteresis: Warning past L1, Critical past L2, Normal below LR."""

    def __init__(self, l1: float, l2: float, lr: float) -> None:
        self.l1, self.l2, self.lr = l1, l2, lr
        self.state, self.crossings = 0, 0

    def update(self, value: float) -> int:
        """Take one cycle's value; 0 Normal, 1 Warning, 2 Critical."""
        self.crossings = self.crossings + 1 if value > self.l2 else 0
        if self.crossings >= K_CROSSINGS:
            self.state = 2
        elif value > self.l1:
            self.state = max(self.state, 1)
        elif value < self.lr:
            self.state = 0
        return self.state


class LeakyBucket:
    """Lets through `rate` set-ups a second, all while that is None; calls never cut may overdraw it.

    Below a whole set-up chance decides: hundreds of thin full ones would let go seconds of work at once."""

    def __init__(self, chance: random.Random, span: int = BUCKET_SPAN) -> None:
        self.at, self.level, self.chance, self.span = 0, 0.0, chance, span
        self.rate: float | None = None

    def take(self, now: int, reserve: float, forced: bool) -> bool:
        """Whether a set-up may go; `reserve` must stay behind."""
        if self.rate is None:
            return True
        depth = self.rate * self.span / SECOND
        self.level = min(depth, self.level + self.rate * (now - self.at) / SECOND)
        self.at = now
        free = self.level - reserve * depth
        if not forced and (free <= 0.0 or self.chance.random() >= free):
            self.level = min(self.level, reserve * depth)
            return False
        self.level = max(self.level - 1.0, -depth) if forced or free >= 1.0 else reserve * depth
        return True


class ServerView:
    """What this gateway knows of one core server. Rates are set-ups a second."""

    def __init__(self, entry: ServerEntry, now: int, limits: tuple[int, ...], chance: random.Random,
                 pace: Pace = Pace()) -> None:  # fmt: skip
        self.entry = entry
        self.delay_state, self.loss_state = Indicator(*limits), Indicator(L1_LOSS, L2_LOSS, LR_LOSS)
        self.state = self.returns = 0
        self.capped = False  # by its state; `bucket` also guards the last free lines
        self.bucket, self.spare = LeakyBucket(chance), LeakyBucket(chance)  # for all set-ups; for overflow
        self.tune(limits, pace)
        self.cut = 0.0  # X%: part of the offered set-ups above the target
        self.clean_share = 1.0  # of the set-ups that stood
        self.offered_rate = self.clean_rate = 0.0  # first set-ups and clean answers here, last cycle
        self.out: dict[CallId, int] = {}  # attempts without an answer, oldest first
        self.standing: set[CallId] = set()  # this gateway's calls that stand there
        self.pass_until = 0  # passed over by ordinary calls: it answered slowly or full
        self.full_until = 0  # passed over by all calls: it answered full or not at all
        self.cold_since = self.cold_until = self.cold_next = 0  # next: when this or the next turn begins
        self.cold_turn, self.cold_gap = COLD_TURN, 2**62  # of a turn, and to the next: set by a review
        self.cut_at = 0  # a standing call was cut; 0 = judged, or none
        self.reset_at = -TICK
        self.last_delay = self.answered_at = self.lost_in_row = self.faults_in_row = 0
        self.silent = False
        self.free: float | None = None
        self.lines, self.in_use, self.lines_at, self.hold = 0.0, 0.0, 0, 0.0
        self.told_at, self.told_gap = 0, SECOND  # word of free lines, unasked: when last, and how long apart
        self.flow = 0.0  # set-ups that stood lately, of all gateways; 0 = unknown
        self.turnover = 0.0  # calls that end, so lines that come free
        self.can_take, self.can_take_at = -1.0, 0  # as reported, of all gateways; -1 = never
        self.capacity = 0.0  # what it is thought to take from all gateways while warm
        self.logged_at = -LOG_EVERY
        self.new_cycle(now)

    def tune(self, limits: tuple[int, ...], pace: Pace) -> None:
        """Take thresholds and spans."""
        self.l1, self.clean_limit, _ = limits
        self.delay_state.l1, self.delay_state.l2, self.delay_state.lr = limits
        self.pace, self.bucket.span, self.spare.span = pace, pace.bucket, pace.bucket

    def memory(self) -> dict[str, Any]:
        """All but the calls there."""
        return {path: getattr(*self._place(path)) for path in KEPT_OF_VIEW}

    def remember(self, memory: dict[str, Any]) -> None:
        """As the process before saw it, which may be of an older version."""
        for path in KEPT_OF_VIEW:
            setattr(*self._place(path), memory.get(path, getattr(*self._place(path))))

    def _place(self, path: str) -> tuple[Any, str]:
        part, _, name = path.rpartition(".")
        return (getattr(self, part) if part else self), name

    def new_cycle(self, now: int) -> None:
        """Forget the counts of the last cycle."""
        self.cycle_at, self.offered, self.clean, self.lost = now, 0, 0, 0
        self.delays: list[int] = []

    def usable(self) -> bool:
        """Whether the list allows new set-ups."""
        return self.entry.state is ServerState.READY

    def cold_room(self, now: int) -> bool:
        """Whether it is warm, or this gateway's turn: one is open in which none has gone yet."""
        past = now - self.cold_next
        return now >= self.cold_until or past >= 0 and past % self.cold_gap < self.cold_turn

    def lapse(self, since: int) -> None:
        """Turns at it that began before `since` are over, used or not."""
        self.cold_next = max(self.cold_next, since + (self.cold_next - since) % self.cold_gap)

    def full_up(self, part: float, least: int) -> bool:
        """Whether this gateway's part of what it takes within L1 is unanswered (Little's law)."""
        window = round(GROWTH * part * self.capacity * self.l1 / SECOND)
        return len(self.out) >= max(least if self.capacity else WINDOW_LOSSY, window)

    def note_lines(self, now: int, free: float, lines: float, hold: float) -> bool:
        """Take word of free lines, so of what all gateways set up; True if calls vanished as in a restart."""
        span, before, vanished = now - self.lines_at, self.in_use, False
        if span >= FLOW_SPAN:
            if before > 0 and lines == self.lines and hold:
                part = 1.0 - exp(-span / hold)  # of the calls there that end meanwhile
                ends = before * part
                stood = lines - free - before + ends
                vanished = stood < -VANISHED_PART * before - 3.0 * sqrt(ends)
                # Of those set up meanwhile, part have ended too: beyond a short span that counts.
                counted = span if span < SHORT_SPAN * hold else hold * part
                rate = max(0.0, stood) * SECOND / counted
                self.flow += (rate - self.flow) * (span / (span + FLOW_MEMORY) if self.flow else 1.0)
            self.in_use, self.lines_at = lines - free, now
            self.turnover, self.hold = self.in_use * SECOND / hold if hold else 0.0, hold
        self.free, self.lines = free, lines
        return vanished

    def takes(self, now: int) -> float:
        """What it can take from all gateways now: as it says, else as its lines show; 0 = unknown."""
        if self.can_take < 0:
            return GROWTH * self.flow * self.clean_share
        # An old report gives way to what its lines show: a jammed server must not be thought well by time.
        shown = min(self.capacity, GROWTH * self.flow + FLOOR_PART * self.capacity)
        age = min(1.0, (now - self.can_take_at) / REPORT_LIFE)
        return self.can_take + (shown - self.can_take) * age

    def judge(self, now: int) -> None:
        """Close a cycle that holds enough or lasted long enough: indicators, node rule, whether to cap."""
        real = len(self.out) > 1 or self.last_delay > self.l1  # else a lone answer may be lost
        ages = [age for sent in self.out.values() if (age := now - sent) > self.l1 and real]
        ended = len(self.delays) + len(ages) + self.lost
        span = now - self.cycle_at
        most = self.pace.cycle_most * (1 + 3 * self.capped)
        if span < self.pace.cycle or (ended < MIN_JUDGED and span < most):
            return
        delays = sorted(self.delays + ages)
        loss = self.lost / ended if ended else 0.0
        self.offered_rate = self.offered * SECOND / span
        self.clean_rate = self.clean * SECOND / span
        self.new_cycle(now)
        if ended < MIN_JUDGED:  # too thin to judge: the control ends
            self.capped, self.state = False, 0
            return
        p95 = delays[min(len(delays) - 1, int(len(delays) * 0.95))] if delays else 0
        states = (self.delay_state.update(p95), self.loss_state.update(loss))
        self.state = 2 if loss > CRITICAL_LOSS else max(states)
        if self.state > 0:
            self.capped = self.offered_rate > 0
        elif self.capped:
            self.returns = self.returns + 1 if self.cut > 0 else 0
            self.capped = self.returns >= M_RETURNS

    def shape(self, now: int, part: float) -> None:
        """Set the cap anew: X% = (actual - target) / actual, as a leaky bucket of what is left."""
        rate = None
        if self.capped:
            target = part * self.takes(now) if self.can_take >= 0 or self.flow else GROWTH * self.clean_rate
            target = max(target, part * FLOOR_PART * self.capacity or SECOND / self.pace.cycle)
            self.cut = (self.offered_rate - target) / self.offered_rate if self.offered_rate else 0.0
            rate = target if self.cut <= 0 else self.offered_rate * (1.0 - self.cut)
        free = self.free or 0.0
        # Else all gateways would meet at the last free lines by the next word, or within a call's length.
        until_told = min(self.told_gap, self.hold or SECOND) / SECOND
        if self.lines > 0 and free < self.turnover * until_told:
            rate = min(inf if rate is None else rate, part * (self.turnover + free / until_told))
        self.bucket.rate = rate
        most = self.takes(now)
        if self.can_take < 0 and self.state == 0 and self.last_delay <= self.l1:
            most = max(self.capacity, SPARE_GROWTH * self.flow)  # unknown: it may grow until delays tell
        # Overflow of all gateways together must fit into what it can take beyond what stands there now.
        spare = max(FLOOR_PART * self.capacity, SPARE_DRAWN * (most - self.flow))
        self.spare.rate = part * spare if self.flow else None


class Call:
    """A call this gateway owes an answer."""

    def __init__(self, event: CallOffered, kind: CallClass, most: int, now: int, first: int, urgent: bool,
                 cut_first: bool) -> None:  # fmt: skip
        self.event, self.kind, self.most = event, kind, most  # at most so many attempts
        self.offered_at, self.rank = first, (cut_first, not urgent, first)  # rank: the worthiest first
        self.gives_up = now + event.budget - END_MARGIN
        self.hold_until = min(self.gives_up, now + int((first + kind.aim - now) * HOLD_OF_AIM))
        self.attempts = self.errors = 0
        self.server: ServerId | None = None  # where its attempt is out
        self.ready_at = now  # not sent before: the release wait
        self.tried: list[ServerId] = []
        self.may_have_run = self.counted = False
        self.urgent, self.cut_first = urgent, cut_first


class Controller:
    """Decides for one gateway. Same settings, seed and events give the same actions."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = random.Random(seed)
        self.servers: dict[ServerId, ServerView] = {}
        self.calls, self.held = dict[CallId, Call](), dict[CallId, Call]()
        self.last_clean: ServerId | None = None
        self.review_at = self.token = self.demand_at = 0
        self.timers: dict[int, tuple[Callable[[int, Any], None], CallId | ServerId]] = {}
        self.actions: list[Action] = []
        self._retuned(0, NewSettings(settings))
        # Mean length of the calls offered; at first the longest, so that servers are not thought too able.
        self.hold = float(max(kind.mean_hold for kind in settings.classes))
        self.part = 1.0 / settings.group_size  # this gateway's part of all calls
        self.demand = self.standing = 0.0  # calls a second offered here, without redials; calls of all
        self.demand_seen = 0.0  # part of SHARE_SPAN that demand has been counted for
        self.handlers: dict[type, Any] = {
            ServerList: self._server_list, ServerReport: self._report, CallOffered: self._offered,
            CallStands: self._stands, AttemptEnded: self._ended, CallerGone: self._gone, TimerDue: self._due,
            NewSettings: self._retuned,
        }  # fmt: skip
        self.started = self.ceded = False  # ceded: turns at cold servers are the successor's
        # Numbers whose callers may dial again, with their first try; with no line free, until when so.
        self.missed, self.busy = dict[int, int](), dict[int, int]()
        self.tick_at: int | None = None  # when the next tick is due
        # When lines were lost; how long this gateway stood still, and until when.
        self.lines_cut_at, self.stall, self.stall_end, self.lossy_until = -FLOW_MEMORY, 0, -1, 0

    def handle(self, now: int, event: Event) -> list[Action]:
        """Take one event at time `now`; the actions to carry out, in order."""
        self.actions = []
        if not self.started:
            self.started = True
            # Gateways that start together must not judge, cut and let go in step.
            self.review_at, self.demand_at = now + self.random.randrange(self.pace.review), now
            self.actions += [WatchList()] if self.settings.list_on_request else []
        if now != self.stall_end:
            self.stall = 0
            if self.tick_at is not None and now > self.tick_at + STALL:
                # This gateway stood still: all that came meanwhile comes at once, its delays too long.
                self.stall, self.stall_end = now - self.tick_at, now
                for view in self.servers.values():
                    view.in_use = 0.0  # the flow is measured from the next word on
        if now >= self.review_at:
            self._review(now)
        self.handlers[type(event)](now, event)
        return self.actions

    def _retuned(self, _: int, event: NewSettings) -> None:
        settings = self.settings = event.settings
        aim = min(kind.aim for kind in settings.classes)
        self.pace, limits = Pace(aim), tuple(int(aim * part) for part in (L1_OF_AIM, L2_OF_AIM, LR_OF_AIM))
        self.limits, (self.l1, self.l2, _) = limits, limits
        self.urgent_worth = 2 * min(kind.worth for kind in settings.classes)
        self.probe_gap = max(PROBE_EVERY, PROBES_APART * settings.group_size)
        self.group_rate, self.group_at = [0.0] * len(settings.groups), [0] * len(settings.groups)
        for view in self.servers.values():
            view.tune(limits, self.pace)

    def _review(self, now: int) -> None:
        """Set this gateway's part and the caps anew."""
        span = now - self.demand_at
        self.review_at, self.demand_at = now + self.pace.review, now
        self.demand, self.demand_seen = self.demand * max(0.0, 1.0 - span / SHARE_SPAN), 1.0
        standing = sum(view.in_use for view in self.servers.values())
        # Where servers fail, fewer calls stand though as many are offered: the most of late tells.
        self.standing = max(standing, self.standing * (1.0 - span / STANDING_MEMORY))
        if self.settings.own_number is None and self.standing > 0:
            # Calls standing are what all gateways had set up in one call's length (Little's law).
            part = self.demand / self.demand_seen * self.hold / SECOND / self.standing
            self.part = min(1.0, max(part, PART_LEAST / self.settings.group_size))
        cut = [view for view in self.servers.values() if view.cut_at and now - view.cut_at >= TICK]
        if any(view.standing for view in cut):  # part of the calls: lines were lost, no processor started
            self.lines_cut_at = now
        for view in cut:
            view.cut_at = 0
            if self.lines_cut_at != now:
                self._restarted(view, now)
        for view in self.servers.values():
            before = view.state
            view.judge(now)
            view.shape(now, self.part)
            if now < view.cold_until and (gap := self._cold_gap(view)) < view.cold_gap / 2:  # it takes more
                view.cold_gap, view.cold_next = gap, now + self.random.randrange(gap)
            if view.state > before:
                level = "warning" if view.state == 1 else "critical"
                self._log(view, now, f"pressed ({level}); {max(0.0, view.cut):.0%} of set-ups are cut")

    def ratings(self, now: int) -> list[tuple[ServerId, int, float]]:
        """Of each server on the list: 0 Normal, 1 Warning, 2 Critical, and how many set-ups a second."""
        rated = []
        for name, view in self.servers.items():
            if view.entry.state is not ServerState.GONE:
                takes = self.part * (view.takes(now) or view.capacity)
                most = takes if view.bucket.rate is None else min(view.bucket.rate, takes or inf)
                rated.append((name, 2 if self._shut(now, view) else view.state, most))
        return rated

    def avoided(self, now: int) -> int:
        """Of the servers on the list, how many get no call at all: full, silent, draining, cold for now."""
        listed = [view for view in self.servers.values() if view.entry.state is not ServerState.GONE]
        return sum(not view.usable() or self._shut(now, view) for view in listed)

    def memory(self) -> dict[str, Any]:
        """What a successor on the same clock is to know: ratings, caps, capacities, demand. Plain values."""
        servers = {server: view.memory() for server, view in self.servers.items()}
        return {"own": {name: getattr(self, name) for name in KEPT_OWN}, "servers": servers}

    def remember(self, now: int, memory: dict[str, Any]) -> None:
        """Go on from the memory of the process before, once the list has been told."""
        self.__dict__.update({name: memory["own"][name] for name in KEPT_OWN})
        self.review_at = now + self.random.randrange(self.pace.review)
        for view in self.servers.values():
            view.remember(memory["servers"].get(view.entry.server, {}))
            if view.entry.boot_time > view.cold_since:  # only the list told here has this start
                self._start_cold(view, now, view.entry.boot_time)
        self.cede_cold(now, False)

    def cede_cold(self, now: int, ceded: bool) -> None:
        """Both processes of an upgrade count as one: whether the successor has the turns at cold servers.

        Those open now, or soon, count as used: the other may have used them, or may until word is there."""
        self.ceded = ceded
        for view in self.servers.values():
            view.lapse(now + COLD_TURN)

    # --- server list and reports

    def _server_list(self, now: int, event: ServerList) -> None:
        if event.kind is ListKind.FAILED and self.settings.list_on_request:
            self._timer(SECOND, lambda *_: self.actions.append(WatchList()), 0)
        for entry in event.entries:
            if (view := self.servers.get(entry.server)) is None:
                view = ServerView(replace(entry, boot_time=0), now, self.limits, self.random, self.pace)
                self.servers[entry.server] = view
            before, view.entry = view.entry, entry
            if entry.boot_time != before.boot_time:  # taken as coldest for the whole allowed time
                self._start_cold(view, now, entry.boot_time)
        named = [entry.server for entry in event.entries]
        for server, view in list(self.servers.items()):
            if event.kind is ListKind.FULL and server not in named:
                view.entry = replace(view.entry, state=ServerState.GONE)
            if view.entry.state is ServerState.GONE:  # an id that is gone does not come back as it was:
                view.in_use = 0.0  # its lines are not in use, and its view goes with its last call
                if not view.out and not view.standing:
                    del self.servers[server]

    def _start_cold(self, view: ServerView, now: int, since: int) -> None:
        """Take it as coldest for the whole allowed time; gateways hear of it at once, so spread the first."""
        if now < since + self.settings.cold_time:
            if now >= view.cold_until:  # one that starts twice keeps its turns
                view.cold_gap = self._cold_gap(view)
                view.cold_next = now + self.random.randrange(view.cold_gap)
            until = since + self.settings.cold_time + self.random.randrange(COLD_SPREAD)
            view.cold_since, view.cold_until = since, max(view.cold_until, until)
            view.capped, view.silent, view.lost_in_row, view.flow = False, False, 0, 0.0
            view.standing.clear()

    def _restarted(self, view: ServerView, now: int) -> None:
        """Its calls were cut: its processor started anew, and the list will tell seconds late."""
        if view.usable() and now >= view.cold_since + self.settings.fall_time:
            self._start_cold(view, now, now)
            self._log(view, now, "cut its calls; taken as restarted")

    def _report(self, now: int, event: ServerReport) -> None:
        if (view := self.servers.get(event.server)) is not None:
            self._read(now, view, event.report)
            if not event.asked:
                view.told_gap = min(SECOND, max(TICK, now - view.told_at)) if view.told_at else SECOND
                view.told_at = now
            if event.asked and event.ok:
                self._heard(view, now)

    def _read(self, now: int, view: ServerView, report: tuple[float, ...]) -> None:
        """Use each figure that is there; a negative or not-a-number one is none."""
        figures = {name: x for name, x in zip(self.settings.report_fields, report) if 0 <= x < inf}
        if (free := figures.get("free")) is not None and (lines := figures.get("size")) is not None:
            vanished = view.note_lines(now, free, lines, self.hold)
            if vanished and not view.standing and now - self.lines_cut_at > FLOW_MEMORY:
                self._restarted(view, now)
        # Lines in use over the usual length of a call: what it takes from all gateways together.
        taken = max(view.turnover, figures.get("can_take", 0.0))
        if "can_take" in figures:
            view.can_take, view.can_take_at = figures["can_take"], now
        if now >= view.cold_until and view.usable() and taken > 0:
            memory = CAPACITY_UP if taken > view.capacity else CAPACITY_DOWN
            view.capacity += (taken - view.capacity) * memory if view.capacity else taken
        wait = figures.get("delay_ms", 0.0) * MS
        wait = figures["queue"] / view.capacity * SECOND if "queue" in figures and view.capacity else wait
        if wait > self.l1:
            view.last_delay = int(wait)
            self._pass_over(view, now)
        if "queue" in figures or "delay_ms" in figures:
            view.delays.append(int(wait))

    def _pass_over(self, view: ServerView, now: int) -> None:
        """Leave out the next set-up at least; a thin gateway would not notice a shorter time."""
        usual = self.part * view.capacity
        gap = min(SECOND / usual, self.pace.pass_over_most) * (0.5 + self.random.random()) if usual else 0.0
        view.pass_until = max(view.pass_until, now + max(self.pace.pass_over, int(gap)))

    def _heard(self, view: ServerView, now: int) -> None:
        if view.silent:  # it may have come back cold; the list will tell late
            self._start_cold(view, now, now)
            self._log(view, now, "answers again; taken as cold")
        view.answered_at, view.lost_in_row = now, 0

    # --- measuring

    def _lost(self, view: ServerView, now: int, waited: int, down: bool) -> None:
        """A set-up ended without any answer; one that had little time says little of the server."""
        if not down and waited < self.l2:
            view.delays += [waited] if waited > self.l1 else []
            return
        view.lost_in_row += 1
        if not down and view.lost_in_row == 1 and view.last_delay <= self.l1:
            self.lossy_until = now + LOSSY_MEMORY  # it was quick: an answer was lost, if the next one comes
            return
        view.lost += 1
        view.clean_share *= 1.0 - CLEAN_MEMORY
        view.last_delay = max(view.last_delay, waited)
        self._pass_over(view, now)
        view.full_until = now + self.pace.pass_over
        quiet = view.lost_in_row >= SILENT_TIMEOUTS and now - view.answered_at >= SILENT_AFTER  # not slow
        if (down or quiet) and not view.silent and self.settings.may_probe:
            view.silent = True
            self._log(view, now, "is silent; probed in place of calls")
            self._timer(self.random.randrange(self.probe_gap), self._probe_silent, view.entry.server)

    def _probe_silent(self, now: int, server: ServerId) -> None:
        view = self.servers.get(server)
        if view is not None and view.silent and view.usable():
            self.actions.append(Probe(server))
            self._timer(self.probe_gap, self._probe_silent, server)

    def _over_share(self, now: int, group: int) -> bool:
        """Count a call of a caller group; whether the group is past this gateway's part of its quota."""
        if not 0 <= group < len(self.group_rate):
            return False
        kept = max(0.0, 1.0 - (now - self.group_at[group]) / SHARE_SPAN)
        self.group_at[group], rate = now, self.group_rate[group] * kept + SECOND / SHARE_SPAN
        self.group_rate[group] = rate
        usual = self.settings.groups[group]
        # A gateway may carry more than its part of all calls: then the group's part of its own calls tells.
        fair = max(usual.quota_per_s / self.settings.group_size, usual.fraction * sum(self.group_rate))
        return rate > fair * OVER_SHARE

    # --- calls

    def _offered(self, now: int, event: CallOffered) -> None:
        if event.call in self.calls or not 0 <= event.call_class < len(self.settings.classes):
            return
        kind = self.settings.classes[event.call_class]
        over = self._over_share(now, event.group)
        self._forget_numbers(now)
        # A number missed a moment ago is dialled again: callers count from the first try.
        first_offered = min(now, self.missed.pop(event.called, now))
        late = now - first_offered > kind.aim
        urgent = kind.worth >= self.urgent_worth and not late
        call = Call(event, kind, self.settings.max_attempts, now, first_offered, urgent, over or late)
        if first_offered == now:
            self.demand += SECOND / SHARE_SPAN
        self.hold += (kind.mean_hold - self.hold) * HOLD_MEMORY
        self.calls[event.call] = call
        (self._finish if now < self.busy.get(event.called, 0) else partial(self._place, now))(call)

    def _forget_numbers(self, now: int) -> None:
        """Drop numbers whose callers have long stopped trying."""
        oldest = now - max(kind.deadline for kind in self.settings.classes)
        for numbers in (self.missed, self.busy):
            while numbers and (first := next(iter(numbers.items())))[1] < oldest:
                del numbers[first[0]]

    def _serve_held(self, now: int) -> None:
        """Offer held calls again, the worthiest first; where one finds none open, its like do not look."""
        blocked: set[tuple] = set()
        for call, event in [(c, c.event) for c in sorted(self.held.values(), key=lambda c: c.rank)]:
            like = (call.cut_first, call.kind, event.in_transit and event.destination, event.among)
            if now < call.gives_up and like not in blocked:
                if self._try_send(now, call):
                    continue
                blocked.add(like)
            if now >= min(call.hold_until, call.gives_up):
                self._finish(call)

    def _tick(self, now: int, _: CallId) -> None:
        if self.tick_at is not None and now >= self.tick_at:
            self.tick_at = None
        self._serve_held(now)
        self._keep_ticking(now)

    def _keep_ticking(self, now: int) -> None:
        """Tick while any call is open: for held calls, and to notice that this gateway stood still."""
        first = min((call.hold_until for call in self.held.values()), default=now + self.pace.tick)
        due = now + max(1, min(self.pace.tick, first - now))
        if self.calls and (self.tick_at is None or due < self.tick_at):
            self.tick_at = due
            self._timer(due - now, self._tick, 0)

    def _place(self, now: int, call: Call) -> None:
        """Send the call, hold it for the release wait, or refuse it."""
        if call.attempts >= call.most or now >= call.gives_up:
            self._finish(call)
        elif now < call.ready_at:
            self._timer(min(call.ready_at, call.gives_up) - now, self._retry, call.event.call)
        elif not self._try_send(now, call) and now >= call.hold_until:
            self._finish(call)
        else:
            if call.server is None:
                self.held[call.event.call] = call
            self._keep_ticking(now)

    def _try_send(self, now: int, call: Call) -> bool:
        if (view := self._choose(now, call)) is None:
            return False
        self.held.pop(call.event.call, None)
        server = call.server = view.entry.server
        call.attempts += 1
        view.out[call.event.call] = now
        if now < view.cold_until:
            view.lapse(now - view.cold_turn + 1)
            view.cold_gap = self._cold_gap(view)
            view.cold_next += view.cold_gap
        self.actions.append(Send(call.event.call, server, call.gives_up - now))
        return True

    def _retry(self, now: int, number: CallId) -> None:
        if (call := self.calls.get(number)) is not None and call.server is None and number not in self.held:
            self._place(now, call)

    def _choose(self, now: int, call: Call) -> ServerView | None:
        """The destination, else the last clean server, else any open one; None if none is open."""
        order = [view for view in self.servers.values() if self._allowed(call, view)]
        # Redrawn by what each takes: equal parts would drown small and slow ones.
        chance = self.random.expovariate
        draw = {v.entry.server: chance(1.0) / (v.takes(now) or v.lines or 1.0) for v in order}
        first = call.event.destination
        order.sort(key=lambda v: (v.entry.server in call.tried, v.entry.number != first or v.free == 0,
                                  v.entry.server != self.last_clean, draw[v.entry.server]))  # fmt: skip
        if call.attempts == 0 and order and not call.counted:
            call.counted = True
            order[0].offered += 1
        reserve = OVER_SHARE_RESERVE if call.cut_first else 0.0
        for view in order:
            overflow = view.entry.number != first
            if not self._open(now, view) or overflow and not view.spare.take(now, 0.0, call.urgent):
                continue
            view.offered += overflow
            if view.bucket.take(now, reserve, call.urgent):
                return view
        if call.urgent:  # never cut, nor kept waiting for a slow server: the quickest of late, if in time
            for view in sorted(order, key=lambda view: (view.last_delay, len(view.out))):
                if self._shut(now, view):
                    continue
                quick = view.last_delay < call.kind.aim
                if (quick or view.bucket.rate is not None) and view.bucket.take(now, reserve, quick):
                    return view
        return None

    def _allowed(self, call: Call, view: ServerView) -> bool:
        number, pools, among = view.entry.number, call.kind.pools, call.event.among
        direct = number == call.event.destination or not call.event.in_transit
        may = (pools is None or number in pools) and (among is None or number in among)
        return view.usable() and number != self.settings.own_number and direct and may

    def _shut(self, now: int, view: ServerView) -> bool:
        """Whether it gets no call at all: silent, full, or cold with no turn of this gateway open."""
        cold = now < view.cold_until and (self.ceded or not view.cold_room(now))
        return view.silent or now < view.full_until or cold

    def _open(self, now: int, view: ServerView) -> bool:
        waited = now - next(iter(view.out.values()), now)  # the oldest set-up without an answer
        least = WINDOW_LOSSY if now < self.lossy_until and view.last_delay <= self.l1 else 1
        slow = waited > self.l1 and len(view.out) >= least
        return not (now < view.pass_until or slow or self._shut(now, view) or view.full_up(self.part, least))

    def _cold_gap(self, view: ServerView) -> int:
        """Time between this gateway's turns at a cold server, taken as coldest."""
        rules, lines, size = self.settings, view.lines, self.settings.group_size
        warm = [other for other in self.servers.values() if other is not view and other.capacity > 0]
        like = [other.capacity for other in warm if other.lines == lines > 0]
        least = [o.capacity * min(1.0, lines / o.lines if lines and o.lines else 1.0) for o in warm]
        # The same one started anew, else one of as many lines that it replaces, else the weakest.
        rate = (view.capacity or min(like or least, default=0.0)) * rules.cold_from * rules.fall_multiple
        if view.can_take_at > view.cold_since:
            told = GROWTH * view.can_take / COLD_SAFETY
            rate = told if view.can_take_at > view.cold_since + REPORT_LATE else min(rate, told)
        # With nothing to judge by, all gateways together send one set-up in the time of a fall.
        budget = rate * rules.fall_time / SECOND or 1.0
        # Turns of gateways that know nothing of each other fall by chance alone: the sum with its spread,
        # those still open from before included, stays within what the rule puts down to chance.
        bound, sure = [(sqrt(most) + 1.0) ** 2 + 1.0 for most in (budget, COLD_SAFETY * budget)]
        fall = rules.fall_time
        strict, loose = [max((sqrt(free**2 + 4.0 * bound) - free) ** 2 / 4.0, bound - free * sqrt(size) / 2.0)
                         for free in (COLD_DEVIATIONS, COLD_OPEN_DEVIATIONS)]  # fmt: skip
        due = min(COLD_SAFETY * budget, strict * fall / (fall + COLD_TURN))
        # Several may be open at once as far as the bound stands it where all take the server for too able.
        turn, more = [int(fall * (most / due - 1.0)) for most in (loose, sure - sqrt(size))]
        view.cold_turn = max(min(max(COLD_TURN, turn), int(fall * size / due)), more)
        return max(1, int(fall * size / due))

    def _stands(self, now: int, event: CallStands) -> None:
        view, call = self._answer(now, event.call, event.server), self.calls.pop(event.call, None)
        if view is not None:
            view.standing.add(event.call)
            if call is not None:
                self._delay(now, view, max(0, event.delay - self.stall))

    def _delay(self, now: int, view: ServerView, delay: int) -> None:
        view.delays.append(delay)
        view.last_delay, view.faults_in_row = delay, 0
        self._heard(view, now)
        if delay > self.l1:
            self._pass_over(view, now)
        else:
            self.last_clean = view.entry.server
            self._overtaken(now, view, now - delay)
        if view.can_take >= 0 and delay < self.l2 and now >= view.cold_until:  # a report, as these bring none
            view.can_take = max(view.can_take, view.capacity * (1.0 - delay / self.l2))
            view.can_take_at = now
        clean = delay <= view.clean_limit
        view.clean += clean
        view.clean_share += (clean - view.clean_share) * CLEAN_MEMORY

    def _overtaken(self, now: int, view: ServerView, sent: int) -> None:
        """A later set-up was answered quickly: older answers were lost. Send those calls anew if in time."""
        for number in [number for number, at in view.out.items() if at < sent - TICK]:
            del view.out[number]
            call = self.calls.get(number)
            if call is not None and call.server == view.entry.server and self.settings.may_cancel:
                due = call.offered_at + call.kind.aim
                if call.kind.repeatable and now + self.settings.release_wait + self.l1 < due:
                    self.actions.append(CancelAttempt(number, call.attempts - 1))

    def _answer(self, now: int, number: CallId, server: ServerId) -> ServerView | None:
        view = self.servers.get(server)
        return view if view is not None and view.out.pop(number, None) is not None else None

    def _ended(self, now: int, event: AttemptEnded) -> None:
        if (view := self.servers.get(event.server)) is not None:
            self._read(now, view, event.report)
            if event.call in view.standing:
                view.standing.discard(event.call)
                if event.outcome is Outcome.RESET:  # held back until it is known how many were cut
                    view.cut_at = view.cut_at or now
                    view.pass_until = view.full_until = now + self.pace.review
        if (waiting := self._answer(now, event.call, event.server)) is not None:
            self._measure(now, waiting, event)
        if event.closed:
            self.calls.pop(event.call, None)
        call = self.calls.get(event.call)
        if call is None or call.server != event.server or event.attempt != call.attempts - 1:
            return
        call.server = None
        call.errors += event.outcome is Outcome.ERROR
        if event.outcome not in (Outcome.ERROR, Outcome.RESET):
            call.tried.append(event.server)
        if event.outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED):
            call.ready_at = now + self.settings.release_wait
        proven = (Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.NOT_SENT)  # that it never ran
        call.may_have_run |= event.outcome not in proven
        once = call.may_have_run and not call.kind.repeatable
        if event.number_busy:  # no server can help; one crowded number must not take their work
            self.busy.pop(call.event.called, None)
            self.busy[call.event.called] = now + NUMBER_GAP
        over = event.number_busy or once or call.errors >= ERRORS_MOST
        (self._finish if over else partial(self._place, now))(call)

    def _measure(self, now: int, view: ServerView, event: AttemptEnded) -> None:
        if event.outcome is Outcome.FULL:
            self._heard(view, now)
            if event.processor_full:
                view.lost += 1
                view.last_delay = max(view.last_delay, self.settings.classes[0].deadline)
                view.clean_share *= 1.0 - CLEAN_MEMORY
                self._pass_over(view, now)
            view.full_until = now + self.pace.full  # without a free line: its bucket tells how much later
            view.pass_until = max(view.pass_until, view.full_until)
        elif event.outcome in (Outcome.TIMEOUT, Outcome.CANCELLED, Outcome.CONNECT_FAILED):
            self._lost(view, now, max(0, event.delay - self.stall), event.outcome is Outcome.CONNECT_FAILED)
        elif event.outcome in (Outcome.ERROR, Outcome.RESET) and not event.number_busy:
            # Quick faults are no overload, and most of a flaky server's set-ups succeed: it is passed over
            # only after several in a row, ever longer, as one that always fails is quick and draws calls.
            self._heard(view, now)
            if event.outcome is Outcome.RESET and now - view.reset_at < TICK:
                return  # one broken connection ends all that was open on it: that is one fault
            view.reset_at = now if event.outcome is Outcome.RESET else view.reset_at
            view.faults_in_row += 1
            if (past := view.faults_in_row - FAULTS_IN_ROW) >= 0:
                view.pass_until = view.full_until = now + self.pace.pass_over * 2 ** min(past, 3)

    def _gone(self, now: int, event: CallerGone) -> None:
        self.calls.pop(event.call, None)
        self.held.pop(event.call, None)

    def _finish(self, call: Call) -> None:
        """The one final answer."""
        del self.calls[call.event.call]
        self.held.pop(call.event.call, None)
        if call.event.called:
            self.missed.pop(call.event.called, None)
            self.missed[call.event.called] = call.offered_at
        most = self.settings.max_retry_after
        # Spread, so that refused callers do not come back as one more peak.
        wait = self.random.randrange(most // 2, most) if most > 1 else 0
        self.actions.append((Fail if call.may_have_run else Refuse)(call.event.call, wait))

    # --- timers and log

    def _timer(self, delay: int, action: Callable[[int, Any], None], number: CallId | ServerId) -> None:
        self.token += 1
        self.timers[self.token] = (action, number)
        self.actions.append(SetTimer(max(delay, 1), self.token))

    def _due(self, now: int, event: TimerDue) -> None:
        if (due := self.timers.pop(event.token, None)) is not None:
            due[0](now, due[1])

    def _log(self, view: ServerView, now: int, text: str) -> None:
        if now - view.logged_at >= LOG_EVERY:
            view.logged_at = now
            self.actions.append(Log(f"core server {view.entry.server} {text}"))
