"""Whole exchanges with real processes, compared to the letter with approved texts: docs/transcripts.md."""

from __future__ import annotations

import copy
import json
import queue
import socket
import tempfile
from functools import cached_property
from pathlib import Path
from typing import Any

import grpc
import pytest
from envoy.service.discovery.v3 import ads_pb2_grpc, discovery_pb2
from google.protobuf.json_format import MessageToJson
from google.rpc.status_pb2 import Status
from support import SETTINGS, Caller, LogServer, free_port
from syrupy.extensions.single_file import SingleFileSnapshotExtension, WriteMode
from test_operation import control_call
from test_sip import Peer, SipBase
from xds_proxies import CLUSTER, Service

from mallowquay.controlplane.snapshot import Kind
from mallowquay.controlplane.xds import PATH, TYPE
from mallowquay.fleet.model import Candidate, Hello, Key, Lead, Leave, Life
from mallowquay.membership.coordinator import FRAME, RECORD
from rigs.fleet.machines import FILE as MACHINE
from rigs.fleet.machines import Machine
from rigs.process import quiet_port
from rigs.consul import instance
from rigs.sip_peers import encode, operators_file
from rigs.transcripts.play import GATEKEEPER, Fleet, Members, Plays, Stage, until
from rigs.transcripts.wire import ASKED, DATAGRAM, HTTP, LINES, SIP, TOLD

APPROVED = Path(__file__).parent / "transcripts"
PLAYS = Plays()


class Texts(SingleFileSnapshotExtension):
    """One approved file a play, under its name."""

    file_extension = "txt"
    _write_mode = WriteMode.TEXT

    @classmethod
    def dirname(cls, *, test_location: Any) -> str:
        return str(APPROVED)

    @classmethod
    def get_snapshot_name(cls, *, test_location: Any, index: Any = 0) -> str:
        return str(test_location.item.callspec.id)

    @classmethod
    def matches_test_location(cls, *, test_location: Any, snapshot_location: str) -> bool:
        return Path(snapshot_location).stem == test_location.item.callspec.id


# --- the platform's front ------------------------------------------------------------------------


class TappedServer(LogServer):
    """A log server on whose connections a tap sits."""

    stage: Stage

    def accept(self) -> None:
        self.sock = self.stage.accepted(self.listener, f"log-{self.number}", LINES)
        self.kept = b""
        self.say("gauge", "", load="x0:1000;x1:1000")


class Platform(Stage):
    """The platform's front between one caller, log servers and the coordinator."""

    def begin(self) -> None:
        options = self.options
        self.port = free_port()
        self.log_servers = [TappedServer(number) for number in range(options.get("servers", 1))]
        for server in self.log_servers:
            server.stage = self
            self.listens(server.listener, f"log-{server.number}", LINES)
        coordinator = self.listens(socket.create_server(("127.0.0.1", 0)), "coordinator", ASKED)
        settings = copy.deepcopy(SETTINGS)
        settings["limits"] |= options.get("limits", {})
        for service in settings["services"]:
            service |= options.get("service", {})
        self.document = {
            "name": "n0", "listen": f"127.0.0.1:{self.port}", "seed": "8c1f",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            "coordinator": f"127.0.0.1:{coordinator.getsockname()[1]}", "settings": settings,
            "known": {"index": 1, "updates": [{"index": 1, "endpoints": {
                "version": 1, "full": True, "servers": [one.entry() for one in self.log_servers]}}]},
        }  # fmt: skip
        folder = Path(self.left.enter_context(tempfile.TemporaryDirectory()))
        self.file = folder / "n0.json"
        self.file.write_text(json.dumps(self.document))
        self.control = free_port()
        environment = {"LB_CONFIG": str(self.file), "LB_LISTEN": f"127.0.0.1:{self.port}"}
        if options.get("control"):
            environment["LB_CONTROL"] = f"127.0.0.1:{self.control}"
        self.run([], environment)
        for server in self.log_servers:
            server.accept()
        self.feed = self.accepted(coordinator, "coordinator", ASKED, TOLD)
        self.index = int.from_bytes(self.feed.recv(), "big")
        self.caller = self.another("caller")

    def another(self, name: str) -> Caller:
        """One more caller's connection."""
        caller = Caller(self.port)
        self.record.add(name, GATEKEEPER, "(connected)")
        caller.sock = self.tap(caller.sock, name, SIP)
        return caller

    def tell(self, server: LogServer, state: int, started_ms: int = 0) -> None:
        """The coordinator tells a change of a log server."""
        self.index += 1
        record = RECORD.pack(server.number, socket.inet_aton("127.0.0.1"), server.port, state, 0, 0,
                             server.number, 1000, started_ms)  # fmt: skip
        self.feed.sendall(FRAME.pack(9 + len(record), self.index, 2) + record)

    def stand(self, call: str = "00000000000000a1") -> None:
        """A call comes to stand on the first log server."""
        self.caller.invite(call)
        self.log_servers[0].read()
        self.log_servers[0].say("up", call, text="answer")
        self.caller.read()
        self.caller.send("ACK", call)

    def end(self, call: str = "00000000000000a1") -> None:
        """Its log server releases it."""
        self.log_servers[0].say("down", call, cause=16)
        self.caller.read()
        self.log_servers[0].read()


CALL = "00000000000000a1"


@PLAYS.on(Platform)
def platform_stands_released_by_log_server(stage: Platform) -> None:
    """A call stands and is released by its log server."""
    stage.stand()
    stage.end()


@PLAYS.on(Platform)
def platform_stands_released_by_caller(stage: Platform) -> None:
    """A call stands and is released by its caller, on another connection than that of its set-up."""
    stage.stand()
    other = stage.another("other")
    other.send("BYE", CALL, "Reason: Q.850;cause=16")
    other.read()
    stage.log_servers[0].read()


@PLAYS.each(Platform, {
    "fault": {"told": "A log server fails a set-up; the caller is told so.", "cause": 47},
    "number_busy": {"told": "All lines of the number are busy.", "cause": 34, "note": "busy"},
    "lines_full": {"told": "The only log server has no free line.", "cause": 34, "note": "nc"},
    "processor_full": {"told": "The only log server's processor is full.", "cause": 34, "note": "ovl"},
    "reset": {"told": "The set-up broke on its way, and another attempt may not follow.", "cause": 41},
    "moot": {"told": "The set-up never left the log server's link.", "cause": 102},
}, limits={"mostTries": 1})  # fmt: skip
def platform_ending(stage: Platform, cause: int, **note: str) -> None:
    stage.caller.invite(CALL)
    stage.log_servers[0].read()
    stage.log_servers[0].say("down", CALL, cause=cause, **note)
    stage.caller.read()
    stage.caller.send("ACK", CALL)


@PLAYS.on(Platform, servers=2)
def platform_lines_full_goes_elsewhere(stage: Platform) -> None:
    """A log server has no free line; the call stands on the other one."""
    stage.caller.invite(CALL)
    stage.log_servers[0].read()
    stage.log_servers[0].say("down", CALL, cause=34, note="nc")
    stage.log_servers[1].read()
    stage.log_servers[1].say("up", CALL, text="answer")
    stage.caller.read()
    stage.log_servers[1].say("down", CALL, cause=16)
    stage.caller.read()
    stage.log_servers[1].read()


@PLAYS.on(Platform, limits={"mostTries": 1})
def platform_timed_out(stage: Platform) -> None:
    """A log server never answers: the caller is told before it gives up, and a late answer is released."""
    stage.caller.invite(CALL, left=600)
    stage.log_servers[0].read()
    stage.caller.read()
    stage.log_servers[0].read()
    stage.log_servers[0].say("up", CALL, text="late")
    stage.log_servers[0].read()


@PLAYS.on(Platform)
def platform_cut(stage: Platform) -> None:
    """A log server that cuts a standing call: the caller hears of it as of a cut."""
    stage.stand()
    stage.log_servers[0].say("down", CALL, cause=41)
    stage.caller.read()
    stage.log_servers[0].read()


@PLAYS.on(Platform)
def platform_log_server_dies(stage: Platform) -> None:
    """A log server's process dies: its standing call is cut."""
    stage.stand()
    stage.log_servers[0].reset()
    stage.caller.read()


@PLAYS.on(Platform)
def platform_no_server(stage: Platform) -> None:
    """The only log server has gone from the list: a call is refused with a time to stay away."""
    stage.tell(stage.log_servers[0], 2)
    while stage.log_servers[0].sock.recv():
        pass
    stage.caller.invite(CALL, left=300)
    stage.caller.read()


@PLAYS.on(Platform)
def platform_caller_gives_up(stage: Platform) -> None:
    """A caller gives its set-up up before it is answered."""
    stage.caller.invite(CALL)
    stage.log_servers[0].read()
    stage.caller.send("CANCEL", CALL)
    stage.caller.read()
    stage.caller.read()
    stage.log_servers[0].read()


@PLAYS.on(Platform)
def platform_cancel_crosses_answer(stage: Platform) -> None:
    """A caller's giving up crosses the answer: the call that stands is released on both sides."""
    stage.stand()
    stage.caller.send("CANCEL", CALL)
    stage.caller.read()
    stage.caller.read()
    stage.log_servers[0].read()


@PLAYS.on(Platform)
def platform_bad_requests(stage: Platform) -> None:
    """Requests that cannot be used are answered one by one, and the connection goes on."""
    good, left = "P-Kind: log-lookup", "P-Time-Left: 900"
    for call, uri, *headers in (
        ("short", "7f", good, left), (CALL, "7f", "P-Kind: no-such", left),
        (CALL, "7f", good, "P-Time-Left: soon"), (CALL, "7f", good, left, "P-Path: dest:99"),
        (CALL, "x", good, left),
    ):  # fmt: skip
        stage.caller.send("INVITE", call, *headers, uri=uri)
        stage.caller.read()
    stage.caller.send("DANCE", CALL)
    stage.caller.read()
    stage.stand("00000000000000a2")
    stage.end("00000000000000a2")


# --- the second front ----------------------------------------------------------------------------


QUICK = "t1_ms = 100\nt2_ms = 400\nt4_ms = 500"  # of the rigs
SLOW = "t1_ms = 4000\nt2_ms = 4000\nt4_ms = 5000"


class Sip(Stage):
    """The second front between a caller on UDP and TCP and one log server on UDP.

    T1 is long, so that nothing is sent again on a slow machine, unless the play is about that.
    """

    request = SipBase.request

    def begin(self) -> None:
        options = self.options
        self.port, self.control, self.at = quiet_port(), free_port(), quiet_port()
        servers = [(self.at, "udp")] if options.get("listed", True) else []
        file = Path(operators_file(self.port, servers, extra=options.get("extra", "")))
        self.left.callback(file.unlink)
        text = file.read_text().replace(QUICK, options.get("timers", SLOW))
        for before, after in options.get("changes", {}).items():
            text = text.replace(before, after)
        file.write_text(f'control = "127.0.0.1:{self.control}"\n{text}')
        self.file = file
        self.run([str(file)])
        self.up(self.port)
        self.udp = self.datagrams("caller", quiet_port(), copies_most=options.get("copies_most"))
        self.server = self.datagrams("log-0", self.at, copies_most=options.get("copies_most"))
        self.contact = ("Contact", f"<sip:log@127.0.0.1:{self.at}>")

    @cached_property
    def tcp(self) -> Peer:
        """The caller's TCP connection, opened where a play wants it."""
        return Peer(self.connected(self.port, "caller", SIP))

    def datagrams(self, name: str, port: int, **more: Any) -> Peer:
        """A stand-in's UDP socket."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(("127.0.0.1", port))
        return Peer(self.tap(sock, name, DATAGRAM, **more), ("127.0.0.1", self.port))

    def stand(self, peer: Peer, call: str = "c1") -> tuple[str, Any]:
        """A call comes to stand: the tag of the program's side, and the INVITE that its log server got."""
        self.request(peer, "INVITE", call)
        peer.expect("SIP/2.0 100")
        invite = self.server.expect("INVITE")
        self.server.reply(invite, 200, self.contact, body=b"answer")
        self.server.expect("ACK")
        tag = peer.expect("SIP/2.0 200").tag("to")
        self.request(peer, "ACK", call, tag, mark="a")
        return tag, invite

    def refused(self, peer: Peer, call: str = "c1") -> None:
        """Its caller takes a final answer other than 200."""
        self.request(peer, "ACK", call, peer.next().tag("to"))

    def bye(self, peer: Peer, tag: str, call: str = "c1") -> None:
        """Its caller ends it."""
        self.request(peer, "BYE", call, tag, cseq=2, mark="b")
        peer.expect("SIP/2.0 200")
        self.server.reply(self.server.expect("BYE"), 200)


@PLAYS.each(Sip, {
    "udp": {"told": "A call over UDP stands and is released by its caller.", "over": "udp"},
    "tcp": {"told": "A call over TCP stands and is released by its caller.", "over": "tcp"},
})  # fmt: skip
def sip_stands_released_by_caller(stage: Sip, over: str) -> None:
    peer = getattr(stage, over)
    tag, _ = stage.stand(peer)
    stage.bye(peer, tag)


@PLAYS.on(Sip)
def sip_stands_released_by_log_server(stage: Sip) -> None:
    """A call stands and is released by its log server; the caller hears it at its Contact."""
    _, invite = stage.stand(stage.udp)
    bye = [("Via", f"SIP/2.0/UDP 127.0.0.1:{stage.at};branch=z9hG4bKx"),
           ("From", f"{invite.get('to')};tag=srv"), ("To", invite.get("from")),
           ("Call-ID", invite.get("call-id")), ("CSeq", "1 BYE"), ("Max-Forwards", "70")]  # fmt: skip
    stage.server.write(encode(f"BYE {invite.get('contact').strip('<>')} SIP/2.0", bye))
    stage.server.expect("SIP/2.0 200")
    stage.udp.reply(stage.udp.expect("BYE"), 200)


@PLAYS.on(Sip)
def sip_cancel(stage: Sip) -> None:
    """A caller gives its set-up up while the log server rings."""
    stage.request(stage.udp, "INVITE", "c1")
    stage.udp.expect("SIP/2.0 100")
    invite = stage.server.expect("INVITE")
    stage.server.reply(invite, 180)
    stage.request(stage.udp, "CANCEL", "c1")
    stage.udp.expect("SIP/2.0 200")
    stage.refused(stage.udp)
    stage.server.reply(stage.server.expect("CANCEL"), 200)
    stage.server.reply(invite, 487)
    stage.server.expect("ACK")


@PLAYS.each(Sip, {
    "486": {"told": "The number is busy: the caller is told 480.", "status": 486},
    "503": {"told": "The log server is full: the caller is refused with 503.", "status": 503},
    "480": {"told": "The log server has no free line: the caller is refused with 503.", "status": 480},
    "500": {"told": "The log server fails: the caller is told 480.", "status": 500},
    "408": {"told": "The log server's own wait ran out: the caller is told 504.", "status": 408},
}, extra="[limits]\nattempts = 1\n")  # fmt: skip
def sip_ending(stage: Sip, status: int) -> None:
    stage.request(stage.udp, "INVITE", "c1")
    stage.udp.expect("SIP/2.0 100")
    stage.server.reply(stage.server.expect("INVITE"), status)
    stage.server.expect("ACK")
    stage.refused(stage.udp)


@PLAYS.on(Sip, extra="[limits]\nattempts = 1\n",
          changes={"aim_ms = 2000\ndeadline_ms = 3000": "aim_ms = 500\ndeadline_ms = 600"})  # fmt: skip
def sip_timed_out(stage: Sip) -> None:
    """A log server never answers: 504 before the deadline, and a late 200 is acknowledged and closed."""
    stage.request(stage.tcp, "INVITE", "c1")
    stage.tcp.expect("SIP/2.0 100")
    invite = stage.server.expect("INVITE")
    stage.server.reply(invite, 100)
    stage.refused(stage.tcp)
    stage.server.reply(stage.server.expect("CANCEL"), 200)
    stage.server.reply(invite, 200, stage.contact)
    stage.server.expect("ACK")
    stage.server.reply(stage.server.expect("BYE"), 200)


@PLAYS.on(Sip)
def sip_invite_sent_again_by_its_caller(stage: Sip) -> None:
    """An INVITE that comes twice is one call; a copy after the answer gets the answer again."""
    stage.request(stage.udp, "INVITE", "c1")
    stage.udp.expect("SIP/2.0 100")
    invite = stage.server.expect("INVITE")
    stage.request(stage.udp, "INVITE", "c1")
    stage.udp.expect("SIP/2.0 100")
    stage.server.reply(invite, 200, stage.contact)
    stage.server.expect("ACK")
    tag = stage.udp.expect("SIP/2.0 200").tag("to")
    stage.request(stage.udp, "INVITE", "c1", mark="late")
    stage.udp.expect("SIP/2.0 200")
    stage.request(stage.udp, "ACK", "c1", tag, mark="a")
    stage.bye(stage.udp, tag)


@PLAYS.on(Sip, timers="t1_ms = 200\nt2_ms = 400\nt4_ms = 500",
          copies_most={"INVITE": 1, "SIP/2.0 200": 1})  # fmt: skip
def sip_sends_again_without_an_answer(stage: Sip) -> None:
    """An INVITE without an answer is sent again, and a 200 without its ACK; one copy of each is told."""
    stage.request(stage.udp, "INVITE", "c1")
    stage.udp.expect("SIP/2.0 100")
    stage.server.expect("INVITE")
    invite = stage.server.expect("INVITE")
    stage.server.reply(invite, 200, stage.contact)
    stage.server.expect("ACK")
    tag = stage.udp.expect("SIP/2.0 200").tag("to")
    stage.udp.expect("SIP/2.0 200")
    stage.request(stage.udp, "ACK", "c1", tag, mark="a")
    stage.bye(stage.udp, tag)


@PLAYS.on(Sip)
def sip_bad_messages(stage: Sip) -> None:
    """Requests that cannot be served are each answered by their fault."""
    for call, change in (
        ("to", {"drop": "To"}), ("contact", {"drop": "Contact"}), ("tel", {"uri": "tel:1"}),
        ("require", {"more": (("Require", "100rel"),)}), ("kind", {"more": (("P-Kind", "none"),)}),
    ):  # fmt: skip
        stage.request(stage.udp, "INVITE", call, **change)
        stage.refused(stage.udp, call)
    stage.request(stage.udp, "BYE", "nobody", "none")
    stage.udp.next()
    stage.request(stage.udp, "DANCE", "dance")
    stage.udp.next()


@PLAYS.on(Sip)
def sip_options_ready_and_draining(stage: Sip) -> None:
    """OPTIONS while ready, while drained, and after the end of the drain."""
    stage.request(stage.udp, "OPTIONS", "o1")
    stage.udp.next()
    stage.call(stage.control, "POST", "/healthcheck/fail")
    stage.request(stage.udp, "OPTIONS", "o2")
    stage.udp.next()
    stage.call(stage.control, "POST", "/healthcheck/ok")
    stage.request(stage.udp, "OPTIONS", "o3")
    stage.udp.next()


# --- second address, configuration, signals ------------------------------------------------------


@PLAYS.on(Platform, control=True)
def control_pages(stage: Platform) -> None:
    """The second address: readiness, figures before and after a call, and a page that is not there."""
    stage.call(stage.control, "GET", "/healthcheck")
    stage.call(stage.control, "GET", "/stats")
    stage.stand()
    stage.end()
    stage.call(stage.control, "GET", "/stats")
    stage.call(stage.control, "GET", "/nowhere")
    stage.call(stage.control, "GET", "/healthcheck/fail")


@PLAYS.on(Platform, control=True)
def control_drain_and_undo(stage: Platform) -> None:
    """A drain closes connections between requests, leaves a standing call its own, and is undone."""
    stage.stand()
    idle = stage.another("idle")
    idle.send("OPTIONS", "p")
    idle.read()
    stage.call(stage.control, "POST", "/healthcheck/fail")
    stage.call(stage.control, "GET", "/healthcheck")
    assert idle.sock.recv() == b""
    stage.caller.send("OPTIONS", "p")
    stage.caller.read()
    stage.call(stage.control, "POST", "/healthcheck/ok")
    stage.call(stage.control, "GET", "/healthcheck")
    stage.end()


@PLAYS.on(Platform, control=True)
def sighup_faulty_file(stage: Platform) -> None:
    """A faulty file at SIGHUP is told in the log with its key, and the one before stays in force."""
    faulty = {**stage.document, "coordinator": "nowhere"}
    stage.file.write_text(json.dumps(faulty))
    stage.signal("SIGHUP")
    stage.logged("configuration_not_taken")
    stage.call(stage.control, "GET", "/stats")
    stage.stand()
    stage.end()


FILE = """[sip]
udp = "127.0.0.1:5060"
[[classes]]
name = "log-lookup"
aim_ms = 2000
deadline_ms = 3000
[[servers]]
id = "log-0"
address = "127.0.0.1:5061"
"""


@PLAYS.each(Stage, {
    "unknown_key": {"told": "A misspelt key.", "before": "aim_ms", "after": "aim_msec"},
    "missing_key": {"told": "A key that must be there.", "before": "aim_ms = 2000\n", "after": ""},
    "wrong_kind": {"told": "Text in place of a number.", "before": "2000", "after": '"soon"'},
    "out_of_bounds": {"told": "A number that may not be 0.", "before": "3000", "after": "0"},
    "bad_address": {"told": "An address without a port.", "before": "127.0.0.1:5061", "after": "nowhere"},
    "bad_choice": {"told": "A transport that is none.", "before": 'id = "log-0"',
                   "after": 'id = "log-0"\ntransport = "pigeon"'},
    "not_toml": {"told": "A file that cannot be parsed.", "before": "[sip]", "after": "[sip"},
}, ends=False)  # fmt: skip
def configuration_fault(stage: Stage, before: str, after: str) -> None:
    stage.command(["serve", "faulty.toml"], "faulty.toml", FILE.replace(before, after), {})


@PLAYS.on(Stage, ends=False)
def configuration_fault_of_the_platform(stage: Stage) -> None:
    """The platform's file lacks a key; then it is no JSON; the check of an operator's file tells as much."""
    stage.command([], "n0.json", '{"name": "n0"}', {"LB_CONFIG": "n0.json", "LB_LISTEN": "127.0.0.1:1"})
    stage.command([], "n0.json", '{"name"', {"LB_CONFIG": "n0.json", "LB_LISTEN": "127.0.0.1:1"})
    stage.command(["check", "faulty.toml"], "faulty.toml", FILE.replace("2000", "0"), {})


# --- lists from Consul, choices for other proxies ------------------------------------------------


class Listed(Sip):
    """The second front with its list from Consul, and polls of other proxies."""

    def begin(self) -> None:
        self.catalogue = self.listens(socket.create_server(("127.0.0.1", 0)), "consul", HTTP)
        self.xds = free_port()
        self.options |= {"listed": False, "extra": (
            f'[consul]\naddress = "127.0.0.1:{self.catalogue.getsockname()[1]}"\nservice = "log-server"\n'
            "age_ms = 600000\n"  # a query that the play leaves open is not asked anew
            f'[xds]\nlisten = "127.0.0.1:{self.xds}"\n')}  # fmt: skip
        super().begin()

    def asked(self) -> Any:
        """The program's next query."""
        query = self.accepted(self.catalogue, "consul", HTTP)
        query.recv()
        return query

    def answer(self, query: Any, index: int, *instances: dict[str, Any], status: str = "200 OK") -> None:
        """Answer it; the program closes the connection."""
        body = json.dumps(instances)
        query.sendall(f"HTTP/1.1 {status}\r\nX-Consul-Index: {index}\r\nX-Consul-KnownLeader: true\r\n"
                      f"Content-Length: {len(body)}\r\n\r\n{body}".encode())  # fmt: skip
        assert query.recv() == b""

    def poll(self, **request: Any) -> dict[str, Any]:
        """Another proxy's poll."""
        answer = self.call(self.xds, "POST", PATH, json.dumps({"type_url": TYPE, **request}), "proxy")
        body = answer.partition(b"\r\n\r\n")[2]
        return json.loads(body) if body else {}


@PLAYS.on(Listed)
def consul_blocking_query_and_change(stage: Listed) -> None:
    """The list follows Consul: each query waits from the index told; a new call goes by the new list."""
    stage.answer(stage.asked(), 11, instance("a", stage.at, "critical"))
    query = stage.asked()
    stage.answer(query, 12, instance("a", stage.at))
    stage.asked()
    stage.bye(stage.udp, stage.stand(stage.udp)[0])


@PLAYS.on(Listed)
def consul_fault(stage: Listed) -> None:
    """An answer that cannot be used changes nothing, and the next query asks for the whole anew."""
    stage.answer(stage.asked(), 11, instance("a", stage.at))
    stage.answer(stage.asked(), 11, status="500 Internal Server Error")
    stage.logged("consul_fault")
    stage.asked()
    stage.bye(stage.udp, stage.stand(stage.udp)[0])


@PLAYS.on(Listed)
def xds_polls(stage: Listed) -> None:
    """Polls of another proxy: first answer, nothing new, a change, a version refused, a bad request."""
    stage.answer(stage.asked(), 11, instance("a", stage.at))
    query = stage.asked()
    first = stage.poll()
    stage.poll(version_info=first["version_info"])
    stage.answer(query, 12, instance("a", stage.at, "critical"))
    stage.asked()
    second = stage.poll(version_info=first["version_info"])
    stage.poll(version_info=first["version_info"], response_nonce=second["nonce"],
               error_detail={"message": "no"})  # fmt: skip
    stage.poll(type_url="type.googleapis.com/x")
    stage.call(stage.xds, "POST", PATH, "{", "proxy")


class Streams(Stage):
    """The control service by itself, and one proxy's stream of endpoints. Messages are told by JSON."""

    def begin(self) -> None:
        folder = Path(self.left.enter_context(tempfile.TemporaryDirectory()))
        self.service = Service(folder, [quiet_port(), quiet_port()], "lease_ms = 0\n")
        self.program = self.service.process
        self.left.callback(self.program.stop)
        channel = grpc.insecure_channel(f"127.0.0.1:{self.service.ads}")
        self.left.callback(channel.close)
        self.requests: queue.SimpleQueue[Any] = queue.SimpleQueue()
        self.left.callback(self.requests.put, None)
        stub = ads_pb2_grpc.AggregatedDiscoveryServiceStub(channel)
        self.stream = stub.StreamAggregatedResources(iter(self.requests.get, None), timeout=10)

    def ask(self, **fields: Any) -> None:
        """The proxy's word."""
        node, kind = {"id": "proxy"}, Kind.ENDPOINTS.value
        request = discovery_pb2.DiscoveryRequest(node=node, type_url=kind, resource_names=[CLUSTER], **fields)
        self.told("proxy", GATEKEEPER, request)
        self.requests.put(request)

    def next(self) -> Any:
        """The service's."""
        response = next(self.stream)
        self.told(GATEKEEPER, "proxy", response)
        return response

    def told(self, origin: str, to: str, message: Any) -> None:
        text = MessageToJson(message, indent=1, preserving_proto_field_name=True)
        self.record.add(origin, to, type(message).__name__, *(f"| {line}" for line in text.splitlines()))

    def finish(self, asks: bool = True) -> None:
        """As any; pushes that the play did not take are told."""
        super().finish(asks)
        try:
            while True:
                self.next()
        except (StopIteration, grpc.RpcError):
            pass

    def tell(self, *drained: int) -> None:
        """A new list by SIGHUP."""
        self.note("platform", f"SIGHUP: a list with {', '.join(map(str, drained)) or 'none'} draining")
        self.service.tell(set(drained))


@PLAYS.on(Streams)
def xds_stream(stage: Streams) -> None:
    """A stream of endpoints: the first push, its ack, a drain, its refusal, and the end of the drain."""
    stage.ask()
    first = stage.next()
    stage.ask(version_info=first.version_info, response_nonce=first.nonce)
    stage.tell(0)
    second = stage.next()
    stage.ask(version_info=first.version_info, response_nonce=second.nonce,
              error_detail=Status(code=3, message="no"))  # fmt: skip
    stage.tell()
    third = stage.next()
    stage.ask(version_info=third.version_info, response_nonce=third.nonce)


# --- the fleet -----------------------------------------------------------------------------------


@PLAYS.on(Members)
def fleet_first_view(stage: Members) -> None:
    """Three members that know nothing meet; the least name proposes the first view, and all keep it."""
    for name in stage.names:
        stage.meet(name)
    stage.agree(1, *stage.names)


@PLAYS.on(Members)
def fleet_member_leaves(stage: Members) -> None:
    """A member that leaves in order is left out by the next view."""
    for name in stage.names:
        stage.meet(name)
    stage.agree(1, *stage.names)
    stage.say("g3", Leave(stage.lives["g3"]))
    stage.agree(2, "g2")


@PLAYS.on(Members)
def fleet_greetings_refused(stage: Members) -> None:
    """Greetings that are not taken: no format in common, another's name, an earlier life."""
    stage.meet("g2")
    stage.dial("g3", Hello(9, 9, "g3", "g1", stage.lives["g3"]))
    stage.take("g3", "refused")
    stage.take("g3", "(closed)")
    stage.dial("g3", Hello(1, 1, "g3", "g9", stage.lives["g3"]))
    stage.take("g3", "(closed)")
    stage.dial("g3", Hello(1, 1, "g3", "g1", Life(7, 2**61, 2**60)))
    stage.take("g3", "welcome")
    stage.dial("g3", Hello(1, 1, "g3", "g1", stage.lives["g3"]))
    stage.take("g3", "refused")


@PLAYS.on(Members, leaves_out=frozenset({"cand"}))  # the new leader says no more: it may stand before its end
def fleet_no_vote_while_led(stage: Members) -> None:
    """A member that leads gives no vote; a leader of a newer term is followed all the same."""
    for name in stage.names:
        stage.meet(name)
    stage.agree(1, *stage.names)
    stage.say("g2", Candidate(True, 2, Key(1, 1), stage.lives["g2"].disk))
    stage.take("g2", "vote")
    stage.say("g2", Lead(2, Key(1, 1), Key(1, 1), 5, 0, 0))
    stage.take("g2", "follow")


@PLAYS.on(Fleet, ends=False)
def fleet_of_three_loses_one(stage: Fleet) -> None:
    """Three real members agree on a first view; one is killed, and the two left agree on the next."""

    async def script(rig: Any, lanes: Any) -> None:
        assert await rig.until(lambda: "agreed 1" in lanes.words("g1", "g2"), every=0.01)
        assert await rig.until(lambda: "agreed 1" in lanes.words("g1", "g3"), every=0.01)
        rig.kill("g3")
        assert await rig.until(lambda: "agreed 2" in lanes.words("g1", "g2"), every=0.01)

    stage.play(script)


class Machines(Sip):
    """Three real members with copies and takeover; one caller and one log server, whose calls g1 takes."""

    def begin(self) -> None:
        folder = Path(self.left.enter_context(tempfile.TemporaryDirectory()))
        self.at, self.machines, self.controls = quiet_port(), {}, {}
        listens = {name: quiet_port() for name in ("g1", "g2", "g3")}
        for name in listens:
            machine = self.machines[name] = Machine(name, folder / name)
            self.controls[name], port = quiet_port(), quiet_port()
            self.port = port if name == "g1" else self.port
            text = MACHINE.format(seed=1, count=3, control=self.controls[name], sip=port)
            text = text.replace(QUICK, SLOW)
            text += f'[[servers]]\nid = "log-0"\naddress = "127.0.0.1:{self.at}"\n'
            text += "[copies]\nwait_ms = 4000\n[takeover]\nhold_ms = 0\n"
            text += f'[fleet]\nname = "{name}"\nlisten = "127.0.0.1:{listens[name]}"\n'
            text += f'disk = "{machine.disk}"\n'
            text += "period_ms = 200\nanswer_ms = 60\nbeat_ms = 50\nlease_ms = 450\npatience_ms = 600\n"
            for member, at in listens.items():
                text += f'[[fleet.members]]\nname = "{member}"\naddress = "127.0.0.1:{at}"\n'
            machine.write_file(text)
            self.left.callback(machine.kill)
            machine.start()
        self.udp = self.datagrams("caller", quiet_port())
        self.server = self.datagrams("log-0", self.at)
        self.contact = ("Contact", f"<sip:log@127.0.0.1:{self.at}>")
        for name in self.controls:
            until(lambda: self.told(name, "/fleet", "up") == ["g1", "g2", "g3"], f"the view at {name}")

    def told(self, name: str, path: str, key: str) -> Any:
        """What a member shows on its second address; None where it does not answer in time."""
        try:
            return (control_call(self.controls[name], "GET", path)[1] or {}).get(key)
        except OSError:
            return None


@PLAYS.on(Machines, ends=False)
def takeover_of_a_lost_members_call(stage: Machines) -> None:
    """A member is lost with its disk under a standing call: one that has its copy ends it on both sides."""
    stage.stand(stage.udp)
    stage.note("rig", "SIGKILL, and the disk is lost")
    stage.machines["g1"].kill()
    stage.machines["g1"].wipe()
    stage.udp.sock.far = stage.server.sock.far = "survivor"
    for peer in (stage.server, stage.udp):
        peer.reply(peer.expect("BYE"), 200)
    until(lambda: sum((stage.told(name, "/stats", "takeover") or {}).get("sides_answered", 0)
                      for name in ("g2", "g3")) == 2, "both sides answered")  # fmt: skip
    for peer in (stage.server, stage.udp):
        peer.sock.rest()


# --- the comparison ------------------------------------------------------------------------------


@pytest.mark.filterwarnings("ignore:\\s*Can not relate snapshot name")
@pytest.mark.parametrize("name", PLAYS)
def test_transcript(name: str, snapshot: Any) -> None:
    assert PLAYS[name].played() == snapshot(extension_class=Texts)


def test_each_approved_text_is_used() -> None:
    stale = sorted({path.name for path in APPROVED.iterdir()} - {f"{name}.txt" for name in PLAYS})
    assert stale == [], "no play has these names: remove the files, or give the plays back"
