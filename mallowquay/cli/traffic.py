"""`mallowquay traffic`: what a record of traffic holds."""

from __future__ import annotations

import json
from typing import Any

import click

from .values import as_json, plain, table


@click.group()
def traffic() -> None:
    """Records of what the program saw of its callers."""


@traffic.command("show")
@click.argument("file", type=click.Path(dir_okay=False))
@as_json
def show_record(file: str, as_json: bool) -> None:
    """What the record FILE holds, a row a class. One that a crash cut is read up to its last whole line."""
    from ..traffic.summary import summarise

    record = opened(file)
    for number in record.cut:
        click.echo(f"mallowquay: {file}: line {number} is cut; what stands before it was read", err=True)
    try:
        summary = summarise(list(record.intervals()))
    except ValueError as fault:
        raise click.UsageError(f"{file}: {fault}") from fault
    rows = [
        {
            "class": kind.name, "offered": kind.offered, "again": kind.again, "stood": kind.stood,
            "refused": kind.refused, "failed": kind.failed, "left": kind.left, "rate": kind.rate,
            "again_share": kind.again_share, "loss": kind.loss,
            "setup_mean_s": kind.setup_mean.total_seconds(), "setup_p95_s": kind.setup_p95.total_seconds(),
            "hold_s": kind.hold.total_seconds(), "load": kind.load, "calls_mean": kind.calls_mean,
            "calls_most": kind.calls_most, "peakedness": kind.peakedness,
        }
        for kind in summary.classes
    ]  # fmt: skip
    if as_json:
        whole: dict[str, Any] = {
            "span_s": summary.span.total_seconds(), "intervals": summary.intervals, "cut": record.cut,
            "starts": len(record.starts), "servers": summary.servers, "lines": summary.lines, "classes": rows,
        }  # fmt: skip
        click.echo(json.dumps(plain(whole), allow_nan=False))
        return
    click.echo(
        f"{summary.span.total_seconds():.1f} s in {summary.intervals} intervals, "
        f"{len(record.starts)} starts; {summary.servers} log servers of {summary.lines} lines"
    )
    names = ("offered", "again", "stood", "refused", "failed", "left", "rate", "loss", "setup_p95_s",
             "hold_s", "load", "calls_most", "peakedness")  # fmt: skip
    shown = [[row["class"], *(row[name] if row[name] is not None else "-" for name in names)] for row in rows]
    click.echo(table(shown, ["class", *(name.replace("_", " ") for name in names)]))


def opened(file: str) -> Any:
    """A record, or a fault of the command."""
    from ..traffic.store import TrafficFault, read

    try:
        return read(file)
    except TrafficFault as fault:
        raise click.UsageError(str(fault)) from fault
