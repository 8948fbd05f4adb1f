"""The end of a process, and a hot restart, at the instants at which something is still owed."""

from __future__ import annotations

import asyncio
import base64
import copy
import json
import os
import signal
import socket
import subprocess
import tempfile
import time
import unittest
from collections import deque
from contextlib import suppress
from datetime import timedelta
from types import SimpleNamespace
from typing import Any
from unittest.mock import patch

from support import WAIT, Caller, Process
from test_platform import PlatformCase
from test_upgrade import UpgradeCase
from tornado.ioloop import IOLoop

from mallowquay import service, settings
from mallowquay.assembly.platform import WRITTEN_WITHIN, PlatformAssembly
from mallowquay.fronts.platform.connection import Connection
from mallowquay.fronts.platform.handover import Handover
from mallowquay.net.clock import monotonic
from mallowquay.operation.twin import Packet, Twin, Wire

ONCE, TWICE = "00000000000000a1", "00000000000000a2"


class StandIn:
    """The other process of a hot restart, by its socket alone."""

    def __init__(self, sock: socket.socket) -> None:
        self.sock = sock
        sock.settimeout(WAIT)

    def say(self, kind: str, **fields: Any) -> None:
        self.sock.send(b"." + json.dumps({"t": kind, **fields}).encode())

    def read(self, kind: str) -> Packet:
        """The next packet of a kind, or of any."""
        while True:
            data, descriptors, _, _ = socket.recv_fds(self.sock, 65537, 4)
            for descriptor in descriptors:
                os.close(descriptor)
            if not data:
                raise EOFError(kind)
            if (packet := json.loads(data[1:]))["t"] == kind or not kind:
                return packet


    def rest(self) -> list[Packet]:
        """All packets until the other process has closed."""
        packets = []
        with suppress(EOFError):
            while True:
                packets.append(self.read(""))
        return packets


class StartTest(UpgradeCase):
    """A process that waits for the word of the one before it."""

    def begin(self) -> tuple[Process, StandIn]:
        self.program.stop()
        path = f"{self.folder}/mallowquay-127.0.0.1-{self.listen_port()}"
        os.unlink(path)
        before = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self.addCleanup(before.close)
        before.bind(path)
        before.listen()
        before.settimeout(WAIT)
        environment = {**self.environment(), "LB_CONFIG": self.file, "LB_LISTEN": f"127.0.0.1:{self.port}"}
        program = Process([], environment, self.descriptors())
        self.addCleanup(program.stop)
        first = StandIn(before.accept()[0])
        self.addCleanup(first.sock.close)
        first.read("hello")  # its loop runs, and it waits
        return program, first

    def test_sigterm_before_it_serves(self) -> None:
        """Term: a gatekeeper ends after SIGTERM, in its time, whatever its start waits for."""
        program, _ = self.begin()
        program.terminate()
        self.assertEqual(program.process.wait(WAIT), 0, program.text())
        self.assertNotIn("serving", program.text())

    def test_the_end_of_a_call_ahead_of_the_word_that_it_was_taken(self) -> None:
        """Term: no attempt begins for a caller that cancelled over 0.1 s ago, in either process."""
        _, first = self.begin()
        first.say("state", ids=[], standing=[], answered=[], index=0, servers=[], module={})
        first.read("serves")
        caller = Caller(self.port)
        for method, word in (("CANCEL", "cancel"), ("BYE", "bye")):
            caller.send(method, ONCE)
            caller.read()
            self.assertEqual(first.read(word)["id"], ONCE)
        first.say("cancel", id=ONCE)  # what is unknown to both is not sent back and forth
        first.say("bye", id=ONCE, cause=16)
        for method, word in (("CANCEL", "cancel"), ("BYE", "bye")):
            caller.send(method, TWICE)
            self.assertEqual(first.read(word)["id"], TWICE)

    def test_sighup_before_it_serves(self) -> None:
        """Term: a new file at SIGHUP is taken whole, also one that comes during the start."""
        program, first = self.begin()
        with open(self.file, "w") as file:
            self.document = copy.deepcopy(self.document)  # settings are shared with all other tests
            self.document["settings"]["services"][1]["name"] = "log-new"
            json.dump(self.document, file)
        program.hang_up()
        for _ in range(2):  # by the second answer the signal was heard
            first.say("hello")
            first.read("state")
        first.sock.close()
        program.wait_for("configuration_taken")
        caller = Caller(self.port)
        for server in self.log_servers:
            server.accept()
        caller.invite(ONCE, kind="log-new")
        self.assertEqual(self.log_servers[0].read()["f"]["class"], "log-new")
        self.assertEqual(program.text().count("configuration_taken"), 1)


    def test_a_release_that_crosses_the_close_of_a_connection_handed_over(self) -> None:
        """Term: what has stood and is over is released towards its client, on whatever connection."""
        _, first = self.begin()
        first.say("state", ids=[], standing=[], answered=[], index=0, servers=[], module={})
        first.read("serves")
        with socket.create_server(("127.0.0.1", 0)) as listener:
            caller = socket.create_connection(listener.getsockname())
            handed = listener.accept()[0]
        told = {"t": "connection", "key": 1, "rest": "", "open": [], "spoke": True, "bad": 0, "waiting": None}
        socket.send_fds(first.sock, [b"." + json.dumps(told).encode()], [handed.fileno()])
        handed.close()
        other = Caller(self.port)
        other.send("OPTIONS", "p")
        self.assertEqual(other.read()[""], "SIP/2.0 200 OK")
        caller.close()
        first.read("closed")
        bye = f"BYE sip:x@y SIP/2.0\r\nCall-ID: {ONCE}\r\nReason: Q.850;cause=41\r\nContent-Length: 0\r\n\r\n"
        first.say("write", key=1, data=base64.b64encode(bye.encode()).decode())  # written before it knew
        release = other.read()
        self.assertEqual((release["call-id"], release["reason"]), (ONCE, "Q.850;cause=41"))

    def test_the_state_of_another_version(self) -> None:
        """Term: a restarted process is ready in time, whatever the one before tells it."""
        for servers, module in (({}, {}), ([], {"own": {}, "servers": {}}), ([{"id": 1}], None)):
            program, first = self.begin()
            first.say("state", ids=[], standing=[], answered=[], index=9, servers=servers, module=module)
            first.read("serves")
            program.wait_for("before_unusable")
            self.program = program


class HandoverTest(UpgradeCase):
    """A program, and a stand-in for its successor."""

    def setUp(self) -> None:
        super().setUp()
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self.addCleanup(sock.close)
        sock.connect(f"{self.folder}/mallowquay-127.0.0.1-{self.listen_port()}")
        self.second = StandIn(sock)
        self.second.say("hello")
        self.second.read("state")

    def test_a_successor_that_serves_after_the_sigterm(self) -> None:
        """Term: both processes of an upgrade count as one; the old one ends once nothing is owed."""
        self.set_up(ONCE)
        self.program.terminate()
        self.program.wait_for("stopping")
        self.second.say("serves")
        handed = self.second.read("connection")
        self.assertEqual(handed["open"], [ONCE])
        self.log_servers[0].say("down", ONCE, cause=16)
        release = self.second.read("release")  # goes through the successor, on the connection of its set-up
        self.assertEqual((release["id"], release["key"]), (ONCE, handed["key"]))
        self.assertEqual(self.program.process.wait(WAIT), 0)

    def test_a_successor_that_ends_is_handed_nothing(self) -> None:
        """Term: one final answer for each call taken, also when both processes end."""
        self.caller.invite(ONCE)
        self.log_servers[0].read()
        for kind in ("serves", "stops", "hello"):
            self.second.say(kind)
        self.second.read("state")  # it has taken all three
        self.program.terminate()
        self.program.wait_for("stopping")
        self.log_servers[0].say("up", ONCE, text="answer")
        self.assertEqual(self.caller.read()[""], "SIP/2.0 200 OK")
        self.log_servers[0].say("down", ONCE, cause=16)
        self.assertEqual(self.caller.read()["call-id"], ONCE)
        self.assertEqual(self.program.process.wait(WAIT), 0)


    def test_a_successor_that_dies_as_it_is_handed_connections(self) -> None:
        """Term: who comes up to 0.4 s after SIGTERM is answered; the listener is left to no one."""
        self.set_up(ONCE)
        self.second.say("serves")
        self.program.wait_for("successor_serves")
        self.program.terminate()
        self.second.read("connection")
        self.second.sock.close()
        late = Caller(self.port)
        late.send("OPTIONS", "p")
        self.assertEqual(late.read()[""], "SIP/2.0 503 Service Unavailable")
        self.log_servers[0].say("down", ONCE, cause=16)  # its caller's connection died with the successor
        self.assertEqual(late.read()["call-id"], ONCE)
        self.assertEqual(self.program.process.wait(WAIT), 0)

    def test_a_caller_leaves_its_new_process_while_the_old_one_waits_to_send_again(self) -> None:
        """Term: no attempt begins more than 0.1 s after its caller closed or cancelled, in either process."""
        self.caller.invite(ONCE)
        self.caller.invite("00000000000000a2", dest=1)
        self.second.say("serves")
        self.program.wait_for("successor_serves")
        for server in self.log_servers:
            server.read()
        self.program.terminate()
        key = self.second.read("connection")["key"]
        for server, call_id in zip(self.log_servers, (ONCE, "00000000000000a2"), strict=True):
            server.say("down", call_id, cause=41)  # it may have run: the next attempt is 300 ms away
            server.say("up", "f" * 16, text="of no call")
            self.assertEqual(server.read()["ref"], "f" * 16)  # what was said before is known, too
        self.second.say("cancel", id=ONCE)
        self.second.read("write")  # 487
        self.second.say("closed", key=key)
        self.assertEqual(self.program.process.wait(WAIT), 0)
        for server in self.log_servers:
            with self.assertRaises(EOFError):
                self.assertIsNone(server.read())


class BothEndTest(UpgradeCase):
    def test_sigterm_to_both(self) -> None:
        """Term: one final answer for each call taken: the one before answers through its successor."""
        self.caller.invite(ONCE, left=9000)
        self.log_servers[0].read()
        second = self.succeed()
        self.program.wait_for("successor_serves")
        self.program.terminate()
        self.program.wait_for("successor_takes_connections")
        status = ""
        while status != "SIP/2.0 200 OK":  # the first one is not ready any more, the second one is
            self.caller.send("OPTIONS", "p")
            status = self.caller.read()[""]
        second.terminate()
        with self.assertRaises(subprocess.TimeoutExpired):
            second.process.wait(1.0)  # past the time in which it would end by itself
        self.log_servers[0].say("up", ONCE, text="answer")
        self.assertEqual(self.caller.read()[""], "SIP/2.0 200 OK")
        self.log_servers[0].say("down", ONCE, cause=16)
        self.assertEqual(self.caller.read()["call-id"], ONCE)
        self.assertEqual((self.program.process.wait(WAIT), second.process.wait(WAIT)), (0, 0))


class WireEndTest(unittest.IsolatedAsyncioTestCase):
    """The socket between the two when one of them goes."""

    def setUp(self) -> None:
        self.far, near = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self.addCleanup(self.far.close)
        self.near, self.heard = near, list[str]()

    async def asyncSetUp(self) -> None:
        self.lost = asyncio.Event()
        take = lambda packet, descriptors: self.heard.append(packet["t"])  # noqa: E731
        self.wire = Wire(IOLoop.current(), self.near, take, self.lost.set)

    async def test_what_it_sent_before_it_went_is_read(self) -> None:
        """Term: no answer is lost: the last ones are written through the successor."""
        for unread, late in ((True, False), (False, True), (True, True)):
            with self.subTest(unread=unread, late=late):
                self.heard.clear()
                if unread:  # it goes with word of this one unread, so this one is told of a reset
                    self.wire.send({"t": "taken"})
                for kind in ("connection", "write"):
                    StandIn(self.far).say(kind)
                self.far.close()
                if late:  # this one speaks before it reads
                    self.assertFalse(self.wire.send({"t": "taken"}))
                await asyncio.wait_for(self.lost.wait(), WAIT)
                self.assertEqual(self.heard, ["connection", "write"])
                self.setUp()
                await self.asyncSetUp()

    async def test_a_crowd_of_descriptors_under_way_ends_no_upgrade(self) -> None:
        """Term: the two processes count as one; the system bounds descriptors that no one has read yet."""
        fault = OSError(109, "Too many references")
        with patch("mallowquay.operation.twin.socket.send_fds", side_effect=fault):
            self.assertTrue(self.wire.send({"t": "connection"}, self.far.fileno()))
        self.assertFalse(self.wire.settled)
        read = asyncio.get_running_loop().run_in_executor(None, socket.recv_fds, self.far, 100, 4)
        _, descriptors, _, _ = await asyncio.wait_for(read, WAIT)
        os.close(descriptors[0])
        self.assertTrue(self.wire.settled and self.wire.alive)

    async def test_no_descriptor_is_left(self) -> None:
        """Term: nobody works for a caller that is gone, and no connection is lost with its calls unknown."""
        with patch("mallowquay.operation.twin.os.dup", side_effect=OSError(24, "Too many open files")):
            self.assertFalse(self.wire.send({"t": "connection"}, 0))
        twin = Twin(IOLoop.current())
        twin._wire = self.wire
        twin._take({"t": "connection", "key": 7}, [])  # the receiver's side: the system dropped it
        self.assertEqual(StandIn(self.far).read("closed")["key"], 7)

    def test_a_connection_stays_until_the_successor_can_have_it(self) -> None:
        """Term: one final answer for each call taken."""
        stream: Any = SimpleNamespace(reading=lambda: True, writing=lambda: False, closed=lambda: False,
                                      socket=self.far, close=self.far.close)  # fmt: skip
        connection = Connection(stream, timedelta(0))
        connection.reading, connection.unanswered = True, {ONCE}
        front: Any = SimpleNamespace(connections={connection: None}, trim=lambda: None)
        for settled, sent in ((False, True), (True, False)):
            twin: Any = SimpleNamespace(takes={}, settled=settled, send=lambda *_, sent=sent, **__: sent)
            Handover(front, SimpleNamespace(), twin)._hand(connection)  # type: ignore[arg-type]
            self.assertEqual((connection.handed, list(front.connections)), (None, [connection]))

    def test_word_between_the_state_and_the_front(self) -> None:
        """Term: an id has one answer, in both processes."""
        heard: deque[Packet] = deque()
        twin = Twin(SimpleNamespace())  # type: ignore[arg-type]
        twin._take({"t": "answered", "ids": [ONCE]}, [])
        twin.takes["answered"] = heard.append
        twin.catch_up()
        self.assertEqual([told["ids"] for told in heard], [[ONCE]])


class BoundTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_peer_that_never_reads_does_not_hold_the_exit(self) -> None:
        """Term: a gatekeeper ends after SIGTERM, in its time."""
        never: Any = SimpleNamespace(settled=lambda: False)
        assembly = PlatformAssembly(SimpleNamespace(loop=IOLoop.current()), None)  # type: ignore[arg-type]
        assembly.front = assembly.servers = never
        for handing in (None, asyncio.get_running_loop().create_future()):
            assembly._handing, assembly.twin.succeeded = handing, handing is not None
            self.assertFalse(assembly.settled(monotonic() - WRITTEN_WITHIN + timedelta(seconds=1)))
            self.assertTrue(assembly.settled(monotonic() - WRITTEN_WITHIN))


class LastTurnTest(PlatformCase):
    def test_nothing_is_taken_after_the_last_look(self) -> None:
        """Term: one final answer for each call taken: none is taken that nobody is left to answer."""
        asyncio.run(self.end_as_a_set_up_comes())

    async def end_as_a_set_up_comes(self) -> None:
        self.program.stop()
        config = settings.of_process([], {"LB_CONFIG": self.file, "LB_LISTEN": f"127.0.0.1:{self.port}"})
        program = service.Program(config)
        await program.start()
        front = program.assemblies[0].front  # type: ignore[attr-defined]
        caller = await asyncio.to_thread(Caller, self.port)
        caller.send("OPTIONS", "p")
        self.assertEqual((await asyncio.to_thread(caller.read))[""], "SIP/2.0 200 OK")

        def looked() -> bool:
            caller.invite(ONCE)
            return True

        with patch.object(service, "STOP_ACCEPTS", timedelta(0)), patch.object(front, "settled", looked):
            program.stop()
            await asyncio.wait_for(program.done.wait(), WAIT)
        for _ in range(20):  # more turns than a read takes
            await asyncio.sleep(0)
        self.assertEqual(program.heart.calls.figures.attempts + program.heart.calls.pending, 0)


class SignalTest(PlatformCase):
    def setUp(self) -> None:
        with tempfile.NamedTemporaryFile("w", suffix=".py", delete=False) as file:
            file.write("import os, signal, sys\nsys.path.insert(0, os.getcwd())\n"
                       "from mallowquay.service import run\ncode = run([])\n"
                       "for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):\n"
                       "    os.kill(os.getpid(), number)\nsys.exit(code)\n")  # fmt: skip
        self.addCleanup(os.unlink, file.name)
        self.program_file = file.name
        super().setUp()

    def test_signals_while_it_ends_and_once_it_has_ended(self) -> None:
        """Term: one final answer for each call taken; what ends after SIGTERM has not crashed."""
        self.caller.invite(ONCE)
        self.log_servers[0].read()
        for number in (signal.SIGTERM, signal.SIGHUP, signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            self.program.process.send_signal(number)
        self.program.wait_for("configuration_taken")
        with open(self.file, "w") as file:
            file.write("{")
        self.program.hang_up()
        self.program.wait_for("configuration_not_taken")
        self.log_servers[0].say("up", ONCE, text="answer")
        self.assertEqual(self.caller.read()[""], "SIP/2.0 200 OK")
        self.log_servers[0].say("down", ONCE, cause=16)
        self.assertEqual(self.caller.read()["call-id"], ONCE)
        self.assertEqual(self.program.process.wait(WAIT), 0)

    def test_a_process_that_stood_still_takes_what_came_meanwhile(self) -> None:
        """Term: requests that come up to 0.7 s after SIGTERM are owed their answer."""
        self.caller.send("OPTIONS", "p")
        self.caller.read()
        self.program.terminate()
        self.program.wait_for("stopping")
        self.program.process.send_signal(signal.SIGSTOP)
        stopped = time.monotonic()
        self.caller.invite(ONCE)
        other = Caller(self.port)  # in the listener's queue
        other.invite("00000000000000a2")
        while time.monotonic() < stopped + 3.0:  # past the last look, and past every bound
            time.sleep(0.05)
        self.program.process.send_signal(signal.SIGCONT)
        for caller, call_id in ((self.caller, ONCE), (other, "00000000000000a2")):
            self.assertEqual(caller.read()["call-id"], call_id)  # by now it is sent elsewhere
        self.assertEqual(self.program.process.wait(WAIT), 0)


del UpgradeCase, PlatformCase  # their own tests run where they stand

if __name__ == "__main__":
    unittest.main()
