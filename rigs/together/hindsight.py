"""What a run came to, and what would have been best in hindsight, from its history alone.

The best is a least-cost flow over time: calls of each class, district and half second go to log servers of
each district within their aim, at most what those could do in each half second. Calls at a cut-off district's
gatekeepers stay there. A district that takes calls of another's callers may be loaded to its ceiling only,
with its own alone to all it can do, as the program's own plan has it.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Any

import numpy as np
from scipy.optimize import Bounds, LinearConstraint, milp
from scipy.sparse import coo_array

from ..fleet.history import Event
from .callers import AIM_US, WORTH
from .servers import COLD_FROM, micros

BIN = 500_000  # microseconds
COST = 1e-4  # of one call's worth for a call that leaves its district: ties stay at home
TOGETHER = 2  # half seconds in which a district takes others' calls, or does not
GAP, SOLVED_WITHIN = 0.002, 10.0  # of the solver: what is found is at most so much below the best; seconds
EVEN = 0.2  # loads are even when they differ by less than this part of their mean
EVEN_FOR = 4  # half seconds


@dataclass
class Servers:
    """Each log server's district, and what it could do at any moment."""

    district: dict[str, str] = field(default_factory=dict)
    capacity: dict[str, float] = field(default_factory=dict)
    spans: dict[str, list[tuple[int, int, int]]] = field(default_factory=lambda: defaultdict(list))
    cut: list[tuple[str, int, int]] = field(
        default_factory=list
    )  # districts, while nothing passes their border

    def can(self, name: str, begin: int, end: int) -> float:
        """Set-ups in a span, by its capacity in the middle of what of it the log server was up."""
        found = 0.0
        for up, down, cold in self.spans[name]:
            low, high = max(begin, up), min(end, down)
            if low < high:
                part = min(1.0, ((low + high) / 2 - up) / cold) if cold else 1.0
                rate = self.capacity[name] * (COLD_FROM + (1 - COLD_FROM) * part)
                found += rate * (high - low) / 1e6
        return found

    def cut_off(self, district: str, at: int) -> bool:
        """Whether its border was closed."""
        return any(name == district and begin <= at < end for name, begin, end in self.cut)


FOREVER = 1 << 62


def servers_of(events: list[Event]) -> Servers:
    """From what the rig noted of its log servers and faults."""
    found = Servers()
    up: dict[str, tuple[int, int]] = {}
    cut: dict[str, int] = {}
    for event in events:
        if event.what == "server_up":
            found.district[event.name] = event.fields["district"]
            found.capacity[event.name] = event.fields["capacity"]
            up[event.name] = (event.at_us, micros(event.fields["cold_s"]))
        elif event.what == "server_down" and event.name in up:
            begun, cold = up.pop(event.name)
            found.spans[event.name].append((begun, event.at_us, cold))
        elif event.what == "fault" and event.fields["fault"] == "site_cut_off":
            cut.setdefault(event.name, event.at_us)
        elif event.what == "fault" and event.fields["fault"] == "site_joined" and event.name in cut:
            found.cut.append((event.name, cut.pop(event.name), event.at_us))
    for name, (begun, cold) in up.items():
        found.spans[name].append((begun, FOREVER, cold))
    found.cut += [(name, begun, FOREVER) for name, begun in cut.items()]
    return found


def calls_of(events: list[Event]) -> list[Event]:
    """All calls that count, in the order in which they were offered."""
    calls = [event for event in events if event.what == "call" and not event.fields["excuse"]]
    return sorted(calls, key=lambda event: event.at_us)


def outcome(call: Event) -> str:
    """`stood`, `late`, `refused`, `failed` or `lost` (never answered), as its caller saw it first."""
    finals = call.fields["finals"]
    if not finals:
        return "lost"
    at, status = finals[0][:2]
    if status == 200:
        return "stood" if at - call.at_us <= AIM_US[call.fields["kind"]] else "late"
    return "refused" if status == 503 else "failed"


def best(events: list[Event], begin: int, end: int, ceiling: float) -> float:
    """The most worth that calls offered in a span could have had, beside those of before and after."""
    servers, calls = servers_of(events), [c for c in calls_of(events) if begin <= c.at_us < end]
    if not calls:
        return 0.0
    sites = sorted(set(servers.district.values()))
    groups = Counter(
        (call.fields["kind"], call.fields["site"], call.fields["district"], (call.at_us - begin) // BIN)
        for call in calls
    )
    others: Counter[tuple[str, int]] = Counter()  # calls of before and after the span that stood: they stay
    for call in events:
        if call.what == "call" and not begin <= call.at_us < end:
            for server, _, _, ended, how, *_ in call.fields["attempts"]:
                if how == "200" and ended >= begin:
                    others[servers.district[server], (ended - begin) // BIN] += 1
    names = list(groups)
    worths: list[float] = []  # of x[group, site, bin], then of whether a site takes others' in two bins
    entries: list[tuple[int, int, float]] = []  # row, column, part
    row_of: dict[Any, int] = {("group", name): number for number, name in enumerate(names)}
    limits = [float(groups[name]) for name in names]
    kinds: list[str] = []
    columns_of: dict[tuple[str, int], list[tuple[int, bool]]] = defaultdict(list)
    for name in names:
        kind, dialled, origin, at = name
        for late in range(AIM_US[kind] // BIN):
            slot = at + late
            middle = begin + slot * BIN + BIN // 2
            for site in sites:
                if site != dialled and (servers.cut_off(site, middle) or servers.cut_off(dialled, middle)):
                    continue
                entries.append((row_of["group", name], len(worths), 1.0))
                columns_of[site, slot].append((len(worths), site != origin))
                worths.append(-WORTH[kind] + COST * (site != origin))
                kinds.append(kind)
    takes: dict[tuple[str, int], int] = {}
    for (site, slot), columns in columns_of.items():
        a, b = begin + slot * BIN, begin + (slot + 1) * BIN
        can = sum(servers.can(name, a, b) for name, where in servers.district.items() if where == site)
        taking = takes.setdefault((site, slot // TOGETHER), len(worths) + len(takes))
        entries += [(len(limits), column, 1.0) for column, _ in columns]
        room = max(0.0, can - others[site, slot])
        entries.append((len(limits), taking, min(room, (1.0 - ceiling) * can)))
        limits.append(room)
        entries += [(len(limits), column, 1.0) for column, apart in columns if apart]
        entries.append((len(limits), taking, -ceiling * can))
        limits.append(0.0)
    size = len(worths) + len(takes)
    rows, columns_, parts = (np.array(part) for part in zip(*entries, strict=True))
    matrix = coo_array((parts, (rows, columns_)), shape=(len(limits), size)).tocsr()
    high = np.full(size, np.inf)
    high[len(worths) :] = 1.0
    whole = np.zeros(size)
    whole[len(worths) :] = 1.0
    found = milp(
        np.concatenate([worths, np.zeros(len(takes))]),
        constraints=LinearConstraint(matrix, -np.inf, np.array(limits)),
        bounds=Bounds(np.zeros(size), high),
        integrality=whole,
        options={"mip_rel_gap": GAP, "time_limit": SOLVED_WITHIN},
    )
    if found.x is None:
        raise ValueError(f"no flow was found: {found.message}")
    return float(sum(WORTH[kind] * flow for kind, flow in zip(kinds, found.x[: len(worths)], strict=True)))


def served(events: list[Event], begin: int, end: int) -> float:
    """The worth of the calls offered in a span that stood in time."""
    return sum(WORTH[call.fields["kind"]] for call in calls_of(events)
               if begin <= call.at_us < end and outcome(call) == "stood")  # fmt: skip


def shares(
    events: list[Event], begin: int, end: int, district: str | None = None
) -> dict[str, dict[str, Any]]:
    """By class: how many were offered in a span, and the share of each ending."""
    counts: dict[str, Counter[str]] = {kind: Counter() for kind in WORTH}
    for call in calls_of(events):
        if begin <= call.at_us < end and district in (None, call.fields["site"]):
            counts[call.fields["kind"]][outcome(call)] += 1
    return {
        kind: {"offered": total, **{what: round(count / total, 3) for what, count in ends.items()}}
        for kind, ends in counts.items() if (total := sum(ends.values()))
    }  # fmt: skip


def by_half_second(events: list[Event], zero: int) -> list[dict[str, Any]]:
    """Each half second from `zero` on, by class."""
    table: dict[tuple[int, str], Counter[str]] = defaultdict(Counter)
    for call in calls_of(events):
        table[(call.at_us - zero) // BIN, call.fields["kind"]][outcome(call)] += 1
    return [{"at_s": number * BIN / 1e6, "kind": kind, "offered": sum(ends.values()), **ends}
            for (number, kind), ends in sorted(table.items())]  # fmt: skip


def loads(events: list[Event], begin: int, end: int) -> dict[str, np.ndarray]:
    """Set-ups that each log server had, by half second."""
    size = max(1, -(-(end - begin) // BIN))
    found = {name: np.zeros(size) for name in servers_of(events).district}
    for call in events:
        if call.what == "call":
            for server, at, trying, *_ in call.fields["attempts"]:
                if trying and begin <= at < end:
                    found[server][(at - begin) // BIN] += 1
    return found


def even_after(events: list[Event], begin: int, end: int, among: list[str]) -> float | None:
    """Seconds until the log servers were loaded alike, by their capacity, and stayed so; None: never."""
    capacity = servers_of(events).capacity
    found = loads(events, begin, end)
    rows = np.array([found[name] / capacity[name] for name in among])
    window = np.ones(2 * EVEN_FOR) / (2 * EVEN_FOR)
    smooth = np.array([np.convolve(row, window, "valid") for row in rows])
    if smooth.size == 0:
        return None
    spread = (smooth.max(axis=0) - smooth.min(axis=0)) / np.maximum(smooth.mean(axis=0), 1e-9)
    even = spread < 2 * EVEN
    for number in range(len(even) - EVEN_FOR + 1):
        if even[number : number + EVEN_FOR].all():
            return number * BIN / 1e6
    return None


def word_of_view(events: list[Event], lost: set[str], after: int) -> int | None:
    """When a view in which those members are not up was first shown to hold by one that remains."""
    for event in events:
        if event.what == "reading" and event.at_us > after and event.name not in lost:
            if event.fields["majority"] and not lost & set(event.fields["up"]):
                return event.at_us
    return None
