"""The parsers by themselves, with malformed and split input."""

from __future__ import annotations

import random
import unittest
from datetime import timedelta

from mallowquay.core.model import ListTold, ServerStatus
from mallowquay.fronts.load import read_load
from mallowquay.fronts.sip.dialogs import of_request, of_response
from mallowquay.fronts.sip.message import BadMessage, Message, parse, q850_cause, user_of
from mallowquay.fronts.sip.transport import Hop, hop_of, parameter, split_values, stamped
from mallowquay.membership.coordinator import RECORD, Coordinator, FeedError, read_known, read_records
from mallowquay.net.clock import UnixTime
from mallowquay.net.streams import MESSAGE_MOST, MessageBuffer, TooLong

INVITE = (
    b"INVITE sip:7f3a@net SIP/2.0\r\nv: SIP/2.0/UDP 127.0.0.1:5071;branch=z9hG4bKa;rport\r\n"
    b'f: "A, B" <sip:a@127.0.0.1>;tag=t1\r\nTo: <sip:7f3a@net>\r\ni: c1\r\nCSeq: 7 INVITE\r\n'
    b"Subject: one\r\n two\r\nContact: <sip:a@127.0.0.1:5071;transport=udp>\r\n"
    b"Record-Route: <sip:p1@127.0.0.1;lr>, <sip:p2@127.0.0.1;lr>\r\nl: 4\r\n\r\nbody"
)


def read(data: bytes, datagram: bool = False) -> Message | None:
    return parse(bytearray(data), 0, len(data), datagram)[0]


class Sip(unittest.TestCase):
    def message(self, data: bytes = INVITE) -> Message:
        message = read(data)
        assert message is not None
        return message

    def test_a_message_in_place(self) -> None:
        message = self.message(b"\r\n\r\n" + INVITE)
        self.assertEqual(
            (message.method, message.uri, bytes(message.body)), ("INVITE", "sip:7f3a@net", b"body")
        )
        self.assertEqual((message.get("Call-ID"), message.cseq(), message.get("subject")),
                         ("c1", (7, "INVITE"), "one two"))  # fmt: skip
        self.assertEqual((user_of(message.uri), parameter(message.get("From"), "tag")), ("7f3a", "t1"))

    def test_split_anywhere_it_is_not_there_before_its_last_byte(self) -> None:
        for end in range(len(INVITE)):
            self.assertIsNone(read(INVITE[:end]))
        message, end = parse(bytearray(INVITE + INVITE), 0, 2 * len(INVITE))
        self.assertEqual(end, len(INVITE))

    def test_what_is_malformed_is_named(self) -> None:
        for old, new, status in (
            (b"INVITE sip", b"INV\xffTE sip", 0), (b" SIP/2.0\r\nv", b"\r\nv", 0), (b"l: 4", b"x: 4", 0),
            (b"l: 4", b"l: -4", 0), (b"l: 4", b"l: 99999", 413), (b"l: 4", b"l: 4\r\nl: 5", 0),
            (b"i: c1", b"nothing", 0), (b"i: c1", b": c1", 0), (b"INVITE sip:7f3a@net", b"SIP/2.0 2000", 0),
        ):  # fmt: skip
            with self.subTest(new), self.assertRaises(BadMessage) as caught:
                read(INVITE.replace(old, new, 1))
            self.assertEqual(caught.exception.status, status)

    def test_datagrams_are_whole_or_bad(self) -> None:
        self.assertEqual(
            bytes(self.message(INVITE.replace(b"l: 4\r\n", b"Content-Length: 4\r\n")).body), b"body"
        )
        whole = read(INVITE.replace(b"l: 4\r\n", b"") + b"more", datagram=True)
        assert whole is not None
        self.assertEqual(bytes(whole.body), b"bodymore")
        for data in (INVITE[:-1], INVITE[:40], b"\x00\x01\x02"):
            with self.assertRaises(BadMessage):
                read(data, datagram=True)

    def test_noise_is_never_more_than_a_bad_message(self) -> None:
        chance = random.Random(5)
        for _ in range(3000):
            data = bytearray(INVITE)
            for _ in range(chance.randrange(1, 6)):
                data[chance.randrange(len(data))] = chance.randrange(256)
            try:
                message = read(bytes(data), chance.random() < 0.5)
                if message is not None:
                    message.cseq(), message.number("Max-Forwards"), of_request(message, "x")
            except BadMessage:
                pass

    def test_no_address_raises(self) -> None:
        """Guards against a port of digits that are no numbers, which raised past the front's handlers."""
        dice = random.Random(1)
        for port in ("\u00b2", "\u0661", "5060\u00b2", "0", "65536", "-1", "9" * 5000):
            self.assertIsNone(hop_of(f"sip:a@127.0.0.1:{port}", "udp"), port)
        for _ in range(5000):
            text = "".join(dice.choices("sip:@127.0.0.1;=\u00b2\u0661<>,transport9 ", k=dice.randrange(40)))
            hop_of("sip:" + text, dice.choice(["udp", "tcp"]))
            split_values([text]), parameter(text, "tag"), q850_cause(text, 16), user_of(text), read_load(text)

    def test_values(self) -> None:
        self.assertEqual(split_values(['<sip:a,b>, "x" <sip:c>', "d"]), ["<sip:a,b>", '"x" <sip:c>', "d"])
        self.assertEqual((q850_cause("Q.850;cause=41", 16), q850_cause("SIP", 16)), (41, 16))
        self.assertEqual(hop_of("sip:a@127.0.0.1;transport=TCP", "udp"), Hop("tcp", ("127.0.0.1", 5060)))
        for uri in ("tel:1", "sip:a@host", "sip:a@127.0.0.1:0", "sip:a@127.0.0.1;transport=sctp"):
            self.assertIsNone(hop_of(uri, "udp"))
        hop = Hop("udp", ("127.0.0.9", 7))
        self.assertEqual(stamped([("Via", "SIP/2.0/UDP h:1;rport;branch=b")], hop),
                         [("Via", "SIP/2.0/UDP h:1;branch=b;received=127.0.0.9;rport=7")])  # fmt: skip

    def test_dialogs_of_both_sides(self) -> None:
        server = of_request(self.message(), "mine")
        self.assertEqual(server.id, ("c1", "mine", "t1"))
        self.assertEqual(server.routes, ["<sip:p1@127.0.0.1;lr>", "<sip:p2@127.0.0.1;lr>"])
        self.assertEqual([server.in_order(n) for n in (7, 8, 8, 20, 19)], [False, True, False, True, False])
        uri, headers = server.request("BYE")
        self.assertEqual(
            (uri, headers[0]), ("sip:a@127.0.0.1:5071;transport=udp", ("Route", "<sip:p1@127.0.0.1;lr>"))
        )
        answer = INVITE.replace(b"INVITE sip:7f3a@net SIP/2.0", b"SIP/2.0 200 OK").replace(
            b"net>\r", b"net>;tag=u\r"
        )
        client = of_response(self.message(answer), "")
        self.assertEqual((client.id, client.local_seq), (("c1", "t1", "u"), 7))
        self.assertEqual(client.routes[0], "<sip:p2@127.0.0.1;lr>")
        client.routes = ["<sip:strict@127.0.0.1>"]
        uri, headers = client.request("BYE")
        self.assertEqual((uri, headers[0][1], headers[-1]),
                         ("sip:strict@127.0.0.1", "<sip:a@127.0.0.1:5071;transport=udp>",
                          ("CSeq", "8 BYE")))  # fmt: skip


class Streams(unittest.TestCase):
    def test_a_buffer_moves_what_is_left_and_never_grows(self) -> None:
        buffer = MessageBuffer(8)
        buffer.put(b"abcdef")
        buffer.start = 4
        buffer.put(b"gh")
        buffer.put(b"ij")
        self.assertEqual(bytes(buffer.data[buffer.start : buffer.end]), b"efghij")
        buffer.put(b"kl")
        with self.assertRaises(TooLong):
            buffer.room()
        self.assertEqual((len(buffer.data), MESSAGE_MOST), (8, 16384))


class Feed(unittest.TestCase):
    def setUp(self) -> None:
        self.told: list[ListTold] = []
        self.feed = Coordinator(("127.0.0.1", 1), 3, UnixTime(), self.told.append)

    def record(self, state: int = 0, started: int = 0) -> bytes:
        return RECORD.pack(0xC41F7A, b"\x7f\0\0\1", 5060, state, 0, 0, 2, 1000, started)

    def test_records(self) -> None:
        self.assertEqual(RECORD.size, 27)
        (server,) = read_records(self.record(1), UnixTime())
        self.assertEqual((server.id, server.address, server.number, server.status),
                         ("s-00c41f7a", ("127.0.0.1", 5060), 2, ServerStatus.DRAINING))  # fmt: skip
        for bad in (self.record()[:-1], self.record(7), self.record(started=2**64 - 1)):
            with self.assertRaises(FeedError):
                read_records(bad, UnixTime())

    def test_events_apply_once_and_in_order(self) -> None:
        self.feed.apply(3, 1, self.record())
        self.feed.apply(9, 0, b"")
        self.assertEqual((self.told, self.feed.index), ([], 3))
        self.feed.apply(4, 2, self.record())
        self.assertEqual((len(self.told), self.told[0].whole, self.feed.index), (1, False, 4))
        for number, kind in ((6, 2), (5, 9)):
            with self.assertRaises(FeedError):
                self.feed.apply(number, kind, self.record())
        self.feed.apply(7, 1, self.record())
        self.assertEqual((self.told[1].whole, self.feed.index), (True, 7))

    def test_known_and_times(self) -> None:
        entry = {"id": "s-1", "addr": "10.1.0.9:5060", "cell": 2, "state": "terminated", "started_ms": 1}
        update = {"endpoints": {"full": False, "servers": [entry]}}
        index, events = read_known({"index": 41, "updates": [update]}, UnixTime())
        self.assertEqual((index, events[0].whole, events[0].servers[0].status), (41, True, ServerStatus.GONE))
        unix = UnixTime()
        self.assertIsNone(unix.point(0))
        first, second = unix.point(1_700_000_000_000), unix.point(1_700_000_000_250)
        assert first is not None and second is not None
        self.assertEqual(second - first, timedelta(milliseconds=250))

    def test_reports(self) -> None:
        self.assertEqual(
            read_load("x0:12;x1:40;eps:0.25;bad;y:z;n:nan"), {"free": 12, "size": 40, "hold_back": 0.25}
        )
        self.assertEqual(read_load(7), {})


if __name__ == "__main__":
    unittest.main()
