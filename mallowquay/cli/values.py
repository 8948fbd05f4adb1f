"""Values of options, checked: each fault names its option; and how results are printed."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping, Sequence
from datetime import timedelta
from math import inf, isfinite
from typing import Any

import click


class Number(click.ParamType):
    """A finite number above (or from) `least` and below `most`."""

    name = "number"

    def __init__(self, least: float = 0.0, most: float = inf, included: bool = False, unit: str = "") -> None:
        self.least, self.most, self.included = least, most, included
        self.name = unit or "number"

    def convert(self, value: Any, param: click.Parameter | None, ctx: click.Context | None) -> float:
        """The number, or a fault that says what it must be."""
        try:
            number = float(value)
        except ValueError:
            self.fail(f"{value!r} is not a number", param, ctx)
        enough = number >= self.least if self.included else number > self.least
        if not isfinite(number) or not enough or number >= self.most:
            bound = f"of {self.least:g} or more" if self.included else f"above {self.least:g}"
            below = f" and below {self.most:g}" if isfinite(self.most) else ""
            self.fail(f"{value} must be a number {bound}{below}", param, ctx)
        return number


class Load(click.ParamType):
    """A class as load in erlang and lines a call, `A:WIDTH`."""

    name = "A:WIDTH"

    def convert(
        self, value: Any, param: click.Parameter | None, ctx: click.Context | None
    ) -> tuple[float, int]:
        """The load and the width."""
        load, colon, width = str(value).partition(":")
        if not colon:
            self.fail(f"{value!r} must be LOAD:WIDTH, as in 12.5:2", param, ctx)
        amount = Number(unit="erlang").convert(load, param, ctx)
        if not width.isascii() or not width.isdigit() or int(width) < 1:
            self.fail(f"{value!r}: the width must be a whole number above 0", param, ctx)
        return amount, int(width)


POSITIVE, SHARE = Number(), Number(0.0, 1.0)
NOT_NEGATIVE = Number(included=True)
as_json = click.option("--json", "as_json", is_flag=True, help="Print one JSON object.")


def span(seconds: float) -> timedelta:
    """An option's seconds as a span."""
    try:
        return timedelta(seconds=seconds)
    except OverflowError:
        raise click.UsageError(f"{seconds:g} s is longer than can be reckoned with") from None


def seconds(value: timedelta | None) -> float | None:
    """A span as seconds for JSON; None where it has no bound."""
    return None if value is None else value.total_seconds()


def plain(value: Any) -> Any:
    """Numbers that JSON lacks become null."""
    if isinstance(value, float) and not isfinite(value):
        return None
    if isinstance(value, Mapping):
        return {key: plain(inner) for key, inner in value.items()}
    if isinstance(value, list | tuple):
        return [plain(inner) for inner in value]
    return value


def show(result: Mapping[str, Any], json_wanted: bool) -> None:
    """One result: a JSON object, or its figures a line each."""
    if json_wanted:
        click.echo(json.dumps(plain(result), allow_nan=False))
        return
    from tabulate import tabulate

    click.echo(tabulate([(name.replace("_", " "), cell(value)) for name, value in result.items()],
                        tablefmt="plain"))  # fmt: skip


def table(rows: Iterable[Sequence[Any]], headers: Sequence[str]) -> str:
    """Rows for people."""
    from tabulate import tabulate

    return tabulate([[cell(value) for value in row] for row in rows], headers=headers, tablefmt="simple")


def cell(value: Any) -> str:
    """A figure with the digits that mean something."""
    if value is None or value == inf:
        return "without bound"
    if isinstance(value, float):
        return f"{value:.6g}"
    if isinstance(value, list | tuple):
        return ", ".join(cell(inner) for inner in value)
    return str(value)
