"""SIP stand-ins of the second front: callers over UDP or TCP, and log servers over UDP (RFC 3261)."""

from __future__ import annotations

import asyncio
import os
import random
import socket
import subprocess
import tomllib
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

from kit import ROOT, Record, free_port

Address = tuple[str, int]


def token() -> str:
    """Unique over space and time."""
    return f"{random.SystemRandom().getrandbits(64):016x}"


class Message:
    """One SIP message, read."""

    def __init__(self, data: bytes) -> None:
        head, _, self.body = data.decode().partition("\r\n\r\n")
        self.first, *lines = head.split("\r\n")
        self.headers = [(name.strip(), value.strip()) for name, _, value in (line.partition(":") for line in lines)]
        words = self.first.split(" ")
        self.status = int(words[1]) if words[0].startswith("SIP/") else 0
        self.method = self["CSeq"].split(" ")[1] if self.status else words[0]

    def __getitem__(self, name: str) -> str:
        return next((value for key, value in self.headers if key.lower() == name.lower()), "")

    def all(self, name: str) -> list[str]:
        """Every value of a header."""
        return [value for key, value in self.headers if key.lower() == name.lower()]

    @property
    def uri(self) -> str:
        """The URI of a Contact."""
        value = self["Contact"]
        return value[value.find("<") + 1 : value.find(">")] if "<" in value else value


def write(first: str, headers: list[tuple[str, str]], body: str = "") -> bytes:
    """A message as bytes."""
    lines = [first, *(f"{name}: {value}" for name, value in headers), f"Content-Length: {len(body)}", "", body]
    return "\r\n".join(lines).encode()


def response(request: Message, status: int, tag: str = "", *more: tuple[str, str], body: str = "") -> bytes:
    """A response to a request."""
    headers = [("Via", value) for value in request.all("Via")]
    to = request["To"] if not tag or ";tag=" in request["To"] else f"{request['To']};tag={tag}"
    headers += [("From", request["From"]), ("To", to), ("Call-ID", request["Call-ID"]), ("CSeq", request["CSeq"])]
    reason = {100: "Trying", 200: "OK", 503: "Service Unavailable"}.get(status, "Other")
    return write(f"SIP/2.0 {status} {reason}", [*headers, *more], body)


def address_of(uri: str) -> Address:
    """Host and port of a URI."""
    host, _, port = uri.partition(":")[2].rpartition("@")[2].partition(";")[0].partition(":")
    return host, int(port)


class Peer(asyncio.DatagramProtocol):
    """A socket for datagrams."""

    def __init__(self) -> None:
        self.port = free_port()

    async def open(self) -> None:
        """Bind it."""
        self.transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=("127.0.0.1", self.port)
        )

    def datagram_received(self, data: bytes, address: Address) -> None:
        with suppress(UnicodeDecodeError, IndexError, ValueError):
            if data.strip():
                self.heard(Message(data), address)

    def heard(self, message: Message, address: Address) -> None:
        """A message has come."""

    def send(self, data: bytes, address: Address) -> None:
        """A datagram."""
        if not self.transport.is_closing():
            self.transport.sendto(data, address)

    def close(self) -> None:
        """Nobody listens there any more."""
        self.transport.close()


class SipCall:
    """One call as its caller sees it."""

    def __init__(self, number: str) -> None:
        self.id, self.tag, self.branch, self.number = f"{token()}@127.0.0.1", token(), f"z9hG4bK{token()}", number
        self.finals: list[tuple[float, int, str]] = []
        self.released_at: float | None = None
        self.to, self.target, self.provisional = "", "", False
        self.kind = "log-lookup"
        self.destination: int | None = None  # the log server of first choice
        self.answered, self.released = asyncio.Event(), asyncio.Event()

    @property
    def stands(self) -> bool:
        """Answered with 200."""
        return bool(self.finals) and self.finals[0][1] == 200


class SipCaller(Peer):
    """A caller over UDP: sends an INVITE again by T1 until something comes, acknowledges, hears BYE."""

    def __init__(self, record: Record, name: str, gatekeeper: Address) -> None:
        super().__init__()
        self.record, self.name, self.gatekeeper = record, name, gatekeeper
        self.calls: dict[str, SipCall] = {}
        self.on_final: Callable[[SipCall], None] = lambda call: None

    def headers(self, call: SipCall, method: str, cseq: int, branch: str, transport: str = "UDP") -> list[tuple[str, str]]:
        """Of a request."""
        return [
            ("Via", f"SIP/2.0/{transport} 127.0.0.1:{self.port};branch={branch};rport"), ("Max-Forwards", "70"),
            ("From", f"<sip:caller@127.0.0.1:{self.port}>;tag={call.tag}"),
            ("To", call.to or f"<sip:{call.number}@127.0.0.1>"), ("Call-ID", call.id), ("CSeq", f"{cseq} {method}"),
        ]  # fmt: skip

    def invite_of(self, call: SipCall, transport: str = "UDP", branch: str = "") -> bytes:
        """The INVITE of a call, the same on either transport but for the Via."""
        headers = self.headers(call, "INVITE", 1, branch or call.branch, transport)
        if call.destination is not None:
            headers.append(("P-Path", f"dest:{call.destination}"))
        headers += [("Contact", f"<sip:caller@127.0.0.1:{self.port}>"), ("P-Kind", call.kind),
                    ("Content-Type", "application/sdp")]  # fmt: skip
        return write(f"INVITE sip:{call.number}@127.0.0.1 SIP/2.0", headers, "c=IN IP4 10.4.7.9\r\n")

    def new_call(self) -> SipCall:
        """A call that is not sent yet."""
        call = SipCall(token())
        self.calls[call.id] = call
        return call

    def invite(self) -> SipCall:
        """A call over UDP."""
        call = self.new_call()
        self.record.add(self.name, "INVITE", call.id[:16], "udp")
        asyncio.ensure_future(self.send_again(call))
        return call

    async def send_again(self, call: SipCall) -> None:
        gap = 0.5
        for _ in range(6):
            if call.finals or call.provisional:
                return
            self.send(self.invite_of(call), self.gatekeeper)
            await asyncio.sleep(gap)
            gap *= 2

    def bye(self, call: SipCall) -> None:
        """End a standing call, once: for a test that asks no more of it."""
        self.record.add(self.name, "BYE", call.id[:16])
        headers = self.headers(call, "BYE", 2, f"z9hG4bK{token()}")
        self.send(write(f"BYE {call.target} SIP/2.0", headers), address_of(call.target))

    def heard(self, message: Message, address: Address) -> None:
        call = self.calls.get(message["Call-ID"])
        if call is None:
            return
        if message.status:
            if message.method == "INVITE":
                self.response(call, message)
        elif message.method == "BYE":
            self.send(response(message, 200), address)
            if call.released_at is None:
                call.released_at = self.record.add(self.name, "heard BYE", call.id[:16], message["Reason"])
                call.released.set()

    def response(self, call: SipCall, message: Message) -> None:
        """A response to the INVITE, however it came."""
        if message.status < 200:
            call.provisional = True
            return
        at = self.record.add(self.name, "answer", call.id[:16], f"{message.status}")
        fresh = not call.finals
        if fresh or call.finals[0][1] != message.status:
            call.finals.append((at, message.status, message.body))
        call.to = message["To"]
        if message.status == 200:
            call.target = message.uri
            headers = self.headers(call, "ACK", 1, f"z9hG4bK{token()}")
            self.send(write(f"ACK {call.target} SIP/2.0", headers), address_of(call.target))
        else:
            headers = self.headers(call, "ACK", 1, call.branch)
            self.send(write(f"ACK sip:{call.number}@127.0.0.1 SIP/2.0", headers), self.gatekeeper)
        call.answered.set()
        if fresh:
            self.on_final(call)


class SipLogServer(Peer):
    """A log server over UDP: 100 at once, 200 after `delay`, BYE after `hold`."""

    transport_name = "UDP"

    def __init__(self, record: Record, name: str, number: int) -> None:
        super().__init__()
        self.record, self.name, self.number = record, name, number
        self.delay, self.hold = 0.02, 8.0
        self.dead = False
        self.trying = 0.0  # seconds until it sends 100, if it has not answered by then (RFC 3261: 200 ms)
        self.status, self.lines = 200, 100
        self.seen: dict[str, Message] = {}  # INVITEs by Call-ID
        self.got: list[tuple[float, str]] = []
        self.standing: dict[str, tuple[Message, Address, str]] = {}
        self.ended: dict[str, float] = {}  # by the Call-ID here
        self.cut: dict[str, float] = {}
        self.answers: dict[str, bytes] = {}  # by branch: the last response, for copies
        self.byes: dict[str, int] = {}  # the status of the answer to our BYE
        self.confirmed: set[str] = set()
        self.out: dict[str, float] = {}  # since when an attempt is out here, by Call-ID
        self.spans: list[tuple[str, str, float, float]] = []  # number called, who, from, to
        self.numbers: dict[str, str] = {}  # Call-ID here to the number called

    def heard(self, message: Message, address: Address) -> None:
        call = message["Call-ID"]
        if message.status:
            if message.method == "BYE":
                self.byes[call] = message.status
                self.record.add(self.name, "BYE answered", self.numbers.get(call, ""), str(message.status))
            return
        if message.method == "INVITE":
            branch = message["Via"]
            if call in self.seen:
                if branch in self.answers:
                    self.send(self.answers[branch], address)
                return
            self.seen[call] = message
            self.numbers[call] = message.first.split(" ")[1].partition(":")[2].partition("@")[0]
            at = self.record.add(self.name, "INVITE", self.numbers[call])
            self.got.append((at, self.numbers[call]))
            if self.trying:
                asyncio.get_running_loop().call_later(self.trying, self.progress, call, message, address)
            else:
                self.progress(call, message, address)
            asyncio.get_running_loop().call_later(self.delay, self.answer, call, message, address)
            self.out[call] = at
        elif message.method == "ACK":
            self.confirmed.add(call)
        elif message.method == "BYE":
            self.send(response(message, 200), address)
            if self.standing.pop(call, None) is not None:
                self.record.add(self.name, "heard BYE", self.numbers.get(call, ""))
        elif message.method == "CANCEL":
            self.send(response(message, 200), address)
            invite = self.seen.get(call)
            if invite is not None and call not in self.standing:
                self.record.add(self.name, "heard CANCEL", self.numbers.get(call, ""))
                self.seen.pop(call)
                self.done(call)
                self.send(response(invite, 487, token()), address)
        elif message.method == "OPTIONS":
            self.send(response(message, 200), address)

    def progress(self, call: str, message: Message, address: Any) -> None:
        """100, where nothing has been answered yet."""
        if message["Via"] not in self.answers and call in self.seen:
            self.answers[message["Via"]] = response(message, 100)
            self.send(self.answers[message["Via"]], address)

    def done(self, call: str) -> None:
        """The attempt is out no more: answered, or given up by a CANCEL."""
        if call in self.out:
            self.spans.append((self.numbers[call], self.name, self.out.pop(call), self.record.now()))

    def answer(self, call: str, message: Message, address: Address) -> None:
        """The final answer."""
        if call not in self.seen or self.dead:
            return
        tag = token()
        self.done(call)
        self.record.add(self.name, str(self.status), self.numbers[call])
        if self.status != 200:
            self.answers[message["Via"]] = response(message, self.status, tag)
            self.send(self.answers[message["Via"]], address)
            return
        contact = ("Contact", f"<sip:log@127.0.0.1:{self.port}>")
        load = ("P-Load", f"x0:{self.lines - len(self.standing)};x1:{self.lines}")
        body = f"{self.numbers[call]} at {self.name}"
        data = self.answers[message["Via"]] = response(message, 200, tag, contact, load, body=body)
        self.standing[call] = (message, address, tag)
        self._again(call, data, address, 0.5)
        if self.hold:
            asyncio.get_running_loop().call_later(self.hold, self.release, call)

    def _again(self, call: str, data: bytes, address: Address, gap: float) -> None:
        if call in self.standing and call not in self.confirmed and not self.transport.is_closing():
            self.send(data, address)
            asyncio.get_running_loop().call_later(gap, self._again, call, data, address, min(2 * gap, 4.0))

    def release(self, call: str) -> None:
        """BYE, sent again by T1 until it is answered."""
        known = self.standing.pop(call, None)
        if known is None or self.transport.is_closing():
            return
        self.ended[call] = self.record.add(self.name, "ends (BYE)", self.numbers[call])
        asyncio.ensure_future(self._bye(call, self.bye_of(call, known), address_of(known[0].uri)))

    def bye_of(self, call: str, known: tuple[Message, Any, str]) -> bytes:
        """The BYE of a call that stood."""
        invite, _, tag = known
        headers = [
            ("Via", f"SIP/2.0/{self.transport_name} 127.0.0.1:{self.port};branch=z9hG4bK{token()};rport"), ("Max-Forwards", "70"),
            ("From", f"{invite['To']};tag={tag}"), ("To", invite["From"]), ("Call-ID", call), ("CSeq", "1 BYE"),
            ("Reason", "Q.850;cause=16"),
        ]  # fmt: skip
        return write(f"BYE {invite.uri} SIP/2.0", headers)

    async def _bye(self, call: str, data: bytes, address: Address) -> None:
        gap = 0.5
        for _ in range(8):
            if call in self.byes or self.transport.is_closing():
                return
            self.send(data, address)
            await asyncio.sleep(gap)
            gap = min(2 * gap, 4.0)

    def die(self) -> None:
        """As a process does: nobody listens there, and all its calls are cut."""
        self.dead = True
        at = self.record.add(self.name, "process ends", "", f"{len(self.standing)} calls are cut")
        for call in self.standing:
            self.cut[call] = at
        self.standing.clear()
        self.close()


class Stream(asyncio.Protocol):
    """One TCP connection of a log server; `heard` has each message on it."""

    def __init__(self, heard: Callable[[Message, Any], None], gone: Callable[[Stream], None]) -> None:
        self.on_message, self.on_gone, self.kept = heard, gone, b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport: Any = transport

    def data_received(self, data: bytes) -> None:
        self.kept += data
        while True:
            self.kept = self.kept.lstrip(b"\r\n")
            head, blank, rest = self.kept.partition(b"\r\n\r\n")
            if not blank:
                return
            length = int(Message(head + blank)["Content-Length"] or 0)
            if len(rest) < length:
                return
            whole, self.kept = head + blank + rest[:length], rest[length:]
            self.on_message(Message(whole), self)

    def connection_lost(self, fault: Exception | None) -> None:
        self.on_gone(self)


class SipTcpLogServer(SipLogServer):
    """A log server over TCP. A response whose connection has closed goes by a new one to the sent-by of the
    topmost Via (RFC 3261, 18.2.2): an INVITE does not end with its connection."""

    transport_name = "TCP"

    async def open(self) -> None:
        """Listen."""
        self.streams: list[Stream] = []
        self.listener = await asyncio.get_running_loop().create_server(self._stream, "127.0.0.1", self.port)

    def _stream(self) -> Stream:
        made = Stream(self.heard, self._gone)
        self.streams.append(made)
        return made

    def _gone(self, stream: Stream) -> None:
        self.record.add(self.name, "connection", "", "closed or reset")
        if stream in self.streams:
            self.streams.remove(stream)

    def send(self, data: bytes, address: Any) -> None:
        """By the connection of the request, else by another that is open, else by a new one."""
        if isinstance(address, Stream) and not address.transport.is_closing():
            address.transport.write(data)
        else:
            asyncio.ensure_future(self._send_anew(data, address))

    async def _send_anew(self, data: bytes, address: Any) -> None:
        if isinstance(address, Stream):
            via = Message(data)["Via"]
            host, _, port = via.partition(";")[0].split(" ")[1].partition(":")
            address = (host, int(port))
        with suppress(OSError):
            _, stream = await asyncio.get_running_loop().create_connection(self._stream, *address)
            stream.transport.write(data)

    def _again(self, call: str, data: bytes, address: Any, gap: float) -> None:
        if call in self.standing and call not in self.confirmed:
            self.send(data, address)
            asyncio.get_running_loop().call_later(gap, self._again, call, data, address, min(2 * gap, 4.0))

    def release(self, call: str) -> None:
        """BYE, once: TCP sends again by itself."""
        known = self.standing.pop(call, None)
        if known is not None:
            self.ended[call] = self.record.add(self.name, "ends (BYE)", self.numbers[call])
            self.send(self.bye_of(call, known), address_of(known[0].uri))

    def close(self) -> None:
        """Nobody listens there any more."""
        self.listener.close()
        for stream in list(self.streams):
            stream.transport.abort()


class Proxy:
    """A TCP proxy in front of a log server, which resets what goes through it."""

    def __init__(self, record: Record, name: str, behind: int) -> None:
        self.record, self.name, self.behind, self.port = record, name, behind, free_port()
        self.pairs: list[tuple[Any, Any]] = []

    async def open(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", self.port)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            there, back = await asyncio.open_connection("127.0.0.1", self.behind)
        except OSError:
            writer.transport.abort()
            return
        self.pairs.append((writer, back))
        await asyncio.gather(self._copy(reader, back), self._copy(there, writer))

    async def _copy(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(OSError):
            while data := await reader.read(65536):
                writer.write(data)
        with suppress(OSError, RuntimeError):
            writer.close()

    def reset(self) -> None:
        """Both ends of each connection hear a reset; new ones come up."""
        self.record.add(self.name, "resets", "", f"{len(self.pairs)} connections")
        pairs, self.pairs = self.pairs, []
        for pair in pairs:
            for writer in pair:
                with suppress(OSError):
                    sock = writer.get_extra_info("socket")
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                writer.transport.abort()

    def close(self) -> None:
        """The run is over."""
        self.server.close()
        for pair in self.pairs:
            for writer in pair:
                writer.transport.abort()


class SipGatekeeper:
    """One process by an operator's file: the `run` line of the deploy file and the file behind it."""

    def __init__(self, record: Record, name: str, folder: Path, text: str, port: int) -> None:
        self.record, self.name, self.port = record, name, port
        self.file = folder / f"{name}.toml"
        self.file.write_text(text)
        self.log_path = folder / f"{name}.log"
        self.log = self.log_path.open("ab")
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        env = {key: value for key, value in os.environ.items() if not key.startswith("LB_")}
        self.process = subprocess.Popen(["/bin/sh", "-c", f"{run} {self.file}"], cwd=ROOT, env=env,
                                        stdout=self.log, stderr=self.log)  # fmt: skip
        record.add(name, "started")

    async def ready(self, within: float = 30.0) -> None:
        """Until it says 200 to OPTIONS over TCP."""
        loop = asyncio.get_running_loop()
        end = loop.time() + within
        while loop.time() < end:
            if self.process.poll() is not None:
                raise RuntimeError(f"{self.name} ended: {self.log_path.read_text()[-2000:]}")
            with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                try:
                    writer.write(write("OPTIONS sip:ping@127.0.0.1 SIP/2.0", [
                        ("Via", f"SIP/2.0/TCP 127.0.0.1:9;branch=z9hG4bK{token()}"), ("Max-Forwards", "70"),
                        ("From", f"<sip:test@127.0.0.1>;tag={token()}"), ("To", "<sip:ping@127.0.0.1>"),
                        ("Call-ID", token()), ("CSeq", "1 OPTIONS")]))  # fmt: skip
                    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 1)
                    if head.startswith(b"SIP/2.0 200"):
                        self.record.add(self.name, "ready")
                        return
                finally:
                    writer.close()
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.name} is not ready: {self.log_path.read_text()[-2000:]}")

    def signal(self, number: int) -> None:
        """A signal to the program that `run` started."""
        import signal as signals

        self.record.add(self.name, signals.Signals(number).name)
        self.process.send_signal(number)

    def end(self) -> None:
        """It ends, however it is."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.log.close()


def operator_file(port: int, servers: list[SipLogServer], draining: tuple[str, ...] = (),
                  ports: dict[str, int] | None = None) -> str:  # fmt: skip
    """Settings of a small deployment."""
    parts = [
        f"""gatekeepers = 1

[sip]
udp = "127.0.0.1:{port}"
tcp = "127.0.0.1:{port}"
default_class = "log-lookup"
t1_ms = 500

[limits]
sockets = 1024
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

[[classes]]
name = "log-update"
aim_ms = 1500
deadline_ms = 9000
worth = 2.0
late_worth = 0.25
hold_ms = 14000
"""
    ]
    for server in servers:
        state = "draining" if server.name in draining else "ready"
        parts.append(f"""[[servers]]
id = "{server.name}"
address = "127.0.0.1:{(ports or {}).get(server.name, server.port)}"
transport = "{server.transport_name.lower()}"
number = {server.number}
state = "{state}"
""")
    return "\n".join(parts)
