"""What becomes an event: calls, the list, ratings, views, and what others emit. No I/O.

While nobody has asked, a call costs one look at a flag.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from datetime import timedelta

from ..core.calls import Call
from ..core.model import Attempt, Ending, FinalAnswer, ListTold, Rating, ServerStatus, Verdict
from .fields import Kind, Value

RATED_EVERY = timedelta(milliseconds=250)
SERVERS_MOST = 100_000
MILLISECOND = timedelta(milliseconds=1)
CAUSES = {ending.value: ending.name.lower() for ending in Ending}
VERDICTS = {
    Verdict.STANDS: Kind.CALL_STOOD,
    Verdict.REFUSED: Kind.CALL_REFUSED,
    Verdict.FAILED: Kind.CALL_FAILED,
    Verdict.CANCELLED: Kind.CALL_FAILED,
    Verdict.BAD: Kind.CALL_FAILED,
}
OWN_CAUSES = {Verdict.CANCELLED: "caller_left", Verdict.BAD: "bad"}

Emit = Callable[[str, dict[str, Value]], None]


class Sources:
    """Watches the core and tells `emit`; `wanted` says whether anybody would hear of it."""

    def __init__(self, emit: Emit, wanted: Callable[[], bool], tenants: Sequence[str], district: str) -> None:
        """`tenants`: by their places in the settings; `district`: this member's own, if it has one."""
        self._emit, self._wanted, self.tenants, self._district = emit, wanted, tenants, district
        self._servers: dict[str, tuple[str, str]] = {}  # status and district
        self._levels: dict[str, str] = {}
        self._rated_at: timedelta | None = None
        self._members: dict[str, str] | None = None

    # --- calls (CallWatch)

    def _of(self, call: Call) -> dict[str, Value]:
        request = call.request
        fields: dict[str, Value] = {"class": request.class_name}
        if 0 <= request.tenant < len(self.tenants):
            fields["tenant"] = self.tenants[request.tenant]
        if self._district:
            fields["district"] = self._district
        return fields

    def offered(self, call: Call, now: timedelta) -> None:
        """A call was taken."""
        if self._wanted():
            self._emit(Kind.CALL_OFFERED.value, self._of(call))

    def sent(self, attempt: Attempt, now: timedelta) -> None:
        """Attempts are no events of their own."""

    def attempt_over(self, attempt: Attempt, ending: Ending | None, now: timedelta) -> None:
        """Attempts are no events of their own."""

    def answered(
        self, call: Call, answer: FinalAnswer, attempt: Attempt | None, why: str, now: timedelta
    ) -> None:  # fmt: skip
        """A call had its final answer: it stood, was refused or failed. A caller that gave up is a
        failure.
        """
        if not self._wanted():
            return
        fields = self._of(call)
        verdict = answer.verdict
        if attempt is not None:
            fields["server"] = attempt.server
        cause = OWN_CAUSES.get(verdict) or CAUSES.get(why, why)
        if cause and verdict is not Verdict.STANDS:
            fields["cause"] = cause
        fields["attempts"] = 0 if attempt is None else attempt.index + 1
        fields["waited_ms"] = (now - call.request.taken_at) // MILLISECOND
        self._emit(VERDICTS[verdict].value, fields)

    def over(self, call: Call, attempt: Attempt, ending: Ending, now: timedelta) -> None:
        """A call that stood is over."""
        if not self._wanted():
            return
        fields = self._of(call)
        fields["server"], fields["cause"] = attempt.server, ending.name.lower()
        if call.stood_at is not None:
            fields["stood_ms"] = (now - call.stood_at) // MILLISECOND
        self._emit(Kind.CALL_ENDED.value, fields)

    # --- log servers

    def listed(self, told: ListTold) -> None:
        """News of the list. It is followed always: what is told is what changes."""
        before = self._servers
        after = {} if told.whole else dict(before)
        for server in told.servers:
            if server.status is ServerStatus.GONE:
                after.pop(server.id, None)
            elif len(after) < SERVERS_MOST:
                after[server.id] = server.status.value, server.district
        self._servers = after
        if not self._wanted():
            return
        gone = ServerStatus.GONE.value
        for name in sorted(before.keys() | after.keys()):
            was, is_ = before.get(name, (gone, "")), after.get(name, (gone, ""))
            if was[0] != is_[0]:
                fields: dict[str, Value] = {"server": name, "from": was[0], "to": is_[0]}
                if is_[1] or was[1]:
                    fields["district"] = is_[1] or was[1]
                self._emit(Kind.SERVER_TOLD.value, fields)

    def rate(self, now: timedelta, ratings: Callable[[], Iterable[Rating]]) -> None:
        """Look at the module's ratings, at most so often; not at all while nobody has asked."""
        if not self._wanted():
            self._levels.clear()
            return
        if self._rated_at is not None and now - self._rated_at < RATED_EVERY:
            return
        self._rated_at = now
        first = not self._levels
        levels = {rating.server: rating.level.value for rating in ratings()}
        before, self._levels = self._levels, levels
        if first:
            return  # what has been so all along is no change
        for name in sorted(levels):
            was = before.get(name, "")
            if was != levels[name]:
                fields: dict[str, Value] = {"server": name, "level": levels[name], "to": levels[name]}
                if was:
                    fields["from"] = was
                self._emit(Kind.SERVER_RATED.value, fields)

    # --- members

    def viewed(self, states: Mapping[str, str], districts: Mapping[str, str]) -> None:
        """The agreed view as this member has it; each member tells of its own view."""
        before, self._members = self._members, dict(states)
        if before is None or not self._wanted():
            return
        for name in sorted(before.keys() | states.keys()):
            was, is_ = before.get(name, "unknown"), states.get(name, "removed")
            if was != is_:
                fields: dict[str, Value] = {"name": name, "from": was, "to": is_}
                if districts.get(name):
                    fields["district"] = districts[name]
                self._emit(Kind.MEMBER_CHANGED.value, fields)
