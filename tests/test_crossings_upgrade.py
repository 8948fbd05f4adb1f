"""Upgrades at the instants at which one of the processes goes, stands still, or is itself succeeded."""

from __future__ import annotations

import asyncio
import errno
import logging
import os
import signal
import socket
import tempfile
import time
import unittest
from datetime import timedelta
from pathlib import Path
from types import SimpleNamespace
from typing import Any
from unittest.mock import Mock, patch

from support import WAIT, Caller, Process
from test_crossings_exit import StandIn, StartTest
from test_operation import control_call
from test_upgrade import UpgradeCase
from tornado.ioloop import IOLoop

from mallowquay import service, settings
from mallowquay.assembly.platform import WRITTEN_WITHIN, PlatformAssembly
from mallowquay.core.calls import Calls
from mallowquay.core.decisions import Decisions
from mallowquay.fronts.platform.handover import Handover
from mallowquay.net import accepting
from mallowquay.net.accepting import AcceptingServer
from mallowquay.net.clock import monotonic
from mallowquay.operation import twin as twin_module
from mallowquay.operation.twin import Twin, Wire

ONCE, TWICE, THRICE = "00000000000000a1", "00000000000000a2", "00000000000000a3"
UNANSWERED = "00000000000000b1"


def stand_still(program: Process) -> None:
    """SIGSTOP, until it has taken effect."""
    program.process.send_signal(signal.SIGSTOP)
    end = time.monotonic() + WAIT
    while Path(f"/proc/{program.process.pid}/stat").read_text().rpartition(")")[2].split()[0] != "T":
        if time.monotonic() > end:
            raise AssertionError("it does not stand still")


def go_on(program: Process) -> None:
    program.process.send_signal(signal.SIGCONT)


def in_this_process(case: Any) -> service.Program:
    """A program on the case's listener, within the test's own loop."""
    environment = {**case.environment(), "LB_CONTROL": "", "LB_CONFIG": case.file,
                   "LB_LISTEN": f"127.0.0.1:{case.port}",
                   "LB_SOCKET_FD": str(os.dup(case.held.fileno()))}  # fmt: skip
    return service.Program(settings.of_process([], environment))


class SuccessionCase(UpgradeCase):
    """A process with a standing call, and its successor."""

    def setUp(self) -> None:
        super().setUp()
        self.links = [server.sock for server in self.log_servers]
        self.set_up(ONCE)

    def succeeded(self) -> Process:
        """The successor, once the first process knows that it serves."""
        second = self.succeed()
        self.program.wait_for("successor_serves")
        return second

    def handed_over(self) -> Process:
        second = self.succeeded()
        self.program.terminate()
        self.program.wait_for("successor_has_connections")
        return second

    def accept_links(self) -> None:
        for server in self.log_servers:
            server.accept()

    def use_links(self, links: list[socket.socket | None]) -> None:
        for server, link in zip(self.log_servers, links, strict=True):
            server.sock, server.kept = link, b""


class SuccessorGoneTest(SuccessionCase):
    def test_killed_after_the_handover(self) -> None:
        """Term: a caller who comes is served; what has stood is released, on whatever connection."""
        second = self.handed_over()
        told = time.monotonic()
        second.process.kill()
        self.program.wait_for("twin_gone")
        self.caller = late = Caller(self.port)
        late.send("OPTIONS", "p")
        self.assertEqual(late.read()[""], "SIP/2.0 503 Service Unavailable")  # told to end: it is not ready
        while time.monotonic() < told + 1.6:  # past the times at which those sent away are closed or refused
            time.sleep(0.05)
        self.set_up(TWICE)
        self.log_servers[0].say("down", ONCE, cause=16)  # its connection died with the successor
        self.assertEqual(late.read()["call-id"], ONCE)
        self.succeed()  # a third process meets the first, and succeeds it as ever
        end = time.monotonic() + WAIT
        while self.program.text().count("successor_has_connections") < 2:
            self.assertLess(time.monotonic(), end, self.program.text())
            time.sleep(0.005)
        late.send("OPTIONS", "p")
        self.assertEqual(late.read()[""], "SIP/2.0 200 OK")
        self.log_servers[0].say("down", TWICE, cause=16)  # on the first one's link
        self.assertEqual(late.read()["call-id"], TWICE)
        self.assertEqual(self.program.process.wait(WAIT), 0)
        late.send("OPTIONS", "p")
        self.assertEqual(late.read()[""], "SIP/2.0 200 OK")

    def test_who_waits_in_the_queue_of_the_listener_is_taken(self) -> None:
        """Term: one final answer for each call, in its time, also of a caller whom no process accepts yet."""
        second = self.handed_over()
        stand_still(second)
        waiting = Caller(self.port)
        waiting.invite(TWICE)
        second.process.kill()
        self.assertEqual(self.log_servers[0].read()["ref"], TWICE)
        self.log_servers[0].say("up", TWICE, text="answer")
        self.assertEqual(waiting.read()[""], "SIP/2.0 200 OK")
        for call_id in (ONCE, TWICE):
            self.log_servers[0].say("down", call_id, cause=16)
            self.assertEqual(waiting.read()["call-id"], call_id)
        self.assertEqual(self.program.process.wait(WAIT), 0)  # it owes nothing more: it was told to end

    def test_sigterm_again_while_it_serves_again(self) -> None:
        """Term: a gatekeeper ends after SIGTERM; it sends its callers away before."""
        self.handed_over().process.kill()
        self.program.wait_for("twin_gone")
        late = Caller(self.port)
        late.send("OPTIONS", "p")
        late.read()
        self.program.terminate()
        self.assertEqual(late.sock.recv(1), b"")  # closed between requests, though a call still stands
        self.log_servers[0].say("down", ONCE, cause=16)
        other = Caller(self.port)
        other.send("OPTIONS", "p")
        self.assertEqual({other.read().get("call-id") for _ in range(2)}, {"p", ONCE})
        self.assertEqual(self.program.process.wait(WAIT), 0)

    def test_the_successor_stands_still_and_goes_on(self) -> None:
        """Term: one final answer for each call taken; the two processes count as one."""
        self.caller.invite(UNANSWERED, left=9000)
        self.log_servers[0].read()
        second = self.succeeded()
        stand_still(second)
        self.program.terminate()
        self.program.wait_for("successor_has_connections")
        self.log_servers[0].say("up", UNANSWERED, text="answer")
        self.log_servers[0].say("down", ONCE, cause=16)
        self.log_servers[0].say("down", UNANSWERED, cause=16)
        for _ in range(2):
            self.assertEqual(self.log_servers[0].read()["t"], "ack")
        self.caller.invite(TWICE)  # read by nobody yet
        self.assertEqual(self.program.process.wait(WAIT), 0)  # all has left: what was sent before is read
        go_on(second)
        self.accept_links()
        self.assertEqual(self.log_servers[0].read()["ref"], TWICE)
        answers = [self.caller.read() for _ in range(3)]
        self.assertEqual([(told[""].split()[0], told["call-id"]) for told in answers],
                         [("SIP/2.0", UNANSWERED), ("BYE", ONCE), ("BYE", UNANSWERED)])  # fmt: skip

    def test_the_first_is_killed_while_the_successor_has_yet_to_read_what_it_was_handed(self) -> None:
        """Term: what has stood and is over is released towards its client; its connection lives on."""
        second = self.succeeded()
        stand_still(second)
        self.program.terminate()
        self.program.wait_for("successor_has_connections")
        self.program.process.kill()
        self.program.process.wait(WAIT)
        go_on(second)
        self.accept_links()
        second.wait_for("twin_gone")
        self.assertEqual(control_call(self.second_control, "GET", "/stats")[1]["pending"], 1)
        self.log_servers[0].say("down", ONCE, cause=16)
        self.assertEqual(self.log_servers[0].read()["t"], "ack")
        self.assertEqual(self.caller.read()["call-id"], ONCE)
        self.set_up(TWICE)

    def test_the_first_is_killed_before_it_has_read_that_its_call_is_over(self) -> None:
        """Term: what has stood and is over is released on both sides, whichever process was told."""
        self.set_up(TWICE, dest=1)
        second = self.handed_over()
        self.accept_links()
        stand_still(self.program)
        self.caller.send("BYE", ONCE, "Reason: Q.850;cause=16")
        self.assertEqual(self.caller.read()[""], "SIP/2.0 200 OK")
        self.log_servers[1].say("down", TWICE, cause=16)
        self.assertEqual(self.log_servers[1].read()["t"], "ack")
        self.program.process.kill()
        self.assertEqual(self.log_servers[0].read(), {"t": "down", "ref": ONCE, "f": {}, "c": 16})
        self.assertEqual(self.caller.read()["call-id"], TWICE)
        self.assertEqual(control_call(self.second_control, "GET", "/stats")[1]["pending"], 0)
        self.assertIsNone(second.process.poll())

    def test_sigterm_to_both_at_once(self) -> None:
        """Term: one final answer for each call taken, whichever of the two hears of its end first."""
        self.caller.invite(UNANSWERED, left=9000)
        self.log_servers[0].read()
        second = self.succeeded()
        for program in (self.program, second):
            stand_still(program)
        for program in (second, self.program):
            program.terminate()
            go_on(program)
        for program in (self.program, second):
            program.wait_for("stopping")
        self.log_servers[0].say("up", UNANSWERED, text="answer")
        self.assertEqual(self.caller.read()["call-id"], UNANSWERED)
        for call_id in (ONCE, UNANSWERED):
            self.log_servers[0].say("down", call_id, cause=16)
            self.assertEqual(self.caller.read()["call-id"], call_id)
        self.assertEqual((self.program.process.wait(WAIT), second.process.wait(WAIT)), (0, 0))


class LateTest(SuccessionCase):
    """A process that starts once the one before it has been told to end."""

    def test_it_meets_the_process_that_ends(self) -> None:
        """Term: the processes of an upgrade count as one: ids, releases and callers of the one that ends."""
        self.caller.invite(UNANSWERED, left=9000)
        self.log_servers[0].read()
        self.program.terminate()
        self.program.wait_for("stopping")
        second = self.succeeded()
        self.assertNotIn("no_process_to_succeed", second.text())
        self.program.wait_for("successor_has_connections")
        other = Caller(self.port)
        other.invite(UNANSWERED)
        self.assertTrue(other.read()[""].startswith("SIP/2.0 482"))
        self.log_servers[0].say("up", UNANSWERED, text="answer")
        self.assertEqual(self.caller.read()[""], "SIP/2.0 200 OK")
        for call_id in (ONCE, UNANSWERED):
            self.log_servers[0].say("down", call_id, cause=16)
            self.assertEqual(self.caller.read()["call-id"], call_id)
        self.assertEqual(self.program.process.wait(WAIT), 0)
        self.accept_links()
        for call_id in (ONCE, UNANSWERED):  # told on the next connection, too
            self.log_servers[0].say("down", call_id, cause=16)
            self.assertEqual(self.log_servers[0].read()["t"], "ack")
        self.caller.send("OPTIONS", "p")
        self.assertEqual(self.caller.read()["call-id"], "p")

    def test_the_successor_is_gone_as_the_word_to_end_is_read(self) -> None:
        """Term: the processes of an upgrade count as one, also one in the place of one that was killed."""
        second = self.succeeded()
        stand_still(self.program)
        self.program.terminate()
        second.process.kill()
        second.process.wait(WAIT)
        go_on(self.program)
        self.program.wait_for("stopping")
        self.program.wait_for("twin_gone")
        third = self.succeed()
        self.assertNotIn("no_process_to_succeed", third.text())
        self.assertNotIn("twin_connection_lost", third.text())
        other = Caller(self.port)
        other.invite(ONCE)
        self.assertTrue(other.read()[""].startswith("SIP/2.0 482"))


class ThirdTest(SuccessionCase):
    """A successor that is itself succeeded, while the first process still stays."""

    def pending(self) -> int:
        return control_call(self.second_control, "GET", "/stats")[1]["pending"]

    def test_three_processes(self) -> None:
        """Term: the processes of an upgrade count as one: ids, releases and ends of calls of the first."""
        second = self.handed_over()
        self.accept_links()
        self.set_up(TWICE)
        second_links = [server.sock for server in self.log_servers]
        third = self.succeed()
        self.assertEqual(self.program.process.wait(WAIT), 0, self.program.text())  # its call is the second's
        self.assertIn("successor_takes_calls", self.program.text())
        second.wait_for("successor_serves")
        self.accept_links()
        second.terminate()
        second.wait_for("successor_has_connections")
        other = Caller(self.port)
        other.invite(ONCE)  # an id has one answer, and nobody ends or joins another's call by it
        self.assertTrue(other.read()[""].startswith("SIP/2.0 482"))
        self.set_up(THRICE)
        self.log_servers[0].say("down", ONCE, cause=16)  # on the third one's link
        self.assertEqual(self.log_servers[0].read()["t"], "ack")
        self.assertEqual(self.caller.read()["call-id"], ONCE)  # on the connection of its set-up
        self.caller.send("BYE", TWICE, "Reason: Q.850;cause=16")
        self.assertEqual(self.caller.read()[""], "SIP/2.0 200 OK")
        self.use_links(second_links)
        self.assertEqual(self.log_servers[0].read()["ref"], TWICE)
        self.assertEqual(second.process.wait(WAIT), 0)
        self.assertEqual(self.pending(), 1)
        self.assertIsNone(third.process.poll())

    def test_the_first_has_a_call_unanswered_as_the_third_comes(self) -> None:
        """Term: one final answer for each call taken."""
        self.caller.invite(UNANSWERED, left=9000)
        self.log_servers[0].read()
        second = self.handed_over()
        first_link = self.log_servers[0]
        environment = {**self.environment(), "LB_CONTROL": "", "LB_CONFIG": self.file,
                       "LB_LISTEN": f"127.0.0.1:{self.port}"}  # fmt: skip
        third = Process([], environment, self.descriptors())
        self.addCleanup(third.stop)
        self.program.wait_for("successor_takes_calls")
        first_link.say("up", UNANSWERED, text="answer")
        self.assertEqual(self.caller.read()[""], "SIP/2.0 200 OK")
        self.assertEqual(self.program.process.wait(WAIT), 0)
        second.wait_for("successor_serves")
        second.terminate()
        second.wait_for("successor_has_connections")
        for call_id in (UNANSWERED, ONCE):
            self.caller.send("BYE", call_id)
            self.assertEqual(self.caller.read()[""], "SIP/2.0 200 OK")
        self.assertEqual(second.process.wait(WAIT), 0)  # both were its own, and are over


class TurnTest(unittest.IsolatedAsyncioTestCase):
    """A third process at the door of the second, whose own time to be heard is short here."""

    async def asyncSetUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        loop = IOLoop.current()
        self.first, self.second, self.third = Twin(loop), Twin(loop), Twin(loop)
        self.first.tells = lambda: {"ids": [], "standing": []}
        self.second.tells = lambda: {"ids": [ONCE], "standing": []}
        self.asked, self.answered = asyncio.Event(), asyncio.Event()
        self.first.takes["give"] = lambda told: self.asked.set()
        for twin in (self.first, self.second):
            await twin.meet(folder.name, "x")
            twin.catch_up()
            twin.serve()
        self.folder = folder.name

    async def test_it_waits_for_the_calls_of_the_first_to_be_answered(self) -> None:
        """Term: the processes of an upgrade count as one, whenever the third one comes."""
        with patch.object(twin_module, "MEET_WITHIN", timedelta(milliseconds=100)):
            meeting = asyncio.ensure_future(self.third.meet(self.folder, "x"))
            await asyncio.wait_for(self.asked.wait(), WAIT)
            done, _ = await asyncio.wait([meeting], timeout=0.5)
            self.assertFalse(done, "it went on alone")
            self.first._wire.close()  # type: ignore[union-attr]
            await asyncio.wait_for(meeting, WAIT)
        self.assertEqual(self.third.ids, {ONCE})
        self.assertTrue(self.third.alive and self.second.alive)

    async def test_it_goes_on_alone_in_time_to_be_ready(self) -> None:
        """Term: nine in ten restarted processes are ready within 10 s, whatever they wait for."""
        with patch.object(twin_module, "TURN_WITHIN", timedelta(milliseconds=200)):
            began = time.monotonic()
            await asyncio.wait_for(self.third.meet(self.folder, "x"), WAIT)
        self.assertLess(time.monotonic() - began, twin_module.MEET_WITHIN.total_seconds())
        self.assertFalse(self.third.alive)
        self.assertLess(twin_module.TURN_WITHIN + twin_module.MEET_WITHIN, timedelta(seconds=10))

    async def test_a_fault_of_the_one_that_is_met_ends_the_wait(self) -> None:
        """Term: as before: it goes on, and is met by the next."""
        meeting = asyncio.ensure_future(self.third.meet(self.folder, "x"))
        await asyncio.wait_for(self.asked.wait(), WAIT)
        self.second._listen_no_more()
        await asyncio.wait_for(meeting, WAIT)
        self.assertFalse(self.third.alive)
        self.assertIsNotNone(self.third._listener)


class StandInCase(SuccessionCase):
    """A program, and a stand-in for its successor."""

    def setUp(self) -> None:
        super().setUp()
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self.addCleanup(sock.close)
        self.path = f"{self.folder}/mallowquay-127.0.0.1-{self.port}"
        sock.connect(self.path)
        self.second = StandIn(sock)
        self.second.say("hello")
        self.second.read("state")


class CrossingTest(StandInCase):
    def test_a_release_by_the_log_server_crosses_the_gift_of_its_call(self) -> None:
        """Term: what has stood and is over is released towards its client."""
        self.second.say("serves")
        self.program.wait_for("successor_serves")
        self.program.terminate()
        self.second.read("connection")
        self.second.say("give")
        self.assertEqual(self.second.read("given")["id"], ONCE)
        self.log_servers[0].say("down", ONCE, cause=16)  # before the successor has said that it has the call
        self.assertEqual(self.second.read("release")["id"], ONCE)
        self.assertEqual(self.program.process.wait(WAIT), 0)

    def handed_to_the_stand_in(self) -> int:
        """The key of the caller's connection."""
        self.second.say("serves", hears=True)
        self.program.wait_for("successor_serves")
        self.program.terminate()
        key = self.second.read("connection")["key"]
        self.program.wait_for("successor_has_connections")
        return key

    def test_a_release_that_the_successor_did_not_live_to_carry_out(self) -> None:
        """Term: what has stood and is over is released towards its client, once."""
        self.set_up(TWICE, dest=1)
        self.set_up(THRICE, dest=1)  # keeps the process
        self.handed_to_the_stand_in()
        for call_id, server in ((ONCE, self.log_servers[0]), (TWICE, self.log_servers[1])):
            server.say("down", call_id, cause=16)
            self.assertEqual(self.second.read("release")["id"], call_id)
        self.second.say("heard", id=TWICE)
        self.second.sock.close()
        self.program.wait_for("twin_gone")
        other = Caller(self.port)
        other.send("OPTIONS", "p")
        self.assertEqual([other.read()["call-id"] for _ in range(2)], [ONCE, "p"])
        self.assertTrue(other.silent())

    def test_an_answer_that_the_successor_could_not_write(self) -> None:
        """Term: nothing stands for a caller that has gone; what its caller knows of stands on."""
        calls = ((UNANSWERED, self.log_servers[0]), (TWICE, self.log_servers[1]))
        for number, (call_id, server) in enumerate(calls):
            self.caller.invite(call_id, left=9000, dest=number)
            server.read()
        key = self.handed_to_the_stand_in()
        for call_id, server in calls:
            server.say("up", call_id, text="answer")
            self.assertEqual(self.second.read("write")["id"], call_id)
        self.second.say("heard", id=TWICE)
        self.second.say("closed", key=key)  # it crossed the other answer
        self.assertEqual(self.log_servers[0].read(), {"t": "down", "ref": UNANSWERED, "f": {}, "c": 16})
        self.assertTrue(self.log_servers[1].silent())

    def test_a_log_server_tells_the_one_that_ends_of_a_call_of_the_other(self) -> None:
        """Term: what has stood and is over is released towards its client: its log server tells it once."""
        self.handed_to_the_stand_in()
        self.second.say("taken", id=TWICE)
        self.log_servers[0].say("down", ONCE, cause=16)
        self.second.say("heard", id=self.second.read("release")["id"])
        self.assertEqual(self.log_servers[0].read()["t"], "ack")
        with self.assertRaises(EOFError):  # nothing is owed any more: it ends
            self.log_servers[0].read()
        self.log_servers[0].say("down", TWICE, cause=16)  # before the log server knows
        self.assertEqual(self.second.read("down")["id"], TWICE)
        self.assertEqual(self.program.process.wait(WAIT), 0)

    def test_an_id_that_was_given_up_in_one_comes_again_in_the_other(self) -> None:
        """Term: 300 ms after a cancel before a resend; the two processes count as one."""
        self.second.say("serves")
        self.program.wait_for("successor_serves")
        gone = Caller(self.port)
        gone.invite(TWICE)
        self.log_servers[0].read()
        gone.sock.close()
        self.assertEqual(self.log_servers[0].read()["t"], "down")
        given_up = time.monotonic()
        told = self.second.read("gave_up")
        self.assertEqual(told["id"], TWICE)
        until = told["until"] / 1e6
        self.assertTrue(given_up + 0.2 < until <= given_up + 0.3, until - given_up)
        self.second.say("gave_up", id=THRICE, until=round((until + 0.3) * 1e6))  # and the other way round
        self.second.say("hello")
        self.assertEqual(self.second.read("state")["held_back"][THRICE], round((until + 0.3) * 1e6))
        self.caller.invite(THRICE)
        self.log_servers[0].read()
        self.assertGreaterEqual(time.monotonic(), until + 0.3)

    def test_a_list_that_cannot_be_read_changes_nothing(self) -> None:
        """Term: no bad message takes the process down, and the list of before stands."""
        entry = self.log_servers[0].entry("terminating")
        for index, servers in ((99, [{**entry, "addr": "nowhere"}]), (99, [{**entry, "state": "x"}]), (99, 7),
                               ("x", [entry]), (None, [entry]), (99, [{"id": 1}])):  # fmt: skip
            self.second.say("list", index=index, servers=servers)
        self.second.say("list", servers=[])
        self.second.say("hello")
        state = self.second.read("state")
        self.assertEqual((state["index"], [server["state"] for server in state["servers"]]),
                         (1, ["in_service"] * 2))  # fmt: skip
        self.assertEqual(self.program.text().count("list_of_the_other_unusable"), 7)

    def test_a_successor_is_told_to_end_once_it_has_all(self) -> None:
        """Term: who comes is served: the older one stays for what stands, and takes callers in turn."""
        self.second.say("serves")
        self.program.wait_for("successor_serves")
        self.program.terminate()
        self.program.wait_for("successor_has_connections")
        self.second.say("stops")
        self.caller = Caller(self.port)
        self.set_up(TWICE)
        for call_id in (ONCE, TWICE):
            self.log_servers[0].say("down", call_id, cause=16)
            self.assertEqual(self.log_servers[0].read()["t"], "ack")
        self.assertEqual(self.second.read("release")["id"], ONCE)  # it still carries its connection
        self.assertEqual(self.caller.read()["call-id"], TWICE)
        self.assertEqual(self.program.process.wait(WAIT), 0)

    def test_the_door_closes_as_the_third_waits_at_it(self) -> None:
        """Term: the processes of an upgrade count as one: the third meets the second."""
        environment = {**self.environment(), "LB_CONTROL": "", "LB_CONFIG": self.file,
                       "LB_LISTEN": f"127.0.0.1:{self.port}"}  # fmt: skip
        third = Process([], environment, self.descriptors())
        self.addCleanup(third.stop)
        self.second.read("give")  # it waits at the first one's door
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as door:
            door.bind(f"{self.path}-2")
            door.listen()
            door.settimeout(WAIT)
            os.rename(f"{self.path}-2", self.path)
            self.second.say("serves")
            met = StandIn(door.accept()[0])
            self.addCleanup(met.sock.close)
            met.read("hello")

    def test_a_process_does_not_end_before_its_last_words_have_left(self) -> None:
        """Term: no answer is lost: the last ones are written through the successor."""
        self.caller.invite(UNANSWERED, left=9000)
        self.log_servers[0].read()
        self.second.say("serves")
        self.program.wait_for("successor_serves")
        self.program.terminate()
        self.second.read("connection")
        for _ in range(600):  # more than the socket holds: what is said after it waits in the process
            self.second.say("hello")
        self.log_servers[0].say("up", UNANSWERED, text="answer")
        self.log_servers[0].say("down", UNANSWERED, cause=16)
        self.assertEqual(self.log_servers[0].read()["t"], "ack")
        self.log_servers[0].say("down", ONCE, cause=16)
        self.assertEqual(self.log_servers[0].read()["t"], "ack")
        with self.assertRaises(TimeoutError):
            self.wait(1.2)  # past the time in which it would end by itself
        words = [packet for packet in self.second.rest() if packet["t"] in ("write", "release")]
        told = [(packet["t"], packet["id"]) for packet in words]
        self.assertEqual(told, [("write", UNANSWERED), ("release", UNANSWERED), ("release", ONCE)])
        self.assertEqual(self.program.process.wait(WAIT), 0)

    def wait(self, seconds: float) -> None:
        end = time.monotonic() + seconds
        while self.program.process.poll() is None:
            if time.monotonic() > end:
                raise TimeoutError
            time.sleep(0.02)


class GivenTest(UpgradeCase):
    """A program, and a stand-in for the process before it."""

    begin = StartTest.begin

    def test_word_of_the_end_of_a_call_that_was_given_just_now(self) -> None:
        """Term: what has stood and is over is released towards its client, once, and stands no more."""
        _, first = self.begin()
        told = {"id": ONCE, "server": self.log_servers[0].id, "class": "log-lookup", "uri": "sip:x@y"}
        first.say("state", ids=[ONCE], standing=[told], answered=[], index=0, servers=[], module={})
        first.read("serves")
        caller = Caller(self.port)
        caller.send("OPTIONS", "p")
        caller.read()
        for kind, fields in (("given", told), ("over", {"id": ONCE}),
                             ("release", {"id": ONCE, "uri": "sip:x@y", "cause": 16})):  # fmt: skip
            first.say(kind, **fields)
        self.assertEqual(caller.read()["call-id"], ONCE)
        first.read("over")
        self.assertEqual(self.call("GET", "/stats")[1]["pending"], 0)
        self.assertTrue(caller.silent())


    def test_what_log_servers_had_told_a_process_that_died(self) -> None:
        """Term: what has stood and is over is released; log servers tell it on the next connection, too."""
        _, first = self.begin()
        told = {"server": self.log_servers[0].id, "class": "log-lookup", "uri": "sip:x@y"}
        standing = [{"id": call_id, **told} for call_id in (ONCE, TWICE)]
        first.say("state", ids=[ONCE, TWICE], standing=standing, answered=[], index=0, servers=[], module={})
        first.read("serves")
        caller = Caller(self.port)
        caller.send("OPTIONS", "p")
        caller.read()
        self.log_servers[0].accept()
        lasting = self.log_servers[0].sock
        first.sock.close()
        self.log_servers[0].accept()  # one more; nobody tells anything on the other log server's
        self.log_servers[0].say("down", ONCE, cause=16)
        self.assertEqual(caller.read()["call-id"], ONCE)
        with self.assertRaises(EOFError):  # for a moment only
            self.log_servers[0].read()
        self.log_servers[0].sock, self.log_servers[0].kept = lasting, b""
        self.assertEqual(self.log_servers[0].read(), {"t": "ack", "ref": ONCE, "f": {}})
        self.log_servers[0].say("down", TWICE, cause=16)
        self.assertEqual(caller.read()["call-id"], TWICE)
        self.assertEqual(self.call("GET", "/stats")[1]["pending"], 0)


class UnsentTest(unittest.IsolatedAsyncioTestCase):
    async def test_the_wire_is_looked_at_once_more_when_the_time_to_stay_is_over(self) -> None:
        """Term: no answer is lost at the exit, nor does a successor that never reads hold it."""
        done: Any = SimpleNamespace(settled=lambda: True)
        assembly = PlatformAssembly(SimpleNamespace(loop=IOLoop.current()), None)  # type: ignore[arg-type]
        assembly.front = assembly.servers = done
        for unsent, expected in ((True, False), (False, True)):
            assembly.twin._wire = SimpleNamespace(settled=not unsent)  # type: ignore[assignment]
            self.assertEqual(assembly.settled(monotonic()), expected)
        assembly.twin._wire.settled = False  # type: ignore[union-attr,misc]
        self.assertTrue(assembly.settled(monotonic() - WRITTEN_WITHIN))

    async def test_a_release_that_the_successor_does_not_take_any_more(self) -> None:
        """Term: what has stood and is over is released towards its client."""
        far, near = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        twin, released = Twin(IOLoop.current()), asyncio.Event()
        front: Any = SimpleNamespace(trim=None, send_release=lambda *_: released.set())
        Handover(front, SimpleNamespace(get=lambda call_id: None), twin)  # type: ignore[arg-type]
        twin._wire = Wire(IOLoop.current(), near, twin._take, twin._lost)
        twin.catch_up()
        far.close()  # and this one has not seen it yet
        self.assertFalse(twin.send("release", id=ONCE, uri="sip:x@y", cause=16))
        await asyncio.wait_for(released.wait(), WAIT)

    async def test_a_packet_that_is_half_there(self) -> None:
        """Term: a process outlives the other, in whatever it was saying; no descriptor is kept."""
        far, near = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        heard: list[object] = []
        lost = asyncio.Event()
        wire = Wire(IOLoop.current(), near, lambda packet, descriptors: heard.append(packet), lost.set)
        reading, writing = os.pipe()
        os.set_blocking(reading, False)
        self.addCleanup(os.close, reading)
        socket.send_fds(far, [b'+{"t":"connection"'], [writing])
        os.close(writing)
        far.close()
        await asyncio.wait_for(lost.wait(), WAIT)
        self.assertEqual((heard, wire.alive), ([], False))
        self.assertEqual(os.read(reading, 1), b"")  # its other end is open nowhere


class ColdTurnsTest(UpgradeCase):
    """Which of the two processes uses the turns at cold log servers: never both at once."""

    def setUp(self) -> None:
        super().setUp()
        self.program.stop()
        self.path = f"{self.folder}/mallowquay-127.0.0.1-{self.port}"
        os.unlink(self.path)
        self.order: list[object] = []  # what is said on the wire and what becomes of the turns
        send, order = Twin.send, self.order

        def noted(twin: Twin, kind: str, descriptor: int | None = None, **values: Any) -> bool:
            if kind not in ("connection", "closed"):  # a caller may have come
                order.append(kind)
            return send(twin, kind, descriptor, **values)

        ceding = patch.object(Decisions, "cede_cold", lambda _, ceded: order.append(ceded))
        for patched in (patch.object(Twin, "send", noted), ceding):
            patched.start()
            self.addCleanup(patched.stop)

    async def noted(self, *expected: object) -> None:
        """What has been noted since the last time is this, and comes in this order."""
        async with asyncio.timeout(WAIT):
            while len(self.order) < len(expected):
                await asyncio.sleep(0.005)
        self.assertEqual(tuple(self.order), expected)
        self.order.clear()

    def test_the_older_one(self) -> None:
        """Term: no cold log server is pushed over by the sum of all processes, two of an upgrade included."""
        asyncio.run(self.older())

    async def older(self) -> None:
        program = in_this_process(self)
        await program.start()
        await self.noted(False, "serves")  # alone
        for last in ("stops", "", "serves"):
            second = StandIn(socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET))
            second.sock.connect(self.path)
            second.say("hello")
            await self.noted("state")  # it does not serve yet
            second.say("serves")
            await self.noted(True, "ceded")  # only now may the other one use them
            if last == "stops":
                second.say("stops")  # it has ceded them before this
                await self.noted(False)
            if last != "serves":
                second.sock.close()
                await self.noted(False)
        program.stop()  # SIGTERM: the successor has them already
        second.sock.close()
        await self.noted(False)  # it was killed: this one serves again
        await asyncio.wait_for(program.done.wait(), WAIT)

    def test_the_younger_one(self) -> None:
        """Term: no cold log server is pushed over by the sum of all processes, two of an upgrade included."""
        asyncio.run(self.younger())

    async def younger(self) -> None:
        with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as before:
            before.bind(self.path)
            before.listen()
            before.setblocking(False)
            program = in_this_process(self)
            starting = asyncio.ensure_future(program.start())
            first = StandIn((await asyncio.get_running_loop().sock_accept(before))[0])
        first.say("state", ids=[], standing=[], answered=[], index=1, servers=[], module={})
        await starting
        await self.noted("hello", True, "serves")  # from the first call on it uses none
        first.say("stops")  # the older one is told to end: that says nothing of its turns
        first.say("ceded")
        await self.noted(False)
        program.stop()
        await self.noted(True, "stops")
        first.say("ceded")  # it crossed that word: the older one has them now
        first.say("hello")
        await self.noted("state")
        first.sock.close()
        await self.noted(False)  # nobody else is left
        await asyncio.wait_for(program.done.wait(), WAIT)


class StayTest(SuccessionCase):
    def test_its_time_to_stay_ends(self) -> None:
        """Term: a gatekeeper ends after SIGTERM, in its time, also one that serves again."""
        asyncio.run(self.stay())

    async def stay(self) -> None:
        self.program.stop()
        stays = patch.object(service, "STOP_STAYS", timedelta(seconds=1))
        with stays, patch.object(Calls, "pending", 1):  # something is owed all the time
            program = in_this_process(self)
            await program.start()
            program.heart.calls.unanswered = 1
            program.stop()
            program._serve_again()
            self.assertFalse(program.heart.operation.closing)
            async with asyncio.timeout(WAIT):
                while not program.heart.operation.closing:
                    await asyncio.sleep(0.02)
            assert program.stopped_at is not None
            self.assertGreater(monotonic() - program.stopped_at, timedelta(seconds=1.5))
            program.heart.calls.unanswered = 0
            await asyncio.wait_for(program.done.wait(), WAIT)


del StartTest, UpgradeCase  # their own tests run where they stand

class PausedListenerTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_listener_that_pauses_as_it_is_given_away(self) -> None:
        """Term: idle callers may fill the descriptors: no process listens on less, or on one it gave away."""
        taken: asyncio.Queue[object] = asyncio.Queue()

        class Server(AcceptingServer):
            def handle_stream(self, stream: object, address: object) -> None:
                taken.put_nowait(stream)

        held = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(held.close)
        held.setblocking(False)
        server, full = Server(), OSError(errno.EMFILE, "no descriptor")
        first = held.dup()
        faults: list[object] = []
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: faults.append(context))
        with patch.object(accepting, "ACCEPT_AGAIN", timedelta(0)), \
                self.assertNoLogs("tornado", logging.ERROR):  # fmt: skip
            server.add_sockets([first])
            (acceptor,) = [bound.__self__ for bound in server._handlers.values()]
            acceptor._sock = Mock(wraps=first, accept=Mock(side_effect=full), fileno=first.fileno)
            acceptor._ready(first, IOLoop.READ)
            server.stop()
            for _ in range(4):
                await asyncio.sleep(0)
            server.add_sockets([held.dup()])
            caller = socket.create_connection(held.getsockname())
            self.addCleanup(caller.close)
            stream = await asyncio.wait_for(taken.get(), WAIT)
            server.stop()
            self.assertEqual(len(server._sockets), 0)
        stream.close()
        self.assertEqual(faults, [])


if __name__ == "__main__":
    unittest.main()
