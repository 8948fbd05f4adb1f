"""A start and what crosses it: SIGHUP at each of its instants, and troubles that it must not wait for."""

from __future__ import annotations

import os
import select
import signal
import socket
import subprocess
import sys
import time
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

from support import ROOT, START_WAIT, WAIT, Caller, Process, free_port, platform_file, run_line

from benchmarks.start import READY_NINE_IN_TEN, WAYS, Fleet
from rigs.sip_peers import operators_file, sip_port

# The interpreter that the run line names, and a hook in it: each can hold the start until it is let go.
INTERPRETER = """#!/bin/sh
if [ "$HOLD_AT" = interpreter ]; then echo > "$HOLD/held"; read go < "$HOLD/go"; fi
exec {} "$@"
"""
HOOK = """
import os, sys
event, _, word = os.environ["HOLD_AT"].partition(" ")
held = False
def hold(name, args):
    global held
    if name == event and word in str(args[:2]) and not held:
        held = True
        os.write(os.open(os.environ["HOLD"] + "/held", os.O_WRONLY), b"\\n")
        os.read(os.open(os.environ["HOLD"] + "/go", os.O_RDONLY), 1)
if event != "interpreter":
    sys.addaudithook(hold)
    hold("site", ("",))
"""
# Audit events of the start, in their order, up to the instant after which the loop has the signal.
UNLOADED = ("interpreter", "site", "exec __main__.py")
LOADING = ("import mallowquay.logs", "import structlog", "import mallowquay.service", "import asyncio")
READING = ("open {file}", "socket.__new__", "socket.bind {port}")
COMMANDS = ("import mallowquay.cli", "import click")


class HeldStart(unittest.TestCase):
    """Starts that wait at an instant for the test."""

    def setUp(self) -> None:
        self.folder = self.enterContext(TemporaryDirectory())
        Path(self.folder, "sitecustomize.py").write_text(HOOK)
        self.interpreter = Path(self.folder, "python")
        self.interpreter.write_text(INTERPRETER.format(sys.executable))
        self.interpreter.chmod(0o755)
        self.held, self.go = (self.pipe(name) for name in ("held", "go"))

    def pipe(self, name: str) -> int:
        path = os.path.join(self.folder, name)
        os.mkfifo(path)
        descriptor = os.open(path, os.O_RDWR)  # both ends: to open it waits for nobody
        self.addCleanup(os.close, descriptor)
        return descriptor

    def start(self, at: str, command: list[str], arguments: list[str], **environment: str) -> Process:
        """A process that has come to this instant and waits there."""
        named = {"HOLD_AT": at, "HOLD": self.folder, "PYTHONPATH": self.folder, **environment}
        program = Process(arguments, named, command=command)
        self.addCleanup(program.stop)
        self.assertTrue(select.select([self.held], [], [], START_WAIT)[0], f"{at}: {program.text()}")
        os.read(self.held, 1)
        return program

    def let_go(self) -> None:
        os.write(self.go, b"\n")


class SighupTest(HeldStart):
    def setUp(self) -> None:
        super().setUp()
        self.coordinators = [socket.create_server(("127.0.0.1", 0)) for _ in range(3)]
        for coordinator in self.coordinators:
            self.addCleanup(coordinator.close)
        self.file = os.path.join(self.folder, "config.json")

    def write(self, port: int, coordinator: int) -> None:
        with open(self.file + ".new", "w") as file:
            file.write(platform_file(port, self.coordinators[coordinator].getsockname()))
        os.replace(file.name, self.file)

    def follows(self, program: Process, coordinator: int) -> None:
        """The program comes to this coordinator; one that ends instead is told so."""
        listener = self.coordinators[coordinator]
        end = time.monotonic() + START_WAIT
        while not select.select([listener], [], [], 0.05)[0]:
            self.assertIsNone(program.process.poll(), f"it ended: {program.text()}")
            self.assertLess(time.monotonic(), end, program.text())
        feed, _ = listener.accept()
        self.addCleanup(feed.close)

    def crosses(self, at: str, command: list[str]) -> None:
        port = free_port()
        self.write(port, 0)
        program = self.start(at.format(file=self.file, port=port), command, [], LB_CONFIG=self.file)
        self.write(port, 1)
        program.hang_up()
        self.let_go()
        self.follows(program, 1)  # the file as written last counts
        program.wait_until_serves()
        caller = Caller(port)
        self.addCleanup(caller.sock.close)
        caller.send("OPTIONS", "p", uri="ping")
        self.assertEqual(caller.read()[""], "SIP/2.0 200 OK")
        self.write(port, 2)
        program.hang_up()  # and a later one is carried out
        self.follows(program, 2)
        program.stop()

    def test_of_the_run_line_at_each_instant_of_the_start(self) -> None:
        """Term: a SIGHUP during the start costs no process; the file as written last counts."""
        for at in (*UNLOADED, *LOADING, *READING):
            with self.subTest(at):
                self.crosses(at, run_line(str(self.interpreter)))

    def test_of_a_start_by_hand_from_the_first_import_on(self) -> None:
        """Whoever starts the program without a shell that ignores it has the program's own guard."""
        for at in (*LOADING, *READING):
            with self.subTest(at):
                self.crosses(at, [sys.executable, "-m", "mallowquay"])
        for at in COMMANDS:
            with self.subTest(at):
                self.crosses(at, [sys.executable, "-m", "mallowquay", "serve"])

    def test_the_run_line_is_the_program_and_ignores_no_signal_once_it_serves(self) -> None:
        """One process, without a shell round it; what it ignored for the start is not left ignored."""
        port = free_port()
        self.write(port, 0)
        program = Process([], {"LB_CONFIG": self.file}, command=run_line())
        self.addCleanup(program.stop)
        program.wait_until_serves()
        process = Path(f"/proc/{program.process.pid}")
        self.assertIn(b"\0-m\0mallowquay\0", process.joinpath("cmdline").read_bytes())
        lines = process.joinpath("status").read_text().splitlines()
        masks = {name: int(mask, 16) for name, _, mask in (line.partition(":\t") for line in lines)
                 if name in ("SigIgn", "SigCgt", "SigBlk")}  # fmt: skip
        bit = 1 << signal.SIGHUP - 1
        self.assertEqual([bool(masks[name] & bit) for name in ("SigIgn", "SigCgt", "SigBlk")],
                         [False, True, False])  # fmt: skip

    def test_a_command_that_does_not_serve_ends_by_it(self) -> None:
        """A terminal that closes ends what was started in it; one that was told to go on does."""
        file = operators_file(sip_port(), [(free_port(), "udp")])
        self.addCleanup(os.unlink, file)
        for shell, code in (("", -signal.SIGHUP), ("trap '' HUP; ", 0)):
            with self.subTest(shell):
                command = ["/bin/sh", "-c", f'{shell}exec {sys.executable} -m mallowquay "$@"', "sh"]
                program = self.start(f"open {file}", command, ["check", file])
                program.hang_up()
                self.let_go()
                self.assertEqual(program.process.wait(2 * WAIT), code, program.text())


    def test_of_the_control_plane_once_its_file_is_read(self) -> None:
        """The control service alone: a file written while it starts counts, though one was read before."""
        file = Path(self.folder, "control.toml")
        text = (f'[xds]\nads = "127.0.0.1:{free_port()}"\n'
                '[[classes]]\nname = "a"\naim_ms = 2000\ndeadline_ms = 9000\n')  # fmt: skip
        listed = [f'[[servers]]\nid = "{name}"\naddress = "127.0.0.1:{free_port()}"\n' for name in "st"]
        file.write_text(text + listed[0])
        command = [sys.executable, "-m", "mallowquay"]
        program = self.start("socket.__new__", command, ["control-plane", str(file)])
        file.write_text(text + "".join(listed))
        program.hang_up()
        self.let_go()
        program.wait_until_serves()
        self.assertIn("configuration_taken", program.text())


class PortsTest(unittest.TestCase):
    def test_a_port_that_is_drawn_is_nobody_elses_until_it_is_bound(self) -> None:
        """Tests side by side, each with a folder of its own, are never given one port twice."""
        drawn = [free_port(), free_port()]
        text = """import random, sys
from rigs.process import free_port
ports = list(map(int, sys.argv[1:]))
random.SystemRandom.randrange = lambda self, *span: ports.pop(0)
print(free_port())"""
        folder = self.enterContext(TemporaryDirectory())
        asked = [sys.executable, "-c", text, *map(str, drawn), "0"]
        told = subprocess.run(asked, cwd=ROOT, env={**os.environ, "TMPDIR": folder}, capture_output=True,
                              check=True, timeout=START_WAIT)  # fmt: skip
        self.assertEqual(told.stdout.split(), [b"0"])


class ReadyTest(unittest.TestCase):
    def test_restarted_processes_are_ready_in_time(self) -> None:
        """Term: nine in ten restarted processes are ready within 10 s. In full: benchmarks/start.py."""
        for name in ("silent", "refused", "list"):
            with self.subTest(name):
                way = next(way for way in WAYS if way.name == name)
                took = Fleet(way, count=3, at_once=2).play()
                self.assertEqual([seconds is not None and seconds <= READY_NINE_IN_TEN for seconds in took],
                                 [True] * 3, took)  # fmt: skip


if __name__ == "__main__":
    unittest.main()
