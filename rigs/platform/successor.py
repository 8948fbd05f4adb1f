"""Plays the successor in an upgrade, and receives the state that a running process hands over to it."""

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
GATEKEEPER = "n0"
SERVER = {"id": "s-00000000", "addr": f"{HOST}:1", "cell": 0, "state": "in_service", "started_ms": 0}
LAST_FRAGMENT = b"."  # first byte of the last fragment of a packet
MAX_FRAGMENT_BYTES = 128 * 1024
MAX_PACKET_BYTES = 8 * 1024 * 1024


def handover_state(checkout: Path) -> dict[str, Any]:
    """Start a process of this checkout with one log server, and return the state it sends to a successor."""
    with tempfile.TemporaryDirectory(prefix="mallowquay-") as folder:
        port = free_port()
        file = Path(folder) / "config.json"
        file.write_text(_configuration(port))
        with socket.create_server((HOST, port)) as listener:
            environment = {"LB_CONFIG": str(file), "LB_SOCKET_FD": str(listener.fileno()), "TMPDIR": folder}
            process = Process([], environment, (listener.fileno(),), checkout=checkout)
            try:
                process.wait_until_serves()
                return _request_state(os.path.join(folder, f"mallowquay-{HOST}-{port}"))
            finally:
                process.stop()


def _configuration(port: int) -> str:
    update = {"index": 1, "endpoints": {"version": 1, "full": True, "servers": [SERVER]}}
    return json.dumps({
        "name": GATEKEEPER, "listen": f"{HOST}:{port}", "seed": "1", "coordinator": f"{HOST}:1",
        "known": {"index": 1, "updates": [update]}, "settings": SETTINGS,
    })  # fmt: skip


def _request_state(path: str) -> dict[str, Any]:
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as connection:
        connection.settimeout(START_WAIT)
        connection.connect(path)
        connection.send(LAST_FRAGMENT + b'{"t":"hello"}')
        return _read_packet(connection)


def _read_packet(connection: socket.socket) -> dict[str, Any]:
    text = b""
    while fragment := connection.recv(MAX_FRAGMENT_BYTES):
        text += fragment[1:]
        if len(text) > MAX_PACKET_BYTES:
            raise ValueError(f"a packet is longer than {MAX_PACKET_BYTES} bytes")
        if fragment[:1] == LAST_FRAGMENT:
            packet: dict[str, Any] = json.loads(text)
            return packet
    raise EOFError("the process closed the connection before the packet was complete")


def schema_of(value: Any) -> Any:
    """Replace every value in a JSON document by the name of its type."""
    if isinstance(value, dict):
        return {key: schema_of(inner) for key, inner in sorted(value.items())}
    if isinstance(value, list):
        return [schema_of(inner) for inner in value]
    return type(value).__name__
