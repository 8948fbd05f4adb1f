"""Indicators, node rule, cap, overflow and companion."""

from __future__ import annotations

import json
import random
from dataclasses import replace

from conftest import MS, NORMAL, SECOND, SETTINGS, URGENT, Gateway
from quincestand import (
    CallerGone, CallerGroup, Fail, ListKind, NewSettings, Outcome, Refuse, Send, ServerEntry, ServerReport,
    ServerState,
)  # fmt: skip
from quincestand.logic import (
    BUCKET_SPAN, CYCLE, CYCLE_MOST, GROWTH, HOLD_OF_AIM, K_CROSSINGS, M_RETURNS, Indicator, LeakyBucket,
    Pace, ServerView,
)  # fmt: skip

L1, L2, LR = 500 * MS, 1000 * MS, 300 * MS


def view() -> ServerView:
    return ServerView(ServerEntry("a", 0, ServerState.READY, 0), 0, (L1, L2, LR), random.Random(1))


def bucket_of(rate: float, level: float) -> LeakyBucket:
    bucket = LeakyBucket(random.Random(1))
    bucket.rate, bucket.level = rate, level
    return bucket


def cycle(server: ServerView, now: int, offered: int, delays: list[int], lost: int = 0) -> None:
    server.offered, server.delays, server.lost = offered, list(delays), lost
    server.clean = sum(delay <= L2 for delay in delays)
    server.judge(now)
    server.shape(now, 1.0)


def test_indicator_turns_warning_past_l1_only():
    indicator = Indicator(10, 20, 5)
    assert indicator.update(10) == 0
    assert indicator.update(11) == 1


def test_indicator_turns_critical_after_k_crossings_in_a_row():
    indicator = Indicator(10, 20, 5)
    for _ in range(K_CROSSINGS - 1):
        assert indicator.update(21) == 1
    assert indicator.update(15) == 1  # breaks the row
    states = [indicator.update(21) for _ in range(K_CROSSINGS)]
    assert states[-1] == 2
    assert 2 not in states[:-1]


def test_indicator_keeps_its_state_between_lr_and_l1():
    indicator = Indicator(10, 20, 5)
    indicator.update(11)
    assert indicator.update(7) == 1
    assert indicator.update(5) == 1
    assert indicator.update(4.9) == 0


def test_bucket_lets_the_rate_through():
    bucket = bucket_of(4.0, 1.0)
    passed = sum(bucket.take(now, 0.0, False) for now in range(0, 100 * SECOND, 10 * MS))
    assert 340 <= passed <= 460


def test_thin_full_buckets_do_not_let_go_in_step():
    """After a quiet time hundreds of thin buckets are full: at once goes the depth of all together."""
    chance = random.Random(3)
    buckets = [LeakyBucket(chance) for _ in range(250)]
    for bucket in buckets:
        bucket.rate = 20 / 250
    passed = sum(bucket.take(60 * SECOND, 0.0, False) for bucket in buckets)
    assert 0 < passed < 2 * 20 * BUCKET_SPAN / SECOND


def test_bucket_is_overdrawn_only_by_force():
    bucket = bucket_of(1.0, 1.0)
    assert bucket.take(0, 0.0, False)
    assert not bucket.take(0, 0.0, False)
    assert bucket.take(0, 0.0, True)


def test_pressed_server_is_capped_at_the_target():
    server = view()
    cycle(server, CYCLE, 10, [100 * MS] * 4 + [L1 + 1] * 2)
    assert server.state == 1
    assert server.bucket.rate is not None
    assert abs(server.bucket.rate - GROWTH * 6 * SECOND / CYCLE) < 1e-9


def test_target_has_a_floor_of_one_a_cycle_where_nothing_is_known():
    server = view()
    cycle(server, CYCLE, 10, [L2 + 1] * 5)
    assert abs(server.bucket.rate - SECOND / CYCLE) < 1e-9


def test_no_cap_while_nothing_is_offered():
    server = view()
    cycle(server, CYCLE, 0, [L1 + 1] * 5)
    assert server.state == 1 and server.bucket.rate is None


def test_a_cycle_mostly_lost_is_critical_at_once():
    server = view()
    cycle(server, CYCLE, 10, [100 * MS] * 2, lost=3)
    assert server.state == 2


def test_thin_cycle_ends_the_control():
    server = view()
    cycle(server, CYCLE, 10, [L1 + 1] * 5)
    cycle(server, 2 * CYCLE, 1, [])
    assert server.bucket.rate is not None  # it stays open for more answers
    cycle(server, CYCLE + 4 * CYCLE_MOST, 1, [])
    assert server.bucket.rate is None and server.state == 0


def test_cap_drops_on_normal_and_is_held_after_m_returns():
    server = view()
    for turn in range(1, M_RETURNS + 1):
        cycle(server, 2 * turn * CYCLE, 10, [L1 + 1] * 5)
        assert server.bucket.rate is not None
        cycle(server, (2 * turn + 1) * CYCLE, 10, [100 * MS] * 5)
        assert (server.bucket.rate is not None) == (turn == M_RETURNS)


def test_destination_comes_first(gateway):
    gateway.offer(dest=1)
    assert gateway.of(Send)[0].server == "b"


def test_no_free_line_passes_the_destination_over(gateway):
    gateway.handle(ServerReport("b", True, False, (0.0, 20.0)))
    gateway.passes(SECOND)
    gateway.handle(CallerGone(0))
    gateway.controller.servers["b"].bucket.rate = 0.0
    gateway.offer(dest=1)
    assert gateway.of(Send)[0].server == "a"


def slow_answer(aim: int) -> Gateway:
    """A gateway of this aim just after an answer slower than L1 of its one server."""
    gateway = Gateway(replace(SETTINGS, classes=(replace(NORMAL, aim=aim, worth=8.0),)), servers=("a",))
    gateway.offer()
    gateway.stands("a", delay=aim // 2)
    return gateway


def test_spans_follow_the_aims():
    for aim in (300 * MS, 3000 * MS):
        gateway = slow_answer(aim)
        usual = 500 * MS * min(1.0, aim / (1500 * MS))
        assert gateway.controller.servers["a"].pass_until == gateway.now + usual
    assert Pace(300 * MS).full == 200 * MS  # one that is full has its pause all the same
    assert (Pace(1500 * MS).cycle, Pace(9 * SECOND).cycle, Pace(300 * MS).cycle) == (CYCLE, CYCLE, CYCLE // 5)


def test_lines_of_servers_that_are_gone_do_not_count_as_in_use():
    gateway = Gateway()
    for name in "abcdefgh":
        gateway.list(gateway.entry(name, 0))
        for free in (1000, 900):
            gateway.passes(SECOND)
            gateway.handle(ServerReport(name, True, False, (float(free), 1000.0)))
    standing = sum(view.in_use for view in gateway.controller.servers.values())
    assert (standing, list(gateway.controller.servers)) == (100.0, ["h"])


def test_a_server_that_is_gone_is_forgotten_after_its_last_call(gateway):
    gateway.offer(dest=0)
    gateway.stands("a")
    gone = [gateway.entry("a", 0, ServerState.GONE)]
    gateway.list(*gone, kind=ListKind.CHANGES)
    assert "a" in gateway.controller.servers
    gateway.ended("a", Outcome.RESET, closed=True)
    gateway.list(gateway.entry("b", 1), kind=ListKind.CHANGES)
    assert list(gateway.controller.servers) == ["b"]


def test_the_last_free_lines_are_guarded_until_the_next_word_of_them():
    for gap, rate in ((1000 * MS, 0.25 * (80 + 50)), (500 * MS, None)):
        gateway = Gateway(replace(SETTINGS, classes=(replace(NORMAL, mean_hold=SECOND),)))
        gateway.controller.part = 0.25
        for _ in range(4):
            gateway.passes(gap)
            gateway.handle(ServerReport("a", True, False, (50.0, 130.0)))
        server = gateway.controller.servers["a"]
        server.shape(gateway.now, 0.25)
        assert server.bucket.rate == rate  # 80 lines come free in a second


def test_flow_counts_calls_that_begin_and_end_between_two_words():
    """90 lines in use by calls of 300 ms: 300 set-ups a second, whatever the gap between two words."""
    for gap in (250 * MS, 500 * MS, 1000 * MS):
        gateway = Gateway(replace(SETTINGS, classes=(replace(NORMAL, mean_hold=300 * MS),)))
        for free in (1000.0, *[910.0] * 20):
            gateway.passes(max(gap, 500 * MS))
            gateway.handle(ServerReport("a", True, False, (free, 1000.0)))
        assert abs(gateway.controller.servers["a"].flow - 300) < 10


def test_the_guard_on_free_lines_looks_no_further_than_a_call_lasts():
    gateway = Gateway(replace(SETTINGS, classes=(replace(NORMAL, mean_hold=200 * MS),)))
    for _ in range(4):
        gateway.passes(SECOND)
        gateway.handle(ServerReport("a", True, False, (20.0, 60.0)))
    server = gateway.controller.servers["a"]
    server.shape(gateway.now, 0.5)
    assert server.bucket.rate == 0.5 * (200 + 100)  # 40 come free in 200 ms, and 20 are free


def test_full_processor_is_passed_over_for_a_moment(gateway):
    gateway.offer(dest=0)
    gateway.ended("a", Outcome.FULL, full=True)
    assert gateway.of(Send)[0].server == "b"
    gateway.stands("b", attempt=1)
    gateway.passes(Pace(URGENT.aim).full - 1)
    gateway.offer(dest=0)
    assert gateway.of(Send)[0].server == "b"
    gateway.stands("b")
    gateway.passes(1)
    gateway.offer(dest=0)
    assert gateway.of(Send)[0].server == "a"


def test_slow_answer_passes_the_server_over(gateway):
    gateway.offer(dest=0)
    gateway.stands("a", delay=SECOND)
    gateway.offer(dest=0)
    assert gateway.of(Send)[0].server == "b"


def test_held_then_refused_in_time_when_none_is_open():
    gateway = Gateway(servers=("a",))
    gateway.offer(dest=0)
    gateway.stands("a", delay=SECOND)
    gateway.controller.servers["a"].pass_until = gateway.now + 60 * SECOND
    gateway.offer(dest=0)
    assert not gateway.of(Send) and not gateway.of(Refuse)
    refused = gateway.run_timers(int(1_500_000 * HOLD_OF_AIM), Refuse)
    assert [answer.call for answer in refused] == [2]


def test_unanswered_set_ups_are_bounded(gateway):
    """An idle or cold server must not get the calls of a whole burst at once."""
    sends = []
    for _ in range(20):
        gateway.offer(dest=0)
        sends += gateway.of(Send)
    assert len([send for send in sends if send.server == "a"]) == 2


def test_urgent_calls_are_never_cut_by_the_cap():
    gateway = Gateway(servers=("a",))
    server = gateway.controller.servers["a"]
    server.bucket.rate = 0.001
    gateway.offer(kind=0)
    assert not gateway.of(Send)
    gateway.offer(kind=1)
    assert gateway.of(Send)


def test_groups_over_their_share_are_cut_first():
    quota = (CallerGroup(1000.0, 0.5), CallerGroup(0.1, 0.5))
    gateway = Gateway(replace(SETTINGS, groups=quota), servers=("a",))
    server = gateway.controller.servers["a"]
    server.bucket.rate, server.bucket.level, server.bucket.at = 4.0, 1.2, gateway.now
    gateway.offer(group=1)
    assert not gateway.of(Send)
    gateway.offer(group=0)
    assert gateway.of(Send)


def test_urgency_comes_from_worth():
    flat = replace(SETTINGS, classes=(replace(URGENT, worth=1.0), URGENT))
    gateway = Gateway(flat)
    gateway.offer(kind=0)
    gateway.offer(kind=1)
    assert [gateway.controller.calls[call].urgent for call in (1, 2)] == [False, True]


def test_number_with_all_lines_busy_is_left_alone(gateway):
    """A crowded number costs a set-up for each call that cannot succeed anywhere."""
    gateway.offer(called=99)
    gateway.ended("a", Outcome.ERROR, busy=True)
    assert gateway.actions and not gateway.of(Send)
    gateway.offer(called=99)
    assert gateway.of(Refuse) and not gateway.of(Send)
    gateway.offer(called=98)
    assert gateway.of(Send)


def test_failing_server_is_passed_over(gateway):
    """A server that errs answers quickly and would draw calls by that."""
    for _ in range(2):
        gateway.offer(dest=0)
        gateway.ended("a", Outcome.ERROR)
        gateway.stands("b", attempt=1)
    gateway.offer(dest=0)
    assert gateway.of(Send)[0].server == "b"


def test_a_call_that_no_server_can_use_is_given_up_after_the_second_error(gateway):
    gateway.offer(dest=0)
    gateway.ended("a", Outcome.ERROR)
    again = gateway.of(Send)[0].server
    gateway.ended(again, Outcome.ERROR, attempt=1)
    assert gateway.of(Fail) and not gateway.of(Send)


def test_one_broken_connection_is_one_fault_however_much_was_open_on_it(gateway):
    view = gateway.controller.servers["a"]
    calls = []
    for number in range(6):
        view.capacity = 1000.0
        gateway.offer(dest=0)
        calls.append(gateway.next_call)
    for call in calls:
        gateway.ended("a", Outcome.RESET, call=call)
    assert view.faults_in_row == 1 and view.pass_until == 0
    for _ in range(2):
        gateway.passes(SECOND)
        gateway.offer(dest=0)
        gateway.ended("a", Outcome.RESET)
    assert view.faults_in_row == 3 and view.pass_until > gateway.now


def test_same_events_same_actions():
    def day() -> list:
        gateway = Gateway(servers=("a", "b", "c"))
        actions = []
        for number in range(200):
            gateway.passes(20 * MS)
            actions += gateway.offer(dest=number % 3, kind=number % 7 == 0)
            for send in gateway.of(Send):
                actions += gateway.stands(send.server, delay=(number * 37 % 900) * MS, call=send.call)
        return actions

    assert day() == day()


def test_avoided_are_servers_that_get_no_call_at_all(gateway):
    assert gateway.controller.avoided(gateway.now) == 0
    gateway.offer()
    gateway.stands("a", delay=gateway.controller.l1 + MS)  # slow: passed over, but not by urgent calls
    assert gateway.controller.avoided(gateway.now) == 0
    gateway.offer(dest=1)
    gateway.ended("b", Outcome.FULL, full=True)
    assert gateway.controller.avoided(gateway.now) == 1
    gateway.list(gateway.entry("a", 0, ServerState.DRAINING), gateway.entry("b", 1))
    assert gateway.controller.avoided(gateway.now) == 2
    gateway.passes(gateway.controller.pace.full)
    assert gateway.controller.avoided(gateway.now) == 1


def test_a_successor_goes_on_from_the_memory_of_the_process_before(gateway):
    for _ in range(4):
        gateway.offer()
        gateway.stands("a")
    gateway.offer(dest=1)
    gateway.ended("b", Outcome.FULL, full=True)
    memory = json.loads(json.dumps(gateway.controller.memory()))
    successor = Gateway(seed=8)
    successor.now = gateway.now
    successor.controller.remember(gateway.now, memory)
    assert successor.controller.ratings(gateway.now) == gateway.controller.ratings(gateway.now)
    assert successor.controller.demand == gateway.controller.demand > 0
    assert successor.controller.avoided(gateway.now) == 1
    assert [send.server for send in successor.offer(dest=1)[:1]] == ["a"]


def test_new_settings_leave_ratings_and_open_calls_as_they_are(gateway):
    gateway.offer()
    first = gateway.of(Send)[0].server
    once = replace(SETTINGS, classes=(replace(NORMAL, repeatable=False),), max_attempts=1)
    before = gateway.controller.ratings(gateway.now)
    gateway.handle(NewSettings(once))
    assert gateway.controller.ratings(gateway.now) == before
    gateway.ended(first, Outcome.RESET)  # a lost attempt of the call that came before is made up for
    assert gateway.run_timers(SECOND, Send)
    gateway.offer(dest=1)
    gateway.ended(gateway.of(Send)[0].server, Outcome.RESET)
    assert gateway.of(Fail) and not gateway.run_timers(SECOND, Send)
