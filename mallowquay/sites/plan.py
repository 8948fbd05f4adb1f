"""Where the load goes when sites are lost: a least-cost flow under ceilings. No I/O, no time.

Districts offer set-ups a second by class, sites take them. Worth for work comes first, the cost of the way
second: the problem is one of minimum-cost flow with side conditions (Ahuja, Magnanti and Orlin, 1993, 9 and
15), here a mixed-integer program, since a site may be loaded to all of its capacity with its own calls but
only to the ceiling once it takes others'. HiGHS (Huangfu and Hall, 2018) solves it, as scipy brings it.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field, replace
from datetime import timedelta
from itertools import combinations

import numpy as np
import xxhash

from .model import SECOND, Flow, LossPlan, PlanBody, SitesFault, SitesTerms, pack

SHIFT = 0.25  # a load that moved by less is no reason for a new plan; any change of what is open is
STAY = 5 * SECOND  # between two plans at least
LOAD_LEAST = 0.5  # set-ups a second: a district that offers less is not planned for
RATE_LEAST = 0.01  # a smaller flow is none
COST_WEIGHT = 1e-3  # all costs together weigh less than the smallest worth
HEADROOM = 0.2  # more of the class worth most is planned for: its calls come by chance, in small parts
BODY_MOST = 4_000  # bytes of one entry
NOBODY: Mapping[str, str] = {}


@dataclass(frozen=True, slots=True)
class PlanInputs:
    """What a plan is worked out from."""

    loads: Mapping[str, tuple[float, ...]]  # by district, by class
    capacities: Mapping[str, float]  # of each site as it is now; 0 = takes nothing
    lost: tuple[str, ...] = ()  # now
    version: int = 0
    all_losses: bool = True
    districts: Mapping[str, str] = field(default_factory=dict)  # of origins that are no district: members
    barred: frozenset[tuple[str, str]] = frozenset()  # origins and the sites that they do not reach


@dataclass(frozen=True, slots=True)
class Solved:
    """The result: how it is to go now, and the losses worked out ahead."""

    inputs: PlanInputs
    now: LossPlan
    losses: tuple[PlanBody, ...] = ()


def least_cost(
    terms: SitesTerms, loads: Mapping[str, tuple[float, ...]], capacities: Mapping[str, float],
    lost: tuple[str, ...], districts: Mapping[str, str] = NOBODY, barred: Collection[tuple[str, str]] = (),
) -> LossPlan:  # fmt: skip
    """The best flows while `lost` take nothing. Errors: SitesFault where the solver finds none.

    An origin is a district, or a gatekeeper that does not reach all sites; `districts` has its district then.
    """
    from scipy.optimize import Bounds, LinearConstraint, milp
    from scipy.sparse import coo_array

    sites = [s.name for s in terms.sites if s.name not in lost and capacities.get(s.name, 0.0) > RATE_LEAST]
    asked = [
        (origin, kind, rate)
        for origin, rates in sorted(loads.items())
        for kind, rate in enumerate(rates)
        if rate > RATE_LEAST
    ]
    if not sites or not asked:
        return LossPlan(lost, (), tuple(Flow(o, "", k, round(r, 3)) for o, k, r in asked), ())
    values = [kind.worth / kind.work for kind in terms.classes]
    home = {origin: districts.get(origin, origin) for origin, _, _ in asked}
    costs = [[terms.cost(home[origin], site) for site in sites] for origin, _, _ in asked]
    weight = COST_WEIGHT * min(values) / (1.0 + max(max(row) for row in costs))
    flows, many = len(asked) * len(sites), len(sites)
    # Unknowns: each flow, then for each site whether it takes others' calls.
    objective = np.zeros(flows + many)
    rows: list[int] = []
    columns: list[int] = []
    entries: list[float] = []
    upper: list[float] = []

    def constraint(terms_of: list[tuple[int, float]], most: float) -> None:
        for column, entry in terms_of:
            rows.append(len(upper))
            columns.append(column)
            entries.append(entry)
        upper.append(most)

    for place, (_, kind, rate) in enumerate(asked):
        work = terms.classes[kind].work
        for at in range(many):
            # By worth for work: a call of much work is worth no more than its work's fill of lesser ones.
            objective[place * many + at] = -(values[kind] * work - weight * costs[place][at])
        constraint([(place * many + at, 1.0) for at in range(many)], rate)
    for at, site in enumerate(sites):
        capacity = capacities[site]
        everyone = [(p * many + at, terms.classes[k].work) for p, (_, k, _) in enumerate(asked)]
        others = [
            (p * many + at, terms.classes[k].work) for p, (o, k, _) in enumerate(asked) if home[o] != site
        ]
        constraint([*everyone, (flows + at, (1.0 - terms.ceiling) * capacity)], capacity)
        constraint([*others, (flows + at, -terms.ceiling * capacity)], 0.0)
    shape = (len(upper), flows + many)
    matrix = coo_array((entries, (rows, columns)), shape=shape).tocsr()
    most = [np.inf if (o, site) not in barred else 0.0 for o, _, _ in asked for site in sites]
    found = milp(
        objective,
        constraints=LinearConstraint(matrix, -np.inf, np.array(upper)),
        bounds=Bounds(np.zeros(flows + many), np.array([*most, *[1.0] * many])),
        integrality=np.concatenate([np.zeros(flows), np.ones(many)]),
        options={"time_limit": 5.0},
    )
    if found.x is None:
        raise SitesFault(f"no flow was found: {found.message}", f"loss of {'+'.join(lost) or 'none'}")
    going, left = [], []
    for place, (origin, kind, rate) in enumerate(asked):
        taken = 0.0
        for at, site in enumerate(sites):
            flow = float(found.x[place * many + at])
            if flow > RATE_LEAST:
                going.append(Flow(origin, site, kind, round(flow, 3)))
                taken += flow
        if rate - taken > RATE_LEAST:
            left.append(Flow(origin, "", kind, round(rate - taken, 3)))
    receives = tuple(site for site in sites if any(f.site == site != home[f.origin] for f in going))
    return LossPlan(lost, tuple(going), tuple(left), receives)


def shed_order(terms: SitesTerms) -> tuple[str, ...]:
    """Class names by worth for work, the best first."""
    return tuple(kind.name for kind in sorted(terms.classes, key=lambda k: (-k.worth / k.work, k.name)))


def digest(terms: SitesTerms) -> int:
    """A hash of what does not change with traffic: members with other files are seen by it."""
    text = repr([(s.name, s.capacity, sorted(s.costs.items())) for s in terms.sites]) + repr(terms.ceiling)
    return xxhash.xxh3_64_intdigest(text.encode()) >> 1


def work_out(terms: SitesTerms, inputs: PlanInputs) -> Solved:
    """The flows of now, and for no loss, each loss of one site and each pair. Errors: SitesFault."""
    with_room = padded(terms, inputs.loads)
    now, honest = (
        least_cost(terms, loads, inputs.capacities, inputs.lost, inputs.districts, inputs.barred)
        for loads in (with_room, inputs.loads)
    )
    now = LossPlan(now.lost, now.flows, honest.remainder, now.receives)
    if not inputs.all_losses:
        return Solved(inputs, now)
    names = [site.name for site in terms.sites]
    whole = {site.name: site.capacity for site in terms.sites}
    order, found, capacities = shed_order(terms), [], digest(terms)
    pairs = combinations(names, 2) if len(names) > 2 else ()
    ahead: dict[str, tuple[float, ...]] = {}
    for origin, rates in inputs.loads.items():
        district = inputs.districts.get(origin, origin)
        before_it = ahead.get(district, (0.0,) * len(rates))
        ahead[district] = tuple(a + b for a, b in zip(before_it, rates))
    for lost in ((), *((name,) for name in names), *pairs):
        plan = _fitting(least_cost(terms, ahead, whole, tuple(lost)))
        found.append(PlanBody(inputs.version, capacities, (plan,), order))
    return Solved(inputs, now, tuple(found))


def padded(terms: SitesTerms, loads: Mapping[str, tuple[float, ...]]) -> dict[str, tuple[float, ...]]:
    """The loads with headroom for the class worth most; lesser calls get what it leaves at each bucket."""
    first = shed_order(terms)[0]
    return {
        origin: tuple(
            rate * (1.0 + HEADROOM) if terms.classes[kind].name == first else rate
            for kind, rate in enumerate(rates)
        )
        for origin, rates in loads.items()
    }


def _fitting(plan: LossPlan) -> LossPlan:
    """Within an entry's bytes: calls that stay at home go without saying, and the least flows after them."""
    kept = sorted((f for f in plan.flows if f.origin != f.site), key=lambda f: -f.rate)
    left = sorted(plan.remainder, key=lambda f: -f.rate)
    while True:
        found = LossPlan(plan.lost, tuple(kept), tuple(left), plan.receives)
        if len(pack(found)) <= BODY_MOST:
            return found
        (kept if len(kept) > len(left) else left).pop()


@dataclass(slots=True)
class Planner:
    """When to plan anew: only where capacities, the list or traffic shift by a stated part, and not often."""

    basis: PlanInputs | None = None
    at: timedelta | None = None
    version: int = 0
    pending: bool = field(default=False)

    def replan(self, inputs: PlanInputs, now: timedelta) -> PlanInputs | None:
        """The inputs to work a new plan out from, or None where the one before is good enough."""
        if self.pending:
            return None
        before = self.basis
        if before is not None and self.at is not None:
            lost = (before.lost, before.barred) != (inputs.lost, inputs.barred)
            lost = lost or before.capacities != inputs.capacities
            loads = _moved(_sums(before), _sums(inputs), LOAD_LEAST)
            mix = _moved(_by_class(before), _by_class(inputs), LOAD_LEAST)
            if not lost and (not (loads or mix) or now - self.at < STAY / 5):
                return None
        # What is ahead of any loss is worked out seldom; how it is to go now whenever it matters.
        ahead = before is None or self.at is None or now - self.at >= STAY
        self.version += ahead
        self.basis, self.at, self.pending = inputs, now, True
        return replace(inputs, version=self.version, all_losses=ahead)


def _sums(inputs: PlanInputs) -> dict[str, float]:
    return {name: sum(rates) for name, rates in inputs.loads.items()}


def _by_class(inputs: PlanInputs) -> dict[str, float]:
    found: dict[str, float] = {}
    for name, rates in inputs.loads.items():
        for kind, rate in enumerate(rates):
            found[f"{name}/{kind}"] = rate
    return found


def _moved(before: Mapping[str, float], after: Mapping[str, float], least: float) -> bool:
    if before.keys() != after.keys():
        return True
    pairs = [(was, after[name]) for name, was in before.items()]
    return any(abs(now - was) > max(SHIFT * max(was, now), least) for was, now in pairs)
