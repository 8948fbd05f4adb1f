"""The real program as a process, for tests and rigs. Whoever starts one ends it by its id."""

from __future__ import annotations

import fcntl
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import deque
from pathlib import Path
from typing import IO

CLAIMS_MOST = 400  # ports that one process keeps to itself; the oldest is given up first
_claims: deque[IO[str]] = deque()

ROOT = Path(__file__).resolve().parents[1]
WAIT = 5.0  # seconds that any one thing may take; never a pause


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
    """Keep a port from others that ask here, in any process: it is bound later, and after each restart."""
    folder = Path(tempfile.gettempdir()) / f"mallowquay-ports-{os.getuid()}"
    folder.mkdir(exist_ok=True)
    claim = (folder / str(port)).open("w")
    try:
        fcntl.flock(claim, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except BlockingIOError:
        claim.close()
        return False
    _claims.append(claim)
    if len(_claims) > CLAIMS_MOST:
        _claims.popleft().close()
    return True


class Process:
    """The real program, started as the platform starts it."""

    def __init__(
        self,
        arguments: list[str],
        environment: dict[str, str],
        descriptors: tuple[int, ...] = (),
        file: str | None = None,  # what starts it, in place of the package itself
    ) -> None:
        self.log = tempfile.TemporaryFile()
        self.process = subprocess.Popen(
            [sys.executable, *([file] if file else ["-m", "mallowquay"]), *arguments],
            cwd=ROOT, env={**os.environ, **environment}, stderr=self.log, stdout=self.log,
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


def connect(port: int) -> socket.socket:
    """A connection to the program, as soon as it listens."""
    end = time.monotonic() + WAIT
    while True:
        try:
            sock = socket.create_connection(("127.0.0.1", port), timeout=WAIT)
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            return sock
        except ConnectionRefusedError:
            if time.monotonic() > end:
                raise
