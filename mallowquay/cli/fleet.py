"""`mallowquay fleet`: the fleet as a running member sees it, and what an operator does in it."""

from __future__ import annotations

import json
from typing import Any
from urllib.parse import urlencode

import click

from ..errors import Fault

ANSWERS_WITHIN_S = 5.0


class MemberSilent(Fault):
    """The running member does not answer on its second address."""

    code = "member.silent"
    remedy = "See that the member runs, that it runs by this file, and that `control` is its second address."


class MemberRefused(Fault):
    """The running member does not do or show what it was asked for; what it says of it comes with this."""

    code = "member.refused"
    remedy = "Look at the log of the member that was asked."

    def __init__(self, answer: dict[str, Any]) -> None:
        super().__init__(str(answer["fault"]), str(answer.get("where", "")), answer.get("do"))
        self._code = str(answer.get("code", self.code))

    def told(self) -> dict[str, str]:
        """The member's own four."""
        return {**super().told(), "code": self._code}


@click.group()
def fleet() -> None:
    """Look at a fleet of gatekeepers, and act in it."""


def ask(file: str, path: str, names: tuple[str, ...] | None = None) -> dict[str, Any]:
    """Call a running member's second address, which its FILE names. Errors: click.ClickException."""
    from tornado.httpclient import HTTPClient, HTTPClientError

    from ..settings import ConfigError
    from ..settings.operator import load_operator

    try:
        settings = load_operator(file)
    except ConfigError as fault:
        raise click.UsageError(f"configuration: {fault}") from fault
    if settings.fleet is None:
        missing = ConfigError("fleet is missing", "fleet")
        raise click.UsageError(f"configuration: {missing}") from missing
    if settings.control is None:
        missing = ConfigError("control is missing: a running member is asked there", "control")
        raise click.UsageError(f"configuration: {missing}") from missing
    host, port = settings.control
    data = None if names is None else urlencode([("names", name) for name in names])
    client = HTTPClient()
    try:
        answer = client.fetch(
            f"http://{host}:{port}{path}", raise_error=False, method="GET" if data is None else "POST",
            body=data, request_timeout=ANSWERS_WITHIN_S, follow_redirects=False,
        )  # fmt: skip
        whole = answer.code in (200, 409)
        told: dict[str, Any] = json.loads(answer.body) if whole else {"fault": answer.reason}
    except (HTTPClientError, OSError, ValueError) as fault:
        silent = MemberSilent(f"{host}:{port} does not answer: {fault}", f"{host}:{port}")
        raise click.ClickException(str(silent)) from silent
    finally:
        client.close()
    if answer.code != 200:
        refused = MemberRefused(told)
        raise click.ClickException(str(refused)) from refused
    return told


@fleet.command()
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--json", "as_json", is_flag=True, help="Everything, as one object.")
def show(file: str, as_json: bool) -> None:
    """Print the fleet as the running member of FILE sees it.

    Exit code 3 where it knows of no majority now: what it shows may be old.
    """
    told = ask(file, "/fleet")
    if as_json:
        click.echo(json.dumps(told, indent=1))
    else:
        click.echo(described(told))
    if not told["majority"]:
        click.get_current_context().exit(3)


def described(told: dict[str, Any]) -> str:
    """A few lines and a table."""
    from tabulate import tabulate

    held = f"holds for {told['lease_ms']} ms" if told["majority"] else "NO MAJORITY IS HEARD: this may be old"
    lines = [
        f"{told['name']}, life {told['life']}, disk {told['trust']}",
        f"view {told['view']} of term {told['view_term']}, led by {told['leader'] or 'nobody'}: {held}",
    ]
    if told["stood_down"]:
        lines.append(f"STOOD DOWN: life {told['stood_down']} has this name")
    if told["forced"]:
        lines.append(f"members were given up for lost {told['forced']} times")
    rows = []
    for member in told["members"]:
        facts = json.loads(member["facts"] or "{}")
        name = member["name"] + ("" if member["name"] in told["configured"] else " (not in the view)")
        rows.append(
            [name, member["life"], member["state"], member["link"], member.get("round_trip_ms"),
             member.get("heard_ms"), facts.get("list"), facts.get("settings"), facts.get("program")]
        )  # fmt: skip
    heads = ["member", "life", "state", "link", "trip ms", "heard ms", "list", "settings", "program"]
    return "\n".join([*lines, "", tabulate(rows, heads, missingval="-")])


@fleet.command("give-up")
@click.argument("file", type=click.Path(dir_okay=False))
@click.argument("names", nargs=-1, required=True)
@click.confirmation_option(
    prompt="What only these members had promised is lost, and if one of them still runs there will be two "
    "fleets. Go on?"
)
def give_up(file: str, names: tuple[str, ...]) -> None:
    """Go on without the members NAMES, which are lost for good with a majority of the fleet.

    Said to one member only, the one whose view is the newest (`fleet show` on each); the others follow it.
    """
    ask(file, "/fleet/give-up", names)
    click.echo(f"given up: {', '.join(names)}")
