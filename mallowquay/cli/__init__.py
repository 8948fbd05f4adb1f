"""The command line. Numbers and plots are loaded by the commands that need them, and by no other."""

from __future__ import annotations

import signal
import sys
from collections.abc import Sequence
from importlib import import_module
from typing import Any

import click

from ..errors import Fault

# Command to the module of this package that holds it; a module is loaded when its command is named.
COMMANDS = {
    "serve": "serving",
    "check": "serving",
    "control-plane": "serving",
    "dimension": "dimension",
    "traffic": "traffic",
    "emulate": "emulate",
    "fleet": "fleet",
    "copies": "copies",
}
SERVING = (None, "serve", "control-plane")  # SIGHUP is theirs from the first moment; it ends the others


class Commands(click.Group):
    """Loads a command when it is named; the name of a file in its place means to serve by it."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """All commands, in the order in which operators meet them."""
        return list(COMMANDS)

    def get_command(self, ctx: click.Context, name: str) -> click.Command | None:
        """The command of this name, loaded now."""
        if name not in COMMANDS:
            return None
        command: click.Command = getattr(import_module(f".{COMMANDS[name]}", __package__), name.replace("-",
        "_"))
        return command

    def resolve_command(
        self, ctx: click.Context, args: list[str]
    ) -> tuple[str | None, click.Command | None, list[str]]:
        """`mallowquay FILE` serves; so did every version before this command line."""
        if args and args[0] not in COMMANDS and ("." in args[0] or "/" in args[0]):
            args = ["serve", *args]
        return super().resolve_command(ctx, args)


@click.group(cls=Commands, invoke_without_command=True, no_args_is_help=False)
@click.option(
    "--log-format",
    type=click.Choice(["console", "json"]),
    default="console",
    show_default=True,
    help="How log events are written to standard error.",
)
@click.option("--log-level", type=click.Choice(["debug", "info", "warning", "error"]), default="info",
              show_default=True, help="The least level of events that are written.")  # fmt: skip
@click.version_option(package_name="mallowquay", message="%(version)s")
@click.pass_context
def mallowquay(context: click.Context, log_format: str, log_level: str) -> None:
    """A gatekeeper in front of contact log servers, and the tools that go with it.

    Without a command it serves the platform's front as LB_CONFIG says; with the name of an operator's file it
    serves by that file.
    """
    from .. import logs

    if context.obj is not None and context.invoked_subcommand not in SERVING:
        signal.signal(signal.SIGHUP, context.obj)
    logs.configure(logs.LogFormat(log_format), log_level)
    if context.invoked_subcommand is None:
        from .. import service

        context.exit(service.run([]))


def program(arguments: Sequence[str], hang_up: Any = None) -> int:
    """Run the command line; what cannot be used is one line on standard error, and exit code 2.

    Where it comes of an error of the program's own, a second line says what to do. `hang_up`: what SIGHUP did
    before the start ignored it, which holds again for commands that do not serve; None leaves it as it is.
    """
    try:
        outcome = mallowquay.main(
            args=list(arguments), prog_name="mallowquay", standalone_mode=False, obj=hang_up
        )
    except click.exceptions.NoArgsIsHelpError as fault:
        print(fault.format_message())
        return 2
    except click.ClickException as fault:
        print(f"mallowquay: {' '.join(fault.format_message().split())}", file=sys.stderr)
        if isinstance(fault.__cause__, Fault):
            print(fault.__cause__.advice(), file=sys.stderr)
        return fault.exit_code
    except click.Abort:
        return 130
    return outcome if isinstance(outcome, int) else 0
