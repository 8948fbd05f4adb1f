"""The five rules, each at its boundary in time, and on random legal event sequences."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

from conftest import MS, SECOND, SETTINGS, Gateway
from hypothesis import Phase, given, settings, strategies
from quincestand import (
    CallerGone,
    Fail,
    ListKind,
    Outcome,
    Probe,
    Refuse,
    Send,
    ServerReport,
    ServerState,
    SetTimer,
    TimerDue,
)
from quincestand.logic import COLD_SPREAD, END_MARGIN


def final(gateway: Gateway) -> list:
    return gateway.of(Refuse) + gateway.of(Fail)


def test_attempt_times_out_before_the_budget_ends(gateway):
    gateway.offer(budget=2 * SECOND)
    assert gateway.of(Send)[0].timeout == 2 * SECOND - END_MARGIN


def test_no_send_when_the_budget_has_as_good_as_ended(gateway):
    gateway.offer(budget=END_MARGIN)
    assert not gateway.of(Send) and final(gateway)
    gateway.offer(budget=END_MARGIN + 1)
    assert gateway.of(Send)


def test_timeout_at_the_end_is_answered_at_once(gateway):
    gateway.offer(budget=SECOND)
    gateway.passes(SECOND - END_MARGIN)
    gateway.ended("a", Outcome.TIMEOUT)
    assert gateway.of(Fail)[0].call == 1


def test_held_call_is_answered_before_its_budget_ends():
    gateway = Gateway(servers=())
    timer = next(action for action in gateway.offer(budget=SECOND) if isinstance(action, SetTimer))
    answered = None
    while answered is None and timer is not None:
        gateway.passes(timer.delay)
        gateway.handle(TimerDue(timer.token))
        answered = next(iter(final(gateway)), None)
        timer = next(iter(gateway.of(SetTimer)), None)
    assert answered is not None and gateway.now < 101 * SECOND


def test_release_is_awaited(gateway):
    for outcome in (Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED):
        gateway.offer(dest=0)
        (first,) = gateway.of(Send)
        gateway.ended(first.server, outcome)
        assert not gateway.of(Send)
        (timer,) = gateway.of(SetTimer)
        gateway.passes(SETTINGS.release_wait - 1)
        gateway.handle(CallerGone(0))
        assert not gateway.of(Send)
        gateway.passes(1)
        gateway.handle(TimerDue(timer.token))
        (send,) = gateway.of(Send)
        gateway.stands(send.server, attempt=1)
        gateway.passes(10 * SECOND)


def test_nothing_new_to_a_draining_or_gone_server(gateway):
    for state in (ServerState.DRAINING, ServerState.GONE):
        gateway.list(gateway.entry("a", 0, state), kind=ListKind.CHANGES)
        gateway.offer(dest=0)
        assert gateway.of(Send)[0].server == "b"
        gateway.stands("b")


def test_server_missing_from_a_full_list_is_gone(gateway):
    gateway.list(gateway.entry("b", 1))
    gateway.offer(dest=0)
    assert gateway.of(Send)[0].server == "b"


def sends_while_cold(gateway: Gateway, span: int) -> int:
    """Set-ups to `cold` in `span` when every one is answered at once."""
    count = 0
    for _ in range(span // (20 * MS)):
        gateway.passes(20 * MS)
        gateway.offer(dest=9, budget=3 * SECOND)
        for send in gateway.of(Send):
            count += send.server == "cold"
            gateway.stands(send.server, call=send.call)
    return count


def test_cold_budget_is_this_gateways_part(gateway):
    """30 lines in use for 8 s each: 3.75 set-ups a second warm, of which 0.3 x 2 / 4 is this gateway's."""
    for name in "ab":
        gateway.handle(ServerReport(name, True, False, (10.0, 40.0)))
    gateway.list(gateway.entry("cold", 9, boot=gateway.now - SECOND), kind=ListKind.CHANGES)
    assert 1 <= sends_while_cold(gateway, 10 * SECOND) <= 3.75 * 0.3 * 2 / 4 * 10


def test_cold_time_ends_at_its_boundary(gateway):
    gateway.list(gateway.entry("cold", 9, boot=gateway.now), kind=ListKind.CHANGES)
    view = gateway.controller.servers["cold"]
    view.cold_next = gateway.now + 60 * SECOND
    assert SETTINGS.cold_time <= view.cold_until - gateway.now <= SETTINGS.cold_time + COLD_SPREAD
    gateway.passes(view.cold_until - gateway.now - 1)
    gateway.offer(dest=9)
    assert gateway.of(Send)[0].server != "cold"
    gateway.stands(gateway.of(Send)[0].server)
    gateway.passes(1)
    gateway.offer(dest=9)
    assert gateway.of(Send)[0].server == "cold"


def test_changed_boot_time_makes_a_known_server_cold(gateway):
    gateway.list(gateway.entry("a", 0, boot=gateway.now), kind=ListKind.CHANGES)
    assert gateway.controller.servers["a"].cold_until >= gateway.now + SETTINGS.cold_time


def test_restarted_server_is_measured_by_what_it_took_before(gateway):
    """With the whole fleet restarted nothing warm is left to judge by; it must not starve."""
    gateway.handle(ServerReport("a", True, False, (10.0, 170.0)))
    for name, number in (("a", 0), ("b", 1)):
        gateway.list(gateway.entry(name, number, boot=gateway.now), kind=ListKind.CHANGES)
    gap = gateway.controller._cold_gap(gateway.controller.servers["a"])
    assert gap < SETTINGS.fall_time * SETTINGS.group_size


def test_late_and_unknown_events_are_ignored(gateway):
    assert gateway.handle(TimerDue(12345)) == []
    assert gateway.stands("a", call=77) == []
    assert gateway.ended("zz", Outcome.TIMEOUT, call=77) == []
    assert gateway.handle(ServerReport("zz", True, True, ())) == []
    assert gateway.handle(ServerReport("a", True, True, (-1.0, -1.0))) == []
    gateway.offer()
    gateway.handle(CallerGone(1))
    assert gateway.ended("a", Outcome.CANCELLED, call=1, closed=True) == []


def test_calls_in_transit_go_to_their_destination_or_nowhere(gateway):
    gateway.offer(dest=1, in_transit=True)
    assert gateway.of(Send)[0].server == "b"
    gateway.stands("b")
    gateway.list(gateway.entry("b", 1, ServerState.GONE), kind=ListKind.CHANGES)
    gateway.offer(dest=1, in_transit=True)
    assert not gateway.of(Send)


def test_a_silent_server_that_goes_while_it_is_probed_leaves_its_timer_without_a_fault(gateway):
    """Guards against a KeyError of the timer whose server the list has taken out meanwhile."""
    gateway.offer()
    gateway.ended("a", Outcome.CONNECT_FAILED)
    gateway.list(gateway.entry("a", 0, ServerState.GONE), kind=ListKind.CHANGES)
    assert not gateway.run_timers(20 * SECOND, Probe)


class World:
    """Calls, attempts and timers of a gateway whose events come in an order drawn at will."""

    def __init__(self) -> None:
        self.gateway = Gateway(servers=("a", "b", "c"))
        self.out: dict[int, tuple[int, str]] = {}  # by call: attempt and server
        self.owed: set[int] = set()
        self.answers: Counter[int] = Counter()
        self.timers: list[tuple[int, int]] = []  # when it is due, and its token
        self.attempts: Counter[int] = Counter()

    def carry_out(self, actions: list) -> None:
        for action in actions:
            if isinstance(action, Send):
                assert action.call in self.owed and action.call not in self.out
                self.out[action.call] = (self.attempts[action.call], action.server)
                self.attempts[action.call] += 1
            elif isinstance(action, (Refuse, Fail)):
                self.answers[action.call] += 1
                self.owed.discard(action.call)
            elif isinstance(action, SetTimer):
                self.timers.append((self.gateway.now + action.delay, action.token))

    def offer(self, number: int) -> None:
        self.owed.add(self.gateway.next_call + 1)
        self.carry_out(self.gateway.offer(kind=number % 2, dest=number % 3, called=number % 5))

    def answer(self, number: int) -> None:
        if not self.out:
            return
        call = sorted(self.out)[number % len(self.out)]
        attempt, server = self.out.pop(call)
        outcome = OUTCOMES[number % len(OUTCOMES)] if call in self.owed else Outcome.CANCELLED
        if outcome is None:
            self.answers[call] += 1
            self.owed.discard(call)
            self.carry_out(self.gateway.stands(server, call=call, attempt=attempt))
        else:
            closed = call not in self.owed
            ended = self.gateway.ended(server, outcome, call=call, attempt=attempt, full=True, closed=closed)
            self.carry_out(ended)

    def leave(self, number: int) -> None:
        if self.owed:
            call = sorted(self.owed)[number % len(self.owed)]
            self.owed.remove(call)
            self.answers[call] += 1  # none is owed any more
            self.carry_out(self.gateway.handle(CallerGone(call)))

    def tell_list(self, number: int) -> None:
        name, state = "abc"[number % 3], list(ServerState)[number // 3 % 3]
        boot = self.gateway.now if number % 2 else 0
        entry = self.gateway.entry(name, number % 3, state, boot)
        kind = ListKind.FULL if number % 7 == 0 else ListKind.CHANGES
        self.carry_out(self.gateway.list(entry, kind=kind))

    def report(self, number: int) -> None:
        event = ServerReport("abcd"[number % 4], bool(number % 2), bool(number % 3), ())
        self.carry_out(self.gateway.handle(event))

    def pass_time(self, number: int) -> None:
        self.gateway.passes(number % 3000 * MS)

    def timer(self, number: int) -> None:
        """Any that was set, however late it is by then, or once more."""
        if self.timers:
            due, token = self.timers[number % len(self.timers)]
            self.gateway.now = max(self.gateway.now, due)
            self.carry_out(self.gateway.handle(TimerDue(token)))

    def end(self) -> None:
        """Whatever is out runs out of time, and each timer that was set goes off."""
        for _ in range(20):
            while self.out:
                call, (attempt, server) = self.out.popitem()
                closed = call not in self.owed
                self.carry_out(self.gateway.ended(server, Outcome.TIMEOUT, call, attempt, closed))
            self.gateway.passes(SECOND)
            tokens, self.timers = self.timers, []
            for due, token in tokens:
                self.gateway.now = max(self.gateway.now, due)
                self.carry_out(self.gateway.handle(TimerDue(token)))


STEPS = (World.offer, World.answer, World.leave, World.tell_list, World.report, World.pass_time, World.timer)
STEP = strategies.tuples(strategies.sampled_from(STEPS), strategies.integers(0, 9999))


@settings(derandomize=True, deadline=None, max_examples=300)
@given(strategies.lists(STEP, min_size=30, max_size=60))
def test_events_in_any_order_raise_nothing_and_each_call_has_one_answer(steps):
    """Guards against timers whose call, server or list has gone, and against a second or a missing answer."""
    world = World()
    for step, number in steps:
        step(world, number)
    world.end()
    assert not world.owed
    assert all(world.answers[call] == 1 for call in range(1, world.gateway.next_call + 1))


OUTCOMES = [
    Outcome.FULL,
    Outcome.TIMEOUT,
    Outcome.RESET,
    Outcome.CONNECT_FAILED,
    Outcome.ERROR,
    None,
    None,
    None,
]


@settings(derandomize=True, deadline=None, max_examples=25, phases=[Phase.generate])
@given(strategies.integers(0, 2**32), strategies.integers(1, 60), strategies.sampled_from([0, 2]))
def test_rules_hold_on_random_days(seed: int, gap: int, churn: int):
    """A small world of random answers; rules 1, 2, 3 and 5 are checked at every action."""
    dice = random.Random(seed)
    gateway = Gateway(replace(SETTINGS, group_size=3), servers=("a", "b", "c"), seed=seed)
    owed: dict[int, int] = {}  # call -> end of its budget
    out: dict[int, tuple[int, str, int]] = {}  # call -> attempt, server, time-out
    tries: dict[int, int] = {}
    released: dict[int, int] = {}
    closed_to: set[str] = set()
    due: list[tuple[int, int, object]] = []
    order = 0

    def at(time: int, what: object) -> None:
        nonlocal order
        order += 1
        due.append((time, order, what))

    def carry_out(actions: list) -> None:
        for action in actions:
            if isinstance(action, Send):
                assert action.call in owed, "sent after its end"
                assert action.call not in out, "two attempts out"
                assert action.server not in closed_to, "sent to a closed server"
                assert gateway.now >= released.get(action.call, 0), "release not awaited"
                attempt = tries.get(action.call, 0)
                tries[action.call] = attempt + 1
                out[action.call] = (attempt, action.server, gateway.now + action.timeout)
                outcome = dice.choice(OUTCOMES)
                wait = action.timeout if outcome is Outcome.TIMEOUT else dice.randrange(1, action.timeout + 1)
                at(gateway.now + wait, ("answer", action.call, outcome))
            elif isinstance(action, (Refuse, Fail)):
                assert action.call in owed, "second final answer"
                assert action.call not in out
                assert gateway.now < owed.pop(action.call), "answered too late"
            elif isinstance(action, SetTimer):
                at(gateway.now + action.delay, TimerDue(action.token))

    for number in range(100):
        at(gateway.now + number * gap * MS, ("offer", number))
    while any(not isinstance(what, TimerDue) for _, _, what in due) or owed:  # probing has no end
        due.sort(key=lambda item: item[:2])
        time, _, what = due.pop(0)
        gateway.now = max(gateway.now, time)
        if isinstance(what, TimerDue):
            carry_out(gateway.handle(what))
        elif what[0] == "offer":
            if churn and dice.random() < 0.05:
                name = dice.choice("abc")
                state = dice.choice([ServerState.READY, ServerState.DRAINING, ServerState.GONE])
                boot = gateway.now if state is ServerState.READY else 0
                (closed_to.discard if state is ServerState.READY else closed_to.add)(name)
                carry_out(
                    gateway.list(gateway.entry(name, "abc".index(name), state, boot), kind=ListKind.CHANGES)
                )
            budget = dice.randrange(100, 3000) * MS
            owed[gateway.next_call + 1] = gateway.now + budget
            carry_out(
                gateway.offer(
                    kind=dice.randrange(2), dest=dice.randrange(3), budget=budget, called=dice.randrange(20)
                )
            )
        else:
            _, call, outcome = what
            attempt, server, _ = out.pop(call)
            if outcome is None:
                del owed[call]
                carry_out(
                    gateway.stands(server, delay=dice.randrange(1, 2000) * MS, call=call, attempt=attempt)
                )
            else:
                if outcome in (Outcome.TIMEOUT, Outcome.RESET):
                    released[call] = gateway.now + SETTINGS.release_wait
                carry_out(
                    gateway.ended(
                        server, outcome, call=call, attempt=attempt, full=True, busy=dice.random() < 0.1
                    )
                )
    assert not owed
