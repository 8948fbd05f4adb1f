"""Judges of what districts did together. They read callers' and log servers' words alone, never a
gatekeeper's.

Each takes a history, returns its violations as text, and sees none in an empty history. `judge` plays all.
Spans in microseconds; what is said of shares needs enough calls to be said at all (`FEW`).
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from math import sqrt

from ..fleet.history import Event
from . import hindsight
from .callers import AIM_US, WORTH
from .hindsight import BIN, calls_of, outcome, servers_of, shares, word_of_view

Violations = list[str]
ATTEMPTS_MOST = 4
FEW = 40  # calls, below which a share says little
RELEASED = 16  # the cause of an end in order


@dataclass(frozen=True, slots=True)
class Bounds:
    """What is promised, with a stated slack for chance."""

    over_ceiling_us: int = 3_000_000  # how long a log server may be above its ceiling at a stretch
    ceiling_window: int = 2_000_000
    ceiling_slack: float = 2.0  # standard deviations of the count
    worth_most: float = 0.97  # share of the class worth most while others are refused
    worth_most_first: float = 0.90  # in the first seconds after a loss
    first_us: int = 6_000_000
    of_best: float = 0.97  # of the worth that the flow could have had, from 3 s after the view's word
    of_best_first: float = 0.90
    after_word_us: int = 3_000_000
    spans_least: int = 4_000_000  # a shorter span says little: what is at its ends weighs too much
    busy: float = 0.03  # of a span, for which the rig itself stopped: its log servers answered late, too
    inside: float = 0.9  # of what a cut-off side's own log servers could have done for its callers
    spread: float = 0.5  # the refused of one second must not all be told to come back within this part of it


def answered_once(events: list[Event]) -> Violations:
    """Each call has exactly one final answer, unless the rig took its gatekeeper away."""
    found = []
    for call in events:
        if call.what != "call":
            continue
        finals = call.fields["finals"]
        if len(finals) > 1:
            found.append(f"call {call.fields['id']} at {call.name}: {[final[1] for final in finals]}")
        elif not finals and not call.fields["excuse"]:
            found.append(f"call {call.fields['id']} at {call.name} was never answered")
    return found


def attempts_kept(events: list[Event]) -> Violations:
    """At most four attempts a call, whoever was there to hear them."""
    return [
        f"call {call.fields['id']}: {len(call.fields['attempts'])} attempts"
        for call in events
        if call.what == "call" and len(call.fields["attempts"]) > ATTEMPTS_MOST
    ]


def one_out(events: list[Event]) -> Violations:
    """Never two attempts of a call out at once, as log servers and their links see it.

    What died or was cut off with an attempt cannot be told that it is given up: there only a copy of its
    set-up that comes after a later attempt began shows that it is still out.
    """
    downs = [(name, span[1]) for name, spans in servers_of(events).spans.items() for span in spans]
    troubled = _troubled(events)
    found = []
    for call in events:
        if call.what != "call" or call.fields["excuse"]:
            continue
        attempts = sorted(call.fields["attempts"], key=lambda one: one[1])
        for number, (server, came, trying, ended, _, last) in enumerate(attempts):
            for later in attempts[number + 1 :]:
                deaf = not trying or any(name == server and came <= down < later[1] for name, down in downs)
                deaf = deaf or any(begin - 1_000_000 <= later[1] and came < end for begin, end in troubled)
                if last > later[1] or (not deaf and (not ended or later[1] < ended)):
                    found.append(f"call {call.fields['id']}: out at {server} and {later[0]} at once")
    return found


def _troubled(events: list[Event]) -> list[tuple[int, int]]:
    """Spans in which words between a gatekeeper and a log server may have been lost or late."""
    found: list[tuple[int, int]] = []
    since = 0
    for event in events:
        if event.what == "fault" and event.fields["fault"] in ("site_cut_off", "site_slow"):
            since = since or event.at_us
        elif event.what == "fault" and event.fields["fault"] == "site_joined" and since:
            found.append((since, event.at_us + 3_000_000))
            since = 0
    return found + ([(since, hindsight.FOREVER)] if since else [])


def ceilings_kept(events: list[Event], bounds: Bounds = Bounds()) -> Violations:
    """No district's log servers are loaded above their ceiling with others' calls for longer than stated."""
    layout = next((event.fields for event in events if event.what == "layout"), None)
    calls = [event for event in events if event.what == "call"]
    if layout is None or not calls:
        return []
    where, ceiling = servers_of(events), layout["ceiling"]
    begin, end = min(c.at_us for c in calls), max(c.at_us for c in calls)
    window = bounds.ceiling_window // BIN
    size = (end - begin) // BIN + 1
    total: dict[str, list[int]] = defaultdict(lambda: [0] * size)
    others: dict[str, list[int]] = defaultdict(lambda: [0] * size)
    for call in calls:
        for server, at, trying, *_ in call.fields["attempts"]:
            slot = (at - begin) // BIN
            if trying and slot < size:
                site = where.district[server]
                total[site][slot] += 1
                others[site][slot] += site != call.fields["district"]
    found = []
    for site in total:
        over, begun = 0, 0
        for slot in range(size - window):
            came = sum(total[site][slot : slot + window])
            from_others = sum(others[site][slot : slot + window])
            a = begin + slot * BIN
            can = sum(where.can(name, a, a + window * BIN) for name, d in where.district.items() if d == site)
            most = ceiling * can
            above = came > most + bounds.ceiling_slack * sqrt(most)
            # Its own callers may load it to all it can do: only what others add beyond the ceiling counts.
            if above and from_others > bounds.ceiling_slack * sqrt(max(1.0, most)):
                begun = begun or a
                over += BIN
            else:
                over, begun = 0, 0
            if over > bounds.over_ceiling_us:
                found.append(f"{site}: {came} set-ups in {window * BIN / 1e6:.0f} s with {from_others} of "
                             f"others', where {most:.0f} are allowed, since {begun}")  # fmt: skip
                break
    return found


def none_fell(events: list[Event]) -> Violations:
    """No cold log server is pushed over."""
    return [
        f"{event.name} of {event.fields['district']} fell at {event.at_us}: "
        f"{event.fields['came']} set-ups in 3 s, {event.fields['allowed']} allowed"
        for event in events
        if event.what == "server_fell"
    ]


def worthiest_first(events: list[Event], bounds: Bounds = Bounds()) -> Violations:
    """While others are turned away, the class worth most is served."""
    dear = max(WORTH, key=lambda kind: WORTH[kind])
    found = []
    for at, name, end in phases(events):
        if busy(events, at, end) > bounds.busy:
            continue
        for begin, until, least in (
            (at, min(end, at + bounds.first_us), bounds.worth_most_first),
            (min(end, at + bounds.first_us), end, bounds.worth_most),
        ):
            told = shares(events, begin, until)
            cheap = [part for kind, part in told.items() if kind != dear]
            part = told.get(dear, {"offered": 0})
            had, count = part.get("stood", 0.0), part["offered"]
            if not any(one.get("refused") for one in cheap) or count < FEW:
                continue
            if had < least - _chance(count, least):
                found.append(
                    f"{dear} after {name}: {had:.3f} of {count} in time, where {least} is promised, "
                    f"from {(begin - at) / 1e6:.0f} s on"
                )
    return found


def _chance(count: int, share: float) -> float:
    """One standard deviation of a share."""
    return sqrt(share * (1 - share) / count)


def busy(events: list[Event], begin: int, end: int) -> float:
    """The part of a span for which the rig stood still; what it says of time then is no fault of others."""
    late = sum(e.fields["us"] for e in events if e.what == "lag" and begin - 3_000_000 <= e.at_us < end)
    return late / max(1, end - begin)


def phases(events: list[Event]) -> list[tuple[int, str, int]]:
    """From each fault on a district to the next one, or until those who come after may still fill all."""
    faults = [(event.at_us, f"{event.fields['fault']} of {event.name}") for event in events
              if event.what == "fault" and event.fields["fault"].startswith("site_")]  # fmt: skip
    calls = [event.at_us for event in events if event.what == "call"]
    if not calls:
        return []
    ends = [at for at, _ in faults[1:]] + [max(calls) - max(AIM_US.values())]
    return [(at, name, end) for (at, name), end in zip(faults, ends, strict=True) if end > at]


def near_the_best(events: list[Event], bounds: Bounds = Bounds()) -> Violations:
    """Worth served against the best in hindsight, at first and from 3 s after the view's word on."""
    found = []
    for at, name, end, ratio_first, ratio_later in ratios(events, bounds):
        if ratio_first is not None and ratio_first < bounds.of_best_first:
            found.append(
                f"after {name}: {ratio_first:.3f} of the best in the first {bounds.first_us / 1e6:.0f} s"
            )
        if ratio_later is not None and ratio_later < bounds.of_best:
            found.append(f"after {name}: {ratio_later:.3f} of the best from 3 s after the view's word on, "
                         f"for {(end - at) / 1e6:.0f} s")  # fmt: skip
    return found


def ratios(
    events: list[Event], bounds: Bounds = Bounds()
) -> list[tuple[int, str, int, float | None, float | None]]:  # fmt: skip
    """Each loss: when, what, until when, and the worth served of the best: at first, and later."""
    layout = next((event.fields for event in events if event.what == "layout"), None)
    if layout is None:
        return []
    found = []
    for at, name, end in phases(events):
        if not name.startswith(("site_killed", "site_cut_off")) or busy(events, at, end) > bounds.busy:
            continue
        lost = {member for member, site in layout["where"].items() if site == name.rpartition(" ")[2]}
        word = word_of_view(events, lost, at)
        first = _ratio(events, at, min(end, at + bounds.first_us), layout["ceiling"])
        begin = None if word is None else word + bounds.after_word_us
        later = (
            None
            if begin is None or end - begin < bounds.spans_least
            else _ratio(events, begin, end, layout["ceiling"])
        )
        found.append((at, name, end, first, later))
    return found


def _ratio(events: list[Event], begin: int, end: int, ceiling: float) -> float | None:
    most = hindsight.best(events, begin, end, ceiling)
    return hindsight.served(events, begin, end) / most if most >= FEW else None


def standing_kept(events: list[Event]) -> Violations:
    """Nobody who stands is cut to make room: a call's own parties end it, or what befell its machines."""
    gone = [(name, span[1]) for name, spans in servers_of(events).spans.items() for span in spans]
    found = []
    for call in events:
        if call.what != "call" or call.fields["excuse"] or not call.fields["released"]:
            continue
        stood = [one[0] for one in call.fields["attempts"] if one[4] == "200"]
        fell = any(name in stood and down <= call.fields["released"] for name, down in gone)
        early = not call.fields["over"] or call.fields["released"] < call.fields["over"] - 50_000
        if early and not fell:
            found.append(f"call {call.fields['id']} at {call.name} was cut with cause {call.fields['cause']}")
    return found


def inside_served(events: list[Event], bounds: Bounds = Bounds()) -> Violations:
    """A side that is cut off serves its callers on its own log servers."""
    layout = next((event.fields for event in events if event.what == "layout"), None)
    found = []
    for district, begin, end in servers_of(events).cut if layout else []:
        calls = [c for c in calls_of(events) if begin <= c.at_us < end]
        if not calls:
            continue
        end = min(end, max(c.at_us for c in calls))
        own = [event for event in events if event.what != "call" or event.fields["site"] == district]
        most = hindsight.best(own, begin, end, 1.0)
        had = hindsight.served(own, begin, end)
        if most >= FEW and had < bounds.inside * most:
            found.append(f"{district}, cut off: {had:.0f} served of {most:.0f} that its own could do")
    return found


def come_back_spread(events: list[Event], bounds: Bounds = Bounds()) -> Violations:
    """Those refused within one second are told times to come back that spread, not one moment for all."""
    by_second: dict[int, list[int]] = defaultdict(list)
    for call in calls_of(events):
        for at, status, wait in call.fields["finals"][:1]:
            if status == 503:
                by_second[at // 1_000_000].append(at + 1000 * wait)
    found = []
    for second, times in by_second.items():
        if len(times) < FEW:
            continue
        times.sort()
        half = len(times) // 2
        densest = min(times[number + half] - times[number] for number in range(len(times) - half))
        if densest < bounds.spread * 500_000:
            found.append(f"half of {len(times)} refused at {second} s come back within {densest / 1e6:.2f} s")
    return found


def judge(events: list[Event], bounds: Bounds = Bounds(), sites: bool = True) -> dict[str, Violations]:
    """All checkers by name. `sites`: also those that only a fleet with `[sites]` promises."""
    always: dict[str, Callable[[list[Event]], Violations]] = {
        "answered_once": answered_once,
        "attempts_kept": attempts_kept,
        "one_out": one_out,
        "standing_kept": standing_kept,
    }
    found = {name: check(events) for name, check in always.items()}
    if sites:
        found["none_fell"] = none_fell(events)
        found["ceilings_kept"] = ceilings_kept(events, bounds)
        found["worthiest_first"] = worthiest_first(events, bounds)
        found["near_the_best"] = near_the_best(events, bounds)
        found["inside_served"] = inside_served(events, bounds)
        found["come_back_spread"] = come_back_spread(events, bounds)
    return found


__all__ = ["Bounds", "judge", "outcome"]
