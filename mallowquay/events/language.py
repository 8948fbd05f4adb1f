"""The filter language: grammar, types, bounds, and evaluation in three values. No I/O.

A subset of the Common Expression Language (CEL, language definition as published at cel.dev). An expression
is parsed by an LALR parser, typed, bounded and compiled to closures; no source text is ever run. A field that
an event lacks makes what reads it unknown, and `&&`, `||` and `!` follow Kleene (Introduction to
Metamathematics, 1952, strong three-valued logic; SQL's WHERE does too): whichever operand decides, decides,
in either order, as CEL has it for errors. `has(FIELD)` is never unknown.

The parser reads all of CEL's syntax. What is CEL but not of this release, a field among it, raises
`FilterUnknown`: whoever takes a filter from a client answers it as a fault; a member that is told of it by a
newer one forwards what it cannot judge.
"""

from __future__ import annotations

import math
import operator
from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass
from functools import cache
from typing import Any, ClassVar

import re2  # type: ignore[import-untyped]
from lark import Lark, Token, Tree, UnexpectedInput, v_args
from lark.exceptions import UnexpectedToken, VisitError
from lark.visitors import Transformer_NonRecursive

from ..errors import Fault
from .fields import CONFORMS, FIELDS, Event, Type, Value

LENGTH_MOST = 1_024  # characters, as given and as written out by this release
DEPTH_MOST = 24  # parentheses, operators and calls within each other
NODES_MOST = 192  # operators, fields and literals, those in lists among them
LIST_MOST = 64  # values of one list
REGEX_MOST = 256  # characters of one regular expression
REGEX_MEMORY = 1 << 18  # bytes of a regular expression's program and its automaton together
REGEX_PROGRAM_MOST = 2_500  # instructions of a regular expression
SEARCHED_MOST = 4_096  # characters of a text; of a longer one `matches` is unknown
COST_MOST = 256  # see `Filter.cost`
INT_MOST = 2**63 - 1

OPERATORS = frozenset({
    "==", "!=", "<", "<=", ">", ">=", "in", "&&", "||", "!",
    "has", "size", "startsWith", "endsWith", "contains", "matches",
})  # fmt: skip

Truth = bool | None  # None: unknown
Judge = Callable[[Event], Truth]
Reader = Callable[[Event], Value | None]


# --- faults


class FilterFault(Fault):
    """An expression that is not taken. `where` is the column, counted from 1 over the whole expression."""

    code: ClassVar[str] = "filter.fault"
    remedy: ClassVar[str] = "Correct the filter at the column that is named."


class FilterSyntax(FilterFault):
    """The text is no expression of the language."""

    code = "filter.syntax"
    remedy = 'Write it as in `kind == "call.refused" && waited_ms > 500`; the language page lists the syntax.'


class FilterType(FilterFault):
    """An operator does not take what stands beside it."""

    code = "filter.type"
    remedy = "Compare strings with strings and numbers with numbers; the language page lists the types."


class FilterBounds(FilterFault):
    """The expression is longer, deeper or dearer than a stranger's may be."""

    code = "filter.bounds"
    remedy = "Make it smaller, or split it into several subscriptions."


class FilterRegex(FilterFault):
    """What `matches` is given is no regular expression that can be taken."""

    code = "filter.regex"
    remedy = "Use RE2 syntax: no back-references and no look-around; startsWith, endsWith or contains may do."


class FilterUnknown(FilterFault):
    """CEL, perhaps, but not of this release: it cannot be judged here."""

    code = "filter.unknown"
    remedy = "Leave the operator or function out, or ask a gatekeeper of a release that has it."


class FilterField(FilterUnknown):
    """A field that this release does not know."""

    code = "filter.field"
    remedy = "Use one of: " + ", ".join(FIELDS) + "."


def _column(position: int | None) -> str:
    return f"column {(position or 0) + 1}"


# --- the tree


@dataclass(frozen=True, slots=True)
class Literal:
    value: Value


@dataclass(frozen=True, slots=True)
class Field:
    name: str


@dataclass(frozen=True, slots=True)
class Size:
    """Code points of a string."""

    of: Operand


@dataclass(frozen=True, slots=True)
class Compare:
    op: str
    left: Operand
    right: Operand


@dataclass(frozen=True, slots=True)
class In:
    item: Operand
    values: tuple[Value, ...]


@dataclass(frozen=True, slots=True)
class Has:
    name: str


@dataclass(frozen=True, slots=True)
class Text:
    """`startsWith`, `endsWith`, `contains`, or `matches`, whose right side is a literal."""

    op: str
    left: Operand
    right: Operand


@dataclass(frozen=True, slots=True)
class Not:
    of: Node


@dataclass(frozen=True, slots=True)
class And:
    parts: tuple[Node, ...]


@dataclass(frozen=True, slots=True)
class Or:
    parts: tuple[Node, ...]


Node = Literal | Field | Compare | In | Has | Text | Not | And | Or | Size
Operand = Node


def children(node: Node) -> tuple[Node, ...]:
    match node:
        case Compare(_, left, right) | Text(_, left, right):
            return left, right
        case In(item, _):
            return (item,)
        case Size(of) | Not(of):
            return (of,)
        case And(parts) | Or(parts):
            return parts
    return ()


def nodes_of(node: Node) -> int:
    """Operators, fields and literals, as the bound counts them."""
    if isinstance(node, Has):
        return 2
    inner = len(node.values) + 1 if isinstance(node, In) else 0
    return 1 + inner + sum(map(nodes_of, children(node)))


def fields_of(node: Node) -> frozenset[str]:
    """Every field that is named in it."""
    if isinstance(node, (Field, Has)):
        return frozenset({node.name})
    return frozenset().union(*map(fields_of, children(node)))


def needed_by(node: Node) -> frozenset[str]:
    """Fields without which it is unknown, whatever else the event holds."""
    match node:
        case Field(name):
            return frozenset({name})
        case Has() | And() | Or():
            return frozenset()
    return frozenset().union(*map(needed_by, children(node)))


# --- canonical text

_ESCAPES = {
    '"': '\\"', "\\": "\\\\", "\a": "\\a", "\b": "\\b", "\f": "\\f", "\n": "\\n", "\r": "\\r", "\t": "\\t",
    "\v": "\\v",
}  # fmt: skip
_OR, _AND, _RELATION, _UNARY, _MEMBER = range(5)


def _quoted(value: Value) -> str:
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, str):
        return '"' + "".join(
            _ESCAPES.get(char)
            or (char if char.isprintable() or ord(char) > 0xFFFF else f"\\u{ord(char):04x}")
            for char in value
        ) + '"'  # fmt: skip
    if isinstance(value, float):
        return repr(value)
    return str(value)


def written(node: Node, within: int = _OR) -> str:
    """The expression with the fewest parentheses; `within` is how tightly its surroundings bind."""
    match node:
        case Literal(value):
            binds, text = _MEMBER, _quoted(value)
            if text.startswith("-"):
                binds = _UNARY
        case Field(name):
            binds, text = _MEMBER, name
        case Has(name):
            binds, text = _MEMBER, f"has({name})"
        case Size(of):
            binds, text = _MEMBER, f"size({written(of)})"
        case Compare(op, left, right):
            binds, text = _RELATION, f"{written(left, _RELATION)} {op} {written(right, _UNARY)}"
        case In(item, values):
            binds, text = _RELATION, f"{written(item, _RELATION)} in [{', '.join(map(_quoted, values))}]"
        case Text(op, left, right):
            binds, text = _MEMBER, f"{written(left, _MEMBER)}.{op}({written(right)})"
        case Not(of):
            binds, text = _UNARY, "!" + written(of, _UNARY)
        case And(parts):
            binds, text = _AND, " && ".join(written(part, _RELATION) for part in parts)
        case Or(parts):
            binds, text = _OR, " || ".join(written(part, _AND) for part in parts)
    return f"({text})" if binds < within else text


# --- parsing

# The whole of CEL's syntax as published, so that what another release may know is told from what is no CEL.
_GRAMMAR = r"""
start: expr
?expr: disj | disj "?" disj ":" expr -> ternary
?disj: conj | conj (OR conj)+ -> any_of
?conj: rel | rel (AND rel)+ -> all_of
?rel: add | rel (EQ | NE | LE | GE | LT | GT | IN) add -> relation
?add: mul | add (PLUS | MINUS) mul -> arithmetic
?mul: unary | mul (STAR | SLASH | PERCENT) unary -> arithmetic
?unary: member | BANG unary -> negation | MINUS unary -> minus
?member: primary
    | member "." IDENT -> select
    | member "." IDENT "(" arguments ")" -> method
    | member "[" expr "]" -> indexed
?primary: IDENT -> field
    | "." IDENT -> rooted
    | IDENT "(" arguments ")" -> call
    | IDENT "{" [entries] "}" -> structure
    | "{" [entries] "}" -> structure
    | "[" arguments "]" -> listed
    | "[" expr ("," expr)* "," "]" -> listed_open
    | "(" expr ")" -> nested
    | STRING -> string
    | RAW -> raw
    | BYTES -> foreign
    | UINT -> foreign
    | NULL -> foreign
    | FLOAT -> decimal
    | INT -> integer
    | TRUE -> boolean
    | FALSE -> boolean
arguments: [expr ("," expr)*]
entries: expr ":" expr ("," expr ":" expr)* [","]

OR: "||"
AND: "&&"
EQ: "=="
NE: "!="
LE: "<="
GE: ">="
LT: "<"
GT: ">"
IN: "in"
PLUS: "+"
MINUS: "-"
STAR: "*"
SLASH: "/"
PERCENT: "%"
BANG: "!"
TRUE: "true"
FALSE: "false"
NULL: "null"
IDENT: /[A-Za-z_][A-Za-z0-9_]*/
STRING: /"(?:[^"\\\n\r]|\\.)*"|'(?:[^'\\\n\r]|\\.)*'/
RAW.2: /[rR](?:"[^"\n\r]*"|'[^'\n\r]*')/
BYTES.2: /[bB][rR]?(?:"(?:[^"\\\n\r]|\\.)*"|'(?:[^'\\\n\r]|\\.)*')/
FLOAT.3: /[0-9]*\.[0-9]+(?:[eE][+-]?[0-9]+)?|[0-9]+[eE][+-]?[0-9]+/
UINT.2: /(?:0x[0-9a-fA-F]+|[0-9]+)[uU]/
INT: /0x[0-9a-fA-F]+|[0-9]+/
COMMENT: /\/\/[^\n]*/
%ignore /[ \t\n\r\f]+/
%ignore COMMENT
"""


@cache
def _parser() -> Lark:
    return Lark(_GRAMMAR, parser="lalr", lexer="basic", propagate_positions=True)


_SIMPLE = {"a": "\a", "b": "\b", "f": "\f", "n": "\n", "r": "\r", "t": "\t", "v": "\v"}
_DIGITS = {"x": 2, "X": 2, "u": 4, "U": 8}


def _unescaped(token: Token) -> str:
    """The string that a quoted literal stands for (CEL, string and bytes values)."""
    body, start = str(token)[1:-1], (token.start_pos or 0) + 1
    out: list[str] = []
    at = 0
    while at < len(body):
        char = body[at]
        if char != "\\":
            out.append(char)
            at += 1
            continue
        mark = body[at + 1]
        if mark in _SIMPLE:
            out.append(_SIMPLE[mark])
            at += 2
            continue
        if mark in "\\?\"'`":
            out.append(mark)
            at += 2
            continue
        if mark in _DIGITS:
            digits, base, skip = body[at + 2 : at + 2 + _DIGITS[mark]], 16, 2
            whole = len(digits) == _DIGITS[mark] and all(one in "0123456789abcdefABCDEF" for one in digits)
        else:
            digits, base, skip = body[at + 1 : at + 4], 8, 1
            whole = len(digits) == 3 and digits[0] in "0123" and all(one in "01234567" for one in digits)
        number = int(digits, base) if whole else -1
        if not whole or number > 0x10FFFF or 0xD800 <= number <= 0xDFFF:
            raise FilterSyntax(f"\\{mark} begins no escape that CEL has", _column(start + at))
        out.append(chr(number))
        at += skip + len(digits)
    return "".join(out)


@dataclass(slots=True)
class _Part:
    """A piece of the tree while it is built, with what its surroundings need to know."""

    node: Node
    type: Type
    at: int
    depth: int = 1
    nodes: int = 1
    cost: int = 0
    values: tuple[Value, ...] | None = None  # of a list
    element: Type | None = None  # of a list; None: it is empty


def _alike(one: Type, other: Type) -> bool:
    return one is other or (one.numeric and other.numeric)


class _Builder(Transformer_NonRecursive):  # type: ignore[type-arg]
    """Types and bounds, from the leaves up; not recursive, so no nesting of the text can overflow a stack."""

    def __init__(self, known: Collection[str]) -> None:
        super().__init__()
        self._known = known

    # What is checked on the way.

    def _knows(self, name: str, at: int | None) -> None:
        if name not in self._known:
            raise FilterUnknown(f"this release does not know {name}", _column(at))

    @staticmethod
    def _made(
        node: Node, type_: Type, at: int, parts: Iterable[_Part], cost: int = 0, count: int = 1
    ) -> _Part:
        depth, nodes = 1, count
        for part in parts:
            depth, nodes, cost = max(depth, part.depth + 1), nodes + part.nodes, cost + part.cost
        for what, found, most in (("depth", depth, DEPTH_MOST), ("number of parts", nodes, NODES_MOST),
                                  ("cost", cost, COST_MOST)):  # fmt: skip
            if found > most:
                raise FilterBounds(f"its {what} is over {most}", _column(at))
        return _Part(node, type_, at, depth, nodes, cost)

    @staticmethod
    def _scalar(part: _Part) -> _Part:
        """A part that may be compared: no list, and a number that fits."""
        if part.type is Type.LIST:
            raise FilterType("a list stands only after in", _column(part.at))
        if isinstance(part.node, Literal) and type(part.node.value) is int and part.node.value > INT_MOST:
            raise FilterBounds(f"{part.node.value} does not fit 64 bits", _column(part.at))
        return part

    def _of(self, part: _Part, type_: Type, what: str) -> _Part:
        if self._scalar(part).type is not type_:
            raise FilterType(f"{what} takes {type_.value}, not {part.type.value}", _column(part.at))
        return part

    # Leaves.

    def field(self, items: list[Any]) -> _Part:
        (token,) = items
        if token not in FIELDS:
            raise FilterField(f"there is no field {token}", _column(token.start_pos))
        return _Part(Field(str(token)), FIELDS[token], token.start_pos)

    def string(self, items: list[Any]) -> _Part:
        return _Part(Literal(_unescaped(items[0])), Type.STRING, items[0].start_pos)

    def raw(self, items: list[Any]) -> _Part:
        return _Part(Literal(str(items[0])[2:-1]), Type.STRING, items[0].start_pos)

    def integer(self, items: list[Any]) -> _Part:
        (token,) = items
        value = int(token, 16) if token.startswith("0x") else int(token)
        if value > INT_MOST + 1:  # one more may still follow a minus
            raise FilterBounds(f"{token} does not fit 64 bits", _column(token.start_pos))
        return _Part(Literal(value), Type.INT, token.start_pos)

    def decimal(self, items: list[Any]) -> _Part:
        (token,) = items
        value = float(token)
        if math.isinf(value):
            raise FilterBounds(f"{token} is too large for a decimal", _column(token.start_pos))
        return _Part(Literal(value), Type.DECIMAL, token.start_pos)

    def boolean(self, items: list[Any]) -> _Part:
        return _Part(Literal(items[0] == "true"), Type.BOOL, items[0].start_pos)

    # What holds others.

    def arguments(self, items: list[Any]) -> list[_Part]:
        return [item for item in items if item is not None]

    @v_args(meta=True)
    def listed(self, meta: Any, items: list[Any]) -> _Part:
        return self._list(items[0], meta.start_pos)

    @v_args(meta=True)
    def listed_open(self, meta: Any, items: list[Any]) -> _Part:
        return self._list(items, meta.start_pos)

    def _list(self, parts: list[_Part], at: int) -> _Part:
        if len(parts) > LIST_MOST:
            raise FilterBounds(f"a list of {len(parts)} values, over {LIST_MOST}", _column(at))
        values: list[Value] = []
        for part in parts:
            self._scalar(part)
            if not isinstance(part.node, Literal):
                raise FilterUnknown("this release knows lists of literals only", _column(part.at))
            if not _alike(part.type, parts[0].type):
                raise FilterType("the values of a list are of one type", _column(part.at))
            values.append(part.node.value)
        part = self._made(Literal(True), Type.LIST, at, parts)
        part.values, part.element = tuple(values), parts[0].type if parts else None
        return part

    def nested(self, items: list[Any]) -> _Part:
        (part,) = items
        if part.depth >= DEPTH_MOST:
            raise FilterBounds(f"its depth is over {DEPTH_MOST}", _column(part.at))
        part.depth += 1
        return part  # type: ignore[no-any-return]

    def _joined(self, items: list[Any], join: type[And] | type[Or]) -> _Part:
        parts: list[Node] = []
        for item in items:
            if isinstance(item, Token):
                self._knows(str(item), item.start_pos)
                continue
            node = self._of(item, Type.BOOL, "&& or ||").node
            parts += node.parts if isinstance(node, join) else (node,)
        return self._made(join(tuple(parts)), Type.BOOL, items[0].at, items[::2])

    def any_of(self, items: list[Any]) -> _Part:
        return self._joined(items, Or)

    def all_of(self, items: list[Any]) -> _Part:
        return self._joined(items, And)

    def negation(self, items: list[Any]) -> _Part:
        token, part = items
        self._knows("!", token.start_pos)
        return self._made(Not(self._of(part, Type.BOOL, "!").node), Type.BOOL, token.start_pos, [part])

    def minus(self, items: list[Any]) -> _Part:
        token, part = items
        node = part.node
        if not isinstance(node, Literal) or not part.type.numeric:
            raise FilterUnknown("this release knows - before a number only", _column(token.start_pos))
        return self._made(Literal(-node.value), part.type, token.start_pos, [part], 0, 0)  # type: ignore[operator]

    def relation(self, items: list[Any]) -> _Part:
        left, token, right = items
        op, at = str(token), token.start_pos
        self._knows(op, at)
        self._scalar(left)
        if op == "in":
            if right.values is None:
                raise FilterType(f"in takes list, not {right.type.value}", _column(right.at))
            if right.element is not None and not _alike(left.type, right.element):
                raise FilterType(
                    f"in between {left.type.value} and a list of {right.element.value}", _column(at)
                )
            return self._made(In(left.node, right.values), Type.BOOL, at, (left, right), 1)
        self._scalar(right)
        if not _alike(left.type, right.type):
            raise FilterType(f"{op} between {left.type.value} and {right.type.value}", _column(at))
        if left.type is Type.BOOL and op not in ("==", "!="):
            raise FilterType(f"booleans have no order for {op}", _column(at))
        return self._made(Compare(op, left.node, right.node), Type.BOOL, at, (left, right), 1)

    def call(self, items: list[Any]) -> _Part:
        token, parts = items
        name, at = str(token), token.start_pos
        if name not in ("has", "size"):
            raise FilterUnknown(f"this release does not know the function {name}()", _column(at))
        self._knows(name, at)
        if len(parts) != 1:
            raise FilterType(f"{name}() takes one argument", _column(at))
        (part,) = parts
        if name == "size":
            return self._size(part, at)
        if not isinstance(part.node, Field):
            raise FilterType("has() takes a field", _column(part.at))
        return self._made(Has(part.node.name), Type.BOOL, at, parts, 1)

    def _size(self, part: _Part, at: int) -> _Part:
        if part.values is not None:  # the length of a list of literals is known now
            return self._made(Literal(len(part.values)), Type.INT, at, (), 0)
        return self._made(Size(self._of(part, Type.STRING, "size()").node), Type.INT, at, (part,), 1)

    def method(self, items: list[Any]) -> _Part:
        left, token, parts = items
        name, at = str(token), token.start_pos
        if name not in OPERATORS or name in ("in", "has"):
            raise FilterUnknown(f"this release does not know the function .{name}()", _column(at))
        self._knows(name, at)
        if name == "size":
            if parts:
                raise FilterType(".size() takes no argument", _column(at))
            return self._size(left, at)
        if len(parts) != 1:
            raise FilterType(f".{name}() takes one argument", _column(at))
        self._of(left, Type.STRING, f".{name}()")
        (right,) = parts
        self._of(right, Type.STRING, f".{name}()")
        cost = 2
        if name == "matches":
            if not isinstance(right.node, Literal):
                raise FilterUnknown("this release knows .matches() of a literal only", _column(right.at))
            cost = 4 + _regex(str(right.node.value), right.at).programsize // 64
        return self._made(Text(name, left.node, right.node), Type.BOOL, at, (left, right), cost)

    # What is CEL and not of this release.

    @v_args(meta=True)
    def _foreign(self, meta: Any, items: list[Any]) -> _Part:
        for item in items:
            if isinstance(item, Token):
                raise FilterUnknown(f"this release does not know {item} here", _column(item.start_pos))
        raise FilterUnknown("this release does not know this form", _column(getattr(meta, "start_pos", 0)))

    ternary = arithmetic = select = indexed = rooted = structure = foreign = _foreign

    def entries(self, items: list[Any]) -> None:
        return None


def _regex(pattern: str, at: int = 0) -> Any:
    """A compiled RE2 program: its time is linear in the text, its memory bounded."""
    if len(pattern) > REGEX_MOST:
        raise FilterBounds(f"a regular expression over {REGEX_MOST} characters", _column(at))
    options = re2.Options()
    options.max_mem, options.log_errors, options.never_capture = REGEX_MEMORY, False, True
    try:
        program = re2.compile(pattern, options)
    except re2.error as fault:
        said = fault.args[0] if fault.args else ""
        said = said.decode("utf-8", "replace") if isinstance(said, bytes) else str(said)
        if "too large" in said or "repetition size" in said:
            raise FilterBounds(f"the regular expression is too large: {said}", _column(at)) from None
        raise FilterRegex(said or "no regular expression of RE2", _column(at)) from None
    if program.programsize > REGEX_PROGRAM_MOST:
        raise FilterBounds(f"the regular expression is over {REGEX_PROGRAM_MOST} steps", _column(at))
    return program


# --- evaluation

ORDER: Mapping[str, Callable[[Any, Any], bool]] = {
    "==": operator.eq, "!=": operator.ne, "<": operator.lt, "<=": operator.le, ">": operator.gt,
    ">=": operator.ge,
}  # fmt: skip
_TEXTS: Mapping[str, Callable[[str, str], bool]] = {
    "startsWith": str.startswith, "endsWith": str.endswith, "contains": operator.contains,
}  # fmt: skip


def _reader(node: Operand) -> Reader:
    """The value of an operand, None where it is unknown."""
    match node:
        case Literal(value):
            return lambda event: value
        case Field(name):
            conforms = CONFORMS[name]

            def read(event: Event) -> Value | None:
                value = event.get(name)
                return value if conforms(value) else None

            return read
        case Size(of):
            text = _reader(of)

            def size(event: Event) -> Value | None:
                found = text(event)
                return None if found is None else len(found)  # type: ignore[arg-type]

            return size
    return judge(node)


def _compare(node: Compare) -> Judge:
    order, right_reader = ORDER[node.op], _reader(node.right)
    if isinstance(node.left, Field) and isinstance(node.right, Literal):  # nearly all that is written
        name, conforms, bound = node.left.name, CONFORMS[node.left.name], node.right.value

        def against(event: Event) -> Truth:
            value = event.get(name)
            return order(value, bound) if conforms(value) else None

        return against
    left_reader = _reader(node.left)

    def compare(event: Event) -> Truth:
        left = left_reader(event)
        if left is None:
            return None
        right = right_reader(event)
        return None if right is None else order(left, right)

    return compare


def _text(node: Text) -> Judge:
    left_reader = _reader(node.left)
    if node.op == "matches":
        assert isinstance(node.right, Literal)
        search = _regex(str(node.right.value)).search

        def matches(event: Event) -> Truth:
            left: Any = left_reader(event)
            if left is None or len(left) > SEARCHED_MOST:
                return None
            try:
                return search(left.encode()) is not None
            except UnicodeEncodeError:  # half a surrogate pair, which JSON can carry, is no text to RE2
                return None

        return matches
    right_reader, holds = _reader(node.right), _TEXTS[node.op]

    def text(event: Event) -> Truth:
        left: Any = left_reader(event)
        right: Any = right_reader(event)
        return None if left is None or right is None else holds(left, right)

    return text


def judge(node: Node) -> Judge:
    """A closure that evaluates `node`: True, False, or None where it is unknown."""
    match node:
        case Literal(value):
            return lambda event: value  # type: ignore[return-value]
        case Field():
            return _reader(node)  # type: ignore[return-value]
        case Has(name):
            conforms = CONFORMS[name]
            return lambda event: conforms(event.get(name))
        case Compare():
            return _compare(node)
        case Text():
            return _text(node)
        case In(item, values):
            reader, members = _reader(item), frozenset(values)

            def among(event: Event) -> Truth:
                value = reader(event)
                return None if value is None else value in members

            return among
        case Not(of):
            inner = judge(of)

            def negated(event: Event) -> Truth:
                truth = inner(event)
                return None if truth is None else not truth

            return negated
        case And(parts) | Or(parts):
            # Whichever operand decides, decides, in any order; only if none does can unknown be the answer.
            judges, decides = tuple(map(judge, parts)), isinstance(node, Or)

            def joined(event: Event) -> Truth:
                truth: Truth = not decides
                for one in judges:
                    found = one(event)
                    if found is decides:
                        return decides
                    if found is None:
                        truth = None
                return truth

            return joined
    raise AssertionError(node)


class Filter:
    """An expression that was typed and bounded, ready to be shared and evaluated. Equal if its text is."""

    __slots__ = ("text", "tree", "cost", "value")

    text: str  # canonical: compiles to the same tree and is written the same
    tree: Node
    cost: int  # at most COST_MOST: 1 a comparison, 2 a search, 4 and more a regular expression by its size
    value: Judge  # True, False, or None where it is unknown

    def __init__(self, tree: Node, text: str, cost: int) -> None:
        self.tree, self.text, self.cost, self.value = tree, text, cost, judge(tree)

    def matches(self, event: Event) -> bool:
        """Whether the whole is true: neither false nor unknown."""
        return self.value(event) is True

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Filter) and other.text == self.text

    def __hash__(self) -> int:
        return hash(self.text)

    def __repr__(self) -> str:
        return f"Filter({self.text!r})"

    def __reduce__(self) -> tuple[Any, ...]:
        return compile_filter, (self.text,)


def _encodable(text: str) -> None:
    for at, char in enumerate(text):
        if 0xD800 <= ord(char) <= 0xDFFF:
            raise FilterSyntax("half a surrogate pair is no text", _column(at))


def _parsed(text: str) -> Tree[Any]:
    try:
        return _parser().parse(text)
    except UnexpectedInput as fault:
        at = fault.pos_in_stream
        if isinstance(fault, UnexpectedToken) and fault.token.type != "$END":
            raise FilterSyntax(f"{str(fault.token)[:40]!r} cannot stand here", _column(at)) from None
        if at is not None and 0 <= at < len(text) and not isinstance(fault, UnexpectedToken):
            open_ = text[at] in "'\""
            what = "a string that has no end" if open_ else f"{text[at]!r} begins nothing here"
            raise FilterSyntax(what, _column(at)) from None
        raise FilterSyntax("the expression ends too early", _column(len(text))) from None


def compile_filter(text: str, known: Collection[str] | None = None) -> Filter:
    """Parse, type, bound and compile.

    `known`: the operators and functions of a release, all of `OPERATORS` if None. Raises a `FilterFault`:
    `FilterUnknown` for what this release cannot judge, and the others for what no release should take. Bounds
    may differ between releases, so a member that was told of a filter by another forwards on any of them.
    """
    if len(text) > LENGTH_MOST:
        raise FilterBounds(f"{len(text)} characters, over {LENGTH_MOST}", _column(LENGTH_MOST))
    _encodable(text)
    tree = _parsed(text)
    try:
        (part,) = _Builder(OPERATORS if known is None else known).transform(tree).children
    except VisitError as fault:
        raise fault.orig_exc from None
    if part.type is not Type.BOOL:
        raise FilterType(f"a filter is bool, not {part.type.value}", _column(part.at))
    canonical = written(part.node)
    if len(canonical) > LENGTH_MOST:
        raise FilterBounds(
            f"written out in full it has {len(canonical)} characters, over {LENGTH_MOST}",
            _column(LENGTH_MOST),
        )
    return Filter(part.node, canonical, part.cost)
