"""What every case needs: the program's processes, free ports, a record, an end for all that was started."""

from __future__ import annotations

import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
BROKEN, HELD, NOT_RUN = 10, 0, 2  # run.sh makes 1 of the first
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LONGEST = 115.0  # seconds; a case that takes longer has not run


class CannotRun(Exception):
    """The case could not be played; this says nothing of the rule."""


def free_port() -> int:
    """A port that nothing uses now, for TCP and UDP, below those that the system gives to outgoing connections."""
    for _ in range(500):
        port = random.SystemRandom().randrange(12_000, 30_000)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as sock:
                    sock.bind(("127.0.0.1", port))
        except OSError:
            continue
        if port not in _given:
            _given.add(port)
            return port
    raise CannotRun("no free port")


_given: set[int] = set()


class Stage:
    """One play of a case."""

    def __init__(self, folder: Path) -> None:
        self.began = time.time()
        self.folder = Path(tempfile.mkdtemp(prefix="mallowquay-case-"))
        self._record = open(folder / "record.txt", "w", encoding="utf-8", buffering=1)
        self._lock = threading.RLock()
        self._processes: list[subprocess.Popen[bytes]] = []
        self.note("case", f"TROUBLE={int(TROUBLE)}")

    def now(self) -> float:
        """Seconds since the beginning, by the system's Unix clock."""
        return time.time() - self.began

    def note(self, who: str, what: str) -> float:
        """A line of the record: when, who, what."""
        with self._lock:
            at = self.now()
            self._record.write(f"{at:9.3f} {who:<12} {what}\n")
            return at

    def start(self, name: str, arguments: str = "", **environment: str) -> subprocess.Popen[bytes]:
        """A process of the program, by `run` of the deploy file; `arguments` follow it."""
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        folder = self.folder / f"{name}-{len(self._processes)}"
        folder.mkdir()
        log = open(folder / "log.txt", "wb")
        process = subprocess.Popen(
            ["/bin/sh", "-c", f"{run} {arguments}".strip()],
            cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            env={**os.environ, "TMPDIR": str(folder), **environment},
        )  # fmt: skip
        log.close()
        process.log = folder / "log.txt"  # type: ignore[attr-defined]
        self._processes.append(process)
        self.note(name, f"started: {run} {arguments}".rstrip())
        return process

    def wait_until_serves(self, process: subprocess.Popen[bytes], within: float = 30.0) -> None:
        """Until its log says so."""
        end = time.monotonic() + within
        while b"serving" not in process.log.read_bytes():  # type: ignore[attr-defined]
            if process.poll() is not None or time.monotonic() > end:
                text = process.log.read_text(errors="replace")  # type: ignore[attr-defined]
                raise CannotRun(f"the program does not serve: {text[-2000:]}")
            time.sleep(0.02)

    def end(self) -> None:
        """All that was started is ended, by its id."""
        for process in self._processes:
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)
        self._record.close()


def play(case: str, judge) -> None:  # type: ignore[no-untyped-def]
    """Run a case: `judge(stage)` returns the breaks of the rule that it saw. Ends the process."""
    stage = Stage(Path(case).resolve().parent)

    def abandon(why: str) -> None:
        stage.note("case", f"not run: {why}")
        stage.end()
        os._exit(NOT_RUN)

    watchdog = threading.Timer(LONGEST, abandon, ["it took too long"])
    watchdog.daemon = True
    watchdog.start()
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: abandon("told to end"))
    code = NOT_RUN
    try:
        breaks = judge(stage)
        for line in breaks:
            stage.note("rule", f"BROKEN: {line}")
        code = BROKEN if breaks else HELD
        stage.note("case", f"{len(breaks)} breaks of the rule" if breaks else "the rule held")
        print(f"{len(breaks)} breaks of the rule: {breaks[0]}" if breaks else "the rule held")
    except CannotRun as fault:
        stage.note("case", f"not run: {fault}")
        print(f"not run: {fault}", file=sys.stderr)
    except Exception as fault:  # a fault of the case's own
        stage.note("case", f"not run: {type(fault).__name__}: {fault}")
        print(f"not run: {type(fault).__name__}: {fault}", file=sys.stderr)
    finally:
        watchdog.cancel()
        stage.end()
    sys.stdout.flush()
    os._exit(code)
