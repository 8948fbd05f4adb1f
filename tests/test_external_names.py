"""docs/external-names.txt agrees with the code: complete where derivable, and without stale names."""

from __future__ import annotations

import ast
import dataclasses
import re
from collections.abc import Iterable
from typing import Any, get_args

import click
import pytest
from support import ROOT

from mallowquay import errors
from mallowquay.assembly import closings
from mallowquay.book import scribe
from mallowquay.cli import mallowquay
from mallowquay.controlplane.streams import Counts
from mallowquay.copies import model as copies
from mallowquay.core.model import Ending
from mallowquay.emulator import scenario
from mallowquay.events import fields, wire
from mallowquay.fleet import model as fleet
from mallowquay.settings import schema
from mallowquay.traffic import record
from quincestand.logic import KEPT_OF_VIEW, KEPT_OWN

OF_CLICK = {"--help", "--version", "--yes"}
# Built at run time from a name and a suffix, or with another separator.
BUILT_AT_RUN_TIME = {"site_agreed", "load.png", "loss.png", "wait.png", "member.new"}


def listed() -> dict[str, list[str]]:
    """The names under each heading."""
    groups: dict[str, list[str]] = {}
    for line in (ROOT / "docs" / "external-names.txt").read_text().splitlines():
        if line.startswith("# "):
            names = groups.setdefault(line.removeprefix("# "), [])
        elif line:
            names.append(line)
    return groups


GROUPS = listed()


def group(start: str) -> set[str]:
    (names,) = [names for heading, names in GROUPS.items() if heading.startswith(start)]
    return set(names)


def commands(root: click.Command) -> dict[str, click.Command]:
    """A command and all below it, by name."""
    found = {root.name or "": root}
    if isinstance(root, click.Group):
        context = click.Context(root)
        for name in root.list_commands(context):
            below = root.get_command(context, name)
            assert below is not None
            found |= commands(below)
    return found


COMMANDS = commands(mallowquay)
OPTIONS = {name for command in COMMANDS.values() for one in command.params for name in one.opts}


def keys(structs: Iterable[Any]) -> set[str]:
    return {name for one in structs for name in one.__struct_encode_fields__}


def tags(kinds: Iterable[Any]) -> set[str]:
    return {one.__struct_config__.tag for one in kinds}


def structs_below(base: type) -> list[type]:
    return [one for one in vars(schema).values() if isinstance(one, type) and issubclass(one, base)]


EMULATION = ("Scenario", "CallerClass", "Servers", "Callers", "Incident", "Mix", "Surge")
DEFINED_BY_CODE = {
    "Commands of the command line": {*COMMANDS} - {"mallowquay"},
    "Options of the command line": {name for name in OPTIONS if name.startswith("--")} | OF_CLICK,
    "Keys of the operator's file": keys(structs_below(schema.Table)),
    "Keys of an emulation's file": keys(getattr(scenario, name) for name in EMULATION),
    "Attributes of the module's controller": set(KEPT_OWN),
    "Attributes of the module's view": set(KEPT_OF_VIEW),
    "Tags of frames between members": tags(get_args(fleet.Frame)),
    "Tags of the book's messages": tags((scribe.Ask, scribe.Told)),
    "Tags of messages about copies": tags(get_args(copies.Message)),
    "Tags of operations in the files": tags(get_args(copies.Op)),
    "Tags of messages about events": tags(get_args(wire.Message)),
    "Tags of messages about closings": tags((closings.Ask, closings.Tell, closings.Counted)),
    "Record of traffic": keys((record.Header, record.Interval, record.ClassInterval)),
    "Counters of the control service": {one.name for one in dataclasses.fields(Counts)},
    "Event stream: fields of events": {*wire.FIELDS, "member"},
    "Event stream: kinds": {kind.value for kind in fields.Kind},
    "Event stream: causes of calls that ended": {ending.name.lower() for ending in Ending},
    "Codes of errors": {kind.code for kind in errors.kinds()},
}


@pytest.mark.parametrize("heading", DEFINED_BY_CODE)
def test_group_lists_exactly_what_the_code_defines(heading: str) -> None:
    assert DEFINED_BY_CODE[heading] == group(heading)


def written_out(tree: ast.AST) -> Iterable[str]:
    """Strings, names of fields, enum members, classes, functions and keywords; no variables or parameters."""
    descriptions = {id(node.value) for node in ast.walk(tree) if isinstance(node, ast.Expr)}  # docstrings
    for node in ast.walk(tree):
        if isinstance(node, ast.Constant) and isinstance(node.value, str | bytes):
            if id(node) not in descriptions:
                yield node.value if isinstance(node.value, str) else node.value.decode("latin-1")
        elif isinstance(node, ast.keyword) and node.arg:
            yield node.arg
        elif isinstance(node, ast.FunctionDef):
            yield node.name
        elif isinstance(node, ast.ClassDef):
            yield node.name
            fields = [one.target for one in node.body if isinstance(one, ast.AnnAssign)]
            members = [target for one in node.body if isinstance(one, ast.Assign) for target in one.targets]
            yield from (one.id for one in (*fields, *members) if isinstance(one, ast.Name))


def missing(names: Iterable[str], texts: Iterable[str]) -> list[str]:
    """The names that occur in none of the texts; identifiers must match whole words."""
    code = "\n".join(texts)
    words = set(re.findall(r"\w+", code))
    words |= {word.lower() for word in words}  # enum members are written in lower case
    return sorted(name for name in names if name not in words and (name.isidentifier() or name not in code))


def test_every_listed_name_occurs_in_the_program() -> None:
    paths = [path for folder in ("mallowquay", "quincestand") for path in (ROOT / folder).rglob("*.py")]
    texts = [text for path in paths for text in written_out(ast.parse(path.read_text()))]
    texts += [(ROOT / name).read_text() for name in ("pyproject.toml", "deploy/balancer.toml")]
    texts += [".".join(path.relative_to(ROOT).with_suffix("").parts) for path in paths]  # modules
    elsewhere = group("Targets of the Makefile") | group("Environment of rigs")
    names = {name for names in GROUPS.values() for name in names} - elsewhere
    assert missing(names - OF_CLICK - BUILT_AT_RUN_TIME, texts) == []


def test_every_make_target_and_variable_occurs() -> None:
    paths = [path for folder in ("rigs", "benchmarks") for path in (ROOT / folder).rglob("*.py")]
    texts = [path.read_text() for path in (*paths, ROOT / "Makefile")]
    assert missing(group("Targets of the Makefile") | group("Environment of rigs"), texts) == []
