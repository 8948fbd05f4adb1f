"""Covering and merging of filters. No I/O.

Carzaniga, Rosenblum and Wolf ("Design and Evaluation of a Wide-Area Event Notification Service", ACM TOCS
2001, Siena): a filter covers another if it matches all that the other matches, and what is asked of a
neighbour is a cover of what is asked at home. Merging is perfect where it lets nothing more through (Mühl,
"Large-Scale Content-Based Publish/Subscribe Systems", 2002).

All here is sound and incomplete: `covers` may miss a covering, and what `merged` gives may let more through
than was asked for, never less.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from itertools import combinations, groupby, pairwise, product

from .fields import Value
from .index import (
    CONJUNCTIONS_MOST,
    Absent,
    All,
    Any_,
    Conjunction,
    Form,
    NoneOf,
    OneOf,
    Other,
    Predicate,
    Present,
    Range,
    conjunctions,
    form,
    meets,
    needs,
    node_of,
    reads,
    simplified,
)
from .language import (
    COST_MOST,
    LENGTH_MOST,
    LIST_MOST,
    NODES_MOST,
    And,
    Filter,
    FilterBounds,
    Literal,
    Node,
    Not,
    Or,
    Text,
    compile_filter,
    nodes_of,
    written,
)

PAIRS_MOST = 48  # conjunctions of which the best pair is sought; of more, neighbours in their order
SPLIT_MOST = 16  # values of a set that are tried one by one
COMPARED_MOST = 128  # conjunctions that are compared each with each; of more, those that differ in one field


# --- what follows from what


def _refuted(predicates: Iterable[Predicate], name: str, value: Value) -> bool:
    """Whether some predicate, which asks of this field alone, is not met by this value."""
    return any(reads(one) == {name} and not meets(one, value) for one in predicates)


def _search_implies(one: Text, other: Text) -> bool:
    """Whether a search that succeeds lets the other succeed: same text, both for literals."""
    if one.left != other.left or not isinstance(one.right, Literal) or not isinstance(other.right, Literal):
        return False
    has, asks = str(one.right.value), str(other.right.value)
    if other.op == "contains":
        return one.op != "matches" and asks in has
    if one.op != other.op:
        return False
    return has.startswith(asks) if one.op == "startsWith" else one.op == "endsWith" and has.endswith(asks)


def _follows(asked: Predicate, given: Conjunction) -> bool:
    """Whether `asked` holds wherever all of `given` do."""
    if asked in given:
        return True
    if isinstance(asked, Absent):
        return False
    if isinstance(asked, Present):
        return any(asked.field in needs(one) for one in given)
    for one in given:
        # A set whose every value meets it, the other predicates of the field put aside.
        if isinstance(one, OneOf) and reads(asked) == {one.field}:
            return all(meets(asked, value) for value in one.values)
    match asked:
        case NoneOf(name, values):
            there = any(name in needs(one) for one in given)
            return there and all(_refuted(given, name, value) for value in values)
        case Range(name, op, bound):
            # The tighter bound of the same side: `> 5` follows from `> 5`, `> 6` and `>= 6`, not from `>= 5`.
            return any(
                isinstance(one, Range) and one.field == name and one.op[0] == op[0]
                and (meets(asked, one.bound) or (one.bound == bound and len(one.op) == 1))
                for one in given
            )  # fmt: skip
        case Other(Text() as search, truth):
            searches = [one for one in given if isinstance(one, Other) and one.truth is truth]
            return any(
                isinstance(one.node, Text)
                and (_search_implies(one.node, search) if truth else _search_implies(search, one.node))
                for one in searches
            )
    return False


def _within(narrow: Conjunction, wide: Conjunction) -> bool:
    return all(_follows(asked, narrow) for asked in wide)


def _covered(narrow: Conjunction, wides: Sequence[Conjunction]) -> bool:
    """By one of them; or each value of one of its sets by one of them."""
    if any(_within(narrow, wide) for wide in wides):
        return True
    for one in narrow:
        if isinstance(one, OneOf) and 1 < len(one.values) <= SPLIT_MOST:
            rest = narrow - {one}
            if all(
                any(_within(rest | {OneOf(one.field, frozenset({value}))}, wide) for wide in wides)
                for value in one.values
            ):
                return True
    return False


def covers(a: Filter, b: Filter) -> bool:
    """True only if everything that `b` matches `a` matches; False says nothing."""
    if a.text == b.text:
        return True
    return _covers(conjunctions(form(a.tree)), conjunctions(form(b.tree)))


def _covers(wides: list[Conjunction] | None, narrows: list[Conjunction] | None) -> bool:
    if wides is None or narrows is None:
        return wides is not None and frozenset() in wides
    return all(_covered(narrow, wides) for narrow in narrows)


# --- merging


def _hull(one: Conjunction, two: Conjunction) -> Conjunction:
    """What follows from either: sets are united, the looser bound stays, other conjuncts are dropped."""
    kept: set[Predicate] = {asked for asked in one if _follows(asked, two)}
    kept |= {asked for asked in two if _follows(asked, one)}
    for left, right in product(one, two):
        if isinstance(left, OneOf) and isinstance(right, OneOf) and left.field == right.field:
            values = left.values | right.values
            if len(values) <= LIST_MOST:
                kept.add(OneOf(left.field, values))
        elif isinstance(left, NoneOf) and isinstance(right, NoneOf) and left.field == right.field:
            if left.values & right.values:
                kept.add(NoneOf(left.field, left.values & right.values))
    for name in frozenset().union(*map(needs, one)) & frozenset().union(*map(needs, two)):
        kept.add(Present(name))
    found = simplified(kept)
    assert found is not None  # it holds wherever `one` does, and `one` can hold
    return found


def _loss(one: Conjunction, two: Conjunction) -> tuple[int, int]:
    """How much a hull lets go: conjuncts that were dropped, then values that were added."""
    hull = _hull(one, two)
    added = sum(len(part.values) for part in hull - one - two if isinstance(part, OneOf))
    return _strength(one) + _strength(two) - 2 * _strength(hull), added


def _strength(conjunction: Conjunction) -> int:
    """Its conjuncts, but for those that ask no more than that a field is there."""
    return sum(not isinstance(one, Present) for one in conjunction)


def _order(conjunction: Conjunction) -> tuple[list[str], list[str]]:
    """Alike stand beside each other: by the fields and kinds of their predicates, then by all of them."""
    return sorted(f"{type(one).__name__} {sorted(reads(one))}" for one in conjunction), sorted(
        written(_node(one)) for one in conjunction
    )


def _perfect(pool: list[Conjunction]) -> list[Conjunction]:
    """Unites those that differ in one set alone; of those that differ in one bound alone the looser stays."""
    changed = True
    while changed:
        changed = False
        names = {one.field for conj in pool for one in conj if isinstance(one, (OneOf, Range))}
        for name in sorted(names):
            groups: dict[tuple[Conjunction, str], Predicate] = {}
            out: list[Conjunction] = []
            for conj in pool:
                mine = [one for one in conj if isinstance(one, (OneOf, Range)) and one.field == name]
                if len(mine) != 1:
                    out.append(conj)
                    continue
                (one,) = mine
                where = conj - {one}, "" if isinstance(one, OneOf) else one.op
                there = groups.get(where)
                if there is None:
                    groups[where] = one
                    continue
                if isinstance(one, OneOf) and isinstance(there, OneOf):
                    values = one.values | there.values
                    if len(values) > LIST_MOST:
                        out.append(conj)
                        continue
                    groups[where] = OneOf(name, values)
                elif meets(one, there.bound):  # type: ignore[union-attr]
                    groups[where] = one  # it lets all through that the one that was there did
                changed = True
            pool = out + [rest | {one} for (rest, _), one in groups.items()]
    return list(dict.fromkeys(pool))


def _undominated(pool: list[Conjunction]) -> list[Conjunction]:
    """Without those that another covers."""
    pool = _perfect(pool)
    if len(pool) > COMPARED_MOST:
        return pool
    kept: list[Conjunction] = []
    for at, one in enumerate(pool):
        if not any(_within(one, wide) for wide in kept + pool[at + 1 :]):
            kept.append(one)
    return kept


def _grouped(pool: list[Conjunction], most: int) -> list[Conjunction]:
    """Far fewer, in one pass: the hull of each run of neighbours that ask of the same fields."""
    longest = max(2, min(len(pool) // most, LIST_MOST))  # a longer run loses its sets
    out: list[Conjunction] = []
    for _, alike in groupby(sorted(pool, key=_order), key=lambda one: _order(one)[0]):
        run, length = next(alike), 1
        for one in alike:
            length += 1
            if length <= longest and _loss(run, one)[0] <= 0:
                run = _hull(run, one)
            else:
                out.append(run)
                run, length = one, 1
        out.append(run)
    return out


def _widened(pool: list[Conjunction], most: int) -> list[Conjunction]:
    """At most `most` conjunctions that cover all of `pool`."""
    pool = _undominated(pool)
    if len(pool) > max(most, COMPARED_MOST):
        pool = _undominated(_grouped(pool, max(most, COMPARED_MOST)))
    losses: dict[tuple[Conjunction, Conjunction], tuple[int, int]] = {}
    while len(pool) > most:
        pool.sort(key=_order)
        if len(pool) > PAIRS_MOST:
            pairs = list(pairwise(pool))
            count = max(1, min(len(pool) - most, len(pool) - PAIRS_MOST, len(pool) // 4))
        else:
            pairs, count = list(combinations(pool, 2)), 1
        for pair in pairs:
            if pair not in losses:
                losses[pair] = _loss(*pair)
        pairs.sort(key=losses.__getitem__)
        gone: set[Conjunction] = set()
        hulls: list[Conjunction] = []
        for left, right in pairs:
            if len(hulls) < count and left not in gone and right not in gone:
                gone |= {left, right}
                hulls.append(_hull(left, right))
        pool = _undominated([one for one in pool if one not in gone] + hulls)
    return pool


def _loose(of: Form) -> list[Conjunction]:
    """Conjunctions of which one holds wherever `of` does, at most CONJUNCTIONS_MOST however large it is."""
    exact = conjunctions(of)
    if exact is not None:
        return exact
    if isinstance(of, Any_):
        return _widened([conj for part in of.parts for conj in _loose(part)], CONJUNCTIONS_MOST)
    found: list[Conjunction] = [frozenset()]
    for part in of.parts if isinstance(of, All) else ():
        inner = _loose(part)
        if len(found) * len(inner) <= CONJUNCTIONS_MOST:  # else this conjunct is dropped
            crossed = (simplified(one | two) for one, two in product(found, inner))
            found = list(dict.fromkeys(one for one in crossed if one is not None))
    return found


def _node(predicate: Predicate) -> Node:
    node, truth = node_of(predicate)
    return node if truth else Not(node)


def _tree(conj: Conjunction) -> Node:
    nodes = sorted((_node(one) for one in conj), key=written)
    return And(tuple(nodes)) if len(nodes) > 1 else nodes[0] if nodes else Literal(True)


def _filter(parts: Sequence[Node]) -> Filter:
    """The disjunction of them. Raises FilterBounds if it is too large."""
    return compile_filter(written(Or(tuple(parts)) if len(parts) > 1 else parts[0]))


@dataclass(frozen=True, slots=True)
class _Piece:
    """A conjunction as it is written, and what it uses up of a filter's bounds."""

    tree: Node
    length: int
    nodes: int
    cost: int


def _piece(conj: Conjunction) -> _Piece:
    """Fits within a disjunction: the longest predicates are dropped until it does."""
    while True:
        tree = _tree(conj)
        try:
            cost = _filter([Literal(True), tree]).cost
            return _Piece(tree, len(written(tree)) + len(" || "), nodes_of(tree), cost)
        except FilterBounds:
            conj = conj - {max(conj, key=lambda one: (len(written(_node(one))), repr(one)))}


def _packed(pool: Iterable[Conjunction], most: int, pieces: dict[Conjunction, _Piece]) -> list[Filter] | None:
    """All of them in at most `most` filters, each a disjunction; None if they do not fit."""
    out: list[list[Node]] = [[]]
    length = nodes = cost = 0
    for conj in pool:
        piece = pieces.get(conj)
        if piece is None:
            piece = pieces[conj] = _piece(conj)
        length, nodes, cost = length + piece.length, nodes + piece.nodes, cost + piece.cost
        full = length > LENGTH_MOST or nodes >= NODES_MOST or cost > COST_MOST
        if full or len(out[-1]) >= CONJUNCTIONS_MOST:
            if len(out) >= most:
                return None
            out.append([])
            length, nodes, cost = piece.length, piece.nodes, piece.cost
        out[-1].append(piece.tree)
    return [_filter(parts) for parts in out]


def _uncovered(filters: Iterable[Filter]) -> list[tuple[Filter, list[Conjunction] | None]]:
    """With their normal forms, without equal ones and, where they are few, those that another covers."""
    found = [(one, conjunctions(form(one.tree))) for one in dict.fromkeys(filters)]
    if len(found) > COMPARED_MOST:
        return found
    kept: list[tuple[Filter, list[Conjunction] | None]] = []
    for at, (one, narrows) in enumerate(found):
        if not any(_covers(wides, narrows) for _, wides in kept + found[at + 1 :]):
            kept.append((one, narrows))
    return kept


def merged(filters: Iterable[Filter], most: int) -> list[Filter]:
    """At most `most` (1 or more) filters that together match all that any of `filters` matches.

    Covered ones go; what differs in one set alone becomes one; alternatives share a filter by `||` as far as
    the language's bounds let them. All this lets nothing more through. Only if it does not suffice are the
    closest conjunctions replaced by one that follows from both.
    """
    if most < 1:
        raise ValueError("most is 1 or more")
    kept = _uncovered(filters)
    pool: list[Conjunction] = []
    for one, exact in kept:
        pool += _loose(form(one.tree)) if exact is None else exact
    pool = _undominated(pool)
    if not pool:  # none of them can match anything
        return []
    # What is few enough and gets no fewer stays as it was written, as does what has only a loose form.
    if len(kept) <= most and (len(pool) >= len(kept) or any(exact is None for _, exact in kept)):
        return [one for one, _ in kept]
    limit, pieces = len(pool), dict[Conjunction, _Piece]()
    while True:
        pool = _widened(pool, limit)
        packed = _packed(sorted(pool, key=_order), most, pieces)
        if packed is not None:
            return packed
        limit = max(most, min(len(pool) - 1, len(pool) * 9 // 10, CONJUNCTIONS_MOST * most))
