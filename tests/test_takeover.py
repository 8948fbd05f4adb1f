"""Calls of a lost machine: the plan by itself, and a machine that is killed with its disk under standing
calls.
"""

from __future__ import annotations

import asyncio
from datetime import timedelta
from pathlib import Path

import pytest

from mallowquay.core.model import Level
from mallowquay.settings import ConfigError
from mallowquay.settings.operator import load_operator
from mallowquay.takeover.plan import Plan, PlanTerms
from rigs.fleet.loss import TAKEOVER, lose_first_machine
from rigs.fleet.rig import Rig

MS, SECOND = timedelta(milliseconds=1), timedelta(seconds=1)
TERMS = PlanTerms(hold=500 * MS, within=20 * SECOND)


def ended(
    plan: Plan, levels: dict[str, Level], span: timedelta, now: timedelta = SECOND
) -> list[tuple[int, str]]:
    """The calls in the order in which they are ended, with the second of each."""
    found = []
    step = 20 * MS
    for count in range(span // step):
        at = now + count * step
        found += [((at - now) // SECOND, call) for call in plan.due(at, levels)]
    return found


def test_a_call_is_ended_once_and_not_before_its_hold() -> None:
    plan = Plan(TERMS)
    assert plan.adopt(SECOND, "a", "s", 5) and not plan.adopt(SECOND, "a", "s", 5)
    assert plan.due(SECOND + 499 * MS, {}) == []
    assert plan.due(SECOND + 500 * MS, {}) == ["a"]
    assert plan.due(9 * SECOND, {}) == [] and len(plan) == 0 and plan.ended == 1


def test_one_that_ended_by_itself_is_left_alone() -> None:
    plan = Plan(TERMS)
    plan.adopt(SECOND, "a", "s", 5)
    plan.over("a")
    assert plan.due(9 * SECOND, {}) == [] and plan.ended == 0


@pytest.mark.parametrize(
    ("level", "a_second"), [(Level.NORMAL, 400), (Level.WARNING, 100), (Level.CRITICAL, 20), (None, 100)]
)
def test_releases_keep_the_pace_that_a_log_server_bears(level: Level | None, a_second: int) -> None:
    plan = Plan(PlanTerms(hold=timedelta(0), within=1000 * SECOND))
    for number in range(3000):
        plan.adopt(SECOND, f"c{number}", "s", number)
    levels = {} if level is None else {"s": level}
    seconds = [at for at, _ in ended(plan, levels, 5 * SECOND)]
    for second in range(5):
        assert seconds.count(second) <= a_second * 1.15 + 1
    assert len(seconds) >= 4.7 * a_second


def test_the_oldest_first_and_all_in_time_whatever_the_pace() -> None:
    plan = Plan(PlanTerms(hold=timedelta(0), within=10 * SECOND))
    for number in range(2000):
        plan.adopt(SECOND, f"c{number:04d}", "s", 5000 - number)
    found = ended(plan, {"s": Level.CRITICAL}, 12 * SECOND)
    assert len(found) == 2000 and found[-1][0] <= 10
    order = [call for _, call in found]
    assert order == sorted(order, reverse=True)


def test_one_slow_log_server_does_not_hold_up_another() -> None:
    plan = Plan(PlanTerms(hold=timedelta(0), within=1000 * SECOND))
    for number in range(600):
        plan.adopt(SECOND, f"a{number}", "slow", number)
        plan.adopt(SECOND, f"b{number}", "well", number)
    found = ended(plan, {"slow": Level.CRITICAL, "well": Level.NORMAL}, 2 * SECOND)
    assert sum(call[0] == "b" for _, call in found) == 600 and sum(call[0] == "a" for _, call in found) < 50


def test_the_file(tmp_path: Path) -> None:
    file = tmp_path / "f.toml"
    base = 'sip.udp = "127.0.0.1:5060"\n[[classes]]\nname = "x"\naim_ms = 1\ndeadline_ms = 2\n'
    base += '[[servers]]\nid = "s"\naddress = "127.0.0.1:5"\n[takeover]\n'
    for text, fault in (
        ("", "takeover: there are no copies"),
        ('addresses = "move"\n', "takeover.addresses: must be 'stay', not 'move'"),
    ):
        file.write_text(base + text)
        with pytest.raises(ConfigError, match=fault):
            load_operator(str(file))


def test_calls_of_a_machine_that_is_lost_with_its_disk_are_ended_on_both_sides() -> None:
    """Nobody else ends them here: without a survivor each would hang."""

    async def body() -> None:
        async with Rig(3, 3, rate=20.0, extra=TAKEOVER) as rig:
            loss = await lose_first_machine(rig)
        assert len(loss.calls) >= 25
        assert not loss.unreleased, loss.unreleased[:3]
        assert loss.ended >= len(loss.calls)
        assert loss.silent_sides == 0
        assert not loss.others_released, "only calls of the lost machine are ended"
        assert loss.double_answers == 0

    asyncio.run(body())
