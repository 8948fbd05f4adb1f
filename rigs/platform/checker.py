"""Judges a history: what the PROTOCOL page promises callers, log servers and the coordinator."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from math import inf

from .history import CATCH_UP, History, Seen

GONE_MOST = 0.1  # after its caller's end an attempt may begin for so long
TOLD_AT_LAST = 7.0  # what the coordinator has to tell counts as told by then
RELEASED, RELEASED_AT_LAST = 1.0, 8.0
READY = 10.0
ACCEPTS, AFTER_TERM = 0.4, 0.6  # so long after SIGTERM connections, and requests, come at the latest
NOT_RUN = ("17", "47", "34", "102")  # causes after which a call may go on at once
NEVER_RAN = ("34", "102")  # and that prove that nothing ran
REFUSED = ("503", "480")  # trying again is harmless
TURNED_AWAY, CROWD = 200, 4.0  # set-ups for each that a crowd may cost; seconds for which it is one
CLOSES = ("close", "half-close", "reset")
# Around the kill of one process of an upgrade nobody can tell which of the two had read a word, or had told
# the other of it: no more is excused than what came so shortly before or after.
TELLS = 0.3


@dataclass(frozen=True, slots=True)
class Violation:
    """A promise that was not kept: which, to whom, and what was seen."""

    check: str
    at: float
    call: str
    why: str


@dataclass(slots=True)
class Offered:
    """One set-up under an id, until the same id comes again."""

    seen: list[Seen]
    until: float  # when the id came again

    @property
    def first(self) -> Seen:
        return self.seen[0]

    def of(self, *whats: str) -> list[Seen]:
        return [seen for seen in self.seen if seen.what in whats]

    @property
    def caller_end(self) -> Seen | None:
        return next((seen for seen in self.seen if seen.what == "caller_end"), None)


class Checker:
    """All checks of one history. Times that the page bounds are extended by `History.slack`."""

    def __init__(self, history: History) -> None:
        self.history = history
        self.end = history.seen[-1].at if history.seen else 0.0
        self.by_call: dict[str, list[Seen]] = defaultdict(list)
        self.by_process: dict[str, list[Seen]] = defaultdict(list)
        for seen in history.seen:
            if seen.call:
                self.by_call[seen.call].append(seen)
            elif seen.process:
                self.by_process[seen.process].append(seen)
        self.offered = [one for seen in self.by_call.values() for one in split(seen)]
        self.excused = 0  # calls of killed processes, and of callers that gave up

    def violations(self) -> list[Violation]:
        """What was not kept, in the order of time."""
        checks: list[Callable[[Offered], Iterator[Violation]]] = [
            self.answers, self.words_after, self.made, self.attempts, self.once, self.gaps, self.nobody,
            self.caller_released, self.server_released,
        ]  # fmt: skip
        found = [broken for one in self.offered for check in checks for broken in check(one)]
        found += [*self.drained(), *self.ready(), *self.accepts(), *self.probed()]
        turned = sum(broken.check == "turned_away" for broken in found)
        if turned * TURNED_AWAY <= len(self.offered):
            found = [broken for broken in found if broken.check != "turned_away"]
            self.excused += turned
        return sorted(found, key=lambda broken: broken.at)

    # --- helpers

    def went(self, process: str, start: float, end: float, *whats: str) -> bool:
        return any(seen.what in whats and start <= seen.at <= end for seen in self.by_process[process])

    def dead(self, process: str, at: float) -> bool:
        """Whether it had been killed by then, and not been started again."""
        before = [
            one.what for one in self.by_process[process] if one.at <= at and one.what in ("start", "killed")
        ]
        return before[-1:] == ["killed"]

    def broke(self, one: Offered, until: float) -> bool:
        """Whether its process was dead as it came, or was killed before that time."""
        process = one.first.process
        return self.dead(process, one.first.at) or self.went(process, one.first.at, until, "killed")

    def between(self, process: str, *times: float) -> bool:
        """Whether one of an upgrade was killed so close to one of these that a word went with it."""
        return any(self.went(process, at - TELLS, at + TELLS, "half_killed") for at in times)

    # --- the caller's side

    def answers(self, one: Offered) -> Iterator[Violation]:
        """Exactly one final answer before the caller's time is up."""
        first, finals, end = one.first, one.of("final"), one.caller_end
        due = first.at + first.number
        slack = self.history.slack(first.process, first.at, due)
        slack = self.history.slack(first.process, first.at, due + slack)  # it may be stopped again by then
        for second in finals[1:]:
            yield Violation("second_answer", second.at, first.call, f"{finals[0].text}, then {second.text}")
        # One that waited in a held listener's queue, or came again as a datagram, for a process that was
        # started anew came before its time.
        if finals and finals[0].at > due + slack and not self.broke(one, due):
            late = f"{finals[0].at - first.at:.3f} s of {first.number} s, slack {slack:.3f}"
            yield Violation("late_answer", finals[0].at, first.call, late)
        if finals:
            return
        gave_up = end is not None and end.at <= due + slack
        sent_again = bool(one.of("resent")) and one.until < inf  # it crossed the close of its connection
        killed = self.went(first.process, first.at - TELLS, due + slack, "half_killed")  # it may have had it
        if gave_up or sent_again or killed or self.broke(one, due + slack) or due + slack > self.end:
            self.excused += 1
            return
        term = self.went(first.process, first.at - AFTER_TERM - slack, first.at, "term")
        how = ", ".join(f"{seen.what} {seen.text}" for seen in one.seen[1:])
        # New connections of a crowd may be closed with no answer, one in 200 of all set-ups at most.
        turned = bool(one.of("resent")) and self.went(first.process, first.at - CROWD, first.at, "flood")
        check = "turned_away" if turned else "after_term" if term else "no_answer"
        yield Violation(check, first.at, first.call, how or "nothing")

    def words_after(self, one: Offered) -> Iterator[Violation]:
        """Nothing after the final answer but one release, and that only of a call that stood."""
        byes, finals = one.of("bye_in"), one.of("final")
        stood = any(final.text == "200" for final in finals)
        ups = [up.at for up in one.of("up")]
        # The answer may have crossed the close, of its own set-up or of one before under the same id.
        closes = [seen for seen in self.by_call[one.first.call] if seen.what == "caller_end"]
        unread = any(end.text in CLOSES and end.at < one.until for end in closes)
        for bye in byes if not stood and not unread else ():
            if not self.broke(one, bye.at) and not self.between(one.first.process, *ups):
                yield Violation("release_of_nothing", bye.at, one.first.call, "no answer stood")
        for before, bye in zip(byes, byes[1:], strict=False):
            since = before.at - TELLS  # what was written as the process died is read a moment later
            if not self.went(one.first.process, since, bye.at, "killed", "exit", "half_killed"):
                yield Violation("second_release", bye.at, one.first.call, "released twice")

    def made(self, one: Offered) -> Iterator[Violation]:
        """'Served' only with what a log server made for that id."""
        for final in one.of("final"):
            made = {up.text for up in one.of("up") if up.at <= final.at}
            if final.text == "200" and final.server not in made:
                yield Violation("unmade_answer", final.at, one.first.call, repr(final.server))

    def caller_released(self, one: Offered) -> Iterator[Violation]:
        """A call that its log server ended is released towards its caller."""
        stood = next((final for final in one.of("final") if final.text == "200"), None)
        if stood is None or one.of("bye_out", "cancel_out"):
            return
        end = one.caller_end
        if self.history.rules.outlives and end is not None and end.text in CLOSES:
            return  # it acknowledges nothing: the call ends without its ACK
        by = next((up.server for up in one.of("up") if up.text == stood.server), "")
        ends = ("release_out",) if self.history.rules.outlives else ("release_out", "died")
        over = next((seen for seen in one.of(*ends) if seen.server == by), None)
        if over is None:
            return
        process = one.first.process
        most = (
            RELEASED if over.what == "release_out" and self._reachable(process, over.at) else RELEASED_AT_LAST
        )
        most += self.history.slack(process, over.at, over.at + most)
        lost = self.went(process, stood.at - TELLS, over.at + RELEASED_AT_LAST, "killed", "exit")
        byes = [bye for bye in one.of("bye_in") if bye.at >= stood.at]
        lost = lost or self.between(process, stood.at)
        if byes and byes[0].at <= over.at + most or lost or over.at + most > self.end:
            return
        seen = f"{byes[0].at - over.at:.3f} s after" if byes else "never"
        yield Violation("caller_unreleased", over.at, one.first.call, f"{over.what} at {by}, BYE {seen}")

    def _reachable(self, process: str, at: float) -> bool:
        """Whether a line of callers was open from then on until a release is due."""
        opened: dict[str, float] = {}
        for seen in self.by_process[process]:
            if seen.what == "line_open":
                opened[seen.text] = seen.at
            elif seen.what == "line_end" and opened.get(seen.text, inf) <= at and seen.at <= at + RELEASED:
                del opened[seen.text]
        return any(since <= at for since in opened.values())

    # --- the log servers' side

    def attempts(self, one: Offered) -> Iterator[Violation]:
        """One attempt out at a time, a wait after a timeout, reset or cancel, no more than allowed."""
        call, process, news = one.first.call, one.first.process, one.of("new")
        # Datagrams that come again meet the process that was started since, which knows nothing of the call.
        kills = [seen.at for seen in self.by_process[process] if seen.what == "killed"]
        lives = Counter(sum(kill <= new.at for kill in kills) for new in news)
        if max(lives.values(), default=0) > self.history.rules.attempts_most:
            yield Violation("too_many", news[-1].at, call, f"{max(lives.values())} attempts")
        whole = self.by_call[call]  # an id that comes again waits for its attempt before
        for new in news:
            before = [seen for seen in whole if seen.what == "new" and seen.at < new.at]
            if not before or self.went(process, before[-1].at, new.at, "killed", "exit", "half_killed"):
                continue
            if self.history.rules.outlives and self.broke(one, new.at):
                continue  # an answer to the killed process comes again: its end is not a later attempt's
            last = before[-1]
            ended = next((seen for seen in whole[whole.index(last) + 1 :]
                          if seen.server == last.server and seen.what in ENDS), None)  # fmt: skip
            wait = self.history.rules.release_wait
            # What came while the rig stood still is read, and stamped, in the moment after.
            blur = 0.05 + self.history.lateness(last.at - CATCH_UP, new.at + wait)
            if ended is None or new.at + blur < ended.at or (
                ended.what in ("up", "down_out") and new.at < ended.at
            ):  # fmt: skip
                yield Violation("two_out", new.at, call, f"{last.server}, then {new.server}")
            elif ended.what in ("down_in", "link_end") or (
                ended.what == "down_out" and ended.text not in NOT_RUN
            ):
                if new.at - ended.at < wait - blur:
                    gap = f"{new.at - ended.at:.3f} s after {ended.what} {ended.text}, blur {blur:.3f}"
                    yield Violation("too_soon", new.at, call, gap)

    def once(self, one: Offered) -> Iterator[Violation]:
        """A set-up that may not run twice: no attempt, and no refusal, after one that may have run."""
        if one.first.text not in self.history.rules.once:
            return
        ran: Seen | None = None
        for seen in one.of("new", "final"):
            again = seen.what == "new" or seen.text in REFUSED
            if ran is not None and again and not self.went(
                one.first.process, ran.at, seen.at, "killed", "half_killed", "exit"
            ):  # fmt: skip
                then = f"{ran.server}, then {seen.what} {seen.text}"
                yield Violation("ran_twice", seen.at, one.first.call, then)
            if seen.what == "new":
                ends = [end for end in one.of(*ENDS) if end.at >= seen.at and end.server == seen.server]
                if not ends or ends[0].what != "down_out" or ends[0].text not in NEVER_RAN:
                    ran = ran or seen

    def gaps(self, one: Offered) -> Iterator[Violation]:
        """No caller is told to stay away for longer than the settings allow."""
        for final in one.of("final"):
            if final.number > self.history.rules.gap_most:
                yield Violation("gap", final.at, one.first.call, f"{final.number} s")

    def probed(self) -> Iterator[Violation]:
        """No log server is tested unless the settings allow it."""
        for seen in self.history.seen if not self.history.rules.probes else ():
            if seen.what == "probe":
                yield Violation("probed", seen.at, "", seen.server)

    def nobody(self, one: Offered) -> Iterator[Violation]:
        """No attempt begins for a caller that has gone."""
        end = one.caller_end
        for new in one.of("new") if end is not None else ():
            assert end is not None
            after = new.at - end.at
            if self.broke(one, new.at):  # its CANCEL may have met a process that was not there
                continue
            if after > GONE_MOST + self.history.slack(new.process or one.first.process, end.at, new.at):
                yield Violation("for_nobody", new.at, one.first.call, f"{after:.3f} s after {end.text}")

    def server_released(self, one: Offered) -> Iterator[Violation]:
        """What stands at a log server, and not for a caller, is released there."""
        process, end = one.first.process, one.caller_end
        stood = next((final for final in one.of("final") if final.text == "200"), None)
        held_by = next((up.server for up in one.of("up") if stood and up.text == stood.server), "")
        for up in one.of("up"):
            left = [seen for seen in one.of("bye_out", "cancel_out") if stood is None or seen.at >= stood.at]
            if up.server == held_by:
                if not left:
                    continue
                since = max(up.at, left[0].at)
            elif (
                end is not None
                and end.text in CLOSES
                and end.at >= up.at - self.history.lateness(up.at, up.at + 1)
            ):
                continue  # the answer crossed the close: nobody can tell whether it came
            else:
                since = max([up.at] + [seen.at for seen in one.of("cancel_out") if seen.at >= up.at])
            # Its id may have come again meanwhile.
            whole = self.by_call[one.first.call]
            after = [seen for seen in whole if seen.at >= up.at and seen.server == up.server]
            over = next((seen for seen in after if seen.what in ("down_in", "release_out", "died")), None)
            cut = any(
                seen.what in ("link_end", "link_lost") and seen.at <= since + RELEASED for seen in after
            )
            cut = cut or self.history.rules.outlives and end is not None and end.text in CLOSES
            most = RELEASED_AT_LAST if cut else RELEASED
            most += self.history.slack(process, since, since + most)
            if over is not None and over.at <= since + most or since + most > self.end:
                continue
            if self.broke(one, since + RELEASED_AT_LAST) or self.between(process, up.at, since):
                continue
            seen = f"{over.at - since:.3f} s after" if over else "never"
            why = f"{up.server}, down {seen}, caller {end.text if end else 'waits'}"
            yield Violation("server_unreleased", since, one.first.call, why)

    def drained(self) -> Iterator[Violation]:
        """Nothing new to a server after the list has told it draining or gone."""
        told: dict[tuple[str, str], float] = {}
        for seen in self.history.seen:
            if seen.what == "event" and seen.text != "0":
                for process in self.by_process:
                    told.setdefault((process, seen.server), seen.at + TOLD_AT_LAST)
            elif seen.what == "told" and seen.text != "0":
                key = (seen.process, seen.server)
                told[key] = min(told.get(key, inf), seen.at)
            elif seen.what in ("event", "told"):  # ready, or ready again
                for key in [key for key in told if key[1] == seen.server]:
                    del told[key]
            elif seen.what == "new":
                at = told.get((seen.process, seen.server), inf)
                if seen.at > at + self.history.rules.grace + self.history.slack(seen.process, at, seen.at):
                    yield Violation(
                        "to_drained", seen.at, seen.call, f"{seen.at - at:.3f} s after {seen.server}"
                    )

    def ready(self) -> Iterator[Violation]:
        """A process that was started comes ready, and one that was told to end ends."""
        for process, seen in self.by_process.items():
            for index, start in enumerate(seen):
                if start.what != "start":
                    continue
                ready = next(
                    (later for later in seen[index:] if later.what in ("ready", "killed", "term")), None
                )
                most = READY + self.history.slack(process, start.at, start.at + READY)
                if (ready.at if ready else self.end) > start.at + most:
                    yield Violation("not_ready", start.at, "", process)

    def accepts(self) -> Iterator[Violation]:
        """Connections are accepted, also for a while after SIGTERM; of a killed process nobody can say."""
        for process, seen in self.by_process.items():
            for refused in (one for one in seen if one.what == "refused"):
                left = self.went(process, 0, refused.at - ACCEPTS, "term") and not self.up(
                    process, refused.at
                )
                if not left and not self.dead(process, refused.at):
                    yield Violation("not_accepted", refused.at, "", process)

    def up(self, process: str, at: float) -> bool:
        """Whether it was ready then, and had not been told to end."""
        words = ("start", "ready", "term", "killed", "exit")
        return [one.what for one in self.by_process[process] if one.at <= at and one.what in words][-1:] == [
            "ready"
        ]


ENDS = ("up", "down_out", "down_in", "link_end", "died")


def split(seen: list[Seen]) -> Iterator[Offered]:
    """The set-ups under one id, each with what was seen until the id came again."""
    starts = [index for index, one in enumerate(seen) if one.what == "invite"]
    for start, end in zip(starts, [*starts[1:], len(seen)], strict=True):
        yield Offered(seen[start:end], seen[end].at if end < len(seen) else inf)
