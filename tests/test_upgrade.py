"""Upgrades: a second real program beside the first, on a listening socket that both inherit."""

from __future__ import annotations

import json
import os
import select
import signal
import socket
import tempfile
import time
from pathlib import Path

from support import WAIT, Caller, Process, SpeakingLogServer, free_port
from test_operation import ControlCase, control_call


class UpgradeCase(ControlCase):
    """The platform's front on an inherited socket, in a folder that is kept."""

    stand_in = SpeakingLogServer  # a second process starts beside connections that are to last

    def setUp(self) -> None:
        self.held = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.held.close)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        super().setUp()

    def listen_port(self) -> int:
        return self.held.getsockname()[1]

    def descriptors(self) -> tuple[int, ...]:
        return (self.held.fileno(),)

    def environment(self) -> dict[str, str]:
        shared = {"LB_SOCKET_FD": str(self.held.fileno()), "TMPDIR": self.folder}
        return {**super().environment(), **shared}

    def succeed(self) -> Process:
        """Start the second process; it is ready, and follows the feed, when this returns."""
        self.second_control = free_port()
        environment = {**self.environment(), "LB_CONTROL": f"127.0.0.1:{self.second_control}",
                       "LB_CONFIG": self.file, "LB_LISTEN": f"127.0.0.1:{self.port}"}  # fmt: skip
        second = Process([], environment, self.descriptors())
        self.addCleanup(second.stop)
        second.wait_until_serves()
        return second


class SuccessionTest(UpgradeCase):
    def setUp(self) -> None:
        super().setUp()
        self.first_links = [server.sock for server in self.log_servers]

    def upgrade(self) -> Process:
        """A successor that serves, and whose links the log servers' stand-ins use from here on."""
        second = self.succeed()
        self.program.wait_for("successor_serves")
        self.heard = [server.kept for server in self.log_servers]
        for server in self.log_servers:
            server.accept()
        return second

    def feed_that_lives(self) -> socket.socket:
        """The newest connection to the coordinator that is open: the first process may have come again."""
        open_ = []
        while select.select([self.coordinator], [], [], 0)[0]:
            feed, _ = self.coordinator.accept()
            self.addCleanup(feed.close)
            feed.recv(8)
            if not select.select([feed], [], [], 0)[0]:
                open_.append(feed)
        return open_[-1]

    def on_first_link(self) -> None:
        """Log server 0 speaks on its connection to the first process again."""
        self.log_servers[0].sock, self.log_servers[0].kept = self.first_links[0], b""

    def test_connections_go_over_with_what_is_open_on_them(self) -> None:
        self.set_up("00000000000000a1")
        other = Caller(self.port)
        other.invite("00000000000000a2", left=9000)
        self.log_servers[0].read()
        half = Caller(self.port)
        whole = b"OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: w\r\nContent-Length: 0\r\n\r\n"
        half.sock.sendall(whole)
        self.assertEqual(half.read()["call-id"], "w")  # the first process has it
        self.upgrade()  # which may take longer than a message may
        half.sock.sendall(whole + b"OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: ")
        self.assertEqual(half.read()["call-id"], "w")  # so the half behind it has been read there
        self.program.terminate()
        self.program.wait_for("successor_takes_connections")
        half.sock.sendall(b"x\r\nContent-Length: 0\r\n\r\n")  # begun in one process, whole in the other
        self.assertEqual(half.read()[""], "SIP/2.0 200 OK")
        half.invite("00000000000000a3")  # a new call is the successor's
        self.assertEqual(self.log_servers[0].read()["ref"], "00000000000000a3")
        self.log_servers[0].say("up", "00000000000000a3", text="answer")
        self.assertEqual(half.read()[""], "SIP/2.0 200 OK")
        other.invite("00000000000000a2", left=9000)  # a copy is silent; an id of the other is refused
        half.invite("00000000000000a1")
        self.assertTrue(half.read()[""].startswith("SIP/2.0 482"))
        self.assertTrue(self.log_servers[0].silent())
        self.on_first_link()  # the process before answers what it took, on the connection that it gave away
        self.log_servers[0].say("up", "00000000000000a2", text="answer")
        self.assertEqual(other.read()[""], "SIP/2.0 200 OK")
        self.log_servers[0].say("down", "00000000000000a1", cause=16)
        self.assertEqual(self.caller.read()["call-id"], "00000000000000a1")
        other.send("BYE", "00000000000000a2", "Reason: Q.850;cause=16")  # reaches the other process
        self.assertEqual(other.read()[""], "SIP/2.0 200 OK")
        self.assertEqual(self.log_servers[0].read()["ref"], "00000000000000a1")  # its release was heard
        self.assertEqual(self.log_servers[0].read(),
                         {"t": "down", "ref": "00000000000000a2", "f": {}, "c": 16})  # fmt: skip
        self.assertEqual(self.program.process.wait(WAIT), 0)  # nothing is open there any more
        for caller in (self.caller, other, half):
            caller.send("OPTIONS", "p")
            self.assertEqual(caller.read()[""], "SIP/2.0 200 OK")

    def test_a_release_that_is_told_again_on_the_successor_s_connection(self) -> None:
        """Term: a call is released once towards its caller; the two processes count as one."""
        for call_id in ("00000000000000e1", "00000000000000e2"):
            self.set_up(call_id)
        self.log_servers[0].say("down", "00000000000000e1", cause=16)
        self.assertEqual(self.caller.read()["call-id"], "00000000000000e1")
        self.caller.send("BYE", "00000000000000e2")  # ended from the other side, and told there all the same
        self.assertEqual(self.caller.read()[""], "SIP/2.0 200 OK")
        self.upgrade()
        self.program.terminate()
        self.program.wait_for("successor_has_connections")
        for call_id in ("00000000000000e1", "00000000000000e2"):
            self.log_servers[0].say("down", call_id, cause=16)
            self.assertEqual(self.log_servers[0].read(), {"t": "ack", "ref": call_id, "f": {}})
        self.caller.send("OPTIONS", "p")
        self.assertEqual(self.caller.read()["call-id"], "p")  # and nothing before

    def test_a_release_and_a_cancel_reach_the_process_that_holds_the_call(self) -> None:
        self.set_up("00000000000000b1")
        self.caller.invite("00000000000000b2", left=9000)
        self.log_servers[0].read()
        self.upgrade()
        self.program.terminate()
        self.program.wait_for("successor_takes_connections")
        self.log_servers[0].say("down", "00000000000000b1", cause=16)  # on the successor's link
        self.assertEqual(self.log_servers[0].read()["t"], "ack")
        self.assertEqual(self.caller.read()["call-id"], "00000000000000b1")
        self.caller.send("CANCEL", "00000000000000b2")
        answers = sorted(self.caller.read()[""] for _ in range(2))
        self.assertEqual(answers, ["SIP/2.0 200 OK", "SIP/2.0 487 Request Terminated"])
        self.on_first_link()
        self.assertEqual(self.log_servers[0].read(),
                         {"t": "down", "ref": "00000000000000b2", "f": {}, "c": 16})  # fmt: skip

    def test_a_caller_that_leaves_the_successor_ends_its_call_in_the_other(self) -> None:
        self.caller.invite("00000000000000c1", left=9000)
        self.log_servers[0].read()
        self.upgrade()
        self.program.terminate()
        self.program.wait_for("successor_takes_connections")
        self.caller.sock.close()
        self.on_first_link()
        self.assertEqual(self.log_servers[0].read(),
                         {"t": "down", "ref": "00000000000000c1", "f": {}, "c": 16})  # fmt: skip
        self.assertEqual(self.program.process.wait(WAIT), 0)

    def test_the_first_is_killed_and_the_successor_serves_on(self) -> None:
        """Promise: whoever the successor was given lives on, though the first is killed at once."""
        self.first_killed(unread=False)

    def test_the_first_is_killed_with_what_it_gave_unread(self) -> None:
        """The same with the connection on its way: the successor is stopped until after the kill."""
        self.first_killed(unread=True)

    def first_killed(self, unread: bool) -> None:
        self.set_up("00000000000000d1")
        self.set_up("00000000000000d3", dest=1)
        second = self.upgrade()
        if unread:
            self.addCleanup(second.process.send_signal, signal.SIGCONT)
            second.process.send_signal(signal.SIGSTOP)
        self.program.terminate()
        self.program.wait_for("successor_has_connections")  # a kill before closes what was not given yet
        self.assertIsNone(self.program.process.poll())  # it stays while its call stands
        self.program.process.kill()
        if unread:
            self.program.process.wait(WAIT)
            second.process.send_signal(signal.SIGCONT)
        second.wait_for("twin_gone")
        self.feed = self.feed_that_lives()
        self.assertEqual(control_call(self.second_control, "GET", "/stats")[1]["pending"], 2)
        self.tell(self.log_servers[1], 2)  # what stood there is cut, whoever set it up
        bye = self.caller.read()
        self.assertEqual((bye["call-id"], bye["reason"]), ("00000000000000d3", "Q.850;cause=41"))
        self.set_up("00000000000000d2")
        self.log_servers[0].say("down", "00000000000000d1", cause=16)
        self.assertEqual(self.log_servers[0].read()["t"], "ack")
        self.assertEqual(self.caller.read()["call-id"], "00000000000000d1")
        self.caller.send("BYE", "00000000000000d2")
        self.assertEqual(self.caller.read()[""], "SIP/2.0 200 OK")
        third = self.succeed()  # a further upgrade finds it
        second.wait_for("successor_serves")
        self.assertIsNone(third.process.poll())

    def test_the_successor_is_killed_and_the_first_serves_on(self) -> None:
        second = self.succeed()
        self.program.wait_for("successor_serves")
        second.process.kill()
        self.program.wait_for("twin_gone")
        caller = Caller(self.port)
        caller.send("OPTIONS", "p")
        self.assertEqual(caller.read()[""], "SIP/2.0 200 OK")
        self.program.terminate()
        self.assertEqual(self.program.process.wait(WAIT), 0)

    def test_a_release_of_a_process_before_that_both_are_told(self) -> None:
        """Term: a call is released once towards its caller, also one that neither of the two took."""
        self.set_up("00000000000000e4")  # its connection has spoken
        self.upgrade()
        links = [server.sock for server in self.log_servers]
        self.on_first_link()
        self.log_servers[0].say("down", "00000000000000e3", cause=16)
        self.assertEqual(self.caller.read()["call-id"], "00000000000000e3")
        self.program.terminate()
        self.program.wait_for("successor_has_connections")
        self.log_servers[0].sock, self.log_servers[0].kept = links[0], b""
        self.log_servers[0].say("down", "00000000000000e3", cause=16)
        self.assertEqual(self.log_servers[0].read()["t"], "ack")
        self.caller.send("OPTIONS", "p")
        self.assertEqual(self.caller.read()["call-id"], "p")  # and nothing before

    def test_an_id_that_was_given_up_before_the_successor_came(self) -> None:
        """Term: 300 ms after a cancel before a resend; the two processes count as one."""
        document = json.loads(Path(self.file).read_text())
        document["settings"]["extra"]["release"] = 5_000_000  # longer than the successor's start
        Path(self.file).write_text(json.dumps(document))
        self.program.hang_up()
        self.program.wait_for("configuration_taken")
        gone = Caller(self.port)
        gone.invite("00000000000000f4", left=9000)
        self.log_servers[0].read()
        gone.sock.close()
        self.assertEqual(self.log_servers[0].read()["t"], "down")
        given_up = time.monotonic()
        self.upgrade()
        self.program.terminate()
        self.program.wait_for("successor_has_connections")
        other = Caller(self.port)
        other.invite("00000000000000f4", left=9000)
        self.log_servers[0].sock.settimeout(2 * WAIT)
        self.assertEqual(self.log_servers[0].read()["ref"], "00000000000000f4")
        self.assertGreater(time.monotonic(), given_up + 4.9)

    def wait_for_unavailable(self, control: int) -> None:
        """Until the process with this second address counts a log server as none to send to."""
        end = time.monotonic() + WAIT
        while control_call(control, "GET", "/stats")[1]["members_unavailable"] != 1:
            self.assertLess(time.monotonic(), end, "it does not know the list")
            time.sleep(0.01)

    def test_what_the_list_tells_one_of_the_two_is_known_to_both(self) -> None:
        """Term: nothing new to a server 500 ms after its drain was told; the two processes count as one."""
        self.succeed()
        self.program.wait_for("successor_serves")
        first, self.feed = self.feed, self.feed_that_lives()
        self.tell(self.log_servers[0], 1)  # the first one's feed says nothing of it
        self.wait_for_unavailable(self.control)
        self.assertFalse(select.select([first], [], [], 0)[0])  # nor has it asked anew
        self.caller.invite("00000000000000f2", dest=0)
        self.assertEqual(self.log_servers[1].read()["ref"], "00000000000000f2")

    def test_a_list_that_only_the_successor_s_file_holds_is_known_to_both(self) -> None:
        """Term: nothing new to a server 500 ms after its drain was told; the two processes count as one."""
        known = self.document["known"]
        known["index"] += 1
        known["updates"][0]["endpoints"]["servers"][0] = self.log_servers[0].entry("terminating")
        Path(self.file).write_text(json.dumps(self.document))
        self.succeed()
        self.wait_for_unavailable(self.control)
        self.tell(self.log_servers[1], 0)  # an event with the number that the file has: passed over
        self.caller.invite("00000000000000f3", dest=0)
        self.assertEqual(self.log_servers[1].read()["ref"], "00000000000000f3")

    def test_the_successor_knows_the_list_that_was_told_last(self) -> None:
        self.tell(self.log_servers[0], 2)
        self.caller.invite("00000000000000f1", dest=0)  # told by now: it goes elsewhere
        self.assertEqual(self.log_servers[1].read()["ref"], "00000000000000f1")
        self.succeed()
        self.program.wait_for("successor_serves")
        feed, _ = self.coordinator.accept()
        self.assertEqual(int.from_bytes(feed.recv(8), "big"), self.index)
        self.assertEqual(control_call(self.second_control, "GET", "/stats")[1]["members"], 1)


class StaleFileTest(UpgradeCase):
    def environment(self) -> dict[str, str]:
        name = f"{self.folder}/mallowquay-127.0.0.1-{self.listen_port()}"
        if not os.path.lexists(name):
            with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as dead:
                dead.bind(name)
        return super().environment()

    def test_a_stale_file_does_not_hinder(self) -> None:
        self.succeed()
        self.program.wait_for("successor_serves")


class InheritedSocketTest(UpgradeCase):
    def test_a_second_process_serves_beside_the_first(self) -> None:
        self.succeed()
        self.assertEqual(control_call(self.second_control, "GET", "/healthcheck")[0], 200)
        self.program.terminate()
        self.assertEqual(self.program.process.wait(WAIT), 0)
        caller = Caller(self.port)
        caller.send("OPTIONS", "p")
        self.assertEqual(caller.read()[""], "SIP/2.0 200 OK")

    def test_a_descriptor_that_is_no_such_socket_is_named(self) -> None:
        with socket.socket() as idle, socket.create_server(("127.0.0.1", 0)) as other:
            for number, said in ((idle.fileno(), "does not listen"), (other.fileno(), "listens at"),
                                 (99, "Bad file descriptor"), ("x", "number of a descriptor")):  # fmt: skip
                environment = {**self.environment(), "LB_CONFIG": self.file, "LB_SOCKET_FD": str(number)}
                program = Process([], environment, (idle.fileno(), other.fileno()))
                self.addCleanup(program.stop)
                self.assertEqual(program.process.wait(WAIT), 2)
                self.assertIn("LB_SOCKET_FD", program.text())
                self.assertIn(said, program.text())
