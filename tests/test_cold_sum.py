"""A cold log server under the sum of a fleet, counted at the server in virtual time."""

from __future__ import annotations

import json
from dataclasses import replace

import pytest
from benchmarks.cold_worlds import play
from conftest import MS, SECOND, SETTINGS, Gateway

from quincestand import ListKind, Send, ServerReport
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


def cold(gateway: Gateway) -> None:
    gateway.list(gateway.entry("cold", 9, boot=gateway.now), kind=ListKind.CHANGES)


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
