"""The root of all errors of this program's own, and what each of them tells.

An error says what is wrong, where, and what an operator can do about it, under a code that stays the same
from release to release. A log line, an answer over HTTP and the command line show all four.

`python -m mallowquay.errors` prints docs/errors.md, made from the types.
"""

from __future__ import annotations

from typing import Any, ClassVar


class Fault(Exception):
    """Something that an operator can do something about.

    `code` is stable and unique among all types (`area.what`, lower case); `remedy` is what can be done, one
    or two sentences. Both belong to the type; an instance may say a remedy of its own where it knows a
    better one.
    """

    code: ClassVar[str] = "program.fault"
    remedy: ClassVar[str] = "Report it with the log lines around it."

    def __init__(self, what: str, where: str = "", remedy: str | None = None) -> None:
        """`what` is wrong, in one line; `where`: a key, a place in an expression, a frame, a path."""
        super().__init__(what)
        self.what, self.where = what, where
        self.do = self.remedy if remedy is None else remedy

    def __str__(self) -> str:
        """What and where; a text that begins with its place (`KEY is missing`) is not given it twice."""
        if not self.where or self.what.startswith(f"{self.where} "):
            return self.what
        return f"{self.where}: {self.what}"

    def told(self) -> dict[str, str]:
        """All four, for a log line or an answer over HTTP."""
        return {"code": self.code, "fault": self.what, "where": self.where, "do": self.do}

    def advice(self) -> str:
        """The second line of the command line, below what is wrong and where."""
        told = self.told()
        return f"  what to do: {told['do']} [{told['code']}]"

    def __reduce__(self) -> tuple[Any, ...]:
        # Types take arguments of their own, so what is made again is not made by calling the type.
        return _again, (type(self), self.args), self.__dict__


def _again(kind: type[Fault], args: tuple[Any, ...]) -> Fault:
    made = kind.__new__(kind, *args)
    made.args = args
    return made


class NotStarted(Fault, OSError):
    """The program cannot have what its file names: an address, a folder, a descriptor."""

    code = "program.not-started"
    remedy = (
        "See that no other process has the address or the folder, and that the program's user may have it."
    )


def not_started(fault: Fault | OSError) -> Fault:
    """What ends a start, as one of the types."""
    return fault if isinstance(fault, Fault) else NotStarted(str(fault))


def kinds() -> list[type[Fault]]:
    """All types of the program, by code, once every module of it is loaded: for the page and its test."""
    from importlib import import_module
    from pkgutil import walk_packages

    import mallowquay

    for module in walk_packages(mallowquay.__path__, "mallowquay."):
        if not module.name.endswith(".__main__"):
            import_module(module.name)
    found: set[type[Fault]] = set()
    below = [Fault]
    while below:
        one = below.pop()
        below += one.__subclasses__()
        found.add(one)
    own = [one for one in found if one.__module__.partition(".")[0] == "mallowquay"]
    return sorted(own, key=lambda one: (one.code, one.__module__))


PAGE = """# Errors

<!-- Made from the types by `python -m mallowquay.errors > docs/errors.md`; a test compares. -->

Each error of the program has a code that stays the same from release to release, says what is wrong and where
(a key of the file, a place in an expression, a frame, a path), and what an operator can do about it.

- A log line has them as `code`, `fault`, `where` and `do`.
- An answer over HTTP has the same four in its JSON object; 409 means that what was asked cannot be done now.
- The command line prints what is wrong and where in its first line, and in the second what to do, with the
  code in brackets. Exit code 2: a file or an option cannot be used; 1: it failed.

What is done about it here is said of the type; an error that knows better says so in its place.

| Code | Type | What is wrong | What to do |
|---|---|---|---|
"""


def page() -> str:
    """docs/errors.md."""
    rows = []
    for one in kinds():
        what = " ".join((one.__doc__ or "").partition("\n\n")[0].split())
        name = f"{one.__module__.removeprefix('mallowquay.')}.{one.__name__}"
        cells = (f"`{one.code}`", f"`{name}`", what, one.remedy)
        rows.append("| " + " | ".join(cell.replace("|", "\\|") for cell in cells) + " |\n")
    return PAGE + "".join(rows)


if __name__ == "__main__":
    from mallowquay.errors import page as made  # the types stand below the root of that module, not of this

    print(made(), end="")
