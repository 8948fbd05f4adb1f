"""What passes between members, as whoever taps the wire sees it: votes, leaders and their leases, views.

Checkers of it need no word of a member about itself. A stamp is the monotonic clock of the machine, which
all processes of one machine share, so leases of different leaders lie on one axis.
"""

from __future__ import annotations

from typing import Any

import msgspec

from .history import Event, History

KEPT_APART = 50_000  # microseconds: leases of one leader are noted so often


class Tap:
    """Reads frames as they pass, before any fault of the relay."""

    def __init__(self, history: History) -> None:
        self._history = history
        self._claimed: dict[tuple[str, int], int] = {}
        self._views: set[tuple[str, tuple[int, ...], bytes]] = set()

    def frame(self, origin: str, to: str, frame: list[Any]) -> None:
        """One frame. What is no frame of the fleet is passed over: garbage is the rig's own doing."""
        try:
            if frame[0] == "vote" and frame[3] and not frame[1]:
                self._history.add("voted", origin, term=frame[2], disk=frame[4], to=to)
            elif frame[0] == "lead":
                self._lead(origin, frame)
        except (IndexError, TypeError):
            return

    def _lead(self, origin: str, frame: list[Any]) -> None:
        term, key, stamp, lease = frame[1], frame[2], frame[4], frame[6]
        if lease and stamp - self._claimed.get((origin, term), -KEPT_APART) >= KEPT_APART:
            self._claimed[origin, term] = stamp
            self._history.add("leads", origin, term=term, stamp=stamp, lease=lease)
        if len(frame) > 7 and frame[7] is not None:
            seen = (origin, tuple(key), msgspec.msgpack.encode(frame[7]))
            if seen not in self._views:
                self._views.add(seen)
                self._history.add("proposed", origin, key=list(key), content=seen[2].hex())


def one_leader(events: list[Event]) -> list[str]:
    """A term has one leader, and two terms have none at one moment: by the leases on the wire."""
    found: list[str] = []
    leaders: dict[int, str] = {}
    claims = []
    for event in events:
        if event.what != "leads":
            continue
        told = event.fields
        leader = leaders.setdefault(told["term"], event.name)
        if leader != event.name:
            found.append(f"{leader} and {event.name} lead in term {told['term']}")
        claims.append((told["stamp"], told["stamp"] + told["lease"], told["term"], event.name))
    claims.sort()
    latest: dict[int, tuple[int, str]] = {}  # the end of each term's leases
    for begin, end, term, name in claims:
        for other, (until, holder) in latest.items():
            if other != term and until > begin:
                found.append(f"{name} by term {term} while {holder} by term {other} at {begin}")
        latest = {other: one for other, one in latest.items() if one[0] > begin}
        latest[term] = max(latest.get(term, (0, name)), (end, name))
    return list(dict.fromkeys(found))


def one_vote(events: list[Event]) -> list[str]:
    """A disk votes for one member a term, whatever becomes of its process."""
    found: list[str] = []
    votes: dict[tuple[int, int], str] = {}
    for event in events:
        if event.what == "voted":
            told = event.fields
            chosen = votes.setdefault((told["term"], told["disk"]), told["to"])
            if chosen != told["to"]:
                found.append(f"{event.name} voted for {chosen} and {told['to']} in term {told['term']}")
    return found


def one_proposal(events: list[Event]) -> list[str]:
    """What is proposed under one key is one view, whoever sends it."""
    found: list[str] = []
    known: dict[tuple[int, ...], tuple[str, str]] = {}
    for event in events:
        if event.what == "proposed":
            key = tuple(event.fields["key"])
            content, name = known.setdefault(key, (event.fields["content"], event.name))
            if content != event.fields["content"]:
                found.append(f"{name} and {event.name} propose two views as {key}")
    return found
