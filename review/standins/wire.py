"""The platform's side, after PROTOCOL: the coordinator, JSON log servers, and callers over TCP."""

from __future__ import annotations

import asyncio
import json
import struct
import time

from .common import HOST, NotRun, Record

STATES = ("in_service", "terminating", "terminated")
CLASSES = {"log-lookup": (2_000_000, 1.0), "log-update": (1_500_000, 2.0)}


def settings(gatekeepers: int, servers: int) -> dict[str, object]:
    """The settings of the first deployment: its classes, aims, deadlines, rules and limits."""
    kinds = [
        {"name": name, "onTime": aim, "deadline": 9_000_000, "worth": worth, "lateWorth": 0.25,
         "effect": "read_like", "group": "all", "keyTtl": 5_000_000, "streamed": True}
        for name, (aim, worth) in CLASSES.items()
    ]  # fmt: skip
    return {
        "clients": {"marksRetry": True},
        "extra": {"circuitsByClass": [1, 1], "layout": "pools", "meanHold": [10_500_000, 15_700_000],
                  "release": 300_000, "remoteLoad": "piggyback", "repeat": 0, "retryHint": False,
                  "routeAdvice": False, "selfNo": -1,
                  "skilledPools": [list(range(servers)), list(range(servers))]},
        "groupSize": gatekeepers, "kinds": ["small-1core"], "myNumber": 0, "overShareWorth": 0.1,
        "limits": {"cancelling": True, "cpuUsPerRequest": 0.0, "cpuUsPerS": 300_000, "dialTimeout": 500_000,
                   "keepalive": 600_000_000, "maxOpen": 20_000, "maxRetryAfter": 2_000_000,
                   "mayProbe": False, "mayTell": True, "mostTries": 4, "parallelTries": False,
                   "retryAfter": True, "streamsPerConn": 1_048_576},
        "registryMode": "pushed", "round": 5000,
        "rules": {"askWithin": 10_000_000, "cold": 15_000_000, "coldFrom": 0.29, "drainGrace": 500_000,
                  "fall": 3_000_000, "fallMultiple": 3.0, "graceToAnswer": 20_000},
        "services": kinds, "telemetry": {"fields": ["free", "size", "hold_back"], "how": "piggyback"},
        "tenants": [], "tier": 0, "tiers": ["log-servers"], "weights": "silent", "workload": "trunks",
        "worthBy": "request", "zone": 0, "zones": ["reykjavik", "akureyri"],
    }  # fmt: skip


class Coordinator:
    """Numbered events; a frame for each that the gatekeeper does not have, and an empty one each second."""

    def __init__(self, record: Record) -> None:
        self.record, self.events = record, list[list[dict[str, object]]]()
        self.writers: dict[asyncio.StreamWriter, int] = {}

    async def listen(self, port: int) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, port)
        self.address = f"{HOST}:{port}"

    def tell(self, *servers: dict[str, object]) -> None:
        """One more event: told from this moment on."""
        self.events.append(list(servers))
        self.record.add("coordinator", "event", len(self.events), [(s["id"], s["state"]) for s in servers])
        self._push()

    def anew(self) -> None:
        """A gatekeeper starts: its events are numbered from 1, and the first is the whole list as it is."""
        now = {server["id"]: server for event in self.events for server in event}
        self.events = [[server for server in now.values() if server["state"] != "terminated"]]
        self.record.add("coordinator", "numbers anew from 1", [(s["id"], s["state"]) for s in self.events[0]])

    def known(self) -> dict[str, object]:
        updates = [
            {"index": number, "endpoints": {"version": number, "full": number == 1, "servers": servers}}
            for number, servers in enumerate(self.events, 1)
        ]
        return {"index": len(self.events), "updates": updates}

    def _push(self) -> None:
        for writer, had in list(self.writers.items()):
            for number in range(had + 1, len(self.events) + 1):
                payload = b"".join(self._entry(server) for server in self.events[number - 1])
                writer.write(struct.pack(">IQB", 9 + len(payload), number, 1 if number == 1 else 2) + payload)
            self.writers[writer] = len(self.events)

    @staticmethod
    def _entry(server: dict[str, object]) -> bytes:
        host, port = str(server["addr"]).split(":")
        address = bytes(int(part) for part in host.split("."))
        return struct.pack(">I4sHBBBHIQ", int(str(server["id"])[2:], 16), address, int(port),
                           STATES.index(str(server["state"])), 0, 0, int(str(server["cell"])), 1000,
                           int(str(server["started_ms"])))  # fmt: skip

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            self.writers[writer] = int.from_bytes(await reader.readexactly(8), "big")
            self._push()
            while True:
                writer.write(struct.pack(">IQB", 9, self.writers[writer], 0))
                await writer.drain()
                await asyncio.sleep(1)
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            self.writers.pop(writer, None)
            writer.close()


class LogServer:
    """A sound log server: answers at once, holds each call for its time, then releases it.

    A release goes out on the connection of the set-up, else on any that is open, and again on the next one
    that opens, until it is heard.
    """

    def __init__(self, record: Record, number: int, port: int, hold: float, work: float = 0.02) -> None:
        self.record, self.number, self.port, self.hold, self.work = record, number, port, hold, work
        self.id = f"s-{0x00C41F70 + number:08x}"
        self.links: list[asyncio.StreamWriter] = []
        self.open: dict[str, asyncio.StreamWriter] = {}
        self.standing: dict[str, asyncio.StreamWriter] = {}
        self.unheard: dict[str, int] = {}  # releases
        self.ended: dict[str, float] = {}  # when a call came to its end here
        self.released: dict[str, float] = {}  # when its release was first written to a connection
        self.gauge_every = 1.0

    def entry(self, state: str = "in_service", started_ms: int = 0) -> dict[str, object]:
        return {"id": self.id, "addr": f"{HOST}:{self.port}", "zone": "reykjavik", "kind": "small-1core",
                "cell": self.number, "state": state, "weight": 1, "started_ms": started_ms}  # fmt: skip

    async def listen(self) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, self.port)

    def stop(self) -> None:
        """The process ends: connections are reset, calls are cut, new connections are refused."""
        self.record.add(self.id, "stops; standing", sorted(self.standing))
        for call in list(self.standing):
            self.ended.setdefault(call, time.time())
        self.standing.clear()
        self.server.close()
        for link in list(self.links):
            link.transport.abort()

    def _say(self, link: asyncio.StreamWriter, kind: str, ref: str, **more: object) -> None:
        link.write(json.dumps({"t": kind, "ref": ref, "f": more.pop("f", {}), **more}).encode() + b"\n")
        if kind != "gauge":
            self.record.add(self.id, "sends", kind, ref, {k: v for k, v in more.items() if k != "d"} or "")

    async def _gauge(self, link: asyncio.StreamWriter) -> None:
        while link in self.links:
            free = 500 - len(self.standing)
            self._say(link, "gauge", "", f={"load": f"x0:{free};x1:500"})
            await asyncio.sleep(self.gauge_every)

    async def _serve(self, reader: asyncio.StreamReader, link: asyncio.StreamWriter) -> None:
        self.record.add(self.id, "connection opened by the gatekeeper")
        self.links.append(link)
        gauge = asyncio.ensure_future(self._gauge(link))
        await asyncio.sleep(0)  # the state of the group comes first
        for ref, cause in list(self.unheard.items()):
            self._release(ref, cause, link)
        try:
            while line := await reader.readline():
                self._take(link, json.loads(line))
        except (OSError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.record.add(self.id, "connection closed")
            gauge.cancel()
            self.links.remove(link)
            self.open = {ref: on for ref, on in self.open.items() if on is not link}  # given up
            link.close()

    def _take(self, link: asyncio.StreamWriter, said: dict) -> None:
        kind, ref = said["t"], said.get("ref", "")
        self.record.add(self.id, "receives", kind, ref, said.get("c", ""))
        if kind == "new":
            self.open[ref] = link
            asyncio.get_running_loop().call_later(self.work, self._answer, ref)
        elif kind == "down":
            self._say(link, "ack", ref)
            self.open.pop(ref, None)
            self.unheard.pop(ref, None)
            if self.standing.pop(ref, None) is not None:
                self.ended.setdefault(ref, time.time())
        elif kind == "ack":
            self.unheard.pop(ref, None)
        elif kind == "hb":
            self._say(link, "hb_ok", ref, c=1)

    def _answer(self, ref: str) -> None:
        link = self.open.pop(ref, None)
        if link is not None:
            self.standing[ref] = link
            self._say(link, "up", ref, d=f"{ref}\r\nc=IN IP4 127.0.0.1\r\nm=audio 31000 RTP/AVP 0\r\n")
            asyncio.get_running_loop().call_later(self.hold, self._over, ref)

    def _over(self, ref: str) -> None:
        link = self.standing.pop(ref, None)
        if link is None:
            return
        self.ended[ref] = time.time()
        self.unheard[ref] = 16
        self.record.add(self.id, "call comes to its end", ref)
        way = link if link in self.links else (self.links[-1] if self.links else None)
        if way is not None:
            self._release(ref, 16, way)

    def _release(self, ref: str, cause: int, link: asyncio.StreamWriter) -> None:
        self.released.setdefault(ref, time.time())
        self._say(link, "down", ref, c=cause)


class Callers:
    """The callers of one gatekeeper, on one connection at a time; what ends a call may come on any."""

    def __init__(self, record: Record, port: int) -> None:
        self.record, self.port = record, port
        self.writer: asyncio.StreamWriter | None = None
        self.answers: dict[str, list[int]] = {}
        self.bye_at: dict[str, float] = {}
        self.tests = 0

    async def connect(self, within: float = 20) -> None:
        """Connect once the gatekeeper passes a test, as the front does."""
        end = time.monotonic() + within
        while time.monotonic() < end:
            try:
                reader, self.writer = await asyncio.open_connection(HOST, self.port)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            self.reading = asyncio.ensure_future(self._read(reader, self.writer))
            before = self.tests
            self._send("OPTIONS", "ping", f"{time.time_ns():016x}"[-16:])
            for _ in range(20):
                await asyncio.sleep(0.05)
                if self.tests > before:
                    self.record.add("callers", "the gatekeeper is ready")
                    return
            self.writer.close()
        raise NotRun("the gatekeeper is not ready")

    def _send(
        self, method: str, number: str, call: str, *headers: str, body: str = "", cseq: str = ""
    ) -> None:
        assert self.writer is not None
        lines = [f"{method} sip:{number}@net SIP/2.0", "Via: SIP/2.0/TCP peer", f"Call-ID: {call}",
                 f"CSeq: {cseq or '1 ' + method}", *headers, f"Content-Length: {len(body)}", "", body]  # fmt: skip
        self.writer.write("\r\n".join(lines).encode())

    def invite(self, call: str, kind: str, destination: int, left: int = 3000) -> None:
        self.record.add("callers", "send INVITE", call, kind, "dest", destination)
        self.answers[call] = []
        self._send("INVITE", f"{int(call, 16):016x}", call, f"P-Kind: {kind}", f"P-Time-Left: {left}",
                   f"P-Path: dest:{destination};width:1;via:-1", body=f"{call}\r\nm=audio 31000 RTP/AVP 0\r\n")  # fmt: skip

    async def _read(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                first, *rest = head.split("\r\n")
                fields = {
                    k.strip().lower(): v.strip() for k, _, v in (line.partition(":") for line in rest if line)
                }
                body = await reader.readexactly(int(fields.get("content-length", "0")))
                self._take(first, fields, body, writer)
        except (OSError, EOFError, asyncio.CancelledError):
            self.record.add("callers", "connection to the gatekeeper ended")

    def _take(self, first: str, fields: dict[str, str], body: bytes, writer: asyncio.StreamWriter) -> None:
        call = fields.get("call-id", "")
        if first.startswith("SIP/2.0"):
            status, method = int(first.split()[1]), fields["cseq"].split()[1]
            if method == "OPTIONS":
                self.tests += status == 200
            elif method == "INVITE" and status >= 200:
                self.record.add("callers", "receive", status, "for", call)
                self.answers.setdefault(call, []).append(status)
                self._send("ACK", call, call, cseq="1 ACK")
        elif first.startswith("BYE"):
            self.record.add("callers", "receive BYE for", call, fields.get("reason", ""))
            self.bye_at.setdefault(call, time.time())
            lines = ["SIP/2.0 200 OK", f"Via: {fields['via']}", f"Call-ID: {call}", f"CSeq: {fields['cseq']}",
                     "Content-Length: 0", "", ""]  # fmt: skip
            writer.write("\r\n".join(lines).encode())
