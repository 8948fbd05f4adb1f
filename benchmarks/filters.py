"""Filters of events: the index against a loop over all subscriptions, and against a plain evaluator.

    PYTHONPATH=. .venv/bin/python benchmarks/filters.py [--pairs 1000000] [--seed 1] [--events 2000]

Prints one line of JSON; exits 1 if the index, or a filter alone, differs from the plain evaluator. The plain
evaluator walks trees of the generator's own and shares nothing with the package: not the parser, not the
closures, not the regular expressions. Figures are of processor time, so that a busy machine counts less.
"""

from __future__ import annotations

import json
import random
import re
import sys
import time
from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Callable, Hashable
from typing import Any

import click

from mallowquay.events.cover import merged
from mallowquay.events.fields import Kind, conforming
from mallowquay.events.index import Index, OneOf, Range, conjunctions, form, holds
from mallowquay.events.language import COST_MOST, DEPTH_MOST, Filter, FilterBounds, compile_filter

Expr = tuple[Any, ...]

STRINGS = {
    "kind": ["call.offered", "call.refused", "call.failed", "call.stood"],
    "tenant": ["n1", "n2", "n10", "n11"],
    "server": ["s1", "s2", "s10", ""],
    "name": ["a", "ab", "aab", 'quo"te', "back\\slash", "Þór", "tab\there", "1a", "😀b"],
    "from": ["s1", "s2", "ab"],
    "to": ["s1", "n1", "ab"],
}
NUMBERS = ["attempts", "waited_ms", "at_ms"]
VALUES = [-1, 0, 1, 2, 3, 5, 5.0, 5.5, 1e3, 2**53 + 1, 2**63 - 1, -(2**63)]
PATTERNS = ["^n[0-9]+$", "a+b", "1", "(s|n)1", "^$", r"\\s", "[^a-z]", "(?i)N1|AB", "", "Þ.r"]
ORDER = ("==", "!=", "<", "<=", ">", ">=")
LOGIC = {False: 0, None: 1, True: 2}
UNLOGIC = {rank: truth for truth, rank in LOGIC.items()}


# --- trees of the generator's own


def operand(rng: random.Random, text: bool) -> Expr:
    if text:
        return ("field", rng.choice([*STRINGS])) if rng.random() < 0.85 else ("literal", a_text(rng))
    if rng.random() < 0.15:
        return ("size", operand(rng, True))
    return ("field", rng.choice(NUMBERS)) if rng.random() < 0.85 else ("literal", rng.choice(VALUES))


def a_text(rng: random.Random) -> str:
    return rng.choice(STRINGS[rng.choice([*STRINGS])])


def leaf(rng: random.Random) -> Expr:
    draw = rng.random()
    text = rng.random() < 0.6
    if draw < 0.08:
        return ("has", rng.choice([*STRINGS, *NUMBERS]))
    if draw < 0.10:
        return ("literal", rng.random() < 0.5)
    if draw < 0.13:
        return ("compare", rng.choice(ORDER[:2]), leaf(rng), leaf(rng))
    if draw < 0.30:
        values = [a_text(rng) if text else rng.choice(VALUES) for _ in range(rng.randrange(5))]
        return ("in", operand(rng, text), values)
    if draw < 0.42:
        call = rng.choice(["startsWith", "endsWith", "contains"])
        return ("text", call, operand(rng, True), operand(rng, True))
    if draw < 0.50:
        call = rng.choice(["startsWith", "endsWith", "contains"])
        return (
            "text",
            call,
            ("field", rng.choice([*STRINGS])),
            ("literal", rng.choice(["s1", "a", "1", ""])),
        )
    if draw < 0.56:
        return ("text", "matches", operand(rng, True), ("literal", rng.choice(PATTERNS)))
    if draw < 0.92:
        right: Any = a_text(rng) if text else rng.choice(VALUES)
        sides = [("field", rng.choice([*STRINGS] if text else NUMBERS)), ("literal", right)]
        if rng.random() < 0.1:
            sides.reverse()
        op = rng.choice(ORDER[:1] * 4 + ORDER[1:]) if text else rng.choice(ORDER)
        return ("compare", op, *sides)
    return ("compare", rng.choice(ORDER), operand(rng, text), operand(rng, text))


def tree(rng: random.Random, depth: int = 4) -> Expr:
    draw = rng.random()
    if depth == 0 or draw < 0.3:
        return leaf(rng)
    if draw < 0.45:
        return ("not", tree(rng, depth - 1))
    if draw < 0.5:  # conjunctions of many alternatives, over the bound of the normal form
        few = [leaf(rng) for _ in range(6)]
        return ("and", [("or", [rng.choice(few), leaf(rng), rng.choice(few)]) for _ in range(4)])
    parts = [tree(rng, depth - 1) for _ in range(rng.randrange(2, 4))]
    return ("and" if draw < 0.8 else "or", parts)


def quoted(value: Any, rng: random.Random) -> str:
    if isinstance(value, bool):
        return str(value).lower()
    if not isinstance(value, str):
        return repr(value)
    mark = rng.choice("'\"")
    if not set(value) & set("\\'\"\t") and rng.random() < 0.2:
        return f"r{mark}{value}{mark}"
    body = value.replace("\\", "\\\\").replace(mark, "\\" + mark).replace("\t", "\\t")
    if rng.random() < 0.1:
        forms = ((0xFFFF, "\\U{:08x}"), (0xFF, "\\u{:04X}"), (-1, "\\{:03o}"))
        body = "".join(next(form for over, form in forms if ord(c) > over).format(ord(c)) for c in value)
    return mark + body + mark


def text_of(expr: Expr, rng: random.Random, within: int = 0) -> str:
    """The expression as somebody may write it, now and then with parentheses that are not needed."""
    kind, *rest = expr
    if kind == "or":
        binds, text = 0, " || ".join(text_of(part, rng, 1) for part in rest[0])
    elif kind == "and":
        binds, text = 1, "&&".join(text_of(part, rng, 2) for part in rest[0])
    elif kind == "compare":
        binds, text = 2, f"{text_of(rest[1], rng, 3)} {rest[0]} {text_of(rest[2], rng, 3)}"
    elif kind == "in":
        binds, text = 2, f"{text_of(rest[0], rng, 3)} in [{', '.join(quoted(one, rng) for one in rest[1])}]"
    elif kind == "not":
        binds, text = 3, "!" + text_of(rest[0], rng, 3)
    elif kind == "has":
        binds, text = 4, f"has({rest[0]})"
    elif kind == "size":
        inner = text_of(rest[0], rng, 4)
        binds, text = 4, rng.choice([f"size({inner})", f"{inner}.size()"])
    elif kind == "text":
        binds, text = 4, f"{text_of(rest[1], rng, 4)}.{rest[0]}({text_of(rest[2], rng)})"
    else:
        binds, text = 4, rest[0] if kind == "field" else quoted(rest[0], rng)
    return f"( {text})" if binds < within or rng.random() < 0.03 else text


def plain(expr: Expr, event: dict[str, Any]) -> Any:
    """What `expr` is of the event: a value, or None where it is unknown. The slow and obvious way."""
    kind, *rest = expr
    if kind == "literal":
        return rest[0]
    if kind in ("field", "has"):
        value = event.get(rest[0])
        if rest[0] in STRINGS:
            there = isinstance(value, str)
        else:
            there = type(value) in (int, float) and value == value
        return there if kind == "has" else value if there else None
    if kind == "not":
        return UNLOGIC[2 - LOGIC[plain(rest[0], event)]]
    if kind in ("and", "or"):
        ranks = [LOGIC[plain(part, event)] for part in rest[0]]
        return UNLOGIC[min(ranks) if kind == "and" else max(ranks)]
    if kind == "size":
        text = plain(rest[0], event)
        return None if text is None else len(text)
    if kind == "in":
        value = plain(rest[0], event)
        return None if value is None else any(value == one for one in rest[1])
    left, right = plain(rest[1], event), plain(rest[2], event)
    if left is None or right is None:
        return None
    if kind == "text":
        if rest[0] == "matches":
            return re.search(right, left) is not None
        ends = len(right) <= len(left) and left[len(left) - len(right) :] == right
        return {"startsWith": left[: len(right)] == right, "contains": left.find(right) >= 0,
                "endsWith": ends}[rest[0]]  # fmt: skip
    three = (left > right) - (left < right)
    return {"==": three == 0, "!=": three != 0, "<": three < 0, "<=": three <= 0, ">": three > 0,
            ">=": three >= 0}[rest[0]]  # fmt: skip


def an_event(rng: random.Random) -> dict[str, Any]:
    event: dict[str, Any] = {}
    for name, values in STRINGS.items():
        if rng.random() < 0.7:
            event[name] = rng.choice(values)
    for name in NUMBERS:
        if rng.random() < 0.7:
            event[name] = rng.choice(VALUES)
    if rng.random() < 0.1:  # of another release
        event[rng.choice([*STRINGS, *NUMBERS, "later"])] = rng.choice(["n1", 5, True, float("nan"), 2.5])
    return event


def a_filter(rng: random.Random) -> tuple[Expr, Filter]:
    """A tree within the bounds, and the filter that its text compiles to."""
    while True:
        expr = tree(rng)
        try:
            return expr, compile_filter(text_of(expr, rng))
        except FilterBounds:
            continue


# --- a million pairs


def play_pairs(most: int, seed: int, filters: int = 250, events: int = 400) -> dict[str, Any]:
    """Rounds of `filters` x `events`; half of the subscriptions leave and others come in mid-round."""
    rng = random.Random(seed)
    done = differ = held = unknown = slow = 0
    first = ""
    while done < most:
        index: Index[int] = Index()
        exprs: dict[int, tuple[Expr, Filter]] = {}
        for at in range(events):
            if at in (0, events // 2):
                for key in rng.sample(sorted(exprs), len(exprs) // 2):
                    del exprs[key]
                    index.remove(key)
                for key in range(filters):
                    if key not in exprs or rng.random() < 0.1:
                        exprs[key] = a_filter(rng)
                        index.add(key, exprs[key][1])
                slow += index.slow
            event = an_event(rng)
            matched = index.match(event)
            for key, (expr, filter_) in exprs.items():
                truth = plain(expr, event)
                held += truth is True
                unknown += truth is None
                if (key in matched) != (truth is True) or filter_.value(event) is not truth:
                    differ += 1
                    first = first or f"{filter_.text} of {event}"
            done += len(exprs)
            if done >= most:
                break
    return {"pairs": done, "differences": differ, "first": first, "true": held, "unknown": unknown,
            "in_slow_list": slow}  # fmt: skip


# --- events a second


def a_subscription(rng: random.Random) -> str:
    """What consoles, clubs' programs and tools ask for: a tenant's refusals, a server, slow calls, a site."""
    kind, tenant = rng.choice(list(Kind)).value, f"n{rng.randrange(400)}"
    draw = rng.random()
    if draw < 0.35:
        more = ", ".join(f'"n{rng.randrange(400)}"' for _ in range(rng.randrange(3)))
        tenants = f'["{tenant}"{", " if more else ""}{more}]'
        return f'kind == "{kind}" && tenant in {tenants} && waited_ms > {rng.randrange(0, 4000, 50)}'
    if draw < 0.55:
        return f'tenant == "{tenant}" && kind in ["call.refused", "call.failed"]'
    if draw < 0.70:
        return f'server == "s{rng.randrange(300)}" && kind != "call.offered"'
    if draw < 0.80:
        return f'kind == "call.failed" && cause.startsWith("{rng.choice("45")}0{rng.randrange(9)}")'
    if draw < 0.88:
        slow = f"waited_ms > {rng.randrange(3000, 9000)} || attempts >= {rng.randrange(3, 6)}"
        return f'kind == "{kind}" && ({slow}) && class == "urgent"'
    if draw < 0.94:
        return (
            f'district == "d{rng.randrange(9)}" && kind == "{kind}" && !(waited_ms < {rng.randrange(5000)})'
        )
    if draw < 0.98:
        return f'tenant == "{tenant}" && name.matches("^{rng.choice("abc")}[0-9]+x?{rng.randrange(9)}$")'
    return f"stood_ms > {rng.randrange(60_000, 900_000)}"


def traffic(rng: random.Random) -> dict[str, Any]:
    event: dict[str, Any] = {
        "kind": rng.choice(list(Kind)).value, "member": f"g{rng.randrange(7)}",
        "at_ms": rng.randrange(10**12), "attempts": rng.randrange(1, 6),
        "class": rng.choice(["normal", "urgent"]), "tenant": f"n{rng.randrange(400)}",
        "district": f"d{rng.randrange(9)}", "server": f"s{rng.randrange(300)}",
        "waited_ms": int(rng.expovariate(1 / 800)), "name": f"{rng.choice('abc')}{rng.randrange(100)}",
    }  # fmt: skip
    if event["kind"] == "call.failed":
        event["cause"] = f"{rng.choice('45')}0{rng.randrange(9)}"
    if event["kind"] == "call.ended":
        event["stood_ms"] = int(rng.expovariate(1 / 200_000))
    return event


class Counting:
    """Counting (Yan and Garcia-Molina, 1994), to be weighed against the clusters: for each predicate that
    holds one is counted for each conjunction that has it, and a conjunction is met once all are counted."""

    def __init__(self) -> None:
        self.wanted: list[int] = []
        self.keys: list[Hashable] = []
        self.equal: dict[tuple[str, Any], list[int]] = defaultdict(list)
        self.bounds: dict[tuple[str, str], list[tuple[Any, int]]] = defaultdict(list)
        self.other: dict[Any, list[int]] = defaultdict(list)
        self.tests: list[tuple[Callable[[Any], bool], list[int]]] = []

    def build(self, filters: list[Filter]) -> None:
        for key, filter_ in enumerate(filters):
            for conj in conjunctions(form(filter_.tree)) or ():
                at = len(self.keys)
                self.keys.append(key)
                self.wanted.append(len(conj))
                for one in conj:
                    if isinstance(one, OneOf):
                        for value in one.values:
                            self.equal[one.field, value].append(at)
                    elif isinstance(one, Range):
                        self.bounds[one.field, one.op].append((one.bound, at))
                    else:
                        self.other[one].append(at)
        self.sorted = {where: ([bound for bound, _ in sorted(pairs)], [at for _, at in sorted(pairs)])
                       for where, pairs in self.bounds.items()}  # fmt: skip
        self.tests = [(holds(one), ats) for one, ats in self.other.items()]

    def match(self, event: dict[str, Any]) -> set[Hashable]:
        event = conforming(event)  # type: ignore[assignment]
        counts: dict[int, int] = defaultdict(int)
        for item in event.items():
            for at in self.equal.get(item, ()):
                counts[at] += 1
        for (name, op), (bounds, ats) in self.sorted.items():
            value = event.get(name)
            if value is None:
                continue
            edge = (bisect_left if op in (">", "<=") else bisect_right)(bounds, value)
            for at in ats[:edge] if op[0] == ">" else ats[edge:]:
                counts[at] += 1
        for run, ats in self.tests:
            if run(event):
                for at in ats:
                    counts[at] += 1
        return {self.keys[at] for at, count in counts.items() if count == self.wanted[at]}


def rate(match: Callable[[dict[str, Any]], Any], events: list[dict[str, Any]], seconds: float) -> float:
    """Events a second of one core, over all of `events` or as many as `seconds` let."""
    began, done = time.process_time(), 0
    for event in events:
        match(event)
        done += 1
        if done % 16 == 0 and time.process_time() - began > seconds:
            break
    return done / (time.process_time() - began)


def measure(count: int, seed: int, events: int, seconds: float) -> dict[str, Any]:
    rng = random.Random(seed)
    filters = [compile_filter(a_subscription(rng)) for _ in range(count)]
    stream = [traffic(rng) for _ in range(events)]
    index: Index[int] = Index()
    began = time.process_time()
    for key, filter_ in enumerate(filters):
        index.add(key, filter_)
    built = time.process_time() - began
    counting = Counting()
    counting.build(filters)

    def loop(event: dict[str, Any]) -> set[int]:
        return {key for key, one in enumerate(filters) if one.matches(event)}

    matched = 0
    for event in stream[:50]:
        found = loop(event)
        matched += len(found)
        assert index.match(event) == found == counting.match(event)
    indexed, looped = rate(index.match, stream, seconds), rate(loop, stream, seconds)
    return {
        "subscriptions": count, "index": round(indexed), "loop": round(looped),
        "counting": round(rate(counting.match, stream, seconds)), "times": round(indexed / looped, 1),
        "us_an_event": round(1e6 / indexed, 1), "us_to_add_one": round(1e6 * built / count),
        "matches_an_event": matched / 50,
    }  # fmt: skip


def covering(count: int, most: int, seed: int) -> dict[str, Any]:
    """What a neighbour is asked for: as it is, and as `most` filters that cover it."""
    rng = random.Random(seed)
    filters = [compile_filter(a_subscription(rng)) for _ in range(count)]
    began = time.process_time()
    cover = merged(filters, most)
    took = time.process_time() - began
    asked, let = Index[int](), Index[int]()
    for index, ones in ((asked, filters), (let, cover)):
        for key, one in enumerate(ones):
            index.add(key, one)
    sent = wanted = 0
    for _ in range(2000):
        event = traffic(rng)
        want, send = bool(asked.match(event)), bool(let.match(event))
        assert send or not want
        sent, wanted = sent + send, wanted + want
    return {"subscriptions": count, "filters": len(cover), "seconds": round(took, 2),
            "bytes_asked": sum(len(one.text.encode()) for one in filters),
            "bytes_covering": sum(len(one.text.encode()) for one in cover),
            "events_wanted": wanted / 2000, "events_sent": sent / 2000}  # fmt: skip


def one_filter(seed: int) -> dict[str, float]:
    """Microseconds of a filter alone, and milliseconds to take it."""
    text = 'kind == "call.refused" && tenant in ["n1", "n2"] && waited_ms > 500'
    began = time.process_time()
    for _ in range(100):
        filter_ = compile_filter(text)
    taken = time.process_time() - began
    event = traffic(random.Random(seed)) | {"kind": "call.refused", "tenant": "n1", "waited_ms": 700}
    began = time.process_time()
    for _ in range(100_000):
        filter_.matches(event)
    return {"us_an_event": round(10 * (time.process_time() - began), 2), "ms_to_take": round(10 * taken, 2)}


@click.command()
@click.option("--pairs", default=0, help="Pairs of filter and event that are checked.")
@click.option("--seed", default=1)
@click.option("--events", default=4000, help="Events of a measurement.")
@click.option("--seconds", default=4.0, help="Most that one measurement takes.")
@click.option("--sizes", default="10,1000,10000", help="Numbers of subscriptions; empty: none.")
def main(pairs: int, seed: int, events: int, seconds: float, sizes: str) -> None:
    out: dict[str, Any] = {"seed": seed, "bounds": {"depth": DEPTH_MOST, "cost": COST_MOST}}
    if pairs:
        out["checked"] = play_pairs(pairs, seed)
    if sizes:
        out["one_filter"] = one_filter(seed)
        out["measured"] = [measure(int(size), seed, events, seconds) for size in sizes.split(",")]
        out["covering"] = [covering(size, 16, seed) for size in (200, 1000)]
    click.echo(json.dumps(out))
    sys.exit(1 if pairs and out["checked"]["differences"] else 0)


if __name__ == "__main__":
    main()
