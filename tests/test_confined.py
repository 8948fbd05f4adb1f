"""What the fleet test asks of the run line: one process, and no call that is refused."""

from __future__ import annotations

import json
import signal
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest
from support import ROOT
from test_platform import PlatformCase

CONFINED = ROOT / "tests" / "confined.py"


class ConfinedTest(PlatformCase):
    program_file = str(CONFINED)

    def test_a_day_needs_no_other_process_and_no_refused_call(self) -> None:
        """Calls, a log server that dies and one that comes, new settings, a planned end."""
        self.set_up("00000000000000c1")
        self.set_up("00000000000000c2", dest=1)
        self.log_servers[1].reset()
        self.assertIn("BYE", self.caller.read()[""])
        self.tell(self.log_servers[1], state=2)
        document = {**self.document, "settings": {**self.document["settings"], "overShareWorth": 0.2}}
        Path(self.file).write_text(json.dumps(document))
        self.program.hang_up()
        self.program.wait_for("configuration_taken")
        self.set_up("00000000000000c3")
        process = Path(f"/proc/{self.program.process.pid}")
        children = [task.joinpath("children").read_text() for task in process.joinpath("task").iterdir()]
        self.assertEqual("".join(children), "")
        self.assertIn("libc.so", process.joinpath("maps").read_text())  # linked dynamically
        for number in (1, 3):
            self.log_servers[0].say("down", f"00000000000000c{number}", 16)
        self.program.terminate()
        self.assertEqual(self.program.process.wait(10), 0, self.program.text())


@pytest.mark.parametrize("call", ["fork", "exec", "unix", "splice", "sendfile"])
def test_a_refused_call_ends_the_process(call: str) -> None:
    """The test above can fail: each call by itself is the end."""
    ended = subprocess.run([sys.executable, str(CONFINED), call], cwd=ROOT, check=False, timeout=10)
    assert ended.returncode == -signal.SIGSYS


def test_the_run_line_becomes_the_program() -> None:
    """`exec`, nothing beside it or behind it, and before it a guard that is the shell's own: no process."""
    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    guard, _, program = run.partition("; ")
    assert guard == "trap '' HUP"  # ignored until the program has its handler
    assert program.startswith("exec ")
    assert not set("&|;`$()<>\n") & set(program)
