"""Clients of `GET /events`: what they were told goes into the history, and judges hold it against callers'
words.

    events = EventClients(history)
    events.open("a", port, Wanted('kind == "call.refused"', lambda event: event["kind"] == "call.refused"))

A client writes `stream` lines: `opened`, `from`, `event`, `gap`, `note` (a filter that changed, a member that
was met later), `ended`. Nothing of the program is imported: what matches is said by the plain function beside
the text.

The rig gives no name of a call to the program that events would carry. So an event is held against the calls
by what it says: member, kind, class and log server, and a wall clock point that lies between a caller's offer
and the moment when its answer was heard. In each such group events are matched to calls by earliest deadline,
which matches as many as can be (Glover, 1967, for intervals and points).
"""

from __future__ import annotations

import asyncio
import json
import time
from collections import Counter, defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any
from urllib.parse import quote

from ..fleet.history import Event, History
from .callers import WORTH

LINE_MOST = 1 << 20
CONNECT_WITHIN = 5.0  # seconds
SLACK_MS = 150  # by which the program's and the rig's view of one moment may differ
KINDS = {200: "call.stood", 503: "call.refused"}  # any other final answer: a failed call


@dataclass(frozen=True, slots=True)
class Wanted:
    """A filter as text, and the same said plainly of what `facts` have."""

    text: str
    plain: Callable[[Mapping[str, Any]], bool]


class EventClients:
    """All clients of a run."""

    def __init__(self, history: History) -> None:
        self._history = history
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._writers: dict[str, asyncio.StreamWriter] = {}
        self.cursors: dict[str, str] = {}  # the last id that each client had
        self.paused: set[str] = set()  # these read nothing

    def open(self, name: str, port: int, wanted: Wanted, since: str = "") -> None:
        """A client comes, or comes back with `since`; the name is that of its stream from then on."""
        self._tasks[name] = asyncio.create_task(self._follow(name, port, wanted, since))

    async def close(self, name: str) -> None:
        """It goes."""
        task = self._tasks.pop(name, None)
        if task is not None:
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)

    async def close_all(self) -> None:
        """All go."""
        await asyncio.gather(*(self.close(name) for name in list(self._tasks)))

    def _note(self, name: str, line: str, **fields: Any) -> None:
        self._history.add("stream", name, line=line, wall_ms=time.time_ns() // 1_000_000, **fields)

    async def _follow(self, name: str, port: int, wanted: Wanted, since: str) -> None:
        why = "it left"
        try:
            async with asyncio.timeout(CONNECT_WITHIN):
                reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=LINE_MOST)
            query = f"/events?filter={quote(wanted.text, safe='')}" + (
                f"&since={quote(since)}" if since else ""
            )
            writer.write(f"GET {query} HTTP/1.0\r\nAccept: text/event-stream\r\n\r\n".encode())
            self._writers[name] = writer
            status = int((await reader.readline()).split()[1])
            while (await reader.readline()).strip():
                pass
            self._note(name, "opened", port=port, filter=wanted.text, since=since, status=status)
            if status != 200:
                why = (await reader.read(4096)).decode(errors="replace")
                return
            why = await self._read(name, reader)
        except (OSError, TimeoutError, ValueError, IndexError, asyncio.IncompleteReadError) as fault:
            why = repr(fault)
        finally:
            if (own := self._writers.pop(name, None)) is not None:
                own.close()
            self._note(name, "ended", why=why)

    async def _read(self, name: str, reader: asyncio.StreamReader) -> str:
        """By the event stream's grammar (WHATWG HTML Living Standard, 9.2.6)."""
        kind = ""
        data: list[str] = []
        while line := await reader.readline():
            while name in self.paused:
                await asyncio.sleep(0.05)
            text = line.decode().rstrip("\r\n")
            if not text:
                if data:
                    self._take(name, kind, json.loads("\n".join(data)))
                kind, data = "", []
                continue
            field, _, value = text.partition(":")
            value = value.removeprefix(" ")
            if field == "id":
                self.cursors[name] = value
            elif field == "event":
                kind = value
            elif field == "data":
                data.append(value)
        return "the gatekeeper closed it"

    def _take(self, name: str, kind: str, told: dict[str, Any]) -> None:
        what = {"": "event", "gap": "gap", "from": "from"}.get(kind, "note")
        self._note(name, what, told=told, cursor=self.cursors.get(name, ""))


@dataclass(frozen=True, slots=True)
class Fact:
    """An event that must have arisen: who tells it, what is known of it, when it was (wall clock, ms)."""

    member: str
    kind: str
    about: Mapping[str, Any]
    begin: int
    end: int
    id: str


def facts(events: list[Event], wall_less_monotonic_us: int) -> list[Fact]:
    """What callers and log servers saw, as events that must have arisen. A call with an excuse says nothing.

    Of `call.offered` and the final answer. `waited_ms` is left out: a caller's time is not the gatekeeper's.
    """
    found = []
    for call in events:
        if call.what != "call" or call.fields["excuse"] or not call.fields["finals"]:
            continue
        told = call.fields
        heard, status, _ = told["finals"][0]
        begin = (call.at_us + wall_less_monotonic_us) // 1000 - SLACK_MS
        end = (heard + wall_less_monotonic_us) // 1000 + SLACK_MS
        about: dict[str, Any] = {"member": call.name, "class": told["kind"], "district": told["site"]}
        found.append(
            Fact(call.name, "call.offered", {"kind": "call.offered", **about}, begin, end, told["id"])
        )
        kind = KINDS.get(status, "call.failed")
        about = {"kind": kind, **about}
        stood = [one[0] for one in told["attempts"] if one[4] == "200"]
        if kind == "call.stood" and stood:
            about["server"] = stood[-1]
        found.append(Fact(call.name, kind, about, begin, end, told["id"]))
    return found


def streams_of(events: list[Event]) -> dict[str, list[Event]]:
    """The lines of each client, in order."""
    found: dict[str, list[Event]] = defaultdict(list)
    for event in events:
        if event.what == "stream":
            found[event.name].append(event)
    return found


def told_once(events: list[Event]) -> list[str]:
    """No event comes twice to a client, and each member's come in its order."""
    found = []
    for name, lines in streams_of(events).items():
        last: dict[str, int] = {}
        seen: set[tuple[str, int, int]] = set()
        for line in lines:
            if line.fields["line"] != "event":
                continue
            told = line.fields["told"]
            key = (told["member"], told["seq"], told["at_ms"])
            if key in seen:
                found.append(f"{name}: {told['member']} number {told['seq']} came twice")
            elif told["at_ms"] < last.get(told["member"], 0) - SLACK_MS:
                found.append(f"{name}: {told['member']} number {told['seq']} came after a later one")
            seen.add(key)
            last[told["member"]] = max(last.get(told["member"], 0), told["at_ms"])
    return found


def only_what_matches(events: list[Event], wanted: Mapping[str, Wanted]) -> list[str]:
    """What a client was told matches what it asked for, by the plain word of it."""
    found = []
    for name, lines in streams_of(events).items():
        for line in lines:
            if line.fields["line"] == "event" and not wanted[name].plain(line.fields["told"]):
                found.append(f"{name}: {line.fields['told']} does not match {wanted[name].text}")
    return found


@dataclass(slots=True)
class _Gap:
    member: str
    begin: int  # wall clock, ms: between the events around it
    end: int
    most: int | None

    def holds(self, fact: Fact) -> bool:
        """Whether it may be what is missing."""
        return self.member == fact.member and self.begin <= fact.end and fact.begin <= self.end


def _gaps(lines: list[Event]) -> list[_Gap]:
    found: list[_Gap] = []
    latest: dict[str, int] = {}
    waiting: dict[str, list[_Gap]] = defaultdict(list)
    for line in lines:
        told = line.fields.get("told", {})
        if line.fields["line"] == "event":
            for gap in waiting.pop(told["member"], []):
                gap.end = told["at_ms"]
            latest[told["member"]] = told["at_ms"]
        elif line.fields["line"] == "gap":
            most = told["lost"] if told.get("lost") is not None else told.get("most")
            gap = _Gap(told["member"], latest.get(told["member"], 0), 1 << 60, most)
            found.append(gap)
            waiting[told["member"]].append(gap)
    return found


def nothing_missing(events: list[Event], wanted: Mapping[str, Wanted]) -> list[str]:
    """Each call that matches was told of, or lies in a gap that was told; and nothing was made up."""
    found = []
    offset = next((event.fields["offset_us"] for event in events if event.what == "wall"), 0)
    known = facts(events, offset)
    for name, lines in streams_of(events).items():
        begun = next((line for line in lines if line.fields["line"] == "from"), None)
        if begun is None:
            continue
        since = {member: begun.fields["wall_ms"] + SLACK_MS for member in begun.fields["told"]["members"]}
        for line in lines:
            if line.fields["line"] == "note":  # a member that was met later
                since.setdefault(line.fields["told"].get("member", ""), line.fields["wall_ms"] + SLACK_MS)
        until = lines[-1].fields["wall_ms"] - 2_000  # later ones may have been on their way
        points: dict[tuple[Any, ...], list[int]] = defaultdict(list)
        for line in lines:
            told = line.fields.get("told", {})
            if (
                line.fields["line"] == "event"
                and told["kind"].startswith("call.")
                and told["kind"] != "call.ended"
            ):
                points[_group(told)].append(told["at_ms"])
        groups: dict[tuple[Any, ...], list[Fact]] = defaultdict(list)
        for fact in known:
            if wanted[name].plain(fact.about):
                groups[_group(fact.about)].append(fact)
        gaps = _gaps(lines)
        # Whether all calls are covered, and whether all events are, can be asked one after the other: where
        # both can be, one matching does both (Mendelsohn and Dulmage, 1958).
        short: Counter[str] = Counter()
        for key in points.keys() | groups.keys():
            known_here, at = groups.get(key, []), points.get(key, [])
            begin = since.get(key[0], 1 << 60)
            owed = [fact for fact in known_here if fact.begin >= begin and fact.end <= until]
            sure = [fact for fact in owed if not any(gap.holds(fact) for gap in gaps)]
            for fact in _matched(sure, at)[0]:
                found.append(f"{name}: {fact.kind} of call {fact.id} at {fact.member} never came")
            short[key[0]] += len(_matched(owed, at)[0])
            for point in _matched(known_here, at)[1]:
                if not _excused(events, key, point, offset):
                    found.append(f"{name}: {key} at {point} was told, and no caller saw it")
        for member, count in short.items():
            told_of = [gap.most for gap in gaps if gap.member == member]
            if None not in told_of and count > sum(filter(None, told_of)):
                found.append(f"{name}: {count} events of {member} never came, and gaps name {told_of}")
    return found


def _group(about: Mapping[str, Any]) -> tuple[Any, ...]:
    server = about.get("server") if about["kind"] == "call.stood" else None
    return about["member"], about["kind"], about.get("class"), server


def _excused(events: list[Event], key: tuple[Any, ...], at: int, offset: int) -> bool:
    """A call whose gatekeeper was killed with it, or that had no answer, may have been told of."""
    for call in events:
        if call.what == "call" and call.name == key[0] and call.fields["kind"] == key[2]:
            begin = (call.at_us + offset) // 1000
            if (
                call.fields["excuse"] or not call.fields["finals"]
            ) and begin - SLACK_MS <= at <= begin + 7_000:
                return True
    return False


def _matched(intervals: list[Fact], points: list[int]) -> tuple[list[Fact], list[int]]:
    """Intervals without a point, and points without an interval."""
    waiting = sorted(intervals, key=lambda fact: fact.begin)
    ready: list[Fact] = []
    missing: list[Fact] = []
    extra: list[int] = []
    place = 0
    for at in sorted(points):
        while place < len(waiting) and waiting[place].begin <= at:
            ready.append(waiting[place])
            place += 1
        ready.sort(key=lambda fact: fact.end)
        while ready and ready[0].end < at:
            missing.append(ready.pop(0))
        if ready:
            ready.pop(0)
        else:
            extra.append(at)
    return missing + ready + waiting[place:], extra


def wall_offset_us() -> int:
    """What the wall clock shows more than the clock of the history. The rig's own wall clock is not moved."""
    return time.time_ns() // 1000 - time.monotonic_ns() // 1000


def some_filters() -> list[Wanted]:
    """Filters of each shape, for clients of a run."""
    dear = max(WORTH, key=lambda kind: WORTH[kind])
    return [
        Wanted('kind == "call.refused"', lambda e: e["kind"] == "call.refused"),
        Wanted('kind == "call.stood" && class == "' + dear + '"',
               lambda e: e["kind"] == "call.stood" and e.get("class") == dear),
        Wanted('kind in ["call.offered", "call.failed"] && member != "g1"',
               lambda e: e["kind"] in ("call.offered", "call.failed") and e["member"] != "g1"),
        Wanted('kind.startsWith("call.") && kind != "call.ended" && district == "akureyri"',
               lambda e: e["kind"].startswith("call.") and e["kind"] != "call.ended"
               and e.get("district") == "akureyri"),
        Wanted('kind == "call.stood" && has(server) && server.endsWith("1")',
               lambda e: e["kind"] == "call.stood" and e.get("server", "").endswith("1")),
    ]  # fmt: skip
