"""Machines of the rig: a folder with what lasts, a file, and a process of the program at times."""

from __future__ import annotations

import os
import shutil
import signal
import subprocess
import sys
import time
from pathlib import Path

from ..process import ROOT

FILE = """
seed = "{seed:x}"
gatekeepers = {count}
control = "127.0.0.1:{control}"
[sip]
udp = "127.0.0.1:{sip}"
tcp = "127.0.0.1:{sip}"
t1_ms = 100
t2_ms = 400
t4_ms = 500
[[classes]]
name = "log-lookup"
aim_ms = 2000
deadline_ms = 3000
hold_ms = 300
[[classes]]
name = "log-update"
aim_ms = 1500
deadline_ms = 3000
worth = 2.0
hold_ms = 300
"""


class Machine:
    """One of them. A process is ended by the id under which it was started, never otherwise."""

    def __init__(self, name: str, folder: Path, program: Path = ROOT) -> None:
        self.name, self.folder, self._program = name, folder, program
        self.file, self.disk, self.log = folder / "file.toml", folder / "disk", folder / "log.jsonl"
        self.process: subprocess.Popen[bytes] | None = None
        self.stopped = False
        self.starts = 0
        folder.mkdir(parents=True, exist_ok=True)

    def write_file(self, text: str) -> None:
        """Its operator's file."""
        self.file.write_text(text)

    def use(self, program: Path) -> None:
        """Run the program of this checkout from the next start on."""
        self._program = program

    @property
    def running(self) -> bool:
        """Whether a process is there and moves."""
        return self.process is not None and not self.stopped

    def start(self) -> None:
        """Start the program."""
        assert self.process is None
        self.starts += 1
        paths = f"{self._program}{os.pathsep}{Path(__file__).parent / 'clockwork'}"
        environment = {**os.environ, "PYTHONPATH": paths, "RIG_CLOCK": str(self.folder / "clock")}
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "mallowquay", "--log-format", "json", "serve", str(self.file)],
                cwd=self._program, env=environment, stdout=log, stderr=log,
            )  # fmt: skip

    def kill(self) -> None:
        """SIGKILL."""
        if self.process is not None:
            self.process.kill()
            self.process.wait(10)
            self.process = None
        self.stopped = False

    def terminate(self) -> int:
        """SIGTERM; the exit code."""
        assert self.process is not None
        self.process.terminate()
        code = self.process.wait(60)
        self.process = None
        return code

    def stop(self) -> None:
        """SIGSTOP."""
        if self.process is not None:
            self.process.send_signal(signal.SIGSTOP)
            self.stopped = True

    def go_on(self) -> None:
        """SIGCONT."""
        if self.process is not None:
            self.process.send_signal(signal.SIGCONT)
        self.stopped = False

    def hang_up(self) -> None:
        """SIGHUP."""
        if self.process is not None:
            self.process.send_signal(signal.SIGHUP)

    @property
    def died(self) -> int | None:
        """The exit code of a process that ended by itself."""
        return None if self.process is None else self.process.poll()

    def set_clock(self, ahead_ms: int) -> None:
        """The wall clock is so far ahead, or behind, from now on."""
        (self.folder / "clock").write_text(str(ahead_ms))

    # --- the disk

    def last_change(self) -> int:
        """When a file of the disk was changed last, in nanoseconds: a write that is about to be synced."""
        try:
            return max((path.stat().st_mtime_ns for path in self.disk.rglob("*")), default=0)
        except OSError:
            return 0

    def wipe(self) -> None:
        """The disk is lost."""
        shutil.rmtree(self.disk, ignore_errors=True)

    def copy_disk(self) -> Path:
        """A copy of the disk as it is now."""
        copy = self.folder / f"copy-{time.monotonic_ns()}"
        if self.disk.exists():
            shutil.copytree(self.disk, copy)
        else:
            copy.mkdir()
        return copy

    def put_disk(self, copy: Path) -> None:
        """The disk is as it was when that copy was taken."""
        self.wipe()
        shutil.copytree(copy, self.disk)

    def flip_bit(self, chance: float) -> None:
        """One bit of what lasts is another."""
        path = self.disk / "member"
        if path.exists() and (data := bytearray(path.read_bytes())):
            place = min(len(data) - 1, int(chance * len(data)))
            data[place] ^= 1 << (place % 8)
            path.write_bytes(data)

    def refuse_writes(self, refuse: bool) -> None:
        """The disk takes nothing more: a folder lies where the program writes its new file."""
        place = self.disk / "member.new"
        if refuse:
            self.disk.mkdir(parents=True, exist_ok=True)
            if place.is_file():
                place.unlink()
            place.mkdir(exist_ok=True)
        elif place.is_dir():
            place.rmdir()
