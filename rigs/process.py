"""The real program as a process, for tests and rigs. Whoever starts one ends it by its id."""

from __future__ import annotations

import atexit
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections import deque
from pathlib import Path

CLAIMS_MOST = 400  # ports that one process keeps to itself; the oldest is given up first
_claims: deque[socket.socket] = deque()


ROOT = Path(__file__).resolve().parents[1]
WAIT = 5.0  # seconds that any one thing may take; never a pause
# Seconds until a process that was started must listen, where its start is not what is tested: on a machine at
# work it may come late, and that is no verdict on what comes after. What a start may take is a test's own.
START_WAIT = 60.0


@atexit.register
def _give_up_claims() -> None:
    """Ports that were kept are free once the process ends; its sockets are closed in order."""
    while _claims:
        _claims.popleft().close()


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """A port that nothing uses now, of those that the system gives to no outgoing connection.

    Tests run side by side: a port of the system's own choice may be another test's by the time it is bound.
    """
    return quiet_port((kind,))


def quiet_port(kinds: tuple[int, ...] = (socket.SOCK_STREAM, socket.SOCK_DGRAM)) -> int:
    """A port for these transports, below those that the system gives to outgoing connections."""
    while True:
        port = random.SystemRandom().randrange(15_000, 32_000)
        if not _claimed(port):
            continue
        try:
            for kind in kinds:
                with socket.socket(socket.AF_INET, kind) as sock:
                    sock.bind(("127.0.0.1", port))
            return port
        except OSError:
            continue


def _claimed(port: int) -> bool:
    """Keep a port from others that ask here, in any process: it is bound later, and after each restart.

    The claim is a name of the machine's, not a file: processes with folders of their own see it too.
    """
    claim = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
    try:
        claim.bind(f"\0mallowquay-port-{port}")
    except OSError:
        claim.close()
        return False
    _claims.append(claim)
    if len(_claims) > CLAIMS_MOST:
        _claims.popleft().close()
    return True


def run_line(interpreter: str = sys.executable) -> list[str]:
    """How the platform starts the program, by this interpreter in place of the checkout's own."""
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    return ["/bin/sh", "-c", run.replace(".venv/bin/python", interpreter)]


class Process:
    """The real program, started as the platform starts it."""

    def __init__(
        self,
        arguments: list[str],
        environment: dict[str, str],
        descriptors: tuple[int, ...] = (),
        file: str | None = None,  # what starts it, in place of the package itself
        command: list[str] | None = None,  # what is started, in place of the interpreter
        checkout: Path = ROOT,  # whose package runs
    ) -> None:
        self.log = tempfile.TemporaryFile()
        command = command or [sys.executable, *([file] if file else ["-m", "mallowquay"])]
        self.process = subprocess.Popen(
            [*command, *arguments],
            cwd=checkout, env={**os.environ, **environment}, stderr=self.log, stdout=self.log,
            pass_fds=descriptors,
        )  # fmt: skip

    def hang_up(self) -> None:
        self.process.send_signal(signal.SIGHUP)

    def wait_for(self, word: str) -> None:
        """Until the log holds a word."""
        end = time.monotonic() + WAIT
        while word not in self.text():
            if time.monotonic() > end or self.process.poll() is not None:
                raise AssertionError(f"{word!r} is not in the log: {self.text()}")
            time.sleep(0.005)

    def wait_until_serves(self) -> None:
        """Until every address of a process that has just been started is open, as it says last."""
        end = time.monotonic() + START_WAIT
        while "serving" not in self.text():
            if time.monotonic() > end or self.process.poll() is not None:
                raise AssertionError(f"it does not serve: {self.text()}")
            time.sleep(0.005)

    def terminate(self) -> None:
        self.process.send_signal(signal.SIGTERM)

    def stop(self) -> int:
        if self.process.poll() is None:
            self.process.kill()
        code = self.process.wait(WAIT)
        self.log.close()
        return code

    def text(self) -> str:
        # Never by a seek: the program writes at the same offset, and would write over what it has said.
        log = self.log.fileno()
        return os.pread(log, os.fstat(log).st_size, 0).decode()


def connect(port: int, starts: Process | None = None) -> socket.socket:
    """A connection to the program, as soon as it listens.

    `starts`: it is this process that has just been started; one that ends instead has its log told at once.
    """
    end = time.monotonic() + (WAIT if starts is None else START_WAIT)
    while True:
        try:
            sock = socket.create_connection(("127.0.0.1", port), timeout=WAIT)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            return sock
        except ConnectionRefusedError:
            if starts is not None and starts.process.poll() is not None:
                raise AssertionError(f"it ended: {starts.text()}") from None
            if time.monotonic() > end:
                raise
        time.sleep(0.005)  # without a pause it takes the processor from the start that it waits for
