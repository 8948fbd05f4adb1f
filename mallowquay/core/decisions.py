"""The decision module behind a small facade in blocking style: pick, report, tick.

Nothing else sees the module's events, actions or microseconds.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from datetime import timedelta
from typing import Any

import structlog

from quincestand import (
    Action,
    AttemptEnded,
    CallerGone,
    CallOffered,
    CallStands,
    CancelAttempt,
    Controller,
    Event,
    Fail,
    ListKind,
    Log,
    NewSettings,
    Outcome,
    Probe,
    Refuse,
    Send,
    ServerEntry,
    ServerList,
    ServerReport,
    ServerState,
    SetTimer,
    Settings,
    TimerDue,
)

from .model import (
    CallerLeft,
    Clock,
    Decision,
    Decline,
    Dispatch,
    Ended,
    Ending,
    Examine,
    Examined,
    Level,
    ListTold,
    Load,
    LoadTold,
    News,
    Rating,
    Request,
    Server,
    ServerStatus,
    Stood,
    Withdraw,
)

log = structlog.get_logger(part=__name__)

MICROSECOND = timedelta(microseconds=1)

# The one table from endings to the module's outcomes.
OUTCOMES: dict[Ending, Outcome] = {
    Ending.COMPLETED: Outcome.ENDED,
    Ending.FAULT: Outcome.ERROR,
    Ending.NUMBER_BUSY: Outcome.ERROR,
    Ending.LINES_FULL: Outcome.FULL,
    Ending.PROCESSOR_FULL: Outcome.FULL,
    Ending.MOOT: Outcome.NOT_SENT,
    Ending.SETUP_RESET: Outcome.RESET,
    Ending.CUT: Outcome.RESET,
    Ending.TIMED_OUT: Outcome.TIMEOUT,
    Ending.WITHDRAWN: Outcome.CANCELLED,
    Ending.CALLER_LEFT: Outcome.CANCELLED,
    Ending.CONNECTION_REFUSED: Outcome.CONNECT_FAILED,
    Ending.CONNECTION_FAILED: Outcome.CONNECT_FAILED,
    Ending.CONNECTION_SILENT: Outcome.CONNECT_FAILED,
    Ending.CONNECTION_MUTE: Outcome.RESET,
    Ending.CONNECTION_RESET: Outcome.RESET,
    Ending.CONNECTION_CLOSED: Outcome.RESET,
    Ending.UNREADABLE: Outcome.RESET,
    Ending.SERVER_GONE: Outcome.RESET,
}
STATES = {
    ServerStatus.READY: ServerState.READY,
    ServerStatus.DRAINING: ServerState.DRAINING,
    ServerStatus.GONE: ServerState.GONE,
}
LEVELS = (Level.NORMAL, Level.WARNING, Level.CRITICAL)
NUMBER_MOST = 2**64
BEFORE_MOST = 4  # controllers of before, whose calls are not over yet


def number_key(number: str) -> int:
    """The number called as the module's key: 16 hex digits as they are, other texts folded."""
    try:
        return int(number, 16) % NUMBER_MOST
    except ValueError:
        return int.from_bytes(number.encode()[-8:], "big")


class _Among:
    """The log servers that may have a call, asked each time that the module chooses."""

    __slots__ = ("numbers",)

    def __init__(self, numbers: frozenset[int]) -> None:
        self.numbers = numbers

    def __contains__(self, number: object) -> bool:
        return number in self.numbers


class Decisions:
    """Decides for one gatekeeper; a held call's decision comes out of a later report or tick."""

    def __init__(self, settings: Settings, seed: int, clock: Clock) -> None:
        self._settings, self._clock, self._seed = settings, clock, seed
        self._controller = Controller(settings, seed)
        # Those of before, each with the first call that is no longer its own, until its calls are over.
        self._before: list[tuple[int, Controller]] = []
        self._timers: list[tuple[int, int, int, Controller]] = []
        self._order = self._open_before = 0
        self._ceded = False  # turns at cold log servers are the successor's
        self._numbers: dict[str, int] = {}  # request id to the module's call number, while either owes
        self._names: dict[int, str] = {}
        self._sent: dict[int, int] = {}  # attempts sent so far of each call
        self._among: dict[str, _Among] = {}  # of calls that a gate has narrowed
        self._started: dict[tuple[str, timedelta | None], int] = {}
        self._next_number = 0
        self._last = 0

    # --- the facade

    def pick(self, request: Request) -> Decision | None:
        """Where the call goes, or its refusal; None while it is held."""
        self._next_number += 1
        number = self._next_number
        self._numbers[request.id], self._names[number], self._sent[number] = number, request.id, 0
        budget = max(0, request.deadline // MICROSECOND - self._now())
        among = None
        if request.among is not None:
            among = self._among[request.id] = _Among(request.among)
        event = CallOffered(
            call=number,
            call_class=request.call_class,
            group=request.tenant,
            called=number_key(request.number),
            budget=budget,
            destination=request.destination,
            redialled=request.redialled,
            in_transit=False,
            among=among,
        )
        decisions = self._handle(event)
        return decisions[0] if decisions else None

    def narrow(self, request_id: str, among: frozenset[int]) -> bool:
        """From now on these log servers may have a call that was narrowed before; False if it was not."""
        found = self._among.get(request_id)
        if found is None:
            return False
        found.numbers = among
        return True

    def report(self, news: News) -> list[Decision]:
        """Tell what happened; what is to be done now comes back."""
        event = self._event(news)
        decisions: list[Decision] = []
        if event is not None:
            if self._before:
                decisions = self._handle_before(event)
            else:
                decisions = self._handle(event)
        if isinstance(news, Ended) and news.closed:
            self._forget(news.attempt.request.id)
        elif isinstance(news, CallerLeft):
            self._forget(news.request_id, keep_number=True)
        return decisions

    def tick(self, now: timedelta) -> list[Decision]:
        """Let timers that are due by now take effect."""
        decisions: list[Decision] = []
        due = now // MICROSECOND
        while self._timers and self._timers[0][0] <= due:
            _, _, token, controller = heapq.heappop(self._timers)
            decisions += self._handle(TimerDue(token), controller)
        return decisions

    def next_tick(self) -> timedelta | None:
        """When tick is to be called next."""
        return self._timers[0][0] * MICROSECOND if self._timers else None

    def ratings(self) -> list[Rating]:
        """How the module rates each log server that may be sent to or drains, for other proxies."""
        return [
            Rating(name, LEVELS[level], takes) for name, level, takes in self._controller.ratings(self._now())
        ]

    def retune(self, settings: Settings) -> None:
        """Take new settings for calls from now on; what is thought of the log servers stays."""
        self._settings = settings
        for controller in (self._controller, *(before for _, before in self._before)):
            self._handle(NewSettings(settings), controller)

    def start_anew(self, servers: Iterable[Server]) -> None:
        """Forget what was learned of the log servers, as after a start. `servers`: the list as it is.

        Calls that are open are seen to their end by what was known when they came.
        """
        oldest = min(self._names, default=self._next_number + 1)
        self._before = [(first, controller) for first, controller in self._before if first > oldest]
        if len(self._before) >= BEFORE_MOST:
            return  # nothing is older than the last of them; a day does not end so often
        self._controller.cede_cold(self._now(), True)  # one owner of the turns: the new one
        if self._names:
            self._before.append((self._next_number + 1, self._controller))
        self._open_before = len(self._names)
        self._seed += 1
        self._controller = Controller(self._settings, self._seed)
        entries = tuple(self._entry(server) for server in servers)
        self._handle(ServerList(ListKind.FULL, entries))
        self._controller.cede_cold(self._now(), self._ceded)

    def _handle_before(self, event: Event) -> list[Decision]:
        """The same as `_handle`, while calls of before are open: each goes to whoever knows it."""
        if isinstance(event, ServerList | ServerReport):
            decisions = []
            for controller in (*(before for _, before in self._before), self._controller):
                decisions += self._handle(event, controller)
            return decisions
        number = getattr(event, "call", None)
        if number is not None:
            for first, controller in self._before:
                if number < first:
                    return self._handle(event, controller)
        return self._handle(event)

    def memory(self) -> dict[str, Any]:
        """What the module knows that a successor is to go on from: plain values, on this machine's clock."""
        return self._controller.memory()

    def remember(self, memory: dict[str, Any]) -> None:
        """Go on from the memory of the process before; the list has been told."""
        self._controller.remember(self._now(), memory)

    def cede_cold(self, ceded: bool) -> None:
        """True: told that its successor serves, this process sends nothing to a cold log server.

        False: that successor has gone, and this one goes on alone; its turns are back, without credit.
        """
        if ceded != self._ceded:
            self._ceded = ceded
            self._controller.cede_cold(self._now(), ceded)

    def avoided(self) -> int:
        """How many log servers of the list the module sends nothing to now."""
        return self._controller.avoided(self._now())

    def drop(self, request_id: str) -> None:
        """Forget a call that ended without an attempt."""
        self._forget(request_id)

    # --- events and actions

    def _now(self) -> int:
        self._last = max(self._last, self._clock() // MICROSECOND)
        return self._last

    def _forget(self, request_id: str, keep_number: bool = False) -> None:
        number = self._numbers.get(request_id)
        if number is not None and not keep_number:
            del self._numbers[request_id], self._names[number], self._sent[number]
            self._among.pop(request_id, None)
            if self._before and number < self._before[-1][0]:
                self._open_before -= 1
                if not self._open_before:
                    self._before = []

    def _event(self, news: News) -> Event | None:
        if isinstance(news, ListTold):
            kind = ListKind.FULL if news.whole else ListKind.CHANGES
            self._forget_starts(news)
            return ServerList(kind, tuple(self._entry(server) for server in news.servers))
        if isinstance(news, LoadTold):
            return ServerReport(news.server, True, False, self._figures(news.load))
        if isinstance(news, Examined):
            return ServerReport(news.server, news.alive, True, self._figures(news.load))
        if isinstance(news, CallerLeft):
            number = self._numbers.get(news.request_id)
            return None if number is None else CallerGone(number)
        attempt = news.attempt
        number = self._numbers.get(attempt.request.id)
        if number is None:
            return None
        delay = max(0, self._now() - attempt.sent_at // MICROSECOND)
        if isinstance(news, Stood):
            return CallStands(number, attempt.index, delay, attempt.server)
        return AttemptEnded(
            call=number,
            attempt=attempt.index,
            server=attempt.server,
            outcome=OUTCOMES[news.ending],
            delay=delay,
            closed=news.closed,
            processor_full=news.ending is Ending.PROCESSOR_FULL,
            number_busy=news.ending is Ending.NUMBER_BUSY,
            report=self._figures(news.load),
        )

    def _entry(self, server: Server) -> ServerEntry:
        # The same start must give the same figure each time, or the module would see a new start.
        key = (server.id, server.started)
        started = 0 if server.started is None else server.started // MICROSECOND or 1
        if server.status is not ServerStatus.GONE:
            started = self._started.setdefault(key, started)
        return ServerEntry(server.id, server.number, STATES[server.status], started)

    def _forget_starts(self, told: ListTold) -> None:
        """Ids are always new over a long day: those that are gone are not kept."""
        gone = {server.id for server in told.servers if server.status is ServerStatus.GONE}
        named = {server.id for server in told.servers}
        for key in [key for key in self._started if key[0] in gone or (told.whole and key[0] not in named)]:
            del self._started[key]

    def _figures(self, load: Load) -> tuple[float, ...]:
        return tuple(load.get(name, -1.0) for name in self._settings.report_fields) if load else ()

    def _handle(self, event: Event, controller: Controller | None = None) -> list[Decision]:
        now = self._now()
        controller = controller or self._controller
        decisions: list[Decision] = []
        for action in controller.handle(now, event):
            decision = self._decision(now, action, controller)
            if decision is not None:
                decisions.append(decision)
        return decisions

    def _decision(self, now: int, action: Action, controller: Controller) -> Decision | None:
        match action:
            case SetTimer(delay, token):
                self._order += 1
                heapq.heappush(self._timers, (now + delay, self._order, token, controller))
            case Send(call, server, timeout):
                index = self._sent[call]
                self._sent[call] = index + 1
                return Dispatch(self._names[call], index, server, timeout * MICROSECOND)
            case Refuse(call, retry_after):
                return Decline(self._names[call], retry_after * MICROSECOND, failed=False)
            case Fail(call, retry_after):
                return Decline(self._names[call], retry_after * MICROSECOND, failed=True)
            case CancelAttempt(call, attempt):
                return Withdraw(self._names[call], attempt)
            case Probe(server):
                return Examine(server)
            case Log(text):
                log.info("module_says", text=text)
        return None
