"""Many subscriptions as one index, and the normal form under it. No I/O.

Clusters by access predicates, as published by Fabret, Jacobsen, Llirbat, Pereira, Ross and Shasha ("Filtering
Algorithms and Implementation for Very Fast Publish/Subscribe Systems", SIGMOD 2001), over the conjunctions of
each filter's disjunctive normal form:

- The equalities of a conjunction are its access: one look-up in a hash table for each set of fields that is
  in use finds the cluster of those whose equalities all hold.
- In a cluster the thresholds of `<`, `<=`, `>` and `>=` are sorted: those that hold are one slice.
- What is left is evaluated only where all this holds, and each equal predicate once an event.

Counting for each conjunction how many of its predicates hold (Yan and Garcia-Molina, TODS 1994) was weighed
and measured: it counts for conjunctions too whose equalities do not hold.

What a filter is true of follows from its parts being true or being false, never from one being unknown, so
negations are pushed inward though there are three values: `!(a < 5)` is `a >= 5` where there is an `a`.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from itertools import product
from operator import attrgetter, itemgetter
from typing import Any, Generic, Hashable, TypeVar

from .fields import CONFORMS, Event, Value, conforming
from .language import (
    ORDER,
    And,
    Compare,
    Field,
    Filter,
    Has,
    In,
    Literal,
    Node,
    Not,
    Or,
    fields_of,
    judge,
    needed_by,
)

CONJUNCTIONS_MOST = 32  # of one filter; one with more is evaluated by itself
CLUSTERS_MOST = 64  # of one conjunction: the product of its equalities' values
SCHEMES_MOST = 48  # sets of fields with a hash table; each costs a look-up an event

K = TypeVar("K", bound=Hashable)


# --- predicates: each holds or does not, unknown being "does not"


@dataclass(frozen=True, slots=True)
class OneOf:
    """The field is there and is one of them."""

    field: str
    values: frozenset[Value]


@dataclass(frozen=True, slots=True)
class NoneOf:
    """The field is there and is none of them."""

    field: str
    values: frozenset[Value]


@dataclass(frozen=True, slots=True)
class Range:
    """The field is there and `field op bound`; `op` is one of < <= > >=."""

    field: str
    op: str
    bound: Any


@dataclass(frozen=True, slots=True)
class Present:
    field: str


@dataclass(frozen=True, slots=True)
class Absent:
    field: str


@dataclass(frozen=True, slots=True)
class Other:
    """`node` is `truth`, and not unknown."""

    node: Node
    truth: bool


Predicate = OneOf | NoneOf | Range | Present | Absent | Other
Conjunction = frozenset[Predicate]


@dataclass(frozen=True, slots=True)
class All:
    parts: tuple[Form, ...]


@dataclass(frozen=True, slots=True)
class Any_:
    parts: tuple[Form, ...]


Form = Predicate | All | Any_
TRUE, FALSE = All(()), Any_(())

_FLIPPED = {"<": ">", "<=": ">=", ">": "<", ">=": "<=", "==": "==", "!=": "!="}
_OPPOSITE = {"<": ">=", "<=": ">", ">": "<=", ">=": "<", "==": "!=", "!=": "=="}


def holds(predicate: Predicate) -> Callable[[Event], bool]:
    match predicate:
        case Present(name):
            conforms = CONFORMS[name]
            return lambda event: conforms(event.get(name))
        case Absent(name):
            conforms = CONFORMS[name]
            return lambda event: not conforms(event.get(name))
    node, truth = node_of(predicate)
    value = judge(node)
    return lambda event: value(event) is truth


def meets(predicate: Predicate, value: Any) -> bool:
    """Whether an event of this one field would meet a predicate that asks of no other."""
    match predicate:
        case OneOf(_, values):
            return value in values
        case NoneOf(_, values):
            return value not in values
        case Range(_, op, bound):
            return ORDER[op](value, bound)
        case Present() | Absent():
            return isinstance(predicate, Present)
    (name,) = reads(predicate)
    return holds(predicate)({name: value})


def node_of(predicate: Predicate) -> tuple[Node, bool]:
    """The node of which it asks, and the value that it asks for."""
    match predicate:
        case OneOf(name, values):
            ordered = tuple(sorted(values))  # type: ignore[type-var]
            if len(ordered) == 1:
                return Compare("==", Field(name), Literal(ordered[0])), True
            return In(Field(name), ordered), True
        case NoneOf(name, values):
            ordered = tuple(sorted(values))  # type: ignore[type-var]
            if len(ordered) == 1:
                return Compare("!=", Field(name), Literal(ordered[0])), True
            return In(Field(name), ordered), False
        case Range(name, op, bound):
            return Compare(op, Field(name), Literal(bound)), True
        case Present(name):
            return Has(name), True
        case Absent(name):
            return Has(name), False
        case Other(node, truth):
            return node, truth


def reads(predicate: Predicate) -> frozenset[str]:
    return fields_of(predicate.node) if isinstance(predicate, Other) else frozenset({predicate.field})


def needs(predicate: Predicate) -> frozenset[str]:
    """Fields that are there wherever it holds."""
    if isinstance(predicate, Other):
        return needed_by(predicate.node)
    return frozenset() if isinstance(predicate, Absent) else frozenset({predicate.field})


# --- the normal form


def form(node: Node, truth: bool = True) -> Form:
    """What has to hold for `node` to be `truth`."""
    match node:
        case Not(of):
            return form(of, not truth)
        case And(parts) | Or(parts):
            # Of `&&` all must be true, or one false; of `||` the other way round.
            inner = tuple(form(part, truth) for part in parts)
            return All(inner) if isinstance(node, And) is truth else Any_(inner)
        case Has(name):
            return Present(name) if truth else Absent(name)
        case In(Field(name), values):
            if not values:  # in nothing: false, where the field is there
                return FALSE if truth else Present(name)
            return (OneOf if truth else NoneOf)(name, frozenset(values))
        case Compare(op, Literal(value), Field(name)):
            return form(Compare(_FLIPPED[op], Field(name), Literal(value)), truth)
        case Compare(op, Field(name), Literal(value)):
            op = op if truth else _OPPOSITE[op]
            if op in ("==", "!="):
                return (OneOf if op == "==" else NoneOf)(name, frozenset({value}))
            return Range(name, op, value)
    if not fields_of(node):
        return TRUE if judge(node)({}) is truth else FALSE
    return Other(node, truth)


def _tightest(ranges: Iterable[Range]) -> list[Range]:
    """Of lower bounds the highest, of upper ones the lowest; where equal, the strict one."""
    found: dict[bool, Range] = {}
    for one in ranges:
        upper = one.op[0] == "<"
        best = found.get(upper)
        if best is None or one.bound == best.bound and len(one.op) == 1:
            found[upper] = one
        elif one.bound != best.bound and (one.bound < best.bound) is upper:
            found[upper] = one
    return list(found.values())


def _inside(value: Any, ranges: Iterable[Range]) -> bool:
    return all(meets(one, value) for one in ranges)


def simplified(predicates: Iterable[Predicate]) -> Conjunction | None:
    """The same with fewer predicates; None if they can never hold together."""
    kept: set[Predicate] = set()
    there: set[str] = set()
    by_field: dict[str, list[Predicate]] = {}
    for predicate in set(predicates):
        there |= needs(predicate)
        if isinstance(predicate, (OneOf, NoneOf, Range)):
            by_field.setdefault(predicate.field, []).append(predicate)
        else:
            kept.add(predicate)
    if any(isinstance(one, Absent) and one.field in there for one in kept):
        return None
    if any(isinstance(one, Other) and Other(one.node, not one.truth) in kept for one in kept):
        return None
    for name, group in by_field.items():
        ranges = _tightest(one for one in group if isinstance(one, Range))
        sets = [one.values for one in group if isinstance(one, OneOf)]
        banned = frozenset().union(*(one.values for one in group if isinstance(one, NoneOf)))
        if sets:
            values = frozenset(
                value for value in frozenset.intersection(*sets) - banned if _inside(value, ranges)
            )
            if not values:
                return None
            kept.add(OneOf(name, values))
            continue
        if len(ranges) == 2:
            lower, upper = sorted(ranges, key=lambda one: one.op[0] == "<")
            if lower.bound > upper.bound:
                return None
            if lower.bound == upper.bound and len(lower.op) + len(upper.op) < 4:
                return None
        kept.update(ranges)
        banned = frozenset(value for value in banned if _inside(value, ranges))
        if banned:
            kept.add(NoneOf(name, banned))
    # A field that is needed anyway need not be asked for.
    return frozenset(
        one
        for one in kept
        if not (isinstance(one, Present) and any(one.field in needs(two) for two in kept - {one}))
    )


def _joined_sets(parts: Iterable[Form]) -> list[Form]:
    """`a == 1 || a in [2, 3]` as one set: the commonest disjunction costs no conjunctions."""
    sets: dict[str, frozenset[Value]] = {}
    others: list[Form] = []
    for part in parts:
        if isinstance(part, OneOf):
            sets[part.field] = sets.get(part.field, frozenset()) | part.values
        elif isinstance(part, Any_):
            others += part.parts
        else:
            others.append(part)
    return [*(OneOf(name, values) for name, values in sets.items()), *others]


def conjunctions(of: Form, most: int = CONJUNCTIONS_MOST) -> list[Conjunction] | None:
    """The disjunctive normal form; None if it has more than `most` conjunctions on the way."""
    if isinstance(of, Any_):
        found: dict[Conjunction, None] = {}
        for part in _joined_sets(of.parts):
            inner = conjunctions(part, most)
            if inner is None:
                return None
            found.update(dict.fromkeys(inner))
            if len(found) > most:
                return None
        # One that asks for all that another asks for, and more, adds nothing to it.
        return [one for one in found if not any(two < one for two in found)]
    if isinstance(of, All):
        crossed: list[Conjunction] = [frozenset()]
        for part in of.parts:
            inner = conjunctions(part, most)
            if inner is None:
                return None
            pairs = (simplified(one | two) for one, two in product(crossed, inner))
            crossed = list(dict.fromkeys(pair for pair in pairs if pair is not None))
            if len(crossed) > most:
                return None
        return crossed
    only = simplified((of,))
    return [] if only is None else [only]


# --- the index


class _Test:
    """A predicate that many conjunctions share: evaluated once an event."""

    __slots__ = ("predicate", "run", "cost", "stamp", "truth", "uses")

    def __init__(self, predicate: Predicate) -> None:
        self.predicate, self.run = predicate, holds(predicate)
        self.cost = (2 if isinstance(predicate, Other) else 0, repr(predicate))  # the dearest last
        self.stamp, self.truth, self.uses = -1, False, 0


class _Thresholds(Generic[K]):
    """Bounds of one operator on one field, sorted, and beside each what it lets through."""

    __slots__ = ("bounds", "keys", "rests")

    def __init__(self) -> None:
        self.bounds: list[Any] = []
        self.keys: list[K] = []
        self.rests: list[tuple[_Test, ...]] = []

    def add(self, bound: Any, key: K, rest: tuple[_Test, ...]) -> None:
        at = bisect_right(self.bounds, bound)
        self.bounds.insert(at, bound)
        self.keys.insert(at, key)
        self.rests.insert(at, rest)

    def remove(self, bound: Any, key: K, rest: tuple[_Test, ...]) -> None:
        at = bisect_left(self.bounds, bound)
        while self.keys[at] != key or self.rests[at] != rest:
            at += 1
        del self.bounds[at], self.keys[at], self.rests[at]

    def slice(self, op: str, value: Any) -> slice:
        """Where `value op bound` holds."""
        if op == ">":
            return slice(0, bisect_left(self.bounds, value))
        if op == ">=":
            return slice(0, bisect_right(self.bounds, value))
        if op == "<":
            return slice(bisect_right(self.bounds, value), None)
        return slice(bisect_left(self.bounds, value), None)


class _Cluster(Generic[K]):
    """Conjunctions whose equalities hold together."""

    __slots__ = ("sure", "ranged", "guarded", "others")

    def __init__(self) -> None:
        self.sure: set[K] = set()  # nothing is left to ask
        self.ranged: dict[tuple[str, str], _Thresholds[K]] = {}  # one threshold is left
        self.guarded: dict[tuple[str, str], _Thresholds[K]] = {}  # a threshold and more
        self.others: dict[tuple[_Test, ...], set[K]] = {}  # no threshold

    def __bool__(self) -> bool:
        return bool(self.sure or self.ranged or self.guarded or self.others)

    def add(self, key: K, ranged: Range | None, rest: tuple[_Test, ...]) -> None:
        if ranged is None:
            (self.others.setdefault(rest, set()) if rest else self.sure).add(key)
            return
        where = self.guarded if rest else self.ranged
        where.setdefault((ranged.field, ranged.op), _Thresholds()).add(ranged.bound, key, rest)

    def remove(self, key: K, ranged: Range | None, rest: tuple[_Test, ...]) -> None:
        if ranged is None:
            if not rest:
                self.sure.discard(key)  # two conjunctions of one filter may have shared the place
            elif rest in self.others:
                self.others[rest].discard(key)
                if not self.others[rest]:
                    del self.others[rest]
            return
        where, which = self.guarded if rest else self.ranged, (ranged.field, ranged.op)
        where[which].remove(ranged.bound, key, rest)
        if not where[which].keys:
            del where[which]


class _Scheme(Generic[K]):
    """The clusters of all conjunctions whose equalities are on the same fields, by their values."""

    __slots__ = ("access", "clusters")

    def __init__(self, fields: tuple[str, ...]) -> None:
        self.access: Callable[[Any], Any] = itemgetter(*fields) if fields else lambda event: ()
        self.clusters: dict[Any, _Cluster[K]] = {}


@dataclass(frozen=True, slots=True)
class _Place:
    """Where one conjunction of a key was put."""

    scheme: tuple[str, ...]
    accesses: tuple[Any, ...]
    ranged: Range | None
    rest: tuple[_Test, ...]


class Index(Generic[K]):
    """Filters by key. `match` gives the keys of all that match, as a loop over the filters would."""

    def __init__(self) -> None:
        self._filters: dict[K, Filter] = {}
        self._places: dict[K, list[_Place]] = {}
        self._schemes: dict[tuple[str, ...], _Scheme[K]] = {}
        self._tests: dict[Predicate, _Test] = {}
        self._slow: dict[K, tuple[Callable[[Event, int], bool], list[_Test]]] = {}
        self._stamp = 0

    def __len__(self) -> int:
        return len(self._filters)

    def __contains__(self, key: K) -> bool:
        return key in self._filters

    def __getitem__(self, key: K) -> Filter:
        return self._filters[key]

    @property
    def slow(self) -> int:
        """Filters that are evaluated one by one: their normal form is too large."""
        return len(self._slow)

    # Adding and removing.

    def add(self, key: K, filter_: Filter) -> None:
        """Also replaces the filter of a key that is there."""
        if key in self._filters:
            self.remove(key)
        self._filters[key] = filter_
        whole = form(filter_.tree)
        found = conjunctions(whole)
        if found is None:
            tests: list[_Test] = []
            self._slow[key] = self._compiled(whole, tests), tests
            return
        self._places[key] = [self._put(key, one) for one in found]

    def remove(self, key: K) -> None:
        """Raises KeyError for a key that is not there."""
        del self._filters[key]
        if key in self._slow:
            self._release(self._slow.pop(key)[1])
        for place in self._places.pop(key, ()):
            self._take(key, place)

    def _take(self, key: K, place: _Place) -> None:
        self._release(place.rest)
        scheme = self._schemes.get(place.scheme)
        # Another conjunction of the same filter may have shared the place, and been the last in it.
        if scheme is None:
            return
        for access in place.accesses:
            cluster = scheme.clusters.get(access)
            if cluster is not None:
                cluster.remove(key, place.ranged, place.rest)
                if not cluster:
                    del scheme.clusters[access]
        if not scheme.clusters:
            del self._schemes[place.scheme]

    def _test(self, predicate: Predicate) -> _Test:
        test = self._tests.get(predicate)
        if test is None:
            test = self._tests[predicate] = _Test(predicate)
        test.uses += 1
        return test

    def _release(self, tests: Iterable[_Test]) -> None:
        for test in tests:
            test.uses -= 1
            if not test.uses:
                del self._tests[test.predicate]

    def _put(self, key: K, conjunction: Conjunction) -> _Place:
        sets = sorted((one for one in conjunction if isinstance(one, OneOf)),
                      key=lambda one: (len(one.values), one.field))  # fmt: skip
        access: list[OneOf] = []
        size = 1
        for one in sets:
            if size * len(one.values) <= CLUSTERS_MOST:
                access.append(one)
                size *= len(one.values)
        access.sort(key=attrgetter("field"))
        scheme = tuple(one.field for one in access)
        if scheme not in self._schemes and len(self._schemes) >= SCHEMES_MOST:
            access = access[:1]  # there are no more of these than fields
            scheme = tuple(one.field for one in access)
        values = product(*(one.values for one in access))
        accesses = tuple(value if len(scheme) != 1 else value[0] for value in values)
        left = conjunction - frozenset(access)
        ranged = min((one for one in left if isinstance(one, Range)), default=None, key=_range_order)
        rest = sorted((self._test(one) for one in left if one is not ranged), key=attrgetter("cost"))
        place = _Place(scheme, accesses, ranged, tuple(rest))
        clusters = self._schemes.setdefault(scheme, _Scheme(scheme)).clusters
        for value in accesses:
            clusters.setdefault(value, _Cluster()).add(key, ranged, place.rest)
        return place

    # Matching.

    def match(self, event: Event) -> set[K]:
        """Keys of the filters that are true of the event; the set is the caller's."""
        self._stamp = stamp = self._stamp + 1
        held = conforming(event)
        found: set[K] = set()
        for scheme in self._schemes.values():
            try:
                cluster = scheme.clusters.get(scheme.access(held))
            except KeyError:  # the event lacks a field of the scheme
                continue
            if cluster is not None:
                self._search(cluster, held, found, stamp)
        for key, (true, _) in self._slow.items():
            if true(held, stamp):
                found.add(key)
        return found

    def _search(self, cluster: _Cluster[K], event: Event, found: set[K], stamp: int) -> None:
        found |= cluster.sure
        for (name, op), thresholds in cluster.ranged.items():
            value = event.get(name)
            if value is not None:
                found.update(thresholds.keys[thresholds.slice(op, value)])
        for rest, keys in cluster.others.items():
            if self._all(rest, event, stamp):
                found |= keys
        for (name, op), thresholds in cluster.guarded.items():
            value = event.get(name)
            if value is None:
                continue
            where = thresholds.slice(op, value)
            for key, rest in zip(thresholds.keys[where], thresholds.rests[where], strict=True):
                if key not in found and self._all(rest, event, stamp):
                    found.add(key)

    @staticmethod
    def _all(tests: tuple[_Test, ...], event: Event, stamp: int) -> bool:
        for test in tests:
            if test.stamp != stamp:
                test.truth, test.stamp = test.run(event), stamp
            if not test.truth:
                return False
        return True

    def _compiled(self, of: Form, tests: list[_Test]) -> Callable[[Event, int], bool]:
        """What has to hold as a closure over the shared tests, which are added to `tests`."""
        if isinstance(of, (All, Any_)):
            parts = [self._compiled(part, tests) for part in of.parts]
            if isinstance(of, All):
                return lambda event, stamp: all(part(event, stamp) for part in parts)
            return lambda event, stamp: any(part(event, stamp) for part in parts)
        test = self._test(of)
        tests.append(test)
        return lambda event, stamp: self._all((test,), event, stamp)


def _range_order(one: Range) -> tuple[str, str]:
    return one.field, one.op
