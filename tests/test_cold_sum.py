"""A cold log server under the sum of a fleet, counted at the server in virtual time."""

from __future__ import annotations

import json
from dataclasses import replace
from datetime import timedelta
from itertools import pairwise
from math import sqrt

import pytest
from benchmarks.cold_worlds import play
from conftest import MS, SECOND, SETTINGS, Gateway

from mallowquay.core.decisions import Decisions
from mallowquay.core.model import (
    Attempt, CallerLeft, Decision, Decline, Dispatch, Ended, Ending, ListTold, LoadTold, Request, Server,
    ServerStatus, Stood,
)  # fmt: skip
from quincestand import CallerGone, Fail, ListKind, Outcome, Refuse, Send, ServerReport
from quincestand.logic import COLD_TURN

TERM = "cold log servers fall under the sum of all processes: N + 2 x root of N + 2, for any fleet"


@pytest.mark.parametrize("size, worlds", [(20, 25), (30, 25), (200, 6)])
def test_the_sum_of_all_processes_stays_within_its_bound(size: int, worlds: int) -> None:
    """TERM: uneven load, unison, late words, restarts, upgrades, retries and second starts included."""
    verdicts = [play((size, seed)) for seed in range(1, worlds + 1)]
    assert not [verdict for verdict in verdicts if verdict.worst > 1.0], TERM


def known(size: int, capacity: float = 10.0) -> Gateway:
    """Of a fleet of `size`, knowing what `a` takes while warm."""
    gateway = Gateway(replace(SETTINGS, group_size=size))
    gateway.handle(ServerReport("a", True, False, (8 * capacity, 16 * capacity)))
    return gateway


def cold(gateway: Gateway, since: int | None = None) -> None:
    gateway.list(gateway.entry("cold", 9, boot=since or gateway.now), kind=ListKind.CHANGES)


def sent(gateway: Gateway) -> bool:
    """Whether a call for `cold` goes there; it stands at once."""
    gateway.offer(dest=9, among=frozenset({9}))
    for send in gateway.of(Send):
        gateway.stands(send.server, call=send.call)
        return True
    return False


def test_processes_idle_till_now_do_not_all_send_at_once() -> None:
    """TERM: a turn that was not used lapses; 200 processes find one call each at the same instant."""
    fleet = [Gateway(replace(SETTINGS, group_size=200), seed=seed) for seed in range(200)]
    for gateway in fleet:
        gateway.handle(ServerReport("a", True, False, (80.0, 160.0)))
        cold(gateway)
        gateway.passes(12 * SECOND)
    budget = 10.0 * SETTINGS.cold_from * SETTINGS.fall_multiple * SETTINGS.fall_time / SECOND
    assert sum(sent(gateway) for gateway in fleet) <= budget


def test_a_turn_is_for_one_set_up_and_ends() -> None:
    """TERM: no more than one in a turn, and none after it, however many calls wait."""
    gateway = known(10)
    cold(gateway)
    view = gateway.controller.servers["cold"]
    gateway.now = view.cold_next
    assert sent(gateway) and not sent(gateway)
    gateway.now = view.cold_next + view.cold_turn
    assert COLD_TURN <= view.cold_turn < view.cold_gap
    assert not sent(gateway)
    gateway.now = view.cold_next + view.cold_gap
    assert sent(gateway)


def test_turns_overlap_as_far_as_the_bound_stands_it_where_all_take_the_server_for_too_able() -> None:
    """TERM: ten processes idle till now, then never; each judges it a ninth too able."""
    able = 100.0
    fleet = [Gateway(replace(SETTINGS, group_size=10), seed=seed) for seed in range(10)]
    for gateway in fleet:
        gateway.handle(ServerReport("a", True, False, (8 * able / 0.9, 16 * able / 0.9)))
        cold(gateway)
        gateway.passes(5 * SECOND)
    at_once = [sum(sent(gateway) for _ in range(20)) for gateway in fleet]
    budget = able * SETTINGS.cold_from * SETTINGS.fall_multiple * SETTINGS.fall_time / SECOND
    for gateway in fleet:
        gateway.now += 1
    later = sent_until(fleet[0].now + SETTINGS.fall_time, *fleet)
    assert min(at_once) >= 2 and budget < sum(at_once) + len(later) <= budget + 2 * sqrt(budget) + 2


def test_with_nothing_to_judge_by_the_fleet_sends_one_in_a_fall_until_it_learns() -> None:
    """TERM: a process that starts while a server is cold; its turns come sooner once it knows warm ones."""
    gateway = Gateway(replace(SETTINGS, group_size=200))
    cold(gateway)
    view = gateway.controller.servers["cold"]
    assert view.cold_gap >= 200 * SETTINGS.fall_time
    gateway.handle(ServerReport("a", True, False, (800.0, 1600.0)))
    gateway.passes(SECOND)
    gateway.handle(ServerReport("a", True, False, (800.0, 1600.0)))
    assert view.cold_gap < 200 * SETTINGS.fall_time / 10 and view.cold_next <= gateway.now + view.cold_gap


def test_a_successor_keeps_turns_and_a_start_that_only_it_was_told(gateway: Gateway) -> None:
    """TERM: both processes of an upgrade count as one; the memory of the first hides no newer start."""
    cold(gateway)
    memory = json.loads(json.dumps(gateway.controller.memory()))
    successor = Gateway(seed=8)
    cold(successor)
    successor.list(successor.entry("a", 0, boot=successor.now), kind=ListKind.CHANGES)
    successor.controller.remember(successor.now, memory)
    before, after = gateway.controller.servers["cold"], successor.controller.servers["cold"]
    assert (after.cold_next, after.cold_gap) == (before.cold_next, before.cold_gap)
    assert successor.controller.servers["a"].cold_until >= successor.now + SETTINGS.cold_time


def upgraded(older: Gateway) -> Gateway:
    """Its successor, from its memory of this instant."""
    successor = Gateway(older.controller.settings, seed=8)
    successor.now = older.now
    cold(successor, since=100 * SECOND)
    successor.controller.remember(successor.now, json.loads(json.dumps(older.controller.memory())))
    return successor


def sent_until(end: int, *processes: Gateway) -> list[int]:
    """When one of them sent to `cold`; each looks every 10 ms, and its call has gone if it is held."""
    times = []
    for now in range(processes[0].now, end, 10 * MS):
        for process in processes:
            process.now = now
            times += [now] * sent(process)
            process.handle(CallerGone(process.next_call))
    return times


@pytest.mark.parametrize("word", [0, 20 * MS, 400 * MS])
def test_both_processes_of_an_upgrade_use_a_turn_once(word: int) -> None:
    """TERM: both processes of an upgrade count as one, also while word is on its way between them."""
    older = known(4)
    cold(older)
    view = older.controller.servers["cold"]
    gap, older.now = view.cold_gap, view.cold_next - 10 * MS  # a turn begins meanwhile
    end, successor = older.now + 5 * gap, upgraded(older)
    times = sent_until(older.now + word, older, successor)
    older.controller.cede_cold(older.now, True)
    times += sent_until(end, successor, older)
    assert 4 <= len(times) <= 5 and min(b - a for a, b in pairwise(times)) >= gap - 10 * MS
    assert not sent(older) and len(older.controller.servers["cold"].standing) <= 1


def test_a_process_whose_successor_has_gone_has_its_turns_back_without_credit() -> None:
    """TERM: the turn that runs counts as used by whoever has gone; those missed are not made up for."""
    older = known(4)
    cold(older)
    view = older.controller.servers["cold"]
    older.controller.cede_cold(older.now, True)
    assert not sent_until(view.cold_next + 2 * view.cold_gap + 10 * MS, older)
    older.controller.cede_cold(older.now, False)
    older.now += 10 * MS
    assert not sent(older)
    begins = view.cold_next
    assert sent_until(begins + view.cold_gap, older) in ([begins], [begins + 10 * MS - begins % (10 * MS)])


def test_a_third_process_has_the_turns_alone() -> None:
    """TERM: the second process of an upgrade is itself succeeded; the turns are the third's alone."""
    first = known(4)
    cold(first)
    second = upgraded(first)
    first.controller.cede_cold(first.now, True)
    second.controller.cede_cold(second.now, True)
    third = upgraded(second)
    view = third.controller.servers["cold"]
    end = view.cold_next + 2 * view.cold_gap
    assert not sent_until(end, first) and not sent_until(end, second) and len(sent_until(end, third)) == 2


def test_a_call_that_is_open_where_turns_are_ceded_goes_elsewhere() -> None:
    """TERM: a resend of the older process of an upgrade; one for the cold server alone is refused."""
    gateway = known(4)
    cold(gateway)
    view = gateway.controller.servers["cold"]
    gateway.now = view.cold_next
    for among in (frozenset({0, 9}), frozenset({9})):
        gateway.now = view.cold_next
        gateway.offer(dest=9, among=among)
        assert gateway.of(Send)[0].server == "cold"
        gateway.ended("cold", Outcome.RESET)
        gateway.controller.cede_cold(gateway.now, True)
        met = gateway.run_timers(4 * SECOND, (Send, Refuse, Fail))
        assert [getattr(action, "server", None) for action in met] == ["a" if 0 in among else None]
        gateway.controller.cede_cold(gateway.now, False)
    gateway.now = view.cold_until
    gateway.controller.cede_cold(gateway.now, True)
    assert sent(gateway)  # it is warm


class Facade:
    """The decisions of a process alone with one cold server; budget: one set-up in the time of a fall."""

    def __init__(self) -> None:
        self.now, self.number = timedelta(seconds=100), 0
        self.server = Server("cold", ("127.0.0.1", 1), 9, ServerStatus.READY, started=self.now)
        self.decisions = Decisions(replace(SETTINGS, group_size=1), 1, lambda: self.now)
        self.decisions.report(ListTold((self.server,), whole=True))

    def pick(self) -> Attempt | None:
        """A call 100 ms later; its attempt, or it is given up."""
        self.now += timedelta(milliseconds=100)
        self.number += 1
        request = Request(f"{self.number}", 0, "log", f"{self.number}", timedelta(seconds=3), self.now, 9,
                          among=frozenset({9}))  # fmt: skip
        if isinstance(sent := self.decisions.pick(request), Dispatch):
            return Attempt(request, sent.index, "cold", self.now, sent.wait)
        self.decisions.report(CallerLeft(request.id))
        self.decisions.drop(request.id)
        return None

    def stand(self, seconds: int) -> int:
        """How many of so long calls stand, and end."""
        attempts = [attempt for _ in range(seconds * 10) if (attempt := self.pick()) is not None]
        for attempt in attempts:
            self.decisions.report(Stood(attempt))
            self.decisions.report(Ended(attempt, Ending.COMPLETED, closed=True))
        return len(attempts)


@pytest.mark.parametrize("anew", [False, True])
def test_a_process_that_ceded_its_turns_sends_nothing_also_where_ratings_start_anew(anew: bool) -> None:
    """TERM: word of the successor, and that it has gone, reaches whoever decides, through the facade."""
    process = Facade()
    assert process.stand(5) >= 1
    process.decisions.cede_cold(True)
    if anew:
        process.decisions.start_anew((process.server,))
    assert not process.stand(5)
    process.decisions.cede_cold(False)
    assert 1 <= process.stand(5) <= 3


def test_where_ratings_start_anew_calls_of_before_use_no_turn_beside_the_new_ones() -> None:
    """TERM: one owner of a process's turns; a call of before whose attempt was reset is refused."""
    process = Facade()
    warm = Server("warm", ("127.0.0.1", 1), 8, ServerStatus.READY)
    process.decisions.report(ListTold((warm,), whole=False))
    process.decisions.report(LoadTold("warm", {"free": 800.0, "size": 1600.0}))  # turns come soon
    attempt = next(found for _ in range(99) if (found := process.pick()) is not None)
    process.decisions.start_anew((process.server,))
    process.decisions.report(Ended(attempt, Ending.SETUP_RESET, closed=False))
    decisions: list[Decision] = []
    while (due := process.decisions.next_tick()) is not None and not decisions:
        process.now = max(process.now, due)
        decisions = process.decisions.tick(process.now)
    assert [type(decision) for decision in decisions] == [Decline]


def test_the_memory_of_an_older_version_leaves_no_cold_server_open(gateway: Gateway) -> None:
    """TERM: an upgrade from a process whose memory has no turns; none goes before the next review."""
    cold(gateway)
    memory = gateway.controller.memory()
    del memory["servers"]["cold"]["cold_gap"], memory["servers"]["cold"]["cold_turn"]
    successor = Gateway(seed=8)
    successor.list(successor.entry("cold", 9), kind=ListKind.CHANGES)
    successor.controller.remember(successor.now, memory)
    view = successor.controller.servers["cold"]
    view.cold_next = successor.now - 700 * MS
    assert not view.cold_room(successor.now) and view.cold_until > successor.now
