"""Judges of a history. They believe what was seen from outside: readings of the second address, what the
rig did,
what callers and log servers met. Each returns its violations as text, and sees none in an empty history.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from .history import Event
from .schedule import FORGETS
from .wire import one_leader, one_proposal, one_vote

Violations = list[str]


@dataclass(frozen=True, slots=True)
class Bounds:
    """Spans in microseconds; what the rig itself was late is added to those that are about time."""

    heals: int = 20_000_000  # after the last fault until all hold one view
    false_down: int = 6_000_000  # how long a member that is there may be down by a view
    calm: int = 12_000_000  # without any fault, before a member that is down counts as falsely so
    stands_down: int = 8_000_000  # until the older of two with one name is out


def _readings(events: Iterable[Event]) -> list[Event]:
    return [event for event in events if event.what == "reading"]


def one_majority(events: list[Event]) -> Violations:
    """No two members may act on views of different terms at one moment."""
    claims = []
    for event in _readings(events):
        told = event.fields
        if told["majority"]:
            begin = told["at_us"]
            claims.append((begin, begin + 1000 * told["lease_ms"], told["lease_term"], event.name))
    claims.sort()
    found: Violations = []
    open_claims: list[tuple[int, int, int, str]] = []
    for begin, end, term, name in claims:
        open_claims = [claim for claim in open_claims if claim[1] > begin]
        for _, _, other, other_name in open_claims:
            if other != term:
                found.append(f"{name} by term {term} while {other_name} by term {other} at {begin}")
                break
        open_claims.append((begin, end, term, name))
    return found


def one_view_a_number(events: list[Event]) -> Violations:
    """A number stands for one view, whoever tells it; and nobody goes back."""
    found: Violations = []
    seen: dict[int, tuple[object, ...]] = {}
    newest: dict[tuple[str, str], int] = {}
    for event in _readings(events):
        told = event.fields
        if told["view"] == 0:
            continue
        lives = tuple(sorted(told["lives"].items()))
        content = (told["view_term"], tuple(told["configured"]), tuple(told["up"]), lives)
        before = seen.setdefault(told["view"], content)
        if before != content:
            found.append(f"view {told['view']} is {content} at {event.name}, and {before} elsewhere")
        key = (event.name, told["life"])
        if told["view"] < newest.get(key, 0):
            found.append(f"{event.name} went back from view {newest[key]} to {told['view']}")
        newest[key] = max(newest.get(key, 0), told["view"])
    return found


def lives_differ(events: list[Event]) -> Violations:
    """No process shows a life that another one had; a settled life is numbered above all before it."""
    found: list[str] = []
    process: dict[str, int] = {}
    owners: dict[str, tuple[str, int]] = {}
    highest: dict[str, tuple[int, int]] = {}  # name: number, process
    for event in events:
        if event.what == "started":
            process[event.name] = event.fields["pid"]
        elif event.what == "reading":
            told, pid = event.fields, event.fields["pid"]
            own = (event.name, pid)
            if owners.setdefault(told["life"], own) != own:
                found.append(f"life {told['life']} was {owners[told['life']]} and is {own}")
            if told["trust"] != "trusted" or told["stood_down"]:
                continue
            number, before = highest.get(event.name, (0, pid))
            if pid != before and told["number"] <= number and event.fields["started_us"] > 0:
                found.append(f"{event.name}: life {told['number']} after {number}")
            if told["number"] >= number:
                highest[event.name] = (told["number"], pid)
    return list(dict.fromkeys(found))


def disks_kept(events: list[Event]) -> Violations:
    """A machine that was started again on its own disk goes on by it."""
    found = []
    marks: dict[str, str] = {}
    forgot: set[str] = set()
    for event in events:
        if event.what == "fault" and event.fields["fault"] in FORGETS:
            forgot |= set(event.fields["names"])
        elif event.what == "twin":
            forgot.add(event.name)
        elif event.what == "reading":
            told = event.fields
            mark = marks.setdefault(event.name, told["disk_mark"])
            if told["disk_mark"] != mark and event.name not in forgot:
                found.append(f"{event.name} has disk {told['disk_mark']} where it had {mark}")
            marks[event.name] = told["disk_mark"]
    return found


def healed(events: list[Event], bounds: Bounds) -> tuple[Violations, list[int]]:
    """After each mending all that run hold one view with all of them up; how long each took."""
    found, spans = [], []
    for index, event in enumerate(events):
        if event.what != "mended":
            continue
        expected = set(event.fields["running"])
        latest: dict[str, dict] = {}
        lag, done = 0, None
        for later in events[index + 1 :]:
            if later.what == "fault":
                break
            if later.what == "lag":
                lag += later.fields["us"]
            if later.what != "reading" or later.name not in expected:
                continue
            latest[later.name] = later.fields
            if set(latest) == expected and all(
                told["majority"] and set(told["up"]) == expected for told in latest.values()
            ) and len({told["view"] for told in latest.values()}) == 1:  # fmt: skip
                done = later.at_us - event.at_us
                break
            if later.at_us - event.at_us > bounds.heals + lag:
                break
        if done is None:
            amiss = {name: (told["view"], told["majority"], told["up"]) for name, told in latest.items()}
            found.append(f"not healed within {bounds.heals / 1e6:.0f} s of {event.at_us}: {amiss}")
        else:
            spans.append(done)
    return found, spans


def nobody_falsely_down(events: list[Event], bounds: Bounds) -> Violations:
    """In calm times no member that runs is down by a view that holds, for longer than stated."""
    found = []
    running: set[str] = set()
    last_fault = 0
    since: dict[str, int] = {}
    for event in events:
        if event.what in ("fault", "mended", "started"):
            last_fault = event.at_us
            since.clear()
        elif event.what == "lag":  # the rig stood still, and perhaps the members with it
            last_fault += event.fields["us"]
            since = {name: begun + event.fields["us"] for name, begun in since.items()}
        if event.what == "started":
            running.add(event.name)
        elif event.what == "ended":
            running.discard(event.name)
        if event.what != "reading" or not event.fields["majority"]:
            continue
        for name in running & set(event.fields["configured"]):
            if name in event.fields["up"]:
                since.pop(name, None)
            elif event.at_us - last_fault > bounds.calm:
                begun = since.setdefault(name, event.at_us)
                if event.at_us - begun > bounds.false_down:
                    found.append(f"{name} runs and is down by {event.name} since {begun}")
                    since[name] = event.at_us + 1_000_000_000
    return found


def older_stands_down(events: list[Event], bounds: Bounds) -> Violations:
    """Of two processes with one name the older is out in time, and the newer is not."""
    found = []
    for index, event in enumerate(events):
        if event.what != "twin":
            continue
        old, new = event.fields["old"], event.fields["new"]
        down = None
        for later in events[index + 1 :]:
            if later.what != "reading":
                continue
            if later.fields["pid"] == new and later.fields["stood_down"]:
                found.append(f"{event.name}: the newer process stood down")
                break
            if later.fields["pid"] == old and later.fields["stood_down"]:
                down = later.at_us - event.at_us
                break
        if down is None or down > bounds.stands_down:
            found.append(f"{event.name}: the older process was not out in time ({down})")
    return found


def calls_kept(events: list[Event]) -> Violations:
    """What callers and log servers counted."""
    found = []
    for event in events:
        if event.what == "calls":
            for name in ("double", "missing", "two attempts out", "sent again too soon"):
                if event.fields.get(name):
                    found.append(f"calls: {name}: {event.fields[name]} {event.fields.get('which', '')}")
    return found


def promises_kept(events: list[Event]) -> Violations:
    """What was granted is there at the end, with one machine; what was revoked is nowhere."""
    granted: set[str] = set()
    asked: set[str] = set()
    revoked: set[str] = set()
    last: dict[str, list[str]] = {}
    shown = False
    for event in events:
        if event.what == "granted":
            granted.add(event.fields["key"])
        elif event.what == "revoking":
            asked.add(event.fields["key"])
        elif event.what == "revoke_refused":
            asked.discard(event.fields["key"])
        elif event.what == "revoked":
            revoked.add(event.fields["key"])
        elif event.what == "leases":
            last[event.name], shown = event.fields["keys"], True
    if not shown:
        return []
    held: dict[str, list[str]] = {}
    for name, keys in last.items():
        for key in keys:
            held.setdefault(key, []).append(name)
    lost = sorted(granted - asked - set(held))
    back = sorted(revoked & set(held))
    twice = sorted(key for key, names in held.items() if len(names) > 1)
    found = []
    for what, keys in (("lost", lost), ("came back", back), ("at two machines", twice)):
        if keys:
            found.append(f"{len(keys)} leases {what}, as {keys[:3]}")
    return found


def no_errors(events: list[Event]) -> Violations:
    """No process logged an error that the rig had not caused by its disk."""
    return [f"{event.name}: {event.fields['first']}" for event in events if event.what == "errors"]


def nobody_crashed(events: list[Event]) -> Violations:
    """No process ended by itself."""
    return [f"{event.name} ended with {event.fields['code']}" for event in events if event.what == "crashed"]


def judge(events: list[Event], bounds: Bounds = Bounds()) -> tuple[dict[str, Violations], list[int]]:
    """All checkers by name, and the spans of healing in microseconds."""
    not_healed, spans = healed(events, bounds)
    plain: dict[str, Callable[[list[Event]], Violations]] = {
        "one_majority": one_majority,
        "one_view_a_number": one_view_a_number,
        "lives_differ": lives_differ,
        "disks_kept": disks_kept,
        "calls_kept": calls_kept,
        "nobody_crashed": nobody_crashed,
        "promises_kept": promises_kept,
        "no_errors": no_errors,
        "one_leader": one_leader,
        "one_vote": one_vote,
        "one_proposal": one_proposal,
    }
    found = {name: check(events) for name, check in plain.items()}
    found["healed"] = not_healed
    found["nobody_falsely_down"] = nobody_falsely_down(events, bounds)
    found["older_stands_down"] = older_stands_down(events, bounds)
    return found, spans
