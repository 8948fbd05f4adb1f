"""The second front: the real program between stand-in callers and log servers, and its machines alone."""

from __future__ import annotations

import os
import socket
import unittest
from collections.abc import Callable
from datetime import timedelta

from rigs.sip_peers import T1, Heard, Report, decode, encode, judged, operators_file, run, sip_port
from support import WAIT, Process, connect, receive

from mallowquay.core.model import Ending
from mallowquay.fronts.sip.message import Message, parse
from mallowquay.fronts.sip.transactions import InviteClient, State, Timers, Transactions
from mallowquay.fronts.sip.transport import Hop


class Peer:
    """One socket of a stand-in: a UDP socket, or a TCP connection."""

    def __init__(self, sock: socket.socket, far: tuple[str, int] | None = None) -> None:
        self.sock, self.far, self.kept, self.pending = sock, far, b"", []
        sock.settimeout(WAIT)
        self.stream = sock.type == socket.SOCK_STREAM
        self.name = "TCP" if self.stream else "UDP"

    def write(self, data: bytes) -> None:
        self.sock.sendall(data) if self.stream else self.sock.sendto(data, self.far)

    def next(self) -> Heard:
        if not self.stream:
            data, self.far = self.sock.recvfrom(65536)
            return decode(data)
        while True:
            head, end, rest = self.kept.partition(b"\r\n\r\n")
            size = int(decode(head).get("content-length")) if end else 0
            if end and len(rest) >= size:
                self.kept = rest[size:]
                return decode(head + end + rest[:size])
            self.kept += receive(self.sock)

    def expect(self, *words: str) -> Heard:
        """The next message that begins with one of the words; copies and others are passed over."""
        while True:
            heard = self.next()
            if heard.first.startswith(words):
                return heard

    def quiet(self, seconds: float, word: str) -> bool:
        """Whether no such message comes for a while."""
        self.sock.settimeout(seconds)
        try:
            self.expect(word)
            return False
        except (TimeoutError, BlockingIOError):
            return True
        finally:
            self.sock.settimeout(WAIT)

    def reply(
        self, heard: Heard, status: int, *more: tuple[str, str], body: bytes = b"", tag: str = "srv"
    ) -> None:
        copied = [(k, f"{v};tag={tag}" if k == "to" and ";tag=" not in v else v) for k, v in heard.copied()]
        self.write(encode(f"SIP/2.0 {status} X", [*copied, *more], body))


def udp(port: int = 0, far: int = 0) -> Peer:
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(("127.0.0.1", port))
    return Peer(sock, ("127.0.0.1", far))


class SipBase(unittest.TestCase):
    calls_most = 8000

    def setUp(self) -> None:
        self.port, ports = sip_port(), [sip_port(), sip_port()]
        path = operators_file(self.port, [(ports[0], "udp"), (ports[1], "tcp")], most=self.calls_most)
        self.addCleanup(os.unlink, path)
        self.program = Process([path], {})
        self.addCleanup(self.program.stop)
        self.tcp = Peer(connect(self.port, self.program))
        self.udp = udp(far=self.port)
        self.server = udp(ports[0])
        self.listener = socket.create_server(("127.0.0.1", ports[1]))
        self.listener.settimeout(WAIT)
        self.server_contact = ("Contact", f"<sip:log@127.0.0.1:{ports[0]}>")
        for item in (self.tcp.sock, self.udp.sock, self.server.sock, self.listener):
            self.addCleanup(item.close)

    def request(self, peer: Peer, method: str, call: str, to_tag: str = "", cseq: int = 1, mark: str = "",
                uri: str = "sip:7f@127.0.0.1", drop: str = "",
                more: tuple[tuple[str, str], ...] = ()) -> None:  # fmt: skip
        port = self.udp.sock.getsockname()[1]
        to = "<sip:7f@127.0.0.1>" + (f";tag={to_tag}" if to_tag else "")
        branch = f"z9hG4bK{call}{peer.name}{mark}"
        headers = [("Via", f"SIP/2.0/{peer.name} 127.0.0.1:{port};branch={branch};rport"),
                   ("From", "<sip:c@127.0.0.1>;tag=cal"), ("To", to), ("Call-ID", call),
                   ("CSeq", f"{cseq} {method}"), ("Max-Forwards", "70"), ("P-Path", "dest:0"),
                   ("Contact", f"<sip:c@127.0.0.1:{port};transport=udp>"), *more]  # fmt: skip
        headers = [(name, value) for name, value in headers if name != drop]
        peer.write(encode(f"{method} {uri} SIP/2.0", headers, b"offer" if method == "INVITE" else b""))

    def stand(self, peer: Peer, call: str) -> tuple[str, Heard]:
        """A call that stands: the tag of our side, and the INVITE that its log server got."""
        self.request(peer, "INVITE", call)
        invite = self.server.expect("INVITE")
        self.server.reply(invite, 200, self.server_contact, body=b"answer")
        self.server.expect("ACK")
        answer = peer.expect("SIP/2.0 200")
        self.assertEqual(answer.body, b"answer")
        self.request(peer, "ACK", call, answer.tag("to"), mark="a")
        return answer.tag("to"), invite


class SipCrowd(unittest.TestCase):
    def test_connections_that_say_nothing_give_way(self) -> None:
        port = sip_port()
        path = operators_file(port, [(sip_port(), "udp")], extra="[limits]\nsockets = 72\n")
        self.addCleanup(os.unlink, path)
        program = Process([path], {})
        self.addCleanup(program.stop)
        for number in range(2):  # the one that has spoken stays through the next crowd
            for sock in [connect(port) for _ in range(30)]:
                self.addCleanup(sock.close)
            if number == 0:
                good = Peer(connect(port))
                self.addCleanup(good.sock.close)
            good.write(encode("OPTIONS sip:127.0.0.1 SIP/2.0", [
                ("Via", f"SIP/2.0/TCP 127.0.0.1:9;branch=z9hG4bKo{number}"),
                ("From", "<sip:c@127.0.0.1>;tag=1"), ("To", "<sip:127.0.0.1>"), ("Call-ID", f"o{number}"),
                ("CSeq", "1 OPTIONS"), ("Max-Forwards", "70"),
            ]))  # fmt: skip
            self.assertEqual(good.expect("SIP/2.0 200").status, 200)


class SipCase(SipBase):
    def test_a_process_that_is_started_again_names_its_calls_anew(self) -> None:
        """Its file has a seed; a log server that still has the calls of before would take these for
        copies.
        """
        named = []
        for call in ("c1", "c2"):
            tag, invite = self.stand(self.udp, call)
            named.append((invite.get("call-id"), invite.tag("from"), tag))
            self.program.stop()
            self.program = Process(list(self.program.process.args[3:]), {})
            self.addCleanup(self.program.stop)
            connect(self.port).close()
        self.assertFalse(set(named[0]) & set(named[1]), named)

    def test_a_call_from_invite_to_bye(self) -> None:
        self.request(self.udp, "INVITE", "c1", more=(("Record-Route", "<sip:127.0.0.1:9;lr>"),))
        self.assertTrue(self.udp.next().first.startswith("SIP/2.0 100"))
        invite = self.server.expect("INVITE")
        self.assertEqual(
            (invite.body, invite.get("p-kind"), invite.get("to")[:8]), (b"offer", "log-lookup", "<sip:7f@")
        )
        self.assertNotEqual(invite.get("call-id"), "c1")
        self.server.reply(invite, 180)
        self.server.reply(invite, 200, self.server_contact)
        self.assertEqual(self.server.expect("ACK").get("cseq"), "1 ACK")
        answer = self.udp.expect("SIP/2.0 200")
        self.assertEqual(answer.get("record-route"), "<sip:127.0.0.1:9;lr>")
        self.assertIn("rport=", answer.get("via"))
        tag = answer.tag("to")
        self.request(self.udp, "ACK", "c1", tag, mark="a")
        self.request(self.udp, "BYE", "c1", tag, cseq=2, mark="b")
        self.udp.expect("SIP/2.0 200")
        bye = self.server.expect("BYE")
        self.assertEqual((bye.get("call-id"), bye.tag("to")), (invite.get("call-id"), "srv"))

    def test_a_200_is_resent_on_either_transport_until_its_ack_from_either(self) -> None:
        for peer, other in ((self.tcp, self.udp), (self.udp, self.tcp)):
            call = f"c2{peer.name}"
            self.request(peer, "INVITE", call)
            self.server.reply(self.server.expect("INVITE"), 200, self.server_contact)
            first = peer.expect("SIP/2.0 200")
            self.assertEqual(peer.expect("SIP/2.0 200"), first)
            self.request(other, "ACK", call, first.tag("to"), mark="a")
            self.request(other, "OPTIONS", "p" + call)
            other.expect("SIP/2.0 200")  # the ACK before it has been read
            peer.quiet(0.02, "SIP/2.0 200")
            self.assertTrue(peer.quiet(0.5, "SIP/2.0 200"))

    def test_a_switch_of_transport_joins_the_call(self) -> None:
        self.request(self.tcp, "INVITE", "c3")
        invite = self.server.expect("INVITE")
        self.tcp.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.tcp.sock.close()
        for _ in range(3):  # and its copies after the reset are absorbed
            self.request(self.udp, "INVITE", "c3")
        self.udp.expect("SIP/2.0 100")
        self.server.reply(invite, 200, self.server_contact)
        answer = self.udp.expect("SIP/2.0 200")
        self.request(self.udp, "INVITE", "c3", mark="late")
        self.assertEqual(self.udp.expect("SIP/2.0 200").tag("to"), answer.tag("to"))
        self.assertTrue(self.server.quiet(0.1, "INVITE"))

    def test_a_200_is_resent_to_a_caller_that_switched_back_after_a_reset(self) -> None:
        self.request(self.udp, "INVITE", "c11")
        invite = self.server.expect("INVITE")
        self.request(self.tcp, "INVITE", "c11")
        self.tcp.expect("SIP/2.0 100")
        self.server.reply(invite, 200, self.server_contact)
        self.tcp.expect("SIP/2.0 200")
        self.udp.expect("SIP/2.0 200")  # as good as lost
        self.tcp.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        self.tcp.sock.close()
        self.request(self.udp, "INVITE", "c11")  # a copy on the first branch
        for _ in range(3):
            self.udp.expect("SIP/2.0 200")

    def test_a_refusal_is_repeated_to_a_late_copy(self) -> None:
        self.request(self.tcp, "INVITE", "c4")
        self.server.reply(self.server.expect("INVITE"), 486)
        self.server.expect("ACK")
        refused = self.tcp.expect("SIP/2.0 480", "SIP/2.0 503")
        self.assertGreater(int(refused.get("retry-after")), 0)
        self.request(self.udp, "INVITE", "c4")
        self.assertEqual(self.udp.expect(refused.first).tag("to"), refused.tag("to"))
        self.assertTrue(self.server.quiet(0.1, "INVITE"))

    def test_a_full_server_is_followed_by_the_next_one(self) -> None:
        self.request(self.udp, "INVITE", "c5")
        self.server.reply(self.server.expect("INVITE"), 503)
        second = Peer(self.listener.accept()[0])
        self.addCleanup(second.sock.close)
        second.reply(second.expect("INVITE"), 200, ("Contact", "<sip:l@127.0.0.1:9;transport=tcp>"))
        self.udp.expect("SIP/2.0 200")

    def test_a_cancel_from_the_other_transport_and_a_200_after_it(self) -> None:
        self.request(self.tcp, "INVITE", "c6")
        invite = self.server.expect("INVITE")
        self.server.reply(invite, 100)
        self.request(self.udp, "CANCEL", "c6")
        self.udp.expect("SIP/2.0 200")
        self.tcp.expect("SIP/2.0 487")
        cancel = self.server.expect("CANCEL")
        self.assertEqual(cancel.get("via"), invite.get("via"))
        self.server.reply(cancel, 200)
        self.server.reply(invite, 200, self.server_contact)
        self.server.expect("ACK")
        self.assertEqual(self.server.expect("BYE").get("call-id"), invite.get("call-id"))
        self.assertTrue(self.tcp.quiet(0.1, "SIP/2.0 200"))

    def test_giving_up_is_answered_in_time_and_a_late_200_is_closed(self) -> None:
        self.request(self.tcp, "INVITE", "c7", more=(("Expires", "1"),))
        invite = self.server.expect("INVITE")
        self.server.reply(invite, 100)
        answer = self.tcp.expect("SIP/2.0 504", "SIP/2.0 480")
        self.assertGreater(int(answer.get("retry-after")), 0)
        self.server.reply(invite, 200, self.server_contact)
        self.server.expect("ACK")
        self.server.expect("BYE")

    def test_the_log_servers_release_waits_for_the_callers_ack(self) -> None:
        self.request(self.tcp, "INVITE", "c8")
        invite = self.server.expect("INVITE")
        self.server.reply(invite, 200, self.server_contact)
        self.server.expect("ACK")
        tag = self.tcp.expect("SIP/2.0 200").tag("to")
        bye = [("Via", "SIP/2.0/UDP 127.0.0.1:1;branch=z9hG4bKx;rport"),
               ("From", f"{invite.get('to')};tag=srv"),
               ("To", invite.get("from")), ("Call-ID", invite.get("call-id")), ("CSeq", "1 BYE")]  # fmt: skip
        self.server.write(encode(f"BYE {invite.get('contact').strip('<>')} SIP/2.0", bye))
        self.server.expect("SIP/2.0 200")
        self.assertTrue(self.udp.quiet(0.05, "BYE"))
        self.request(self.tcp, "ACK", "c8", tag, mark="a")
        got = self.udp.expect("BYE")  # to the Contact
        self.assertEqual((got.tag("from"), got.tag("to"), got.get("reason")), (tag, "cal", "Q.850;cause=16"))

    def test_sigterm_finishes_what_was_taken_to_its_ack(self) -> None:
        self.request(self.udp, "INVITE", "c10")
        invite = self.server.expect("INVITE")
        self.program.terminate()
        self.server.reply(invite, 200, self.server_contact)
        tag = self.udp.expect("SIP/2.0 200").tag("to")
        self.assertEqual(self.udp.expect("SIP/2.0 200").tag("to"), tag)
        self.assertIsNone(self.program.process.poll())
        self.request(self.udp, "ACK", "c10", tag, mark="a")
        self.request(self.udp, "BYE", "c10", tag, cseq=2, mark="b")  # its end is seen to as well
        self.assertEqual(self.program.process.wait(WAIT), 0)

    def test_order_inside_a_dialog_and_requests_outside_of_any(self) -> None:
        tag, _ = self.stand(self.udp, "c9")
        for method, cseq, status in (("OPTIONS", 5, 200), ("OPTIONS", 4, 500), ("INFO", 6, 405),
                                     ("INVITE", 7, 488),
                                     ("DANCE", 8, 501)):  # fmt: skip
            self.request(self.udp, method, "c9", tag, cseq, mark=method + str(cseq))
            self.assertEqual(self.udp.expect("SIP/2.0 2", "SIP/2.0 4", "SIP/2.0 5").status, status, method)
            if method == "INVITE":
                self.request(self.udp, "ACK", "c9", tag, cseq, mark=method + str(cseq))
        for to_tag in ("", "nobody"):
            self.request(self.tcp, "BYE", "c9", to_tag, cseq=9, mark="x" + to_tag)
            self.tcp.expect("SIP/2.0 481")

    def test_bad_requests_and_garbage(self) -> None:
        cases: tuple[tuple[dict[str, object], int], ...] = (
            ({"drop": "To"}, 400), ({"drop": "Contact"}, 400), ({"uri": "tel:1"}, 416),
            ({"uri": "sip:127.0.0.1"}, 400), ({"more": (("Require", "100rel"),)}, 420),
            ({"more": (("P-Kind", "none"),)}, 400), ({"more": (("Expires", "soon"),)}, 400),
        )  # fmt: skip
        for number, (change, status) in enumerate(cases):
            self.request(self.udp, "INVITE", f"bad{number}", **change)  # type: ignore[arg-type]
            self.assertEqual(self.udp.expect("SIP/2.0").status, status, change)
            self.request(self.udp, "ACK", f"bad{number}")
        old = encode(
            "INVITE sip:7f@h SIP/3.0", [("Via", "SIP/2.0/UDP h;branch=z9hG4bKo;rport"), ("CSeq", "1 INVITE")]
        )
        self.udp.write(old)
        self.udp.expect("SIP/2.0 505")
        for noise in (b"\x00", b"\xff" * 900, b"SIP/2.0 200 OK\r\n\r\n", b"INVITE\r\n\r\n", b"A" * 20000):
            self.udp.write(noise)
        tag, _ = self.stand(self.udp, "after")
        self.program.terminate()
        self.request(self.udp, "BYE", "after", tag, cseq=2, mark="b")
        self.assertEqual(self.program.process.wait(WAIT), 0)
        self.assertIn("unreadable=12", self.program.text())


class FullCase(SipBase):
    calls_most = 1

    def test_copies_of_a_set_up_turned_away_are_answered_alike(self) -> None:
        self.stand(self.udp, "d1")
        self.request(self.tcp, "INVITE", "d2")
        refused = self.tcp.expect("SIP/2.0 503")
        self.assertGreater(int(refused.get("retry-after")), 0)
        self.request(self.udp, "INVITE", "d2")
        self.assertEqual(self.udp.expect("SIP/2.0 503").tag("to"), refused.tag("to"))


class ShortRun(unittest.TestCase):
    def test_mixed_transports_with_loss_and_reordering(self) -> None:
        def play() -> tuple[Report, float]:
            report, memory = run(600, 300.0, seed=11)
            self.assertEqual(len(report.calls), 600)  # of each play, also of one that is played again
            self.assertLess(memory, 192)
            return report, memory

        # The count of 200s, above 450 of 600, is part of the verdict: see `Report.judge`.
        verdict = judged(play, served_above=450)[2]
        self.assertEqual(verdict.faults, {})


# --- the machines by themselves ------------------------------------------------------------------


class FakeTransport:
    def __init__(self) -> None:
        self.sent: list[str] = []

    def send(self, hop: Hop, parts: list[bytes], failed: object = None) -> None:
        self.sent.append(parts[0].decode().split("\r")[0])

    def hold(self, holder: object, *hops: Hop) -> None:
        pass

    def via(self, hop: Hop) -> str:
        return "SIP/2.0/UDP 127.0.0.1:1"


class FakeTimer:
    def __init__(self, due: timedelta, action: Callable[[], None]) -> None:
        self.due, self.action, self.off = due, action, False

    def cancel(self) -> None:
        self.off = True


class Machines(unittest.TestCase):
    def setUp(self) -> None:
        self.now, self.timers, self.transport = timedelta(0), [], FakeTransport()
        self.layer = Transactions(self.transport, Timers(), self.later, lambda: "x", 9)  # type: ignore[arg-type]
        self.responses: list[int] = []
        self.endings: list[Ending] = []
        self.requests: list[object] = []
        self.layer.on_request = lambda transaction, request: self.requests.append(transaction)

    def later(self, delay: timedelta, action: Callable[[], None]) -> FakeTimer:
        self.timers.append(FakeTimer(self.now + delay, action))
        return self.timers[-1]

    def advance(self, span: timedelta) -> None:
        end = self.now + span
        while due := [t for t in self.timers if not t.off and t.due <= end]:
            first = min(due, key=lambda t: t.due)
            self.timers.remove(first)
            self.now = first.due
            first.action()
        self.now = end

    def responded(self, transaction: object, response: Message) -> None:
        self.responses.append(response.status)

    def unanswered(self, transaction: object, ending: Ending) -> None:
        self.endings.append(ending)

    def message(self, first: str, method: str, branch: str = "z9hG4bKx") -> Message:
        via = f"SIP/2.0/UDP 127.0.0.1:1;branch={branch}"
        data = encode(first, [("Via", via), ("From", "<sip:a>;tag=1"), ("To", "<sip:b>;tag=2"),
                              ("Call-ID", "c"), ("CSeq", f"1 {method}")])  # fmt: skip
        message, _ = parse(bytearray(data), 0, len(data))
        assert message is not None
        return message

    def client(self, transport: str = "udp") -> InviteClient:
        headers = [("From", "<sip:a>;tag=1"), ("To", "<sip:b>"), ("Call-ID", "c"), ("CSeq", "1 INVITE")]
        client = InviteClient(self.layer, "INVITE", "sip:b", headers, Hop(transport, ("127.0.0.1", 9)), self)
        client.start()
        return client

    def hear(self, status: int, method: str = "INVITE") -> None:
        self.layer.take(self.message(f"SIP/2.0 {status} X", method), Hop("udp", ("127.0.0.1", 9)))

    def test_invite_client_timers_a_and_b(self) -> None:
        self.client()
        self.advance(timedelta(seconds=31.9))
        self.assertEqual(len(self.transport.sent), 7)  # at 0, 0.5, 1.5, 3.5, 7.5, 15.5, 31.5 s
        self.advance(timedelta(seconds=0.2))
        self.assertEqual((self.endings, self.layer.clients), ([Ending.TIMED_OUT], {}))

    def test_invite_client_over_tcp_sends_once(self) -> None:
        self.client("tcp")
        self.advance(timedelta(seconds=31))
        self.assertEqual(len(self.transport.sent), 1)

    def test_what_was_given_up_is_not_sent_again(self) -> None:
        self.client().quiesce()
        self.advance(timedelta(seconds=20))
        self.assertEqual(len(self.transport.sent), 1)

    def test_invite_client_acknowledges_each_copy_of_a_refusal_and_tells_once(self) -> None:
        client = self.client()
        for status in (180, 486, 486):
            self.hear(status)
        self.assertEqual((self.responses, self.transport.sent[1:]), ([180, 486], ["ACK sip:b SIP/2.0"] * 2))
        self.assertIs(client.state, State.COMPLETED)
        self.advance(timedelta(seconds=33))
        self.assertEqual(self.layer.clients, {})

    def test_invite_client_passes_every_2xx_up_until_timer_m(self) -> None:
        self.client()
        self.hear(200)
        self.hear(200)
        self.assertEqual((self.responses, self.transport.sent[1:]), ([200, 200], []))
        strays: list[int] = []
        self.layer.on_stray_response = lambda response, hop: strays.append(response.status)
        self.advance(timedelta(seconds=33))
        self.hear(200)
        self.assertEqual((strays, len(self.responses)), ([200], 2))

    def test_invite_server_resends_a_refusal_until_its_ack(self) -> None:
        hop = Hop("udp", ("127.0.0.1", 9))
        self.layer.take(self.message("INVITE sip:b SIP/2.0", "INVITE"), hop)
        (server,) = self.layer.servers.values()
        server.respond(100, [])
        self.layer.take(self.message("INVITE sip:b SIP/2.0", "INVITE"), hop)
        self.assertEqual((len(self.requests), self.transport.sent), (1, ["SIP/2.0 100 Trying"] * 2))
        server.respond(486, [])
        server.respond(200, [])  # a second final answer is never sent
        self.advance(timedelta(seconds=1.6))
        self.assertEqual(self.transport.sent[2:], ["SIP/2.0 486 Busy Here"] * 3)
        self.layer.take(self.message("ACK sip:b SIP/2.0", "ACK"), hop)
        self.assertIs(server.state, State.CONFIRMED)
        self.advance(timedelta(seconds=6))
        self.assertEqual((len(self.transport.sent), self.layer.servers), (5, {}))

    def test_invite_server_absorbs_copies_in_accepted(self) -> None:
        hop = Hop("udp", ("127.0.0.1", 9))
        self.layer.take(self.message("INVITE sip:b SIP/2.0", "INVITE"), hop)
        (server,) = self.layer.servers.values()
        server.respond(200, [])
        self.layer.take(self.message("INVITE sip:b SIP/2.0", "INVITE"), hop)
        acks: list[str] = []
        self.layer.on_ack = lambda ack, hop: acks.append(ack.method)
        self.layer.take(self.message("ACK sip:b SIP/2.0", "ACK"), hop)
        self.assertEqual((len(self.transport.sent), acks), (1, ["ACK"]))
        self.advance(timedelta(seconds=33))
        self.assertEqual(self.layer.servers, {})

    def test_other_servers_repeat_their_answer_until_timer_j(self) -> None:
        hop = Hop("udp", ("127.0.0.1", 9))
        for _ in range(3):
            self.layer.take(self.message("BYE sip:b SIP/2.0", "BYE"), hop)
            for server in list(self.layer.servers.values()):
                server.respond(200, [])
        self.assertEqual((len(self.requests), self.transport.sent), (1, ["SIP/2.0 200 OK"] * 3))
        self.advance(timedelta(seconds=33))
        self.assertEqual(self.layer.servers, {})

    def test_the_table_is_bounded(self) -> None:
        """Beyond it a request is heard, as it may end a call, and answered; nothing of it is kept."""
        for number in range(12):
            self.layer.take(
                self.message("BYE sip:b SIP/2.0", "BYE", f"z9hG4bK{number}"), Hop("udp", ("127.0.0.1", 9))
            )
        self.assertEqual((len(self.requests), len(self.layer.servers), self.layer.stateless), (12, 9, 3))
        for transaction in self.requests:
            transaction.respond(200, [])  # type: ignore[attr-defined]
        self.assertEqual(self.transport.sent, ["SIP/2.0 200 OK"] * 12)
        self.assertEqual(len(self.timers), 9)
        self.advance(timedelta(seconds=33))
        self.assertEqual(self.layer.servers, {})

    def test_t1(self) -> None:
        self.assertEqual(Timers(t1=timedelta(seconds=T1)).whole, timedelta(seconds=6.4))


if __name__ == "__main__":
    unittest.main()
