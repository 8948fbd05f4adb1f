"""Hundreds of thin gateways: parts, reports, overflow, restarts, and what is not a server's fault."""

from __future__ import annotations

from dataclasses import replace

import pytest
from conftest import MS, NORMAL, SECOND, SETTINGS, Gateway
from quincestand import CallerGroup, CancelAttempt, ListKind, Outcome, Send, ServerReport
from quincestand.logic import CYCLE, FLOOR_PART, GROWTH, PASS_OVER, REPORT_LATE, REVIEW_EVERY

CROWD = replace(SETTINGS, group_size=250, report_fields=("free", "size", "queue", "can_take"))
NONE = -1.0


def told(gateway: Gateway, server: str, free: float, size: float, queue: float = NONE, rate: float = NONE):
    return gateway.handle(ServerReport(server, True, False, (free, size, queue, rate)))


def crowd(servers: tuple[str, ...] = ("a", "b"), **changes) -> Gateway:
    """One of 250 gateways; two words of lines in use, so that the flow is known: 100 set-ups a second."""
    gateway = Gateway(replace(CROWD, **changes), servers=servers)
    for name in servers:
        told(gateway, name, 1200.0, 2000.0)
    for _ in range(3):
        gateway.passes(SECOND)
        for name in servers:
            told(gateway, name, 1200.0, 2000.0)
    for view in gateway.controller.servers.values():
        view.spare.rate = None  # until the next review: which gateway may overflow is left to chance
    return gateway


def sends(gateway: Gateway) -> list[str]:
    return [send.server for send in gateway.of(Send)]


def answered(gateway: Gateway, count: int, delay: int, gap: int = SECOND, **call) -> None:
    """`count` calls, one every `gap`; those sent at once stand after `delay`."""
    for _ in range(count):
        gateway.offer(**call)
        sent = gateway.of(Send)
        gateway.run_timers(delay, Send)
        for send in sent:
            gateway.stands(send.server, delay=delay, call=send.call)
        gateway.run_timers(gap, Send)


# --- what a server takes, and this gateway's part of it


def test_flow_of_all_gateways_shows_in_the_lines_in_use():
    view = crowd().controller.servers["a"]
    assert view.flow == pytest.approx(800 / 8.0, rel=0.1)
    assert view.turnover == pytest.approx(800 / 8.0)


def test_part_is_own_calls_over_all_calls_standing():
    gateway = crowd()
    for _ in range(40):
        gateway.offer()
        gateway.stands(sends(gateway)[0]) if sends(gateway) else None
        gateway.passes(250 * MS)
    assert gateway.controller.part == pytest.approx(4 * 8.0 / 1600, rel=0.4)


def test_part_does_not_grow_when_servers_fail():
    """After an outage few calls stand; parts that grew with it let all gateways drown the rest."""
    gateway = crowd()
    answered(gateway, 10, 50 * MS)
    before = gateway.controller.part
    for step in range(4):
        told(gateway, "a", 1999.0, 2000.0)
        told(gateway, "b", 1999.0, 2000.0)
        answered(gateway, 1, 50 * MS)
    assert gateway.controller.part < 1.5 * before


@pytest.mark.parametrize("missing", [(NONE, NONE), (float("nan"), float("nan"))])
def test_reports_without_lines_are_used(missing):
    gateway = crowd()
    told(gateway, "a", *missing, 300.0, 12.0)
    view = gateway.controller.servers["a"]
    assert view.can_take == 12.0 and view.lines == 2000.0
    assert gateway.now < view.pass_until  # three seconds of queue


def test_reported_delay_passes_the_server_over():
    gateway = crowd(report_fields=("free", "size", "delay_ms", "can_take"))
    told(gateway, "a", NONE, NONE, 900.0, 12.0)
    assert gateway.now < gateway.controller.servers["a"].pass_until


def test_figures_that_cannot_be_are_ignored_and_the_call_is_answered():
    gateway = crowd()
    gateway.offer(dest=0)
    gateway.ended("a", Outcome.FULL, full=True, report=(float("nan"), -5.0, float("inf")))
    view = gateway.controller.servers["a"]
    assert view.lines == 2000.0 and view.can_take == NONE
    assert sends(gateway) == ["b"]


def test_old_report_gives_way_to_what_the_lines_show():
    """A jammed server must not be thought well because nobody heard of it for a while."""
    gateway = crowd()
    view = gateway.controller.servers["a"]
    view.can_take, view.can_take_at, view.capacity, view.flow = 3.0, gateway.now, 100.0, 1.0
    assert view.takes(gateway.now) == pytest.approx(3.0)
    assert view.takes(gateway.now + 60 * SECOND) == pytest.approx(GROWTH * 1.0 + FLOOR_PART * 100.0)


def test_cap_of_a_pressed_server_is_this_gateways_part():
    """250 floors of one set-up a cycle alone are more than a server takes."""
    gateway = crowd(servers=("a",))
    answered(gateway, 6, 800 * MS, gap=2 * CYCLE)
    view, part = gateway.controller.servers["a"], gateway.controller.part
    assert view.state > 0 and view.bucket.rate is not None
    assert view.bucket.rate <= GROWTH * part * view.flow + 1e-9
    assert 250 * view.bucket.rate < 250 / 2


def test_slow_down_is_seen_by_a_thin_gateway():
    """One set-up in three seconds: the cycle stays open, and two slow answers are enough."""
    gateway = crowd(servers=("a",))
    answered(gateway, 4, 60 * MS, gap=3 * SECOND)
    assert gateway.controller.servers["a"].state == 0
    answered(gateway, 2, 900 * MS, gap=6 * SECOND)
    assert gateway.controller.servers["a"].state > 0


def test_thin_gateway_leaves_out_its_next_set_up():
    gateway = crowd()
    gateway.controller.part = 1 / 250
    gateway.controller.servers["a"].capacity = 100.0
    gateway.controller._pass_over(gateway.controller.servers["a"], gateway.now)
    assert gateway.controller.servers["a"].pass_until - gateway.now > 2 * PASS_OVER


def test_last_free_lines_are_shared_by_part():
    """All gateways are told of the same few free lines at the same moment."""
    gateway = crowd(servers=("a",))
    for _ in range(3):
        gateway.passes(SECOND)
        told(gateway, "a", 5.0, 2000.0)
    count = 0
    for _ in range(50):
        gateway.passes(20 * MS)
        gateway.offer()
        for send in gateway.of(Send):
            count += 1
            gateway.stands("a", call=send.call)
    assert count <= 6  # in one second, where 250 lines come free for 250 gateways, though 50 were offered


# --- overflow


def test_overflow_goes_only_into_what_is_spare():
    gateway = crowd()
    gateway.list(gateway.entry("a", 0), gateway.entry("b", 1))
    view = gateway.controller.servers["b"]
    view.can_take, view.capacity = 100.0, 100.0
    gateway.controller.servers["a"].pass_until = gateway.now + 60 * SECOND
    went = {}
    for flow in (100.0, 20.0):
        count = 0
        for _ in range(40):
            gateway.passes(REVIEW_EVERY)
            view.flow, view.can_take_at = flow, gateway.now
            gateway.offer(dest=0)
            for send in gateway.of(Send):
                count += 1
                gateway.stands(send.server, call=send.call)
        went[flow] = count
    assert went[100.0] <= 3 and went[20.0] > 10


def test_overflow_counts_as_offered():
    """Else a server pressed by overflow alone has no actual rate and is never capped."""
    gateway = crowd()
    gateway.controller.servers["a"].pass_until = gateway.now + 60 * SECOND
    gateway.offer(dest=0)
    assert sends(gateway) == ["b"]
    assert gateway.controller.servers["b"].offered == 1


def test_urgent_calls_are_not_forced_on_a_jammed_server():
    """An old quick answer made a server look good that since turned all away or let all wait."""
    for last, forced in ((50 * MS, True), (5 * SECOND, False)):
        gateway = crowd(servers=("a",))
        view = gateway.controller.servers["a"]
        view.last_delay, view.pass_until = last, gateway.now + 60 * SECOND
        gateway.offer(kind=1)
        assert bool(sends(gateway)) == forced
    gateway.passes(60 * SECOND)
    gateway.offer(dest=0)
    gateway.ended("a", Outcome.FULL, full=True)
    assert view.last_delay >= NORMAL.aim


# --- restarts


def standing(gateway: Gateway, count: int, dest: int = 0) -> list[int]:
    calls = []
    for _ in range(count):
        gateway.offer(dest=dest)
        gateway.stands(sends(gateway)[0])
        calls.append(gateway.next_call)
    return calls


def test_all_calls_cut_is_a_restart():
    gateway = crowd()
    for call in standing(gateway, 3):
        gateway.ended("a", Outcome.RESET, call=call, closed=True)
    gateway.offer(dest=0)
    assert sends(gateway) == ["b"]  # until it is known how many were cut
    gateway.passes(2 * REVIEW_EVERY)
    gateway.offer(dest=1)
    assert gateway.controller.servers["a"].cold_until > gateway.now


def test_part_of_the_calls_cut_is_lines_lost():
    """Lines were lost everywhere; taken as restarted, every server would be fed as cold."""
    gateway = crowd()
    first, second = standing(gateway, 4), standing(gateway, 1, dest=1)
    gateway.ended("a", Outcome.RESET, call=first[0], closed=True)
    gateway.ended("b", Outcome.RESET, call=second[0], closed=True)
    gateway.passes(2 * REVIEW_EVERY)
    gateway.offer(dest=1)
    assert all(view.cold_until == 0 for view in gateway.controller.servers.values())


def test_calls_vanishing_from_the_lines_are_a_restart():
    """A gateway with no call there sees it by the lines that all gateways share."""
    gateway = crowd()
    gateway.passes(SECOND)
    told(gateway, "a", 1320.0, 2000.0)  # as many ended as in any second
    assert gateway.controller.servers["a"].cold_until == 0
    gateway.passes(SECOND)
    told(gateway, "a", 1800.0, 2000.0)
    assert gateway.controller.servers["a"].cold_until > gateway.now


def test_connection_refused_is_probed_and_taken_as_cold_on_return():
    gateway = crowd()
    gateway.offer(dest=0)
    gateway.ended("a", Outcome.CONNECT_FAILED)
    assert gateway.controller.servers["a"].silent
    gateway.handle(ServerReport("a", True, True, ()))
    assert gateway.controller.servers["a"].cold_until > gateway.now


@pytest.mark.parametrize("report", [None, 90.0])
def test_cold_budget_of_250_gateways(report):
    """Each keeps 1/250 of the budget of the coldest allowed start, also on a report from before the start."""
    total, span = 0, 4 * SECOND
    for seed in range(25):
        gateway = crowd(servers=("a", "b"))
        gateway.controller.random.seed(seed)
        capacity = gateway.controller.servers["a"].capacity
        gateway.list(gateway.entry("a", 0, boot=gateway.now), kind=ListKind.CHANGES)
        assert span < REPORT_LATE
        for _ in range(span // (20 * MS)):
            gateway.passes(20 * MS)
            if report is not None:
                told(gateway, "a", NONE, NONE, 0.0, report)
            gateway.offer(dest=0)
            for send in gateway.of(Send):
                total += send.server == "a"
                gateway.stands(send.server, call=send.call, delay=20 * MS)
    budget = capacity * CROWD.cold_from * CROWD.fall_multiple * span / SECOND
    assert 0 < total * 10 <= budget * 1.1


# --- not a server's fault


def test_own_pause_is_not_the_servers_delay():
    """This gateway stood still; the answers that came meanwhile look slow."""
    gateway = crowd()
    gateway.offer(dest=0)
    gateway.passes(2 * SECOND)  # no tick came in time
    gateway.stands("a", delay=2 * SECOND)
    view = gateway.controller.servers["a"]
    assert view.delays[-1] <= 100 * MS and gateway.now >= view.pass_until


def test_slow_answer_without_a_pause_counts():
    gateway = crowd()
    gateway.offer(dest=0)
    gateway.run_timers(2 * SECOND, Send)
    gateway.stands("a", delay=2 * SECOND)
    assert gateway.controller.servers["a"].delays[-1] == 2 * SECOND


@pytest.mark.parametrize("outcome", [Outcome.TIMEOUT, Outcome.CANCELLED])
def test_callers_with_little_time_press_no_server(outcome):
    gateway = crowd()
    for _ in range(3):
        gateway.offer(dest=0, budget=300 * MS)
        gateway.run_timers(260 * MS, Send)
        gateway.ended("a", outcome, delay=270 * MS)
    view = gateway.controller.servers["a"]
    assert view.lost == 0 and gateway.now >= view.pass_until


def test_held_calls_of_one_kind_look_for_a_server_once_a_tick():
    """A gateway that holds hundreds must not pass over all of them for each event."""
    gateway = crowd(servers=("a",))
    gateway.controller.servers["a"].pass_until = gateway.now + 60 * SECOND
    for _ in range(200):
        gateway.offer()
    looked = 0
    choose = gateway.controller._choose

    def counted(now, call):
        nonlocal looked
        looked += 1
        return choose(now, call)

    gateway.controller._choose = counted
    gateway.run_timers(500 * MS, Send)
    assert 0 < looked <= 20


def test_redialling_group_is_cut_first():
    """One group dials again without end: its calls past the share wait, the others go."""
    groups = (CallerGroup(100.0, 0.5), CallerGroup(100.0, 0.5))
    gateway = crowd(servers=("a",), groups=groups, classes=(NORMAL,))
    for _ in range(60):
        gateway.passes(20 * MS)
        gateway.offer(group=1)
        for send in gateway.of(Send):
            gateway.stands("a", call=send.call)
    view = gateway.controller.servers["a"]
    view.bucket.rate, view.bucket.level, view.bucket.at = 4.0, 1.2, gateway.now
    gateway.offer(group=1)
    assert not sends(gateway)
    gateway.offer(group=0)
    assert sends(gateway) == ["a"]


@pytest.mark.parametrize("changes", [
    {"group_size": 0}, {"group_size": -1}, {"fall_multiple": float("nan")},
    {"groups": (CallerGroup(1.0, -0.1),)}, {"groups": (CallerGroup(float("nan"), 0.1),)},
])  # fmt: skip
def test_sizes_and_shares_that_cannot_be_are_named(changes):
    with pytest.raises(ValueError, match=next(iter(changes))):
        replace(SETTINGS, **changes)


# --- answers lost while the work is done


def quick_then_lost(gateway: Gateway) -> int:
    """A quick answer, then a set-up whose answer never comes; its call."""
    gateway.offer(dest=0)
    gateway.stands("a", delay=40 * MS)
    gateway.offer(dest=0)
    return gateway.next_call


def test_one_lost_answer_presses_no_server():
    gateway = crowd()
    lost = quick_then_lost(gateway)
    gateway.run_timers(3 * SECOND, Send)
    gateway.ended("a", Outcome.TIMEOUT, call=lost, closed=True, delay=3 * SECOND)
    view = gateway.controller.servers["a"]
    assert view.lost == 0 and gateway.now >= view.pass_until


def test_two_in_a_row_are_the_servers():
    gateway = crowd()
    for turn in range(2):
        gateway.offer(dest=0)
        if not turn:
            gateway.stands("a", delay=40 * MS)
            gateway.offer(dest=0)
        lost = gateway.next_call
        gateway.run_timers(3 * SECOND, Send)
        gateway.ended("a", Outcome.TIMEOUT, call=lost, closed=True, delay=3 * SECOND)
    view = gateway.controller.servers["a"]
    assert view.lost == 1 and gateway.now < view.pass_until


def test_answers_known_to_be_lost_do_not_close_a_quick_server():
    """With a window of one, each lost answer closed a server to a thin gateway for seconds."""
    gateway = crowd()
    lost = quick_then_lost(gateway)
    gateway.run_timers(3 * SECOND, Send)
    gateway.ended("a", Outcome.TIMEOUT, call=lost, closed=True, delay=3 * SECOND)
    gateway.offer(dest=0)
    assert sends(gateway) == ["a"]
    waiting = gateway.next_call
    gateway.run_timers(450 * MS, Send)
    gateway.offer(dest=0)
    assert sends(gateway) == ["a"]  # though the other one waits for longer than a quick answer takes
    gateway.passes(40 * MS)
    gateway.stands("a", delay=40 * MS)
    (cancel,) = gateway.of(CancelAttempt)  # a later one was answered: that answer was lost
    assert cancel.call == waiting
    gateway.ended("a", Outcome.CANCELLED, call=waiting)
    assert not sends(gateway)
    sent = gateway.run_timers(SETTINGS.release_wait, Send)
    assert [send.call for send in sent] == [waiting]


def test_overtaken_set_up_is_not_sent_anew_when_that_would_be_late():
    gateway = crowd(classes=(replace(NORMAL, aim=700 * MS), NORMAL))
    quick_then_lost(gateway)
    gateway.controller.lossy_until = gateway.now + 60 * SECOND
    gateway.run_timers(600 * MS, Send)
    gateway.offer(dest=0)
    gateway.passes(40 * MS)
    gateway.stands("a", delay=40 * MS)
    assert not gateway.of(CancelAttempt)
