"""A caller's TCP connection is reset under its set-up, and it sends the set-up again over UDP."""

from __future__ import annotations

import asyncio
import socket
import struct
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from parts import sip
from parts.stage import TROUBLE, CannotRun, Stage, free_port, play

CALLS, GAP = 12, 0.5
WAITS, SLACK = 9.0, 0.05  # a caller gives up after 9 s; every time limit is 50 ms longer
WORKS, HOLDS = 1.0, 6.0  # a set-up is answered after so long; a call stands so long
RESET_AFTER, SWITCHES_AFTER = 0.3, 0.1

FILE = """
gatekeepers = 1
[sip]
udp = "127.0.0.1:{port}"
tcp = "127.0.0.1:{port}"
default_class = "log-lookup"
[limits]
attempts = 4
release_wait_ms = 300
connect_timeout_ms = 500
retry_after_ms = 2000
[[classes]]
name = "log-lookup"
aim_ms = 2000
deadline_ms = 9000
worth = 1.0
late_worth = 0.25
hold_ms = 10000
[[servers]]
id = "log-1"
address = "127.0.0.1:{first}"
number = 0
transport = "udp"
[[servers]]
id = "log-2"
address = "127.0.0.1:{second}"
number = 1
transport = "udp"
"""


def reset(writer: asyncio.StreamWriter) -> None:
    """As a network or a host that resets a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()


class Way:
    """The way between callers and the gatekeeper for TCP: it passes on, or resets."""

    def __init__(self, stage: Stage, gatekeeper: int) -> None:
        self.stage, self.gatekeeper = stage, gatekeeper
        self.open: list[asyncio.StreamWriter] = []

    async def passes(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self.gatekeeper)
        if TROUBLE:
            asyncio.get_running_loop().call_later(RESET_AFTER, self._reset, writer, far_writer)

        async def pump(source: asyncio.StreamReader, sink: asyncio.StreamWriter) -> None:
            try:
                while data := await source.read(65536):
                    sink.write(data)
            except OSError:
                pass

        await asyncio.gather(pump(reader, far_writer), pump(far_reader, writer))
        far_writer.close()
        writer.close()

    def _reset(self, *writers: asyncio.StreamWriter) -> None:
        self.stage.note("network", "the caller's TCP connection is reset")
        for writer in writers:
            reset(writer)

    async def to_caller(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """A connection of the gatekeeper's to a caller, which has no TCP any more: reset as it is new."""
        self.stage.note("network", "a TCP connection to the caller is reset")
        reset(writer)


class Caller:
    """One radio operator's program with a call each; it hears over both transports."""

    def __init__(self, stage: Stage, port: int, gatekeeper: int, way: int) -> None:
        self.stage, self.port, self.gatekeeper, self.way = stage, port, gatekeeper, way
        self.finals: dict[str, list[tuple[float, int]]] = {}
        self.given_up: set[str] = set()

    async def start(self) -> None:
        self.udp = await sip.datagrams(self.port, lambda message, address: self.take(message, self.send_udp))

    def send_udp(self, data: bytes) -> None:
        self.udp.send(data, ("127.0.0.1", self.gatekeeper))

    def invite(self, call: str, transport: str, branch: str) -> bytes:
        return sip.write(
            "INVITE sip:7f3a9c21e0b4d655@net SIP/2.0",
            [("Via", f"SIP/2.0/{transport} 127.0.0.1:{self.port};branch={branch};rport"), ("Max-Forwards", "70"),
             ("From", f"<sip:oper@127.0.0.1>;tag=f{call}"), ("To", "<sip:7f3a9c21e0b4d655@net>"),
             ("Call-ID", call), ("CSeq", "1 INVITE"), ("Contact", f"<sip:oper@127.0.0.1:{self.port}>")],
            b"9d41c07a5be2f318",
        )  # fmt: skip

    def take(self, message: sip.Message, send) -> None:  # type: ignore[no-untyped-def]
        call = message.headers["call-id"]
        if message.request == "BYE":
            self.stage.note("caller", f"BYE {call}")
            send(sip.response(message, "200 OK"))
        elif message.method == "INVITE" and message.status >= 200:
            known = [status for _, status in self.finals.setdefault(call, [])]
            if message.status not in known:
                self.finals[call].append((self.stage.note("caller", f"{message.status} {call}"), message.status))
            branch = message.headers["via"].partition("branch=")[2].partition(";")[0]
            transport = message.headers["via"].split()[0].rpartition("/")[2]
            number = f"z9hG4bKack{call}" if message.status < 300 else branch
            send(
                sip.write(
                    "ACK sip:gatekeeper@127.0.0.1 SIP/2.0",
                    [("Via", f"SIP/2.0/{transport} 127.0.0.1:{self.port};branch={number};rport"),
                     ("Max-Forwards", "70"), ("From", message.headers["from"]), ("To", message.headers["to"]),
                     ("Call-ID", call), ("CSeq", "1 ACK")],
                )  # fmt: skip
            )

    async def call(self, number: int) -> None:
        call = f"call{number}"
        began = self.stage.note("caller", f"INVITE {call} over TCP")
        reader, writer = await asyncio.open_connection("127.0.0.1", self.way)
        writer.write(self.invite(call, "TCP", f"z9hG4bK{call}"))
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = int(sip.read(head).headers.get("content-length", "0"))
                self.take(sip.read(head + await reader.readexactly(length)), writer.write)
        except (OSError, asyncio.IncompleteReadError):
            pass
        if call in self.finals:
            return
        await asyncio.sleep(SWITCHES_AFTER)
        # Half of the callers keep the branch, as in a copy; the others begin a new transaction.
        branch = f"z9hG4bK{call}" if number % 2 == 0 else f"z9hG4bKu{call}"
        gap = sip.T1
        while call not in self.finals and self.stage.now() - began < WAITS:
            self.stage.note("caller", f"INVITE {call} over UDP, {'same' if number % 2 == 0 else 'new'} branch")
            self.send_udp(self.invite(call, "UDP", branch))
            end = min(self.stage.now() + gap, began + WAITS)
            while call not in self.finals and self.stage.now() < end:
                await asyncio.sleep(0.02)
            gap *= 2


async def run(stage: Stage) -> list[str]:
    gatekeeper, first, second, way, own = (free_port() for _ in range(5))
    for name, port in (("log-1", first), ("log-2", second)):
        await sip.LogServer(stage, name, port, WORKS, HOLDS).start()
    file = stage.folder / "gatekeeper.toml"
    file.write_text(FILE.format(port=gatekeeper, first=first, second=second))
    process = stage.start("gatekeeper", str(file))
    await asyncio.to_thread(stage.wait_until_serves, process)
    network = Way(stage, gatekeeper)
    await asyncio.start_server(network.passes, "127.0.0.1", way)
    await asyncio.start_server(network.to_caller, "127.0.0.1", own)
    caller = Caller(stage, own, gatekeeper, way)
    await caller.start()
    began, calls = {}, []
    for number in range(CALLS):
        began[f"call{number}"] = stage.now()
        calls.append(asyncio.ensure_future(caller.call(number)))
        await asyncio.sleep(GAP)
    await asyncio.sleep(WAITS + 1.0)
    if process.poll() is not None:
        raise CannotRun("the gatekeeper ended")
    breaks = []
    for call, at in began.items():
        finals = [one for one in caller.finals.get(call, []) if one[0] - at <= WAITS + SLACK]
        if len(finals) != 1:
            breaks.append(f"{call} had {len(finals)} final answers within {WAITS:.0f} s")
    return breaks


if __name__ == "__main__":
    play(__file__, lambda stage: asyncio.run(run(stage)))
