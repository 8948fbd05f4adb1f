"""What differs from run to run is given a name, by kind and in order of appearance; all else stays as it is.

Two appearances of one value of a kind that is `same` have one name and two values have two, so a text still
tells whether an answer belongs to its request. A span or a point in time is no identity: two may be equal by
chance, so each appearance has a name of its own. Nothing is named that is empty or 0.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from dataclasses import dataclass

from .wire import Entry, Record


@dataclass(frozen=True, slots=True)
class Rule:
    """Where a value of this kind stands: behind `before`, as `value`, ahead of `after`."""

    kind: str
    before: str
    value: str
    after: str = ""
    same: bool = True


RULES = (
    # SIP, on either front
    Rule("call", r"^(?:Call-ID|call-id): ", r"\S+"),
    Rule("call", r'"ref":\s*"', r"[^\"]+"),
    Rule("branch", r";branch=", r"[^;\s]+"),
    Rule("tag", r";tag=", r"[^;>\s]+"),
    Rule("port", r";rport=", r"\d+"),
    Rule("port", r"127\.0\.0\.1:", r"\d+"),
    Rule("time", r'"left":\s*"', r"\d+", same=False),
    Rule("time", r"^(?:P-Gap-Ms|P-Time-Left|Retry-After|Expires): ", r"\d+", same=False),
    # the fleet: lives and disks are drawn at random from 62 bits
    Rule("time", r"^(?:stamp|echo|round|lease): ", r"\d+", same=False),
    Rule("mark", r"(?<![0-9A-Za-z.])", r"\d{12,}", r"(?![0-9A-Za-z])"),
    # HTTP and JSON
    Rule("release", r"Tornado(?:Server)?/", r"[\d.]+"),
    Rule("time", r"^Date: ", r".+", same=False),
    Rule("hash", r"^Etag: \"", r"[^\"]+"),
    Rule("port", r'"(?:port_value|portValue|Port|port)":\s*', r"\d+"),
    Rule("version", r'"(?:version_info|versionInfo|version|system_version_info|systemVersionInfo)":\s*"',
         r"[^\"]+"),
    Rule("nonce", r'"(?:nonce|response_nonce|responseNonce)":\s*"', r"[^\"]+"),
    Rule("time", r'"[a-z_]+_(?:ms|us)":\s*', r"\d+", same=False),
    Rule("time", r'"timestamp":\s*"?', r"[^\",\s]+", same=False),
)  # fmt: skip


class Names:
    """The names that one text gives."""

    def __init__(self, rules: Iterable[Rule] = RULES) -> None:
        self._rules = tuple(rules)
        self._known: dict[str, dict[str, str]] = {}
        self._counts: dict[str, int] = {}
        parts = [
            f"(?P<b{place}>{rule.before})(?P<v{place}>{rule.value})(?={rule.after})"
            for place, rule in enumerate(self._rules)
        ]
        self._pattern = re.compile("|".join(parts))

    def name(self, kind: str, value: str, same: bool = True) -> str:
        """The name of a value."""
        known = self._known.setdefault(kind, {})
        if not same or value not in known:
            self._counts[kind] = self._counts.get(kind, 0) + 1
            known[value] = f"<{kind}-{self._counts[kind]}>"
        return known[value]

    def line(self, text: str) -> str:
        """The line with names in place of values."""
        return self._pattern.sub(self._named, text)

    def _named(self, found: re.Match[str]) -> str:
        place = next(place for place in range(len(self._rules)) if found[f"v{place}"] is not None)
        rule, value = self._rules[place], found[f"v{place}"]
        if value in ("", "0"):
            return found[0]
        return found[f"b{place}"] + self.name(rule.kind, value, rule.same)


def told(title: str, entries: Iterable[Entry], rules: Iterable[Rule] = RULES) -> str:
    """The text that is approved and compared: a line a message, indented lines for what it holds."""
    names = Names(rules)
    lines = [title, ""]
    for entry in entries:
        first, *rest = entry.lines
        lines.append(f"{entry.origin} -> {entry.to}: {names.line(first)}")
        lines += [f"    {names.line(line)}".rstrip() for line in rest]
    return "\n".join(lines) + "\n"


def transcript(title: str, record: Record, rules: Iterable[Rule] = RULES) -> str:
    """The text of a record; its last line names the kinds that it leaves out."""
    text = told(title, record.entries, rules)
    if record.left_out:
        text += f"(left out: {', '.join(sorted(record.left_out))})\n"
    return text
