"""Stand-ins of the platform: coordinator, settings, and callers over SIP on TCP, after the protocol page."""

from __future__ import annotations

import asyncio
import json
import struct
from collections.abc import Callable
from pathlib import Path
from typing import Any

FRAME = struct.Struct(">IQB")


def settings(classes: list[dict[str, Any]], gatekeepers: int = 6) -> dict[str, Any]:
    """The settings of the first site (log-iceland), with the names of the wire page."""
    base = {"worth": 1.0, "lateWorth": 0.25, "group": "all", "keyTtl": 5_000_000, "streamed": True,
            "effect": "read_like", "onTime": 2_000_000, "deadline": 9_000_000}  # fmt: skip
    return {
        "clients": {"marksRetry": True},
        "extra": {
            "circuitsByClass": [1 for _ in classes], "layout": "pools", "meanHold": [10_500_000 for _ in classes],
            "release": 300_000, "remoteLoad": "piggyback", "repeat": 0, "retryHint": False, "routeAdvice": False,
            "selfNo": -1, "skilledPools": [[0, 1, 2] for _ in classes],
        },
        "goal": {"whole": 0.4, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.4},
        "groupSize": gatekeepers, "kinds": ["small-1core"],
        "limits": {
            "cancelling": True, "cpuUsPerRequest": 0.0, "cpuUsPerS": 300_000, "dialTimeout": 500_000,
            "keepalive": 600_000_000, "maxOpen": 20_000, "maxRetryAfter": 2_000_000, "mayProbe": False,
            "mayTell": True, "mostTries": 4, "parallelTries": False, "retryAfter": True,
            "streamsPerConn": 1_048_576,
        },
        "myNumber": 0, "overShareWorth": 0.1, "registryMode": "pushed", "round": 5000,
        "rules": {
            "askWithin": 10_000_000, "cold": 15_000_000, "coldFrom": 0.29, "drainGrace": 500_000,
            "fall": 3_000_000, "fallMultiple": 3.0, "graceToAnswer": 20_000,
        },
        "services": [{**base, **kind} for kind in classes],
        "telemetry": {"fields": ["free", "size", "hold_back"], "how": "piggyback"}, "tenants": "", "tier": 0,
        "tiers": ["log-servers"], "weights": "silent", "workload": "trunks", "worthBy": "request", "zone": 0,
        "zones": ["reykjavik", "akureyri", "egilsstadir", "isafjordur"],
    }  # fmt: skip


def configuration(
    path: Path, listen: int, coordinator: int, servers: list[tuple[int, int]], told: dict[str, Any]
) -> None:
    """The file that LB_CONFIG names; `servers`: number and port of each log server."""
    entries = [
        {"id": f"s-{number + 1:08x}", "addr": f"127.0.0.1:{port}", "zone": "reykjavik", "kind": "small-1core",
         "cell": number, "state": "in_service", "weight": 1, "started_ms": 0}
        for number, port in servers
    ]  # fmt: skip
    known = {"index": 1, "updates": [{"index": 1, "endpoints": {"version": 1, "full": True, "servers": entries}}]}
    path.write_text(
        json.dumps(
            {"name": "n1", "listen": f"127.0.0.1:{listen}", "seed": "8c1f30d27a5be964",
             "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
             "coordinator": f"127.0.0.1:{coordinator}", "known": known, "settings": told}
        )  # fmt: skip
    )


async def coordinator(port: int) -> asyncio.Server:
    """A coordinator that has nothing new: an empty frame each second."""

    async def follow(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            last = int.from_bytes(await reader.readexactly(8), "big")
            while True:
                writer.write(FRAME.pack(9, last, 0))
                await writer.drain()
                await asyncio.sleep(1.0)
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    return await asyncio.start_server(follow, "127.0.0.1", port)


class Callers:
    """One connection of callers; what comes is told as (first line, headers, body)."""

    def __init__(self, port: int, heard: Callable[[str, dict[str, str], bytes], None]) -> None:
        self._port, self._heard = port, heard

    async def connect(self) -> None:
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self._port)
        self._task = asyncio.ensure_future(self._read())

    async def _read(self) -> None:
        try:
            while True:
                head = (await self.reader.readuntil(b"\r\n\r\n")).decode()
                first, *lines = head.strip().split("\r\n")
                headers = {name.lower(): value for name, _, value in (line.partition(": ") for line in lines)}
                body = await self.reader.readexactly(int(headers.get("content-length", "0")))
                self._heard(first, headers, body)
        except (OSError, asyncio.IncompleteReadError):
            self.writer.close()

    def send(self, first: str, headers: list[tuple[str, str]], body: bytes = b"") -> None:
        text = "".join(f"{name}: {value}\r\n" for name, value in headers)
        self.writer.write(f"{first}\r\n{text}Content-Length: {len(body)}\r\n\r\n".encode() + body)

    def invite(self, call: str, kind: str, number: str, left: int, destination: int, description: bytes) -> None:
        headers = [
            ("Via", "SIP/2.0/TCP peer"), ("Call-ID", call), ("CSeq", "1 INVITE"), ("P-Kind", kind),
            ("P-Time-Left", str(left)), ("P-Path", f"dest:{destination};width:1;via:-1"),
        ]  # fmt: skip
        self.send(f"INVITE sip:{number}@net SIP/2.0", headers, description)

    def ack(self, call: str, number: str) -> None:
        self.send(f"ACK sip:{number}@net SIP/2.0", [("Via", "SIP/2.0/TCP peer"), ("Call-ID", call), ("CSeq", "1 ACK")])
