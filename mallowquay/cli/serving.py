"""Commands of the serving program: serve, and check a file as it would be taken."""

from __future__ import annotations

import click


@click.command()
@click.argument("file", required=False, type=click.Path(dir_okay=False))
@click.pass_context
def serve(context: click.Context, file: str | None) -> None:
    """Serve by an operator's FILE; without one, the platform's front as LB_CONFIG says."""
    from .. import service

    context.exit(service.run([file] if file else []))


@click.command("control-plane")
@click.argument("file", type=click.Path(dir_okay=False))
@click.pass_context
def control_plane(context: click.Context, file: str) -> None:
    """Serve other proxies by an operator's FILE: choices and drains over xDS, without a front."""
    from ..controlplane import service

    context.exit(service.run(file))


@click.command()
@click.argument("file", type=click.Path(dir_okay=False))
def check(file: str) -> None:
    """Read an operator's FILE as the program would, and print it as it is taken, defaults included.

    Exit code 2 where it cannot be used; the message names the key.
    """
    from ..settings import ConfigError
    from ..settings.operator import described

    try:
        text = described(file)
    except ConfigError as fault:
        raise click.UsageError(f"configuration: {fault}") from fault
    click.echo(text, nl=False)
