"""Each judge of districts sees nothing in a history as promised, and what is amiss in a spoilt one."""

from __future__ import annotations

import random
from collections.abc import Callable
from copy import deepcopy

import pytest

from rigs.fleet.history import Event
from rigs.together.clients import Wanted, nothing_missing, only_what_matches, told_once
from rigs.together.clocks import fired_once
from rigs.together.checkers import judge
from rigs.together.hindsight import best, served, servers_of

SECOND = 1_000_000
SITES = ("reykjavik", "akureyri", "isafjordur")
WHERE = {f"g{number + 1}": SITES[number // 2] for number in range(6)}
SERVERS = {f"log-{number}": [SITES[number], 40.0] for number in range(3)}
LOSS, END = 10 * SECOND, 26 * SECOND
RATE = 96  # calls a second of all districts


def call(
    number: int, at: int, kind: str, member: str, server: str | None, wait_ms: int = 0, end: int = 300_000
) -> Event:
    """One that stands at a log server, or is refused."""
    stood = server is not None
    fields = {
        "id": f"{number:08x}",
        "kind": kind,
        "district": WHERE[member],
        "site": WHERE[member],
        "finals": [[at + 20_000, 200 if stood else 503, wait_ms]],
        "attempts": [[server, at + 1000, at + 1000, at + 15_000, "200", at + 1000]] if stood else [],
        "released": at + end + 1000 if stood else 0,
        "cause": 16 if stood else 0,
        "over": at + end if stood else 0,
        "excuse": "",
    }
    return Event(at, "call", member, fields)


def history(fault: str = "site_killed") -> list[Event]:
    """A district is lost, or cut off; all that can be served is, and the class worth most first."""
    chance = random.Random(1)
    layout = {"where": WHERE, "ceiling": 0.9, "sites": True, "set_ups_per_s": 40.0, "servers": SERVERS}
    events = [Event(0, "layout", "", layout)]
    for name, (site, capacity) in SERVERS.items():
        events.append(Event(0, "server_up", name, {"district": site, "capacity": capacity, "cold_s": 0.0}))
    killed = fault == "site_killed"
    names = [name for name, site in WHERE.items() if site == SITES[0]]
    events.append(Event(LOSS, "fault", SITES[0], {"fault": fault, "names": names}))
    if killed:
        events.append(Event(LOSS, "server_down", "log-0", {"district": SITES[0], "why": "killed"}))
    up = sorted(set(WHERE) - set(names))
    events.append(Event(LOSS + 3 * SECOND, "reading", "g3", {"majority": True, "up": up}))
    number = 0
    for half in range(2 * END // SECOND):
        lost = killed and half >= 2 * LOSS // SECOND
        within = SITES[1:] if lost else SITES
        room = {site: 20 for site in within}  # what its log server can do in half a second
        offered = []
        for place in range(RATE // 2):
            kind = "log-update" if place % 9 < 2 else "log-lookup"
            site = within[place // 9 % len(within)] if kind == "log-update" else within[place % len(within)]
            offered.append((kind != "log-update", place, kind, site))
        for _, place, kind, site in sorted(offered):
            at = half * SECOND // 2 + place * 10_000
            member = next(name for name, where in WHERE.items() if where == site)
            server = f"log-{SITES.index(site)}" if room[site] else None
            room[site] -= bool(room[site])
            events.append(call(number, at, kind, member, server, chance.randrange(500, 2500)))
            number += 1
    return events


WELL = {fault: history(fault) for fault in ("site_killed", "site_cut_off")}
Spoil = Callable[[list[Event]], None]


def calls(events: list[Event], begin: int = 0, kind: str = "") -> list[Event]:
    found = [event for event in events if event.what == "call" and event.at_us >= begin]
    return [event for event in found if kind in event.fields["kind"] and event.fields["attempts"]]


def refuse(event: Event) -> None:
    event.fields.update(finals=[[event.at_us + 20_000, 503, 900]], attempts=[], released=0, over=0)


def unanswered(events: list[Event]) -> None:
    calls(events)[50].fields["finals"].clear()


def twice(events: list[Event]) -> None:
    finals = calls(events)[50].fields["finals"]
    finals.append([finals[0][0] + 90_000, 503, 700])


def five(events: list[Event]) -> None:
    one = calls(events)[50].fields
    came = one["attempts"][0][1]
    one["attempts"] = [["log-1", came + 400_000 * n, 1, came + 400_000 * n + 9, "503", 0] for n in range(5)]


def two_out(events: list[Event]) -> None:
    one = calls(events)[50].fields
    came = one["attempts"][0][1]
    one["attempts"].append(["log-2", came + 5_000, came + 5_000, came + 9_000, "200", came + 5_000])


def a_copy_later(events: list[Event]) -> None:
    """Nobody was there to hear it, yet it was sent again after the next attempt began."""
    one = calls(events, LOSS + SECOND)[5].fields
    came = one["attempts"][0][1]
    one["attempts"].insert(0, ["log-0", came - 400_000, 0, 0, "dark", came + 100_000])


def cut(events: list[Event]) -> None:
    one = calls(events)[50].fields
    one["over"], one["cause"] = 0, 41


def fell(events: list[Event]) -> None:
    events.append(Event(END, "server_fell", "log-0", {"district": SITES[0], "came": 200, "allowed": 104.4}))


def crowded(events: list[Event]) -> None:
    """One district's log server has a third of another's calls on top of its own, for five seconds."""
    for number, event in enumerate(calls(events, LOSS)):
        if event.at_us < LOSS + 5 * SECOND and event.fields["site"] == SITES[2] and number % 3 == 0:
            event.fields["attempts"][0][0] = "log-1"


def wrong_ones(events: list[Event]) -> None:
    """A seventh of the class worth most is turned away, later than the first seconds."""
    for event in calls(events, LOSS + 7 * SECOND, "update")[::7]:
        refuse(event)


def wrong_at_first(events: list[Event]) -> None:
    for event in calls(events, LOSS, "update")[:100:4]:
        refuse(event)


def wasted(events: list[Event]) -> None:
    for event in calls(events, LOSS + 6 * SECOND, "lookup")[::9]:
        refuse(event)


def wasted_at_first(events: list[Event]) -> None:
    for event in calls(events, LOSS, "lookup")[:300:3]:
        refuse(event)


def idle_inside(events: list[Event]) -> None:
    for number, event in enumerate(calls(events, LOSS)):
        if event.fields["site"] == SITES[0] and number % 3:
            refuse(event)


def a_herd(events: list[Event]) -> None:
    for event in events:
        if event.what == "call" and event.at_us >= LOSS and event.fields["kind"] == "log-lookup":
            refuse(event)
            event.fields["finals"][0][2] = max(0, 2000 - event.at_us % SECOND // 1000)


SPOILT: list[tuple[str, str, Spoil]] = [
    ("answered_once", "site_killed", unanswered),
    ("answered_once", "site_killed", twice),
    ("attempts_kept", "site_killed", five),
    ("one_out", "site_killed", two_out),
    ("one_out", "site_killed", a_copy_later),
    ("standing_kept", "site_killed", cut),
    ("none_fell", "site_killed", fell),
    ("ceilings_kept", "site_killed", crowded),
    ("worthiest_first", "site_killed", wrong_ones),
    ("worthiest_first", "site_killed", wrong_at_first),
    ("near_the_best", "site_killed", wasted),
    ("near_the_best", "site_killed", wasted_at_first),
    ("inside_served", "site_cut_off", idle_inside),
    ("come_back_spread", "site_killed", a_herd),
]


@pytest.mark.parametrize("fault", WELL)
def test_a_history_as_promised_has_no_violations(fault: str) -> None:
    assert {name: texts for name, texts in judge(WELL[fault]).items() if texts} == {}
    assert not any(judge([]).values())


@pytest.mark.parametrize(("checker", "fault", "spoil"), SPOILT, ids=lambda one: getattr(one, "__name__", one))
def test_a_spoilt_history_is_noticed(checker: str, fault: str, spoil: Spoil) -> None:
    events = deepcopy(WELL[fault])
    spoil(events)
    assert judge(events)[checker]


@pytest.mark.parametrize("spoil", [wrong_ones, wasted], ids=lambda one: one.__name__)
def test_a_span_in_which_the_rig_itself_stopped_is_not_judged_and_any_other_is(spoil: Spoil) -> None:
    """The log servers are the rig's: they answer late while it is stopped, whoever is tested."""
    for share, judged in ((0.02, True), (0.04, False)):
        events = deepcopy(WELL["site_killed"])
        spoil(events)
        events.append(Event(LOSS + SECOND, "lag", "", {"us": int(share * (END - LOSS))}))
        found = judge(events)
        assert bool(found["worthiest_first"] or found["near_the_best"]) is judged


def test_every_checker_has_a_history_that_it_fails() -> None:
    assert set(judge([])) == {checker for checker, _, _ in SPOILT}


def test_the_best_in_hindsight_is_what_is_left_and_the_worthiest_first() -> None:
    events = WELL["site_killed"]
    span = (LOSS + 2 * SECOND, LOSS + 12 * SECOND)
    updates = sum(event.at_us in range(*span) for event in calls(events, kind="update"))
    most = best(events, *span, 0.9)
    assert most == pytest.approx(2 * updates + (800 - updates), rel=1e-3)  # ten seconds of two log servers
    assert served(events, *span) == pytest.approx(most, rel=1e-3)
    where = servers_of(events)
    assert where.can("log-0", LOSS - SECOND, LOSS + SECOND) == pytest.approx(40.0)
    cold = [Event(0, "server_up", "log-9", {"district": "x", "capacity": 40.0, "cold_s": 15.0})]
    assert servers_of(cold).can("log-9", 0, SECOND) == pytest.approx(40 * (0.29 + 0.71 / 30))
    assert servers_of(cold).can("log-9", 20 * SECOND, 21 * SECOND) == pytest.approx(40.0)


# --- what clients of the events were told

UPDATES = Wanted('kind == "call.stood" && class == "log-update"',
                 lambda e: e["kind"] == "call.stood" and e.get("class") == "log-update")  # fmt: skip


def streamed() -> list[Event]:
    """A client that was told of each update that stood, and of a gap of g3 from 15 s to 17 s."""
    events = [event for event in WELL["site_cut_off"] if event.what == "call"]
    members = {name: {"life": "1.aaaa", "from": 1} for name in WHERE}
    lines: list[tuple[int, str, dict]] = [(2000, "from", {"members": members})]
    for number, one in enumerate(calls(events, kind="update")):
        told = {"kind": "call.stood", "member": one.name, "class": "log-update", "seq": number,
                "server": one.fields["attempts"][0][0], "at_ms": one.at_us // 1000 + 18}  # fmt: skip
        if one.name != "g3" or not 15 * SECOND <= one.at_us < 17 * SECOND:
            lines.append((told["at_ms"] + 5, "event", told))
    lines.append((17_000, "gap", {"member": "g3", "lost": None, "most": None}))
    lines.append((END // 1000 + 3000, "ended", {}))
    lines.sort(key=lambda line: line[0])
    stream = [Event(at * 1000, "stream", "a", {"line": what, "wall_ms": at, "told": told})
              for at, what, told in lines]  # fmt: skip
    return [Event(0, "wall", "", {"offset_us": 0}), *events, *stream]


def of_stream(events: list[Event], what: str = "event") -> list[int]:
    return [at for at, event in enumerate(events) if event.what == "stream" and event.fields["line"] == what]


def verdicts(events: list[Event]) -> dict[str, list[str]]:
    return {
        "told_once": told_once(events),
        "only_what_matches": only_what_matches(events, {"a": UPDATES}),
        "nothing_missing": nothing_missing(events, {"a": UPDATES}),
    }


def one_missing(events: list[Event]) -> None:
    del events[of_stream(events)[120]]


def gap_untold(events: list[Event]) -> None:
    del events[of_stream(events, "gap")[0]]


def gap_too_small(events: list[Event]) -> None:
    events[of_stream(events, "gap")[0]].fields["told"]["lost"] = 2


def made_up(events: list[Event]) -> None:
    one = deepcopy(events[of_stream(events)[120]])
    one.fields["told"].update(seq=9_999, member="g1", server="log-2")
    events.insert(of_stream(events)[121], one)


def twice_told(events: list[Event]) -> None:
    events.insert(of_stream(events)[121], events[of_stream(events)[120]])


def another_class(events: list[Event]) -> None:
    events[of_stream(events)[120]].fields["told"]["class"] = "log-lookup"


def out_of_order(events: list[Event]) -> None:
    mine = [at for at in of_stream(events) if events[at].fields["told"]["member"] == "g1"]
    events[mine[5]], events[mine[40]] = events[mine[40]], events[mine[5]]


@pytest.mark.parametrize(
    ("checker", "spoil"),
    [("nothing_missing", one_missing), ("nothing_missing", gap_untold), ("nothing_missing", gap_too_small),
     ("nothing_missing", made_up), ("told_once", twice_told), ("told_once", out_of_order),
     ("only_what_matches", another_class)],
    ids=lambda one: getattr(one, "__name__", one),
)  # fmt: skip
def test_a_spoilt_stream_is_noticed(checker: str, spoil: Spoil) -> None:
    events = streamed()
    assert not any(verdicts(events).values())
    events = deepcopy(events)
    spoil(events)
    assert verdicts(events)[checker]


@pytest.mark.parametrize("amiss", ["", "twice", "never", "early", "late"])
def test_a_closing_that_is_not_fired_once_and_in_time_is_noticed(amiss: str) -> None:
    at = {"": 20_100, "twice": 20_100, "never": 20_100, "early": 18_000, "late": 29_000}[amiss]
    told = {"kind": "closing.fired", "name": "noon", "member": "g2", "at_ms": at}
    other = {**told, "member": "g1", "at_ms": 20_050}
    lines = [other, *([] if amiss == "never" else [told, told] if amiss == "twice" else [told])]
    events = [Event(0, "closing", "noon", {"at_ms": 20_000})]
    events += [Event(at, "stream", "a", {"line": "event", "told": line}) for line in lines]
    found, late = fired_once(events, ["g1", "g2"])
    assert bool(found) is bool(amiss) and 50 in late
