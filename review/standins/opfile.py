"""An operator's file for the second front, after `deploy/sip.toml`, and events that log servers wrote."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from .common import HOST, Processes

CLASSES = """
[[classes]]
name = "log-lookup"
aim_ms = 2000
deadline_ms = 9000
worth = 1.0
late_worth = 0.25
hold_ms = 10000

[[classes]]
name = "log-update"
aim_ms = 1500
deadline_ms = 9000
worth = 2.0
late_worth = 0.25
hold_ms = 14000
"""


def write(processes: Processes, sip: int, consul: int = 0, servers: list[tuple[str, int, str]] = []) -> str:
    """The file: both transports at one address, and the list from Consul or as given."""
    text = (
        f'gatekeepers = 1\n[sip]\nudp = "{HOST}:{sip}"\ntcp = "{HOST}:{sip}"\ndefault_class = "log-lookup"\n'
    )
    text += "t1_ms = 500\n[limits]\nsockets = 1024\nattempts = 4\nrelease_wait_ms = 300\nconnect_timeout_ms = 500\n"
    text += "retry_after_ms = 2000\n" + CLASSES
    if consul:
        text += f'\n[consul]\naddress = "{HOST}:{consul}"\nservice = "log-server"\nwait_ms = 60000\n'
    for number, (name, port, transport) in enumerate(servers):
        text += f'\n[[servers]]\nid = "{name}"\naddress = "{HOST}:{port}"\nnumber = {number}\ntransport = "{transport}"\n'
    path = Path(processes.folder) / "gatekeeper.toml"
    path.write_text(text)
    return str(path)


def events(path: str) -> list[dict[str, Any]]:
    """What a log server has written."""
    file = Path(path)
    return [json.loads(line) for line in file.read_text().splitlines()] if file.exists() else []
