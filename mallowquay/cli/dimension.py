"""`mallowquay dimension`: how many lines or log servers, by formula or from a record."""

from __future__ import annotations

import json
from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from .traffic import opened
from .values import (
    NOT_NEGATIVE,
    POSITIVE,
    SHARE,
    Load,
    Number,
    as_json,
    plain,
    seconds,
    show,
    span,
    table,
)

if TYPE_CHECKING:
    from ..dimensioning.plan import Demand, Plan
    from ..emulator.sizing import Sized
    from ..traffic.summary import Summary


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
            delay = erlang.erlang_c(load, servers)
            mean, longer = delay.mean * hold, delay.longer(wait / hold)
            show({"waits": delay.waits, "mean_wait_s": mean, "waits_longer": longer}, as_json)
        elif target is not None:
            show({"servers": erlang.erlang_c_servers(load, target, wait / hold)}, as_json)


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
@click.option(
    "--class",
    "classes",
    type=Load(),
    multiple=True,
    required=True,
    help="Load in erlang and lines a call; once a class.",
)
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


@dimension.command("plan")
@click.option("--traffic", type=click.Path(dir_okay=False), required=True, help="A record of traffic.")
@click.option(
    "--target-loss", type=SHARE, default=0.01, show_default=True, help="The share of tries that may be lost."
)
@click.option(
    "--target-wait",
    type=POSITIVE,
    default=1.0,
    show_default=True,
    help="Seconds; as many set-ups may wait longer for the processor as may be lost.",
)
@click.option(
    "--surge",
    type=Number(1.0, included=True),
    default=1.0,
    show_default=True,
    help="The rate of a surge, in multiples of the usual.",
)
@click.option(
    "--surge-seconds", type=POSITIVE, default=8.0, show_default=True, help="How long a surge lasts."
)
@click.option(
    "--lines", type=click.IntRange(min=1), help="Lines of a log server; else as the record has them."
)
@click.option(
    "--setup-ms", type=POSITIVE, default=20.0, show_default=True, help="Processor work of a set-up."
)
@click.option("--answer-ms", type=NOT_NEGATIVE, default=10.0, show_default=True, help="Work of an answer.")
@click.option("--release-ms", type=NOT_NEGATIVE, default=10.0, show_default=True, help="Work of a release.")
@click.option("--refusal-ms", type=NOT_NEGATIVE, default=5.0, show_default=True, help="Work of turning away.")
@click.option(
    "--wait-limit",
    type=POSITIVE,
    default=2.4,
    show_default=True,
    help="Seconds of wait past which a processor turns set-ups away.",
)
@click.option(
    "--dead",
    type=Number(0, 1, included=True),
    default=0.15,
    show_default=True,
    help="Part of the fleet that may be dead.",
)
@click.option(
    "--replaced",
    type=Number(0, 1, included=True),
    default=0.26,
    show_default=True,
    help="Part that may be replaced at once.",
)
@click.option(
    "--cold",
    type=Number(0, 1),
    default=0.29,
    show_default=True,
    help="What a replaced one can do at its start.",
)
@click.option("--cut-ok", is_flag=True, help="Plan from what stands before the line that a crash cut.")
@click.option("--emulation", type=click.Path(dir_okay=False), help="Write a scenario that plays the size.")
@click.option("--played", is_flag=True, help="Search the size that holds when the module decides.")
@click.option("--played-seconds", type=POSITIVE, default=240.0, show_default=True, help="Of each played run.")
@click.option(
    "--gatekeepers", type=click.IntRange(1, 1000), default=6, show_default=True, help="Of played runs."
)
@as_json
def make_plan(
    traffic: str,
    target_loss: float,
    target_wait: float,
    surge: float,
    surge_seconds: float,
    lines: int | None,
    setup_ms: float,
    answer_ms: float,
    release_ms: float,
    refusal_ms: float,
    wait_limit: float,
    dead: float,
    replaced: float,
    cold: float,
    cut_ok: bool,
    emulation: str | None,
    played: bool,
    played_seconds: float,
    gatekeepers: int,
    as_json: bool,
) -> None:
    """How many log servers to start, from a record of traffic.

    The size holds for the load of each moment of the record, through a surge, and while the stated parts of
    the fleet are dead or cold. Its interval says how sure that is.
    """
    from ..dimensioning import plan
    from ..dimensioning.processor import Processor, Work
    from ..traffic.summary import summarise

    record = opened(traffic)
    if record.cut and not cut_ok:
        raise click.UsageError(
            f"{traffic}: line {record.cut[0]} is cut; --cut-ok plans from the whole lines alone"
        )
    intervals = list(record.intervals())

    def work(milliseconds: float) -> Work:
        return Work(timedelta(milliseconds=milliseconds))

    with answered():
        try:
            summary = summarise(intervals)
        except ValueError as fault:
            raise click.UsageError(f"{traffic}: {fault}") from fault
        shape = plan.Shape(
            lines=lines or summary.lines or 1000,
            processor=Processor(
                work(setup_ms), work(answer_ms), work(release_ms), work(refusal_ms), span(wait_limit)
            ),
            dead=dead,
            replaced=replaced,
            cold=cold,
        )
        aim = plan.Aim(target_loss, span(target_wait), surge, span(surge_seconds))
        made = plan.make(demands(summary, intervals), shape, aim)
    if emulation is not None:
        try:
            Path(emulation).write_text(scenario(made, shape, aim, summary), encoding="utf-8")
        except OSError as fault:
            raise click.UsageError(f"--emulation: {emulation}: {fault.strerror}") from fault
    sized = None
    if played:
        sized = play_sizes(made, shape, aim, scenario(made, shape, aim, summary), played_seconds, gatekeepers)
    tell(made, summary, shape.lines, as_json, sized)


def play_sizes(made: Plan, shape: Any, aim: Any, text: str, seconds: float, gatekeepers: int) -> Sized:
    """Search the played size, with a line of progress for each size."""
    import os
    import tomllib
    from concurrent.futures import ProcessPoolExecutor

    import msgspec

    from ..emulator import sizing
    from ..emulator.scenario import Scenario

    warmup = min(60.0, seconds / 4)
    played = msgspec.convert(tomllib.loads(text), Scenario)
    surges = [msgspec.structs.replace(one, at_s=warmup + 0.25 * (seconds - warmup)) for one in played.surges]
    played = msgspec.structs.replace(
        played, seconds=seconds, warmup_s=warmup, gatekeepers=gatekeepers, surges=surges
    )

    def told(size: sizing.Played) -> None:
        losses = ", ".join(f"{name} {loss:.4f} +- {half:.4f}" for name, (loss, half) in size.losses.items())
        click.echo(
            f"played {size.servers} log servers: {losses}: {'holds' if size.holds else 'too few'}", err=True
        )

    with ProcessPoolExecutor(os.cpu_count()) as pool:
        spare = sizing.Spare(shape.dead, shape.replaced)
        return sizing.search(played, spare, aim.loss, made.size.servers, pool, told)


def demands(summary: Summary, intervals: list[Any]) -> list[Demand]:
    """What the record says of each class's first tries."""
    from ..dimensioning.plan import WINDOW, Demand
    from ..traffic.summary import windows

    return [
        Demand(kind.name, tuple(windows(intervals, kind.name, WINDOW)), kind.rate, kind.hold, kind.peakedness)
        for kind in summary.classes
    ]


def scenario(made: Plan, shape: Any, aim: Any, summary: Summary) -> str:
    """A scenario that plays the size with the traffic of the record, for `mallowquay emulate`."""
    import tomli_w

    processor = shape.processor

    def milliseconds(value: timedelta) -> float:
        return value / timedelta(milliseconds=1)

    again = [(kind.again_share, kind.offered - kind.stood) for kind in summary.classes]
    lost = sum(weight for _, weight in again)
    rate = sum(demand.rate for demand in made.classes)
    document: dict[str, Any] = {
        "seconds": 600.0,
        "warmup_s": 60.0,
        "seeds": 4,
        "callers": {
            "rate": rate,
            "redials": 2,
            "again": round(sum(share * weight for share, weight in again) / lost, 3) if lost else 0.0,
        },
        "servers": {
            "count": made.size.servers,
            "lines": shape.lines,
            "setup_ms": milliseconds(processor.setup.mean),
            "answer_ms": milliseconds(processor.answer.mean),
            "release_ms": milliseconds(processor.release.mean),
            "refusal_ms": milliseconds(processor.refusal.mean),
            "wait_limit_ms": milliseconds(processor.limit),
            "tells_eps": True,
        },
        "classes": [
            {"name": demand.name, "share": demand.rate / rate, "hold_s": demand.hold.total_seconds()}
            for demand in made.classes
        ],
    }
    if aim.surge > 1:
        surge = {"at_s": 300.0, "for_s": aim.surge_span.total_seconds(), "times": aim.surge}
        document["surges"] = [surge]
    return tomli_w.dumps(document)


def tell(made: Plan, summary: Summary, lines: int, json_wanted: bool, sized: Sized | None) -> None:
    """Print a plan, and the size that was played."""
    size = made.size
    whole: dict[str, Any] = {
        "servers": size.servers,
        "interval": [made.least, made.most],
        "confidence": 0.95,
        "binds": size.binds,
        "servers_by_lines": size.lines,
        "servers_by_processor": size.processor,
        "servers_without_spare": size.whole,
        "servers_for_mean_load": made.for_mean,
        "servers_for_standing_peak": made.for_peak,
        "lines": lines,
        "load": made.load,
        "loss": made.loss,
        "use": made.use,
        "wait_s": made.wait.total_seconds(),
        "warnings": list(made.warnings),
        "record_s": summary.span.total_seconds(),
        "classes": [
            {
                "class": demand.name,
                "first_tries": demand.first,
                "rate": demand.rate,
                "hold_s": demand.hold.total_seconds(),
                "load": demand.load,
                "peakedness": demand.peakedness,
            }
            for demand in made.classes
        ],
    }
    if sized is not None:
        whole["played"] = {
            "servers": sized.servers,
            "interval": [sized.least, sized.most],
            "sizes": [
                {"servers": one.servers, "holds": one.holds, "sure": one.sure, "violations": one.violations}
                | {f"loss_{name}": loss for name, (loss, _) in one.losses.items()}
                | {f"half_{name}": half for name, (_, half) in one.losses.items()}
                for one in sized.played
            ],
        }
    for warning in made.warnings:
        click.echo(f"mallowquay: warning: {warning}", err=True)
    if json_wanted:
        click.echo(json.dumps(plain(whole), allow_nan=False))
        return
    rows = [
        (f"{size.servers}", "log servers to start"),
        (f"{made.least} to {made.most}", "with 95% certainty, by what the record holds"),
        (size.binds, "binds"),
        (f"{size.lines} / {size.processor}", "by lines / by processor"),
        (f"{size.whole}", "without a spare for dead and cold ones"),
        (f"{made.for_mean}", "for the mean load, as if it never moved"),
    ]
    if made.for_peak is not None:
        rows.append((f"{made.for_peak}", "if the surge were to last for ever"))
    rows += [
        (f"{made.loss:.3g}", "loss at this size, nothing broken"),
        (f"{made.use:.0%}", "use of the processors"),
        (f"{made.wait.total_seconds():.3f} s", "mean wait for a processor"),
    ]
    if sized is not None:
        most = "more" if sized.most is None else sized.most
        size_played = "none found" if sized.servers is None else f"{sized.servers}"
        rows.append((size_played, f"as played with the module ({sized.least} to {most} by chance)"))
    click.echo(table(rows, ["size", ""]))
    click.echo("")
    kinds = [
        (
            demand.name,
            demand.first,
            demand.rate,
            demand.hold.total_seconds(),
            demand.load,
            "-" if demand.peakedness is None else demand.peakedness,
        )
        for demand in made.classes
    ]
    click.echo(table(kinds, ["class", "first tries", "a second", "hold s", "erlang", "peakedness"]))
