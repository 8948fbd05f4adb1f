"""`mallowquay copies`: what is held for whom, and files checked offline."""

from __future__ import annotations

import json
from pathlib import Path

import click

from .fleet import ask


@click.group()
def copies() -> None:
    """Look at the copies that gatekeepers keep for each other."""


@copies.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--json", "as_json", is_flag=True, help="Everything, as one object.")
def show(file: str, as_json: bool) -> None:
    """Print what the running member of FILE holds, for itself and for others.

    Exit code 3 where a record of its own is not on as many machines as it should be, or a lost log waits.
    """
    from tabulate import tabulate

    told = ask(file, "/copies")
    if "log" not in told:
        raise click.ClickException("its life has not begun yet")
    endangered = told["behind"] > 0 or told["changing"] or bool(told["recovering"]) or told["fenced"]
    if as_json:
        click.echo(json.dumps(told, indent=1))
    else:
        click.echo(f"log {told['log']} on {', '.join(told['ensemble']) or 'nobody yet'}")
        click.echo(
            f"{told['promised']} of {told['put']} entries promised, {told['records']} records acted for"
        )
        click.echo(f"the holder that lags most lacks {told['behind']} entries")
        if told["fenced"]:
            click.echo("FENCED: others took this life for lost; it promises nothing more")
        rows = [(log, *what) for log, what in sorted(told["held_for"].items())]
        click.echo("\n" + tabulate(rows, ["held for", "entries", "records", "bytes"]))
        for log, step in told["recovering"].items():
            click.echo(f"being taken over: {log}, at {step}")
    if endangered:
        click.get_current_context().exit(3)


@copies.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
def verify(folder: str) -> None:
    """Check the files of a member's FOLDER (fleet.disk, then copies), offline. Nothing is changed.

    Exit code 1 where a file is not as it was written.
    """
    from ..copies.keeper import Keeper
    from ..copies.model import Holder
    from ..copies.store import files

    try:
        loaded = files.load(Path(folder), None)
    except files.Spoilt as fault:
        raise click.ClickException(str(fault)) from fault
    keeper = Keeper(Holder("", 0), [], lambda to, message: None)
    keeper.load(loaded.ops)
    for log, held in sorted(keeper.logs.items()):
        seal = "" if held.seal is None else f", sealed into {held.seal.into}"
        fence = f", fenced at {held.fence}" if held.fence else ""
        click.echo(f"{log}: {held.last} entries, {len(held.live)} records{fence}{seal}")
    click.echo(
        f"{len(loaded.ops)} operations are right; {loaded.torn} bytes at the end were cut off by a crash"
    )


@copies.command()
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.confirmation_option(
    prompt="The member must not run. What cannot be read is set aside: its copies are made anew from the "
    "others. Go on?"
)
def repair(folder: str) -> None:
    """Set aside the files of a member's FOLDER that are not as they were written, so that it begins
    without them.

    Nothing is guessed: a spoilt copy is none. The fleet takes the member in again with an empty disk.
    """
    from ..copies.store import files

    place = Path(folder)
    try:
        files.load(place, None)
    except files.Spoilt as fault:
        aside = place.with_name(f"{place.name}.spoilt")
        if aside.exists():
            raise click.ClickException(f"{aside} is there from before: move it away first") from fault
        place.rename(aside)
        member = place.parent / "member"
        if member.exists():
            member.rename(place.parent / "member.spoilt")
        click.echo(f"set aside: {fault}")
        return
    click.echo("nothing to repair")
