"""What all cases share: the record, the deploy file's command, processes, free ports, temporary folders."""

from __future__ import annotations

import asyncio
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class NotRun(Exception):
    """The case could not be played: nothing is said of the rule."""


class Record:
    """`record.txt` of a case: what was sent, answered and run, by the Unix clock and since the start."""

    def __init__(self, folder: Path) -> None:
        self.start = time.time()
        self.file = open(folder / "record.txt", "w", encoding="utf-8")
        self.add("case", folder.name, "with trouble" if TROUBLE else "without trouble")

    def now(self) -> float:
        return time.time() - self.start

    def add(self, *words: object, at: float | None = None) -> None:
        moment = self.start + self.now() if at is None else at
        self.file.write(f"{moment:.3f} {moment - self.start:8.3f} {' '.join(str(word) for word in words)}\n")
        self.file.flush()

    def say(self, *words: object) -> None:
        """For the record, and for whoever runs the case."""
        self.add(*words)
        print(" ".join(str(word) for word in words), flush=True)


def run_line() -> str:
    """The command of the deploy file that starts one gatekeeper."""
    with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
        return str(tomllib.load(file)["run"])


def free_ports(number: int) -> list[int]:
    """Ports of the loopback address that nobody has, for TCP and for UDP.

    Below the system's range for outgoing connections, so that none of these takes one before it is listened at, nor
    meets itself by a dial to a log server that is dead.
    """
    found: list[socket.socket] = []
    ports: list[int] = []
    for port in random.sample(range(20_000, 32_000), 12_000):
        tcp, udp = socket.socket(), socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        found += [tcp, udp]
        try:
            tcp.bind((HOST, port))
            udp.bind((HOST, port))
        except OSError:
            continue
        ports.append(port)
        if len(ports) == number:
            break
    for sock in found:
        sock.close()
    if len(ports) < number:
        raise NotRun("no free ports")
    return ports


class Processes:
    """All that a case has started; each in a group of its own, all ended at the end."""

    def __init__(self, record: Record) -> None:
        self.record, self.all = record, list[subprocess.Popen[bytes]]()
        self.folder = tempfile.mkdtemp(prefix="review-")

    def start(
        self, name: str, command: list[str], environment: dict[str, str] | None = None
    ) -> subprocess.Popen[bytes]:
        log = open(Path(self.folder) / f"{name}.log", "ab")
        process = subprocess.Popen(
            command, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log, start_new_session=True,
            env={**os.environ, "TMPDIR": self.folder, **(environment or {})},
        )  # fmt: skip
        log.close()
        self.all.append(process)
        self.record.add("process", name, "started, pid", process.pid)
        return process

    def gatekeeper(self, name: str, *arguments: str, **environment: str) -> subprocess.Popen[bytes]:
        """One gatekeeper, by the deploy file's `run`: it ends in `exec`, so the pid is the program's."""
        return self.start(name, ["/bin/sh", "-c", " ".join([run_line(), *arguments])], environment)

    def standin(self, name: str, *arguments: str) -> subprocess.Popen[bytes]:
        return self.start(name, [sys.executable, *arguments])

    def signal(self, name: str, process: subprocess.Popen[bytes], number: signal.Signals) -> None:
        self.record.add("process", name, "gets", number.name)
        if process.poll() is None:
            process.send_signal(number)

    def end(self) -> None:
        for process in self.all:
            if process.poll() is None:
                process.kill()
        for process in self.all:
            process.wait()
        for path in sorted(Path(self.folder).iterdir()):  # the last of what each said, for whoever looks
            if path.suffix == ".log":
                for line in path.read_text(errors="replace").splitlines()[-40:]:
                    self.record.file.write(f"log {path.stem}: {line[:300]}\n")
            if path.is_file() or path.is_socket():
                path.unlink(missing_ok=True)
        self.record.file.flush()
        try:
            os.rmdir(self.folder)
        except OSError:
            pass


async def until(what, within: float, why: str) -> None:
    """Wait for something to be so."""
    end = time.monotonic() + within
    while not what():
        if time.monotonic() > end:
            raise NotRun(why)
        await asyncio.sleep(0.02)


def play(folder: Path, case) -> None:
    """Run `case(record, processes)`, which returns what broke the rule, one text each."""
    try:
        record = Record(folder)
        processes = Processes(record)
    except OSError as fault:
        print("the case could not run:", fault)
        sys.exit(NOT_RUN)

    async def bounded() -> list[str]:
        return await asyncio.wait_for(case(record, processes), 110)

    def told_to_end(number: int, frame: object) -> None:
        raise KeyboardInterrupt(f"told to end by signal {number}")  # no loop swallows it

    ends = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    for number in ends:
        signal.signal(number, told_to_end)
    code = NOT_RUN
    try:
        broken = asyncio.run(bounded())
        for text in broken:
            record.say("BROKEN", text)
        code = BROKEN if broken else HELD
        record.say("result", "the rule was broken" if broken else "the rule held")
    except BaseException as fault:  # whatever stood in the way says nothing of the rule
        code = NOT_RUN
        record.say("result", "the case could not run:", type(fault).__name__, fault)
        if not isinstance(fault, NotRun):
            record.file.write(traceback.format_exc())
    finally:
        for number in ends:
            signal.signal(number, signal.SIG_IGN)
        processes.end()
    sys.exit(code)
