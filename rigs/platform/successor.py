"""Stands in for a successor at an upgrade: hears what a process of a build has to tell it."""

from __future__ import annotations

import json
import os
import socket
import tempfile
from pathlib import Path
from typing import Any

from ..process import START_WAIT, Process, free_port
from .rig import SETTINGS

HOST = "127.0.0.1"
NAME = "n0"
SERVER = {"id": "s-00000000", "addr": f"{HOST}:1", "cell": 0, "state": "in_service", "started_ms": 0}
LAST = b"."  # the first byte of a packet's last piece
PIECE_BYTES = 128 * 1024


def _configuration(port: int) -> str:
    update = {"index": 1, "endpoints": {"version": 1, "full": True, "servers": [SERVER]}}
    return json.dumps({
        "name": NAME, "listen": f"{HOST}:{port}", "seed": "1", "coordinator": f"{HOST}:1",
        "known": {"index": 1, "updates": [update]}, "settings": SETTINGS,
    })  # fmt: skip


def _packet(meeting: socket.socket) -> dict[str, Any]:
    text = b""
    while piece := meeting.recv(PIECE_BYTES):
        text += piece[1:]
        if piece[:1] == LAST:
            packet: dict[str, Any] = json.loads(text)
            return packet
    raise EOFError("the process closed the meeting")


def told_to_successor(checkout: Path) -> dict[str, Any]:
    """The state that a process of this build, with one log server on its list, hands to a successor."""
    with tempfile.TemporaryDirectory(prefix="mallowquay-") as folder:
        port = free_port()
        file = Path(folder) / "config.json"
        file.write_text(_configuration(port))
        with socket.create_server((HOST, port)) as listener:
            environment = {"LB_CONFIG": str(file), "LB_SOCKET_FD": str(listener.fileno()), "TMPDIR": folder}
            process = Process([], environment, (listener.fileno(),), checkout=checkout)
            try:
                process.wait_until_serves()
                with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as meeting:
                    meeting.settimeout(START_WAIT)
                    meeting.connect(os.path.join(folder, f"mallowquay-{HOST}-{port}"))
                    meeting.send(LAST + b'{"t":"hello"}')
                    return _packet(meeting)
            finally:
                process.stop()


def shape(value: Any) -> Any:
    """The keys of a state and the kinds of its values, without the values."""
    if isinstance(value, dict):
        return {key: shape(inner) for key, inner in sorted(value.items())}
    if isinstance(value, list):
        return [shape(inner) for inner in value]
    return type(value).__name__
