"""What an event holds: its kinds, and its fields with their types."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from enum import Enum, StrEnum
from types import MappingProxyType

Value = str | int | float | bool
Event = Mapping[str, Value]


class Kind(StrEnum):
    """What happened. A later release may know more; a filter compares kinds as strings."""

    CALL_OFFERED = "call.offered"
    CALL_REFUSED = "call.refused"
    CALL_FAILED = "call.failed"
    CALL_STOOD = "call.stood"
    CALL_ENDED = "call.ended"
    SERVER_TOLD = "server.told"
    SERVER_RATED = "server.rated"
    MEMBER_CHANGED = "member.changed"
    SITE_CHANGED = "site.changed"
    CLOSING_FIRED = "closing.fired"


class Type(Enum):
    """Types of the filter language. Whole numbers and decimals compare with each other, nothing else does."""

    STRING = "string"
    INT = "int"
    DECIMAL = "decimal"
    BOOL = "bool"
    LIST = "list"

    @property
    def numeric(self) -> bool:
        return self is Type.INT or self is Type.DECIMAL


FIELDS: Mapping[str, Type] = MappingProxyType({
    "kind": Type.STRING,
    "member": Type.STRING,
    "at_ms": Type.INT,  # wall clock, milliseconds since 1970 in UTC
    "class": Type.STRING,
    "tenant": Type.STRING,
    "district": Type.STRING,
    "server": Type.STRING,
    "cause": Type.STRING,
    "level": Type.STRING,
    "from": Type.STRING,
    "to": Type.STRING,
    "name": Type.STRING,
    "day": Type.STRING,  # a business day, "2026-12-24"
    "attempts": Type.INT,
    "waited_ms": Type.INT,
    "stood_ms": Type.INT,
})  # fmt: skip


def is_text(value: object) -> bool:
    return isinstance(value, str)


def is_number(value: object) -> bool:
    """A number that has an order: not a boolean, not NaN."""
    return type(value) is int or (
        isinstance(value, (int, float)) and not isinstance(value, bool) and value == value
    )


def is_bool(value: object) -> bool:
    return isinstance(value, bool)


_CHECKS: Mapping[Type, Callable[[object], bool]] = {
    Type.STRING: is_text, Type.INT: is_number, Type.DECIMAL: is_number, Type.BOOL: is_bool,
}  # fmt: skip

# A field whose value is not of the field's type counts as lacking: an event of another release can raise
# nothing out of a filter, and NaN, which has no order, cannot make `!(a < 5)` differ from `a >= 5`.
CONFORMS: Mapping[str, Callable[[object], bool]] = MappingProxyType(
    {name: _CHECKS[type_] for name, type_ in FIELDS.items()}
)


def conforming(event: Event) -> dict[str, Value]:
    """The fields of an event that this release knows and whose values are of their type."""
    return {name: value for name, value in event.items() if name in CONFORMS and CONFORMS[name](value)}
