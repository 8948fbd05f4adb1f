"""Upgrades: a second real program beside the first, on a listening socket that both inherit."""

from __future__ import annotations

import socket
import tempfile

from support import WAIT, Caller, Process, free_port
from test_operation import ControlCase, control_call


class UpgradeCase(ControlCase):
    """The platform's front on an inherited socket, in a folder that is kept."""

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
        second.wait_for("serves at")
        return second


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
