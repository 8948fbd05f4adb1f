"""`mallowquay dimension`: how many lines or log servers, by formula or from a record."""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

import click

from .values import NOT_NEGATIVE, POSITIVE, SHARE, Load, as_json, seconds, show, span


@click.group()
def dimension() -> None:
    """Sizes by the classic loss and delay formulas. Loads are in erlang: calls a second x seconds a call."""


@contextmanager
def answered() -> Iterator[None]:
    """What has no answer is a fault of the options."""
    from ..dimensioning.erlang import Unanswerable

    try:
        yield
    except Unanswerable as fault:
        raise click.UsageError(str(fault)) from fault


def one_of(servers: object, target: object) -> None:
    """Either a size or a target is asked about."""
    if (servers is None) == (target is None):
        raise click.UsageError("exactly one of --servers and --target must be given")


@dimension.command("erlang-b")
@click.option("--load", type=POSITIVE, required=True, help="Offered load in erlang.")
@click.option("--servers", type=NOT_NEGATIVE, help="Lines; any real number.")
@click.option("--target", type=SHARE, help="The share of calls that may be lost.")
@as_json
def erlang_b(load: float, servers: float | None, target: float | None, as_json: bool) -> None:
    """Calls that are lost when all lines are busy: the loss, or the lines for a loss."""
    from ..dimensioning import erlang

    one_of(servers, target)
    with answered():
        if servers is not None:
            show({"loss": erlang.erlang_b(load, servers)}, as_json)
        elif target is not None:
            show({"servers": erlang.erlang_b_servers(load, target)}, as_json)


@dimension.command("erlang-c")
@click.option("--load", type=POSITIVE, required=True, help="Offered load in erlang.")
@click.option("--servers", type=NOT_NEGATIVE, help="Servers; any real number.")
@click.option("--target", type=SHARE, help="The share of calls that may wait longer than --wait.")
@click.option("--hold", type=POSITIVE, default=1.0, show_default=True, help="Mean seconds a call is served.")
@click.option("--wait", type=NOT_NEGATIVE, default=0.0, show_default=True, help="Seconds.")
@as_json
def erlang_c(
    load: float, servers: float | None, target: float | None, hold: float, wait: float, as_json: bool
) -> None:
    """Calls that wait for a server: their share and mean wait, or the servers for a wait."""
    from ..dimensioning import erlang

    one_of(servers, target)
    with answered():
        if servers is not None:
            delay = erlang.erlang_c(load, servers, span(hold))
            mean, longer = seconds(delay.mean), delay.longer(span(wait))
            show({"waits": delay.waits, "mean_wait_s": mean, "waits_longer": longer}, as_json)
        elif target is not None:
            show({"servers": erlang.erlang_c_servers(load, target, span(wait), span(hold))}, as_json)


@dimension.command("erlang-a")
@click.option("--load", type=POSITIVE, required=True, help="Offered load in erlang.")
@click.option("--servers", type=click.IntRange(min=1), required=True, help="Servers.")
@click.option("--hold", type=POSITIVE, default=1.0, show_default=True, help="Mean seconds a call is served.")
@click.option("--patience", type=POSITIVE, required=True, help="Mean seconds until a caller gives up.")
@as_json
def erlang_a(load: float, servers: int, hold: float, patience: float, as_json: bool) -> None:
    """Calls that wait and callers who give up meanwhile."""
    from ..dimensioning import erlang

    with answered():
        result = erlang.erlang_a(load, servers, span(hold), span(patience))
    show({"waits": result.waits, "gives_up": result.gives_up, "mean_wait_s": seconds(result.mean)}, as_json)


@dimension.command("redial")
@click.option("--load", type=POSITIVE, required=True, help="Load of first tries in erlang.")
@click.option("--servers", type=NOT_NEGATIVE, required=True, help="Lines; any real number.")
@click.option(
    "--again", type=click.FloatRange(0, 1), required=True, help="Share of the lost that dial again."
)
@click.option("--most", type=click.IntRange(0, 100), default=2, show_default=True, help="Further tries.")
@as_json
def redial(load: float, servers: float, again: float, most: int, as_json: bool) -> None:
    """Erlang B with callers who dial again (extended Erlang B)."""
    from ..dimensioning import erlang

    with answered():
        result = erlang.extended_erlang_b(load, servers, again, most)
    show({"offered": result.offered, "loss": result.loss, "given_up": result.given_up}, as_json)


@dimension.command("rough")
@click.option("--load", type=POSITIVE, required=True, help="Offered load in erlang.")
@click.option("--servers", type=NOT_NEGATIVE, required=True, help="Lines; any real number.")
@click.option("--peakedness", type=POSITIVE, required=True, help="Variance over mean of the calls at once.")
@as_json
def rough(load: float, servers: float, peakedness: float, as_json: bool) -> None:
    """Loss of traffic that comes in heaps (Wilkinson) or evenly (Fredericks-Hayward)."""
    from ..dimensioning import erlang

    with answered():
        loss = erlang.rough_loss(load, servers, peakedness)
        show({"loss": loss, "hayward": erlang.hayward(load, servers, peakedness)}, as_json)


@dimension.command("kaufman-roberts")
@click.option("--lines", type=click.IntRange(1, 10_000_000), required=True, help="Lines that all share.")
@click.option("--class", "classes", type=Load(), multiple=True, required=True,
              help="Load in erlang and lines a call; once a class.")  # fmt: skip
@as_json
def kaufman_roberts(lines: int, classes: tuple[tuple[float, int], ...], as_json: bool) -> None:
    """Loss of several classes that share lines, in the order of the classes."""
    from ..dimensioning import erlang

    for load, width in classes:
        if width > lines:
            raise click.BadParameter(
                f"{load:g}:{width}: its width is more than the {lines} lines", param_hint="'--class'"
            )
    with answered():
        show({"loss": erlang.kaufman_roberts(lines, list(classes))}, as_json)
