"""The state machine of a call, shared by all fronts: one final answer, one attempt out at a time."""

from __future__ import annotations

import heapq
from collections import deque
from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from itertools import count
from typing import Protocol

import structlog

from .decisions import Decisions
from .figures import Figures
from .model import (
    Attempt,
    CallerLeft,
    Clock,
    Decision,
    Decline,
    Dispatch,
    Ended,
    Ending,
    Examine,
    Examined,
    FinalAnswer,
    ListTold,
    Load,
    LoadTold,
    Presence,
    Request,
    Stood,
    Turned,
    Verdict,
    Withdraw,
)

log = structlog.get_logger(part=__name__)

Job = Callable[[], list[Decision]]

# A set-up that was read less than this ago is sent without another look at its caller.
SURELY_HERE = timedelta(milliseconds=20)
# What has come from a caller is read before an attempt leaves for it, for so many turns of the loop at most:
# one that sends without a pause must not hold its own calls up.
UNREAD_TURNS_MOST, TURN = 4, timedelta(milliseconds=1)
HELD_BACK_MOST = 1024  # ids whose release wait is remembered, should they come again


class CallState(Enum):
    """Where a call stands in its life."""

    TAKEN = "owed an answer, and not placed yet"
    WAITING = "no attempt out"
    TRYING = "an attempt is out"
    PROMISING = "its log server has answered; its copies are awaited"
    STANDING = "answered; it stands"
    OVER = "nothing is owed any more"


class Caller(Protocol):
    """A front's side of one call."""

    def answer(self, call: Call, answer: FinalAnswer) -> None:
        """Give the one final answer."""

    def release(self, call: Call, ending: Ending) -> None:
        """Tell the caller that a standing call is over."""


class Promises(Protocol):
    """Whoever sees to it that what a caller is told outlives this machine."""

    def promise(self, call: Call, settled: Callable[[bool], None]) -> None:
        """Copy the call; `settled` is told once, in bounded time: True if its caller may be answered."""

    def forget(self, call: Call) -> None:
        """The call is over."""


class Gate(Protocol):
    """Decides before the module is asked: refuses a call, or narrows which log servers may have it."""

    def admit(self, request: Request, now: timedelta) -> Request | Turned:
        """The request as the module is to have it, or its refusal. Only ever asked once a call."""


class CallWatch(Protocol):
    """Is told of what becomes of each call, as it happens; `now` is a point of the core's clock."""

    def offered(self, call: Call, now: timedelta) -> None:
        """A call was taken."""

    def sent(self, attempt: Attempt, now: timedelta) -> None:
        """An attempt leaves for its log server."""

    def attempt_over(self, attempt: Attempt, ending: Ending | None, now: timedelta) -> None:
        """An attempt came to stand (no ending), or failed."""

    def answered(
        self, call: Call, answer: FinalAnswer, attempt: Attempt | None, why: str, now: timedelta
    ) -> None:  # fmt: skip
        """It had its final answer; `attempt`: the one it stands by, else the last that was out, if any."""

    def over(self, call: Call, attempt: Attempt, ending: Ending, now: timedelta) -> None:
        """A call that stood is over."""


class ServerSide(Protocol):
    """Carries attempts to log servers; it reports through Calls.stood and Calls.ended."""

    def start(self, attempt: Attempt) -> None:
        """Send the set-up."""

    def withdraw(self, attempt: Attempt) -> None:
        """Give the set-up up; nothing more is heard of it."""

    def release(self, attempt: Attempt, cause: int) -> None:
        """Release the call that stands by this attempt."""

    def examine(self, server: str) -> None:
        """Ask for a sign of life; Calls.examined hears of it, in bounded time."""


class Call:
    """One call from its set-up to its end."""

    def __init__(self, request: Request, caller: Caller, release_wait: timedelta) -> None:
        self.request, self.caller = request, caller
        self.state = CallState.TAKEN
        self.attempt: Attempt | None = None  # the one that is out or stands
        self.not_before = request.taken_at  # no attempt sooner: the release wait
        self.release_wait = release_wait  # as it was when the call came
        self.lost_time = False  # the last attempt got no answer in time
        self.last: Attempt | None = None  # the latest attempt, whatever became of it
        self.why = ""  # what ended it, where a watch is to be told
        self.stood_at: timedelta | None = None  # here; None also of one that another process set up

    def sent_before(self, moment: timedelta) -> bool:
        """Whether the set-up by which a call stands was sent before this point.

        When one was sent that another process set up is not known: it is taken as sent before.
        """
        return self.stood_at is None or self.attempt is None or self.attempt.sent_at < moment


class Calls:
    """All calls of this gatekeeper."""

    def __init__(
        self,
        decisions: Decisions,
        clock: Clock,
        release_wait: timedelta,
        answer_margin: timedelta,
        default_gap: timedelta,
        figures: Figures,
    ) -> None:
        self._decisions, self._clock = decisions, clock
        self._release_wait, self._margin, self._gap = release_wait, answer_margin, default_gap
        self._servers: ServerSide | None = None
        self.figures = figures
        self._calls: dict[str, Call] = {}
        self._due: list[tuple[timedelta, int, Callable[[], None]]] = []
        self._order = count()
        self._held_back: dict[str, timedelta] = {}  # ids that may come again: the end of their release wait
        self._jobs: deque[Job] = deque()
        self._running = False
        self.opened: Callable[[str], None] = lambda request_id: None  # told of each call taken
        self.closed: Callable[[str], None] = lambda request_id: None  # and of each that is over
        # And of each that ends ahead of a release wait: until when its id has no attempt if it comes again.
        self.gave_up: Callable[[str, timedelta], None] = lambda request_id, until: None
        self.promises: Promises | None = None
        self.gate: Gate | None = None
        self.watches: list[CallWatch] = []
        self.came_to_stand: Callable[[Call], None] = lambda call: None
        self.presence: Callable[[Call], Presence] = lambda call: Presence.HERE  # as its front sees it now
        self.unanswered = 0
        self.last_offer = clock()
        self.wake: Callable[[], None] = lambda: None  # told when the next due time may have changed

    def attach(self, servers: ServerSide) -> None:
        """Name the side that carries attempts."""
        self._servers = servers

    def retune(self, release_wait: timedelta, default_gap: timedelta) -> None:
        """Take new settings; calls that are open keep theirs."""
        self._release_wait, self._gap = release_wait, default_gap

    @property
    def pending(self) -> int:
        """Requests taken and not ended: unanswered, or answered with a call that stands."""
        return len(self._calls)

    def standing(self) -> list[Call]:
        """All calls that stand."""
        return [call for call in self._calls.values() if call.state is CallState.STANDING]

    def adopt(self, request: Request, server: str, caller: Caller) -> None:
        """A call that came to stand in a process before this one; the module has not met it."""
        if request.id in self._calls:
            return
        call = self._calls[request.id] = Call(request, caller, self._release_wait)
        call.state = CallState.STANDING
        call.attempt = Attempt(request, 0, server, self._clock(), timedelta(0))
        self.opened(request.id)

    def disown(self, request_id: str) -> bool:
        """Another gatekeeper has a standing call now: nothing is told to either side from here."""
        call = self._calls.get(request_id)
        if call is None or call.state is not CallState.STANDING:
            return False
        attempt = self._over(call, Ending.CUT)
        self._do(lambda: self._decisions.report(Ended(attempt, Ending.CUT, closed=True)))
        return True

    def open_ids(self) -> list[str]:
        """The ids of all requests that are pending."""
        return list(self._calls)

    def get(self, request_id: str) -> Call | None:
        """The call of this id, while anything is open or stands."""
        return self._calls.get(request_id)

    def standing_at(self, server: str) -> list[Call]:
        """The calls that stand at this log server."""
        at = (CallState.STANDING, CallState.PROMISING)
        return [call for state in at for call, _ in self._at_server(server, state)]

    def trying_at(self, server: str) -> list[Attempt]:
        """The attempts that are out at this log server."""
        return [attempt for _, attempt in self._at_server(server, CallState.TRYING)]

    def _at_server(self, server: str, state: CallState) -> list[tuple[Call, Attempt]]:
        pairs = [(call, call.attempt) for call in self._calls.values() if call.state is state]
        return [(call, attempt) for call, attempt in pairs if attempt and attempt.server == server]

    # --- from the fronts

    def offer(self, request: Request, caller: Caller) -> Call:
        """Take a call and place it at once."""
        call = self.take(request, caller)
        self.begin(call)
        return call

    def take(self, request: Request, caller: Caller) -> Call:
        """Take a call: from here on it is owed one final answer. An id still open joins its call."""
        known = self._calls.get(request.id)
        if known is not None:
            return known
        call = self._calls[request.id] = Call(request, caller, self._release_wait)
        call.not_before = self._held_back.pop(request.id, call.not_before)
        self.unanswered += 1
        self.last_offer = self._clock()
        self.figures.offered(request, self.last_offer)
        self.opened(request.id)
        # Guards the one answer should the module stay silent; its own end margin comes sooner.
        self._at(request.deadline - self._margin, lambda: self._overdue(call))
        for watch in self.watches:
            watch.offered(call, self.last_offer)
        return call

    def begin(self, call: Call) -> None:
        """Place a call that was taken; one that has been given up since, or placed before, stays as it is."""
        if call.state is not CallState.TAKEN:
            return
        call.state = CallState.WAITING
        request = call.request
        if self.gate is not None:
            admitted = self.gate.admit(request, self._clock())
            if isinstance(admitted, Turned):
                call.why = admitted.why
                self._finish(call, FinalAnswer(Verdict.REFUSED, retry_after=admitted.retry_after))
                return
            request = admitted
        self._do(lambda: _as_list(self._decisions.pick(request)))

    def turn_away(self, request: Request) -> None:
        """A front refuses a call that it cannot take: no decision is asked for, yet it counts."""
        now = self._clock()
        self.figures.offered(request, now)
        self.figures.ended(request, Verdict.REFUSED, now)

    def caller_left(self, request_id: str) -> bool:
        """The caller gives the set-up up; True if the call had no final answer yet."""
        return self._give_up(request_id, Verdict.CANCELLED)

    def refuse(self, request_id: str) -> bool:
        """The front can't let the call go on: it is answered as bad; True if it had no final answer yet."""
        return self._give_up(request_id, Verdict.BAD)

    def rethink(self, request_id: str, among: frozenset[int]) -> bool:
        """The gate's word: only these may have an unanswered call; an attempt that is out has failed.

        It is placed anew by the ordinary rules: attempts left, the release wait, whether it may be repeated.
        False if there is no such call, or the gate had not narrowed it.
        """
        call = self._calls.get(request_id)
        if call is None or call.state not in (CallState.WAITING, CallState.TRYING):
            return False
        if not self._decisions.narrow(request_id, among):
            return False
        if call.attempt is not None:
            self._timed_out(call.attempt)
        return True

    def _give_up(self, request_id: str, verdict: Verdict) -> bool:
        call = self._calls.get(request_id)
        if call is None or call.state in (CallState.STANDING, CallState.OVER):
            return False
        if call.state is CallState.PROMISING:
            self._take_back(call, FinalAnswer(verdict), Ending.CALLER_LEFT)
            return True
        attempt = call.attempt
        self._finish(call, FinalAnswer(verdict))
        self._do(lambda: self._decisions.report(CallerLeft(request_id)))
        if attempt is not None:
            self._side.withdraw(attempt)
            self._do(lambda: self._decisions.report(Ended(attempt, Ending.CALLER_LEFT, closed=True)))
        else:
            self._do(lambda: self._dropped(request_id))
        return True

    def hold_back(self, request_id: str, until: timedelta) -> None:
        """A call ended ahead of a release wait, here or elsewhere: its id has no attempt before then."""
        self._held_back[request_id] = until
        if len(self._held_back) > HELD_BACK_MOST:
            del self._held_back[next(iter(self._held_back))]

    def held_back(self) -> dict[str, timedelta]:
        """The ids that have no attempt yet, should they come again, and until when."""
        now = self._clock()
        return {request_id: until for request_id, until in self._held_back.items() if until > now}

    def caller_released(self, request_id: str, cause: int) -> bool:
        """The caller ends a standing call; False if none stands."""
        call = self._calls.get(request_id)
        if call is None or call.state is not CallState.STANDING:
            return False
        attempt = self._over(call, Ending.CALLER_LEFT)
        self._side.release(attempt, cause)
        self._do(lambda: self._decisions.report(Ended(attempt, Ending.CALLER_LEFT, closed=True)))
        return True

    # --- from the servers' side

    def written(self, attempt: Attempt) -> None:
        """The set-up has left whole for its log server."""
        self.figures.attempts += 1

    def stood(self, attempt: Attempt, description: str, load: Load | None = None) -> bool:
        """The log server answered; False if the attempt is no longer out, or its caller has gone."""
        call = self._calls.get(attempt.request.id)
        if call is None or call.attempt is not attempt or call.state is not CallState.TRYING:
            return False
        if self.presence(call) is Presence.GONE:  # nobody would ever hear of it, or end it
            self.caller_left(call.request.id)
            return False
        call.state = CallState.STANDING if self.promises is None else CallState.PROMISING
        self._attempt_over(attempt, None)
        self._do(lambda: self._decisions.report(Stood(attempt)))
        if load:
            self.load_told(attempt.server, load)
        if self.promises is None:
            self._stands(call, description)
        else:
            self.promises.promise(call, lambda kept: self._promised(call, description, kept))
        return True

    def _stands(self, call: Call, description: str) -> None:
        call.state = CallState.STANDING
        self.unanswered -= 1
        call.stood_at = self._clock()
        self.figures.ended(call.request, Verdict.STANDS, call.stood_at)
        answer = FinalAnswer(Verdict.STANDS, description)
        self._watched(call, answer, call.attempt)
        call.caller.answer(call, answer)
        self.came_to_stand(call)

    def _promised(self, call: Call, description: str, kept: bool) -> None:
        """The copies of a call are there, or were not in time."""
        if call.state is not CallState.PROMISING:
            return  # it was given up, or its log server ended it meanwhile
        if kept:
            self._stands(call, description)
        else:
            self._take_back(call, FinalAnswer(Verdict.REFUSED, retry_after=self._gap), Ending.WITHDRAWN)

    def _take_back(self, call: Call, answer: FinalAnswer, ending: Ending) -> None:
        """A call that stands at its log server and not for its caller ends on both sides."""
        attempt = call.attempt
        assert attempt is not None
        self._finish(call, answer)
        self._side.release(attempt, RELEASED)
        self._do(lambda: self._decisions.report(Ended(attempt, ending, closed=True)))

    def ended(self, attempt: Attempt, ending: Ending, load: Load | None = None) -> bool:
        """An attempt that is out failed, or the call that it set up is over; False if neither."""
        call = self._calls.get(attempt.request.id)
        if call is None or call.attempt is not attempt:
            return False
        if call.state is CallState.STANDING:
            self._over(call, ending)
            self._do(lambda: self._decisions.report(Ended(attempt, ending, True, load or {})))
            call.caller.release(call, ending)
            return True
        if call.state is CallState.PROMISING:  # it ended before its caller knew of it
            self._finish(call, FinalAnswer(Verdict.FAILED, retry_after=self._gap))
            self._do(lambda: self._decisions.report(Ended(attempt, ending, True, load or {})))
            return True
        call.attempt, call.state = None, CallState.WAITING
        self._attempt_over(attempt, ending)
        call.why = ending.value
        call.lost_time = ending is Ending.TIMED_OUT
        if ending not in NO_RELEASE_WAIT:
            call.not_before = self._clock() + call.release_wait
        self._do(lambda: self._decisions.report(Ended(attempt, ending, False, load or {})))
        return True

    def given_up_late(self, attempt: Attempt) -> None:
        """The log server hears only now that an attempt is given up: the wait before a resend begins anew."""
        until = self._clock() + self._release_wait
        call = self._calls.get(attempt.request.id)
        if call is None:
            self.hold_back(attempt.request.id, until)
            self.gave_up(attempt.request.id, until)
        else:  # what is out already stays out; what waits for its time waits on
            call.not_before = max(call.not_before, until)

    def load_told(self, server: str, load: Load) -> None:
        """Unasked word of a server's load."""
        self.figures.load_told(server, load)
        self._do(lambda: self._decisions.report(LoadTold(server, load)))

    def examined(self, server: str, alive: bool, load: Load | None = None) -> None:
        """How a log server answered that was asked for a sign of life."""
        self._do(lambda: self._decisions.report(Examined(server, alive, load or {})))

    def list_told(self, told: ListTold) -> None:
        """The server list, or changes to it."""
        self._do(lambda: self._decisions.report(told))

    # --- time

    def next_due(self) -> timedelta | None:
        """When tick is to be called next."""
        times = [self._due[0][0]] if self._due else []
        tick = self._decisions.next_tick()
        return min(times + ([tick] if tick is not None else []), default=None)

    def tick(self) -> None:
        """Carry out what is due."""
        now = self._clock()
        while self._due and self._due[0][0] <= now:
            heapq.heappop(self._due)[2]()
        self._do(lambda: self._decisions.tick(self._clock()))

    def _at(self, due: timedelta, job: Callable[[], None]) -> None:
        heapq.heappush(self._due, (due, next(self._order), job))

    def _timed_out(self, attempt: Attempt) -> None:
        call = self._calls.get(attempt.request.id)
        if call is not None and call.attempt is attempt and call.state is CallState.TRYING:
            self._side.withdraw(attempt)
            self.ended(attempt, Ending.TIMED_OUT)

    def _overdue(self, call: Call) -> None:
        if call.state is CallState.PROMISING:
            answer = FinalAnswer(Verdict.FAILED, retry_after=self._gap, timed_out=True)
            self._take_back(call, answer, Ending.TIMED_OUT)
            return
        if call.state not in (CallState.TAKEN, CallState.WAITING, CallState.TRYING):
            return
        log.warning("call_undecided", call=call.request.id, call_class=call.request.class_name)
        attempt = call.attempt
        self._finish(call, FinalAnswer(Verdict.FAILED, retry_after=self._gap, timed_out=True))
        self._do(lambda: self._decisions.report(CallerLeft(call.request.id)))
        if attempt is not None:
            self._side.withdraw(attempt)
            self._do(lambda: self._decisions.report(Ended(attempt, Ending.TIMED_OUT, closed=True)))
        else:
            self._do(lambda: self._dropped(call.request.id))

    # --- carrying out decisions

    @property
    def _side(self) -> ServerSide:
        assert self._servers is not None, "no side for servers is attached"
        return self._servers

    def _do(self, job: Job) -> None:
        """Run jobs in order of arrival; what a decision causes waits until the decision is carried out."""
        self._jobs.append(job)
        if self._running:
            return
        self._running = True
        try:
            while self._jobs:
                for decision in self._jobs.popleft()():
                    self._carry_out(decision)
        finally:
            self._running = False
        self.wake()

    def _carry_out(self, decision: Decision) -> None:
        if isinstance(decision, Examine):
            self._side.examine(decision.server)
            return
        call = self._calls.get(decision.request_id)
        if call is None:
            return
        match decision:
            case Dispatch():
                self._dispatch(call, decision)
            case Decline(_, retry_after, failed):
                self._decline(call, retry_after, failed)
            case Withdraw(_, index):
                attempt = call.attempt
                if attempt is not None and attempt.index == index and call.state is CallState.TRYING:
                    self._side.withdraw(attempt)
                    self.ended(attempt, Ending.WITHDRAWN)

    def _dispatch(self, call: Call, decision: Dispatch) -> None:
        now = self._clock()
        attempt = Attempt(call.request, decision.index, decision.server, now, decision.wait)
        if call.state is not CallState.WAITING:  # never two attempts out, whatever was decided
            log.error("attempt_out_of_turn", call=call.request.id, state=call.state.name)
            self._do(lambda: self._decisions.report(Ended(attempt, Ending.MOOT, closed=False)))
            return
        call.attempt, call.state, call.last = attempt, CallState.TRYING, attempt
        self._at(now + decision.wait, lambda: self._timed_out(attempt))
        self._start(attempt)

    def start(self, attempt: Attempt) -> None:
        """An attempt that the servers' side kept back may leave now: it does if it is still wanted."""
        self._start(attempt, told=True)
        self.wake()

    def _start(self, attempt: Attempt, turns: int = 0, told: bool = False) -> None:
        """Send an attempt unless its caller has gone: what it said last may have come and not be read yet."""
        call = self._calls.get(attempt.request.id)
        if call is None or call.attempt is not attempt or call.state is not CallState.TRYING:
            return
        if self._clock() < call.not_before and not told:  # never before the release wait is over
            self._at(call.not_before, lambda: self._start(attempt))
            return
        if self._clock() - call.request.taken_at >= SURELY_HERE:
            presence = self.presence(call)
            if presence is Presence.GONE:
                self.caller_left(call.request.id)
                return
            if presence is Presence.UNREAD and turns < UNREAD_TURNS_MOST:
                self._at(self._clock() + TURN, lambda: self._start(attempt, turns + 1, told))
                return
        for watch in self.watches if not told else ():
            watch.sent(attempt, self._clock())
        self._side.start(attempt)

    def _decline(self, call: Call, retry_after: timedelta, failed: bool) -> None:
        if call.state is not CallState.WAITING:
            return
        verdict = Verdict.FAILED if failed else Verdict.REFUSED
        gap = retry_after or self._gap
        self._finish(call, FinalAnswer(verdict, retry_after=gap, timed_out=call.lost_time))
        self._do(lambda: self._dropped(call.request.id))

    def _dropped(self, request_id: str) -> list[Decision]:
        self._decisions.drop(request_id)
        return []

    def _finish(self, call: Call, answer: FinalAnswer) -> None:
        """The one final answer of a call that does not come to stand."""
        now, out = self._clock(), call.attempt if call.state is CallState.TRYING else None
        # Its id may come again, should its caller have gone unread: an attempt that is out is given up with
        # it, and one before may still await its release.
        until = call.not_before if out is None else now + call.release_wait
        if until > now:
            self.hold_back(call.request.id, until)
            self.gave_up(call.request.id, until)
        call.state, call.attempt = CallState.OVER, None
        self.unanswered -= 1
        self.figures.ended(call.request, answer.verdict, now)
        if out is not None:
            self._attempt_over(out, Ending.TIMED_OUT if answer.timed_out else Ending.CALLER_LEFT)
        self._watched(call, answer, call.last)
        self._remove(call)
        call.caller.answer(call, answer)

    def _attempt_over(self, attempt: Attempt, ending: Ending | None) -> None:
        for watch in self.watches:
            watch.attempt_over(attempt, ending, self._clock())

    def _watched(self, call: Call, answer: FinalAnswer, attempt: Attempt | None) -> None:
        for watch in self.watches:
            watch.answered(call, answer, attempt, call.why, self._clock())

    def _over(self, call: Call, ending: Ending) -> Attempt:
        attempt = call.attempt
        assert attempt is not None
        call.state, call.attempt = CallState.OVER, None
        self.figures.over(call.request, call.stood_at, self._clock())
        for watch in self.watches:
            watch.over(call, attempt, ending, self._clock())
        self._remove(call)
        return attempt

    def _remove(self, call: Call) -> None:
        del self._calls[call.request.id]
        if self.promises is not None:
            self.promises.forget(call)
        self.closed(call.request.id)


RELEASED = 16  # the cause of an ordinary end (ITU-T Q.850: normal call clearing)

# Endings after which a call may go on at once: a whole answer, or proof that nothing ran.
NO_RELEASE_WAIT = frozenset(
    {
        Ending.FAULT,
        Ending.NUMBER_BUSY,
        Ending.LINES_FULL,
        Ending.PROCESSOR_FULL,
        Ending.MOOT,
        Ending.CONNECTION_REFUSED,
        Ending.CONNECTION_FAILED,
        Ending.CONNECTION_SILENT,
    }
)


def _as_list(decision: Decision | None) -> list[Decision]:
    return [] if decision is None else [decision]
