"""`mallowquay emulate`: play a scenario in virtual time round the real decisions."""

from __future__ import annotations

import json
from pathlib import Path

import click

from .values import as_json, plain, show


@click.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--out", type=click.Path(file_okay=False), help="A folder for report.json and the plots.")
@click.option("--workers", type=click.IntRange(1, 1024), help="Processes; else one a core.")
@as_json
@click.pass_context
def emulate(context: click.Context, file: str, out: str | None, workers: int | None, as_json: bool) -> None:
    """Play the scenario FILE, and set what was seen beside what the formulas predict.

    Every run is checked against the rules of a call; one that breaks a rule is named with its seed and call,
    and the exit code is 1.
    """
    from ..emulator import report, run, scenario
    from ..settings.schema import SchemaFault

    try:
        played = scenario.load(file)
    except SchemaFault as fault:
        raise click.UsageError(f"{file}: {fault}") from fault
    try:
        outcomes = run.play_all(played, workers)
        told = report.report(played, outcomes)
        if out is not None:
            folder = Path(out)
            report.plot(played, outcomes, told, folder)
            (folder / "report.json").write_text(json.dumps(plain(told), indent=1) + "\n")
    except OSError as fault:
        raise click.UsageError(f"{fault.filename or out}: {fault.strerror}") from fault
    for found in told["violations_shown"]:
        click.echo(
            f"mallowquay: rule broken: {found['rule']}: seed {found['seed']}, call {found['call']}, "
            f"at {found['at_s']:.3f} s",
            err=True,
        )
    if as_json:
        click.echo(json.dumps(plain(told), allow_nan=False))
    else:
        names = ("calls", "loss", "loss_interval", "use", "wait_s", "violations")
        shown = {name: told[name] for name in names}
        predicted = {
            "predicted loss, standing traffic": told["predicted"]["loss"],
            "predicted loss, followed in time": told["followed"]["loss"],
            "predicted worst 10 s, followed": told["followed"]["worst_10_s"],
            "predicted use, standing traffic": told["predicted"].get("use"),
            "predicted wait_s, standing traffic": told["predicted"].get("wait_s"),
        }
        losses = {f"loss of {name}": kind["loss"] for name, kind in told["classes"].items()}
        show({**shown, **predicted, **losses, "calls a second": told["calls_per_s"]}, json_wanted=False)
    context.exit(1 if told["violations"] else 0)
