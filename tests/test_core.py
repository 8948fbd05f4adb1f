"""The core by itself: the ending table, the state machine of a call, and faults in the configuration."""

from __future__ import annotations

import copy
import tempfile
import unittest
from collections.abc import Callable
from datetime import timedelta
from math import inf, nan

from support import ROOT, SETTINGS

from mallowquay import settings as config
from mallowquay.core.calls import Call, Calls, CallState
from mallowquay.core.decisions import OUTCOMES, Decisions
from mallowquay.core.figures import Figures
from mallowquay.core.model import (
    Attempt,
    Decline,
    Dispatch,
    Ended,
    Ending,
    FinalAnswer,
    ListTold,
    Request,
    Server,
    ServerStatus,
    Stood,
    Verdict,
)
from mallowquay.fronts.platform.servers import ending_of
from mallowquay.fronts.statuses import ENDINGS, STATUSES
from mallowquay.settings.operator import load_operator
from quincestand import Outcome
from quincestand.wire import read_settings

MS, SECOND = timedelta(milliseconds=1), timedelta(seconds=1)


class FakeClock:
    def __init__(self) -> None:
        self.now = 100 * SECOND

    def __call__(self) -> timedelta:
        return self.now


class FakeSide:
    """Keeps what it is told to do."""

    def __init__(self) -> None:
        self.started: list[Attempt] = []
        self.withdrawn: list[Attempt] = []
        self.released: list[tuple[Attempt, int]] = []
        self.examined: list[str] = []

    def start(self, attempt: Attempt) -> None:
        self.started.append(attempt)

    def withdraw(self, attempt: Attempt) -> None:
        self.withdrawn.append(attempt)

    def release(self, attempt: Attempt, cause: int) -> None:
        self.released.append((attempt, cause))

    def examine(self, server: str) -> None:
        self.examined.append(server)


class FakeCaller:
    def __init__(self) -> None:
        self.answers: list[FinalAnswer] = []
        self.releases: list[Ending] = []

    def answer(self, call: Call, answer: FinalAnswer) -> None:
        self.answers.append(answer)

    def release(self, call: Call, ending: Ending) -> None:
        self.releases.append(ending)


class CoreCase(unittest.TestCase):
    def setUp(self) -> None:
        self.clock, self.side = FakeClock(), FakeSide()
        self.decisions = Decisions(read_settings(config.flatten(SETTINGS)), 7, self.clock)
        self.calls = Calls(self.decisions, self.clock, 300 * MS, 10 * MS, SECOND, Figures(["log-lookup"]))
        self.calls.attach(self.side)
        servers = tuple(Server(f"s{n}", ("127.0.0.1", n), n, ServerStatus.READY) for n in range(2))
        self.calls.list_told(ListTold(servers, whole=True))

    def request(self, name: str = "a", budget: timedelta = 3 * SECOND) -> Request:
        return Request(name, 0, "log-lookup", "1f", budget, self.clock.now, destination=0)

    def offer(self, name: str = "a", budget: timedelta = 3 * SECOND) -> FakeCaller:
        caller = FakeCaller()
        self.calls.offer(self.request(name, budget), caller)
        return caller

    def advance(self, span: timedelta) -> None:
        """Let time pass, stopping wherever something is due."""
        end = self.clock.now + span
        while (due := self.calls.next_due()) is not None and due <= end:
            self.clock.now = max(self.clock.now, due)
            self.calls.tick()
        self.clock.now = end


class ComesAgain(CoreCase):
    """Term: 300 ms after a timeout, reset or cancel before a resend, also for an id that comes again.

    Its call may have had its final answer: unread, where its caller had closed.
    """

    def comes_again(self) -> None:
        began = len(self.side.started)
        self.offer("a")
        self.advance(299 * MS)
        self.assertEqual(len(self.side.started), began)
        self.advance(MS)
        self.assertEqual(len(self.side.started), began + 1)

    def test_after_an_answer_at_the_end_of_its_time(self) -> None:
        caller = self.offer("a", 300 * MS)
        while not caller.answers:
            self.advance(MS)
        self.assertEqual([answer.verdict for answer in caller.answers], [Verdict.FAILED])
        self.assertEqual(len(self.side.withdrawn), 1)
        self.comes_again()

    def test_after_a_reset_of_a_set_up_that_may_not_run_twice(self) -> None:
        settings = copy.deepcopy(SETTINGS)
        settings["services"][0]["effect"] = "non_idempotent"
        self.decisions.retune(read_settings(config.flatten(settings)))
        caller = self.offer("a")
        self.calls.ended(self.side.started[0], Ending.SETUP_RESET)
        self.assertEqual([answer.verdict for answer in caller.answers], [Verdict.FAILED])
        self.comes_again()


class Facade(CoreCase):
    def test_every_ending_has_its_outcome(self) -> None:
        self.assertEqual(set(OUTCOMES), set(Ending))
        self.assertEqual(set(OUTCOMES.values()), set(Outcome))
        self.assertEqual({ending for ending in Ending if OUTCOMES[ending] is Outcome.CONNECT_FAILED},
                         {Ending.CONNECTION_REFUSED, Ending.CONNECTION_FAILED,
                          Ending.CONNECTION_SILENT})  # fmt: skip

    def test_starts_of_servers_that_are_gone_are_not_kept(self) -> None:
        decisions = self.decisions
        for number in range(50):
            for status in (ServerStatus.READY, ServerStatus.GONE):
                server = Server(f"n{number}", ("127.0.0.1", 1), 0, status, number * MS)
                decisions.report(ListTold((server,), whole=False))
        decisions.report(ListTold((Server("z", ("127.0.0.1", 1), 0, ServerStatus.READY),), whole=True))
        self.assertEqual([server for server, _ in decisions._started], ["z"])

    def test_pick_names_a_server_and_report_the_next_one(self) -> None:
        picked = self.decisions.pick(self.request())
        assert isinstance(picked, Dispatch)
        self.assertEqual((picked.index, picked.server), (0, "s0"))
        self.assertLess(picked.wait, 3 * SECOND)
        attempt = Attempt(self.request(), 0, "s0", self.clock.now, picked.wait)
        after = self.decisions.report(Ended(attempt, Ending.PROCESSOR_FULL, closed=False))
        self.assertEqual([(d.index, d.server) for d in after if isinstance(d, Dispatch)], [(1, "s1")])

    def test_a_held_call_is_decided_by_a_later_tick(self) -> None:
        self.decisions.report(ListTold((), whole=True))
        self.assertIsNone(self.decisions.pick(self.request()))
        seen = []
        while (due := self.decisions.next_tick()) is not None and not seen:
            self.clock.now = due
            seen = self.decisions.tick(due)
        self.assertIsInstance(seen[0], Decline)
        self.assertLess(self.clock.now, 103 * SECOND)

    def test_the_same_start_stays_the_same_start(self) -> None:
        server = Server("s0", ("127.0.0.1", 1), 0, ServerStatus.READY, started=-5 * SECOND)
        entry = self.decisions._entry(server)
        self.assertEqual(entry, self.decisions._entry(server))
        self.assertNotEqual(entry.boot_time, 0)

    def test_nothing_is_kept_of_calls_that_are_over(self) -> None:
        caller = self.offer()
        attempt = self.side.started[0]
        self.calls.stood(attempt, "x")
        self.calls.ended(attempt, Ending.COMPLETED)
        gone = self.offer("b")
        self.calls.caller_left("b")
        self.assertEqual((len(caller.answers), len(gone.answers)), (1, 1))
        self.assertEqual((self.decisions._numbers, self.decisions._names, self.decisions._sent), ({}, {}, {}))
        self.assertEqual(self.calls.unanswered, 0)


class FakePromises:
    """Copies that are there when the test says so."""

    def __init__(self) -> None:
        self.settled: list[Callable[[bool], None]] = []
        self.forgotten: list[str] = []

    def promise(self, call: Call, settled: Callable[[bool], None]) -> None:
        self.settled.append(settled)

    def forget(self, call: Call) -> None:
        self.forgotten.append(call.request.id)


class Promising(CoreCase):
    """Between its log server's answer and its caller's a call waits for its copies."""

    def setUp(self) -> None:
        super().setUp()
        self.promises = self.calls.promises = FakePromises()
        self.caller = self.offer()
        self.attempt = self.side.started[0]
        self.assertTrue(self.calls.stood(self.attempt, "text"))
        self.assertEqual((self.caller.answers, self.calls.unanswered), ([], 1))

    def one_answer(self, verdict: Verdict, released: bool) -> None:
        for kept in (True, False):  # whatever the copies say after that
            self.promises.settled[0](kept)
        self.advance(10 * SECOND)
        self.assertEqual([answer.verdict for answer in self.caller.answers], [verdict])
        self.assertEqual(self.side.released, [(self.attempt, 16)] if released else [])
        self.assertEqual((len(self.side.started), self.side.withdrawn, self.calls.unanswered), (1, [], 0))

    def test_copied_it_stands_and_its_end_is_told(self) -> None:
        self.promises.settled[0](True)
        self.assertEqual(self.caller.answers, [FinalAnswer(Verdict.STANDS, "text")])
        self.assertEqual(self.promises.forgotten, [])
        self.calls.ended(self.attempt, Ending.CUT)
        self.assertEqual((self.caller.releases, self.promises.forgotten), ([Ending.CUT], ["a"]))

    def test_not_copied_in_time_it_is_refused_at_once_and_released_at_its_log_server(self) -> None:
        self.promises.settled[0](False)
        self.one_answer(Verdict.REFUSED, released=True)
        self.assertTrue(self.caller.answers[0].retry_after)
        self.assertEqual(self.promises.forgotten, ["a"])

    def test_a_caller_that_leaves_meanwhile(self) -> None:
        self.assertTrue(self.calls.caller_left("a"))
        self.one_answer(Verdict.CANCELLED, released=True)

    def test_a_log_server_that_ends_it_meanwhile(self) -> None:
        self.assertTrue(self.calls.ended(self.attempt, Ending.CUT))
        self.one_answer(Verdict.FAILED, released=False)

    def test_a_log_server_that_is_gone_meanwhile(self) -> None:
        self.assertEqual([call.request.id for call in self.calls.standing_at(self.attempt.server)], ["a"])

    def test_copies_that_never_say_anything_do_not_cost_the_answer(self) -> None:
        self.advance(3 * SECOND)
        self.one_answer(Verdict.FAILED, released=True)


class Machine(CoreCase):
    def test_one_answer_and_its_release(self) -> None:
        caller = self.offer()
        attempt = self.side.started[0]
        self.assertTrue(self.calls.stood(attempt, "text"))
        self.assertFalse(self.calls.stood(attempt, "again"))
        self.assertEqual(caller.answers, [FinalAnswer(Verdict.STANDS, "text")])
        self.assertTrue(self.calls.ended(attempt, Ending.CUT))
        self.assertFalse(self.calls.ended(attempt, Ending.CUT))
        self.assertEqual(caller.releases, [Ending.CUT])

    def test_no_resend_before_the_release_wait_after_each_ending_that_needs_it(self) -> None:
        for ending in (
            Ending.SETUP_RESET,
            Ending.CONNECTION_RESET,
            Ending.CONNECTION_CLOSED,
            Ending.UNREADABLE,
        ):
            with self.subTest(ending):
                self.setUp()
                self.offer()
                self.calls.ended(self.side.started[0], ending)
                self.advance(299 * MS)
                self.assertEqual(len(self.side.started), 1)
                self.advance(2 * SECOND)
                self.assertEqual(len(self.side.started), 2)

    def test_a_decision_that_breaks_a_rule_is_not_carried_out(self) -> None:
        self.offer()
        self.calls._carry_out(Dispatch("a", 1, "s1", SECOND))  # one is out already
        self.assertEqual(len(self.side.started), 1)
        self.calls.ended(self.side.started[0], Ending.TIMED_OUT)
        call = self.calls.get("a")
        assert call is not None
        self.calls._carry_out(Dispatch("a", 1, "s1", SECOND))  # too early: kept until it may go
        self.assertEqual(len(self.side.started), 1)
        self.advance(301 * MS)
        self.assertEqual(len(self.side.started), 2)

    def test_an_attempt_that_gets_no_answer_is_withdrawn_and_answered_in_time(self) -> None:
        caller = self.offer(budget=SECOND)
        self.advance(SECOND)
        self.assertEqual(self.side.withdrawn, self.side.started)
        self.assertEqual([a.verdict for a in caller.answers], [Verdict.FAILED])
        self.assertTrue(caller.answers[0].timed_out)
        self.assertGreater(caller.answers[0].retry_after, timedelta(0))
        self.assertFalse(self.calls.stood(self.side.started[0], "late"))

    def test_a_silent_module_does_not_cost_the_answer(self) -> None:
        self.decisions.pick = lambda request: None  # type: ignore[method-assign]
        caller = self.offer(budget=SECOND)
        self.advance(989 * MS)
        self.assertEqual(caller.answers, [])
        self.advance(2 * MS)
        self.assertEqual([a.verdict for a in caller.answers], [Verdict.FAILED])

    def test_a_caller_that_leaves_or_releases(self) -> None:
        self.offer()
        self.assertFalse(self.calls.caller_released("a", 16))
        self.assertTrue(self.calls.caller_left("a"))
        self.assertFalse(self.calls.caller_left("a"))
        self.assertEqual(self.side.withdrawn, self.side.started)
        self.offer("b")
        self.calls.stood(self.side.started[1], "")
        self.assertFalse(self.calls.caller_left("b"))
        self.assertTrue(self.calls.caller_released("b", 31))
        self.assertEqual(self.side.released, [(self.side.started[1], 31)])

    def test_an_id_that_is_open_joins_its_call(self) -> None:
        self.offer()
        again = self.offer()
        self.assertEqual((len(self.side.started), again.answers), (1, []))
        call = self.calls.get("a")
        assert call is not None
        self.assertIs(call.state, CallState.TRYING)

    def test_calls_are_found_by_their_server(self) -> None:
        self.offer()
        self.assertEqual(self.calls.trying_at("s0"), self.side.started)
        self.assertEqual(self.calls.standing_at("s0"), [])
        self.decisions.report(Stood(self.side.started[0]))
        self.calls.stood(self.side.started[0], "")
        self.assertEqual(len(self.calls.standing_at("s0")), 1)


class Tables(unittest.TestCase):
    def test_causes_of_a_release(self) -> None:
        table = {
            (34, "nc", False): Ending.LINES_FULL, (34, "ovl", False): Ending.PROCESSOR_FULL,
            (34, None, False): Ending.LINES_FULL, (17, "busy", False): Ending.NUMBER_BUSY,
            (17, "ovl", False): Ending.FAULT, (47, None, False): Ending.FAULT,
            (102, None, False): Ending.MOOT,
            (41, None, False): Ending.SETUP_RESET, (999, None, False): Ending.FAULT,
            ("x", 7, False): Ending.FAULT,
            (16, None, True): Ending.COMPLETED, (41, None, True): Ending.CUT, (None, None, True): Ending.CUT,
        }  # fmt: skip
        for (cause, note, answered), ending in table.items():
            self.assertIs(ending_of(cause, note, answered), ending, (cause, note, answered))

    def test_every_final_answer_has_its_status(self) -> None:
        self.assertEqual(set(STATUSES), {(verdict, late) for verdict in Verdict for late in (False, True)})
        self.assertEqual(STATUSES[Verdict.REFUSED, False][1], 503)
        self.assertEqual({STATUSES[Verdict.FAILED, late][1] for late in (False, True)}, {480, 504})
        self.assertTrue(set(ENDINGS.values()) <= set(Ending))


class Faults(unittest.TestCase):
    platform = {"listen": "127.0.0.1:1", "coordinator": "127.0.0.1:2", "known": {"index": 0, "updates": []},
                "seed": "ff", "settings": SETTINGS, "limits": {"sockets": 1024}}  # fmt: skip

    def fault(self, path: str, value: object) -> str:
        document = copy.deepcopy(self.platform)
        table = document
        *above, key = path.split(".")
        for name in above:
            table = table[int(name) if name.isdigit() else name]  # type: ignore[index, call-overload]
        if value is None:
            del table[key]
        else:
            table[key] = value
        with self.assertRaises(config.ConfigError) as caught:
            config.platform_config(document, {})
        return str(caught.exception)

    def test_a_fault_names_its_key(self) -> None:
        faults: list[tuple[str, object, str]] = [
            ("listen", "nowhere", "listen"), ("listen", None, "listen"),
            ("coordinator", "1:x", "coordinator"),
            ("known", 3, "known"), ("seed", "zz", "seed"), ("limits.sockets", 10, "limits.sockets"),
            ("limits.sockets", "many", "limits.sockets"), ("settings", None, "settings"),
            ("settings.groupSize", None, "groupSize"), ("settings.rules.coldFrom", "x", "rules.coldFrom"),
            ("settings.limits.dialTimeout", None, "limits.dialTimeout"),
            ("settings.services.1.name", None, "settings.services.1.name"),
            ("settings.services.0.onTime", -1, "onTime"), ("settings.services.1.name", "log-lookup", "twice"),
            *(("settings.services.0.deadline", bad, "settings.services.0.deadline")
              for bad in (0, -1, True, "9000000", nan, inf, 1e30, 2.5, [], {})),
            *(("settings.limits.mostTries", bad, "settings.limits.mostTries")
              for bad in (0, -4, True, "4", nan, inf, 1e30, 2.5, {})),
            ("settings.services.0.worth", True, "worth"), ("settings.services.0.worth", nan, "worth"),
            ("settings.services", [3], "settings.services.0.onTime"), ("settings.services", {}, "services"),
        ]  # fmt: skip
        for path, value, named in faults:
            with self.subTest(path):
                self.assertIn(named.split(".")[-1].lower(), self.fault(path, value).lower())

    def test_files_that_cannot_be_read(self) -> None:
        for environment in ({}, {"LB_CONFIG": "/no/such/file"}, {"LB_CONFIG": __file__}):
            with self.assertRaisesRegex(config.ConfigError, "LB_CONFIG"):
                config.of_process([], environment)

    def test_the_operators_file(self) -> None:
        text = (ROOT / "deploy" / "sip.toml").read_text()
        good = load_operator(str(ROOT / "deploy" / "sip.toml"))
        assert good.sip is not None
        self.assertEqual((good.sip.t1, len(good.sip.servers)), (500 * MS, 2))
        for old, new, named in (
            ('udp = "127', 'upd = "127', "sip.upd"), ("t1_ms = 500", "t1_ms = 0", "sip.t1_ms"),
            ('"log-lookup"\naim', '"other"\naim', "sip.default_class"),
            ("aim_ms = 2000", "", "classes.0.aim_ms"),
            ('transport = "tcp"', 'transport = "sctp"', "servers.1.transport"),
            ("[limits]", "[limit]", "limit"),
            ('id = "log-2"', 'id = "log-1"', "servers"), ("sockets = 1024", "sockets = 5", "limits.sockets"),
            ("5071", "x", "servers.0.address"), ('tcp = "127.0.0.1:5060"', "", "servers.1.transport"),
        ):  # fmt: skip
            with self.subTest(named), tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
                file.write(text.replace(old, new, 1))
                file.flush()
                with self.assertRaises(config.ConfigError) as caught:
                    load_operator(file.name)
                self.assertIn(named, str(caught.exception))


if __name__ == "__main__":
    unittest.main()
