"""The real program on the platform's protocol, as callers, log servers and the coordinator see it."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import socket
import tempfile
import time
import unittest

from support import SETTINGS, WAIT, Caller, LogServer, Process, free_port, spoken_to
from test_core import MS, CoreCase
from tornado.ioloop import IOLoop
from tornado.iostream import IOStream

from mallowquay.core.model import Ending, ListTold, Server, ServerStatus
from mallowquay.fronts.platform.servers import PlatformServers, cut_release
from mallowquay.membership.coordinator import FRAME, RECORD


class PlatformCase(unittest.TestCase):
    servers = 2
    sockets = 1024
    program_file: str | None = None
    stand_in: type[LogServer] = LogServer

    def setUp(self) -> None:
        self.log_servers = [self.stand_in(number) for number in range(self.servers)]
        for server in self.log_servers:
            self.addCleanup(server.end)
        self.coordinator = socket.create_server(("127.0.0.1", 0))
        self.coordinator.settimeout(WAIT)
        self.port = self.listen_port()
        update = {"index": 1, "endpoints": {"version": 1, "full": True,
                  "servers": [server.entry() for server in self.log_servers]}}  # fmt: skip
        document = self.document = {
            "name": "n0", "listen": f"127.0.0.1:{self.port}", "seed": "8c1f",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets},
            "coordinator": f"127.0.0.1:{self.coordinator.getsockname()[1]}",
            "known": {"index": 1, "updates": [update]}, "settings": SETTINGS, **self.more(),
        }  # fmt: skip
        with tempfile.NamedTemporaryFile("w", suffix=".json", delete=False) as file:
            json.dump(document, file)
        self.file = file.name
        self.addCleanup(os.unlink, file.name)
        environment = {"LB_CONFIG": file.name, "LB_LISTEN": f"127.0.0.1:{self.port}", **self.environment()}
        self.program = Process([], environment, self.descriptors(), self.program_file)
        self.addCleanup(self.program.stop)
        for server in self.log_servers:
            server.accept()
        self.feed, _ = self.coordinator.accept()
        self.feed.settimeout(WAIT)
        self.index = int.from_bytes(self.feed.recv(8), "big")
        self.caller = Caller(self.port)

    def listen_port(self) -> int:
        return free_port()

    def environment(self) -> dict[str, str]:
        return {}

    def more(self) -> dict[str, object]:
        """Further keys of the configuration."""
        return {}

    def descriptors(self) -> tuple[int, ...]:
        return ()

    def set_up(self, call_id: str, dest: int = 0) -> None:
        self.caller.invite(call_id, dest=dest)
        server = self.log_servers[dest]
        self.assertEqual(server.read()["ref"], call_id)
        server.say("up", call_id, text="answer")
        self.assertEqual(self.caller.read()[""], "SIP/2.0 200 OK")

    def tell(self, server: LogServer, state: int, started_ms: int = 0) -> None:
        self.index += 1
        record = RECORD.pack(server.number, socket.inet_aton("127.0.0.1"), server.port, state, 0, 0,
                             server.number, 1000, started_ms)  # fmt: skip
        self.feed.sendall(FRAME.pack(9 + len(record), self.index, 2) + record)



class PlatformTest(PlatformCase):
    def test_a_call_stands_and_is_released_by_its_log_server(self) -> None:
        self.caller.invite("00000000000000a1", left=3000)
        sent = self.log_servers[0].read()
        self.assertEqual(sent["t"], "new")
        self.assertEqual(sent["d"], "offer\r\n")
        fields = sent["f"]
        self.assertEqual((fields["class"], fields["key"]), ("log-lookup", "7f3a9c21e0b4d655"))
        self.assertLess(2500, int(fields["left"]))
        self.assertLess(int(fields["left"]), 3000)
        self.log_servers[0].say("up", "00000000000000a1", text="m=audio\r\n")
        answer = self.caller.read()
        self.assertEqual((answer[""], answer["body"]), ("SIP/2.0 200 OK", "m=audio\r\n"))
        self.assertEqual((answer["call-id"], answer["cseq"]), ("00000000000000a1", "1 INVITE"))
        self.caller.send("ACK", "00000000000000a1")
        self.log_servers[0].say("down", "00000000000000a1", cause=16)
        bye = self.caller.read()
        self.assertTrue(bye[""].startswith("BYE "))
        self.assertEqual((bye["call-id"], bye["reason"]), ("00000000000000a1", "Q.850;cause=16"))

    def test_a_release_arrives_on_any_connection(self) -> None:
        self.set_up("00000000000000a2")
        other = Caller(self.port)
        other.send("BYE", "00000000000000a2", "Reason: Q.850;cause=16")
        self.assertEqual(other.read()[""], "SIP/2.0 200 OK")
        self.assertEqual(
            self.log_servers[0].read(), {"t": "down", "ref": "00000000000000a2", "f": {}, "c": 16}
        )
        self.assertTrue(self.caller.silent())

    def test_a_release_finds_a_caller_whose_connection_closed(self) -> None:
        self.set_up("00000000000000a3")
        self.caller.sock.close()
        other = Caller(self.port)
        other.send("OPTIONS", "p")
        self.assertEqual(other.read()[""], "SIP/2.0 200 OK")
        self.log_servers[0].say("down", "00000000000000a3", cause=41)
        self.assertEqual(other.read()["reason"], "Q.850;cause=41")

    def test_full_goes_elsewhere_at_once_and_lost_attempts_wait(self) -> None:
        self.caller.invite("00000000000000a4")
        self.log_servers[0].read()
        self.log_servers[0].say("down", "00000000000000a4", cause=34, note="ovl")
        self.assertEqual(self.log_servers[1].read()["ref"], "00000000000000a4")
        reset_at = time.monotonic()  # before it is said: being held in between shortens no wait
        self.log_servers[1].say("down", "00000000000000a4", cause=41)
        while self.log_servers[0].silent(0.01) and self.log_servers[1].silent(0.01):
            pass
        self.assertGreaterEqual(time.monotonic() - reset_at, 0.29)

    def test_a_refusal_comes_before_the_caller_gives_up_with_a_gap(self) -> None:
        self.caller.invite("00000000000000a5", left=700)
        asked = time.monotonic()
        self.assertEqual(self.log_servers[0].read()["t"], "new")  # and never answers
        answer = self.caller.read()
        self.assertLess(time.monotonic() - asked, 0.7)
        self.assertRegex(answer[""], "^SIP/2.0 (503|480|500|504) ")
        self.assertGreater(int(answer["p-gap-ms"]), 0)
        self.assertEqual(self.log_servers[0].read()["t"], "down")
        self.log_servers[0].say("up", "00000000000000a5", text="late")
        self.assertEqual(self.log_servers[0].read()["t"], "down")
        self.assertTrue(self.caller.silent())

    def test_a_cancel_ends_the_attempt_and_one_that_crosses_the_answer_releases(self) -> None:
        self.caller.invite("00000000000000a6")
        self.log_servers[0].read()
        self.caller.send("CANCEL", "00000000000000a6")
        statuses = {self.caller.read()[""][8:11], self.caller.read()[""][8:11]}
        self.assertEqual(statuses, {"200", "487"})
        self.assertEqual(self.log_servers[0].read()["c"], 16)
        self.set_up("00000000000000a7")
        self.caller.send("CANCEL", "00000000000000a7")
        self.assertEqual(self.caller.read()["cseq"], "1 CANCEL")
        self.assertTrue(self.caller.read()[""].startswith("BYE "))
        self.assertEqual(self.log_servers[0].read()["c"], 16)

    def test_a_set_up_whose_connection_closed_is_given_up(self) -> None:
        self.caller.invite("00000000000000b1")
        self.log_servers[0].read()
        self.caller.sock.close()
        given_up = self.log_servers[0].read()
        self.assertEqual((given_up["t"], given_up["ref"], given_up["c"]), ("down", "00000000000000b1", 16))

    def test_a_process_that_dies_cuts_its_calls(self) -> None:
        self.set_up("00000000000000a8")
        self.log_servers[0].reset()
        self.assertEqual(self.caller.read()["reason"], "Q.850;cause=41")

    def test_a_broken_connection_alone_cuts_nothing(self) -> None:
        self.set_up("00000000000000a9")
        self.log_servers[0].reset(listening=True)
        self.log_servers[0].accept()
        self.assertTrue(self.caller.silent())
        self.log_servers[0].say("down", "00000000000000a9", cause=16)
        self.assertEqual(self.caller.read()["reason"], "Q.850;cause=16")

    def test_a_new_start_cuts_what_stood_before(self) -> None:
        self.set_up("00000000000000aa")
        self.tell(self.log_servers[0], 0, started_ms=int(time.time() * 1000))
        self.assertEqual(self.caller.read()["reason"], "Q.850;cause=41")

    def test_nothing_new_goes_to_a_draining_server(self) -> None:
        self.tell(self.log_servers[0], 1)
        self.caller.send("OPTIONS", "p")
        self.caller.read()
        self.set_up_anywhere_but(0, "00000000000000ab")

    def set_up_anywhere_but(self, drained: int, call_id: str) -> None:
        # The feed and the caller are two connections: the list may come after the first set-up.
        for attempt in range(50):
            self.caller.invite(f"{call_id[:-2]}{attempt:02x}")
            there = self.log_servers[1 - drained]
            if there.silent(0.2):
                self.log_servers[drained].read()
                continue
            there.read()
            self.assertTrue(self.log_servers[drained].silent())
            return
        self.fail("no set-up went to the other server")

    def test_events_apply_in_order_and_a_broken_feed_goes_on_from_the_last(self) -> None:
        self.assertEqual(self.index, 1)
        self.tell(self.log_servers[0], 1)
        self.feed.sendall(FRAME.pack(3, 9, 9))  # no frame is so short
        self.feed, _ = self.coordinator.accept()
        self.feed.settimeout(WAIT)
        self.assertEqual(int.from_bytes(self.feed.recv(8), "big"), 2)

    def replace_file(self, text: str) -> None:
        with open(self.file + ".new", "w", encoding="utf-8") as file:
            file.write(text)
        os.replace(self.file + ".new", self.file)
        self.program.hang_up()

    def test_sighup_moves_the_feed_and_keeps_calls_and_connections(self) -> None:
        self.set_up("00000000000000c1")
        self.caller.invite("00000000000000c2")
        self.log_servers[0].read()
        self.tell(self.log_servers[1], 2)
        self.assertRaises(EOFError, lambda: [self.log_servers[1].read() for _ in range(9)])  # it was heard
        other = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(other.close)
        other.settimeout(WAIT)
        self.document["coordinator"] = f"127.0.0.1:{other.getsockname()[1]}"
        self.coordinator.close()
        self.replace_file(json.dumps(self.document))
        moved_at = time.monotonic()
        feed, _ = other.accept()  # while the old one is still open
        self.assertLess(time.monotonic() - moved_at, 1.0)
        feed.settimeout(WAIT)
        self.assertEqual(int.from_bytes(feed.recv(8), "big"), 2)  # from the number reached
        self.log_servers[0].say("up", "00000000000000c2", text="answer")
        self.assertEqual(self.caller.read()[""], "SIP/2.0 200 OK")
        self.feed, self.index = feed, 2
        self.tell(self.log_servers[0], 2)  # the new one is listened to: both calls there are cut
        releases = {self.caller.read()["call-id"] for _ in range(2)}
        self.assertEqual(releases, {"00000000000000c1", "00000000000000c2"})

    def test_a_faulty_file_is_named_by_its_key_and_the_old_one_stays(self) -> None:
        self.document["coordinator"] = "nowhere"
        self.replace_file(json.dumps(self.document))
        self.program.wait_for("coordinator must be host:port")
        self.replace_file('{"coordinator":')
        self.program.wait_for("is not JSON")
        self.tell(self.log_servers[0], 0, started_ms=1)  # the old feed is still followed
        self.set_up("00000000000000c3")

    def test_a_feed_that_stops_midway_in_a_frame_is_asked_anew_in_time(self) -> None:
        record = RECORD.pack(0, bytes(4), 1, 1, 0, 0, 0, 0, 0)
        self.feed.sendall((FRAME.pack(9 + len(record), 2, 2) + record)[:-9])
        stopped_at = time.monotonic()
        feed, _ = self.coordinator.accept()
        feed.settimeout(WAIT)
        self.assertLess(time.monotonic() - stopped_at, 3.0)
        self.assertEqual(int.from_bytes(feed.recv(8), "big"), 1)

    def test_a_call_of_a_process_before_is_released_both_ways(self) -> None:
        self.caller.send("BYE", "00000000000000ac", "Reason: Q.850;cause=16")
        self.assertEqual(self.caller.read()[""], "SIP/2.0 200 OK")
        self.assertEqual(self.log_servers[0].read()["ref"], "00000000000000ac")
        self.log_servers[0].say("down", "00000000000000ad", cause=16)
        bye = self.caller.read()
        self.assertEqual((bye[""][:4], bye["call-id"]), ("BYE ", "00000000000000ad"))

    def test_bad_messages_are_answered_or_dropped_and_the_program_goes_on(self) -> None:
        for bad in (
            b"\x00\xff garbage\r\n\r\n",
            b"A" * 20000,
            b"INVITE sip:1@net SIP/2.0\r\nCall-ID: x\r\n\r\n",
        ):
            broken = Caller(self.port)
            try:
                broken.sock.sendall(bad)
                while broken.sock.recv(4096):
                    pass
            except ConnectionError:
                pass
        good, left = "P-Kind: log-lookup", "P-Time-Left: 900"
        for call_id, *headers in (
            ("bad1", good, left), ("00000000000000bg", good, left),
            ("00000000000000b2", "P-Kind: no-such", left),
            *(("00000000000000b3", good, f"P-Time-Left: {x}") for x in ("soon", "-5", "9999999", "1e3")),
            *(("00000000000000b4", good, left, f"P-Path: {text}") for text in (
                "x", "dest:nan;width:1;via:-1", "dest:-3", "dest:99", "dest:0;width:0", "dest:0;width:400")),
        ):  # fmt: skip
            self.caller.send("INVITE", call_id, *headers)
            self.assertEqual(self.caller.read()[""], "SIP/2.0 400 Bad Request", (call_id, headers))
        self.caller.send("INVITE", "00000000000000b5", good, left, uri="x")
        self.assertEqual(self.caller.read()[""], "SIP/2.0 400 Bad Request")
        self.caller.send("INVITE", "00000000000000b6", good, left, body="\x01" * 4000)  # 24,000 bytes as JSON
        self.assertEqual(self.caller.read()[""][8:11], "413")
        self.assertTrue(all(server.silent() for server in self.log_servers))
        self.set_up("00000000000000ae")

    def test_a_connection_with_a_spoilt_answer_is_left_and_its_calls_go_on(self) -> None:
        server = self.log_servers[0]
        spoilt = [b"[1]\n", b'{"t":"up"}\n', b"not json\n", b"\xff\xfe\r\n\r\n", b"A" * 20000,
                  b'{"t":"up","ref":"%b","f":7,"d":"x"}\n', b'{"t":"up","ref":"%b","f":{},"d":[]}\n',
                  b'{"t":"up","ref":"%b","f":{}}\n', b'{"t":"up","ref":"%b","f":{},"d":"\\ud800"}\n',
                  b'{"t":"up","ref":"%b","d":"cut o\n', b'{"t":"up","ref":"%b","d":"stops short']  # fmt: skip
        for number, line in enumerate(spoilt):
            call_id = f"00000000000001{number:02x}"
            self.caller.invite(call_id, dest=0)
            other = f"00000000000002{number:02x}"
            self.caller.invite(other, dest=0)
            for _ in range(2):
                server.read()
            broken_at = time.monotonic()
            server.raw(line.replace(b"%b", call_id.encode()))
            self.assertRaises((EOFError, ConnectionError), lambda: [server.read() for _ in range(9)])
            server.accept()
            # Both may have run, so both are released there first; the resends come after that and the wait.
            released = [server.read() for _ in range(2)]
            first = {("down", call_id), ("down", other)}
            self.assertEqual({(line["t"], line["ref"]) for line in released}, first)
            again = [server if not server.silent(2.0) else self.log_servers[1]] * 2
            resent = [one.read() for one in again]
            second = {("new", call_id), ("new", other)}
            self.assertEqual({(line["t"], line["ref"]) for line in resent}, second)
            refs = {call_id, other}
            self.assertGreaterEqual(time.monotonic() - broken_at, 0.29)
            for ref in sorted(refs):
                again[0].say("up", ref, text="good")
                self.assertEqual(self.caller.read()["body"], "good")

    def test_a_release_that_is_cut_off_after_its_id_releases_its_caller(self) -> None:
        for call_id in ("00000000000000b7", "10000000000000b8", "10000000000000b9", "20000000000000ba"):
            self.set_up(call_id)
        self.log_servers[0].raw(b'{"c":16,"f":{"load":"x0:9;x1:1000"},"ref":"00000000')
        self.assertEqual(self.caller.read()["call-id"], "00000000000000b7")
        answer = b'{"d":"x","f":{},"ref":"10000000000000b8'
        ends = [b'{"c":16,"f":{},"ref":"' + start for start in (b"10000000", b"2000000")]
        for cut in (*ends, b'{"c":16,"f":{"lo', answer):
            self.log_servers[0].accept()  # none of these tells whose release it was
            self.log_servers[0].raw(cut)
        self.log_servers[0].accept()
        self.log_servers[0].say("down", "10000000000000b9", cause=16)
        self.assertEqual(self.caller.read()["call-id"], "10000000000000b9")
        self.assertTrue(self.caller.silent())
        begun = b'{"c":34,"f":{},"ref":"2000000000'  # an unanswered set-up's, or the standing call's?
        self.assertIsNone(cut_release(begun, ["20000000000000ba", "20000000000000bb"]))

    def test_a_connection_that_says_nothing_more_is_left(self) -> None:
        server = self.log_servers[0]
        self.set_up("00000000000000d1")
        for _ in range(3):
            server.say("gauge", "", load="x0:1000;x1:1000")
            self.assertTrue(self.caller.silent(0.1))
        self.caller.invite("00000000000000d2", dest=0)
        server.read()
        mute_at = time.monotonic()
        self.assertRaises(EOFError, server.read)
        self.assertLess(time.monotonic() - mute_at, 1.5)
        server.accept()
        server.say("down", "00000000000000d1", cause=16)  # a release that was missed comes on the next one
        self.assertEqual(self.caller.read()["call-id"], "00000000000000d1")

    def test_the_word_that_greets_a_connection_is_no_part_of_the_even_gaps(self) -> None:
        server = self.log_servers[0]
        server.accept() if server.sock is None else None
        self.assertTrue(self.caller.silent(0.1))  # a part of the gap: then words come every 600 ms
        for _ in range(3):
            server.say("gauge", "", load="x0:1000;x1:1000")
            self.assertTrue(server.silent(0.6), "the connection was left")

    def test_a_draining_server_that_tells_no_free_lines_keeps_its_connection_and_calls(self) -> None:
        server = self.log_servers[0]
        self.set_up("00000000000000d5")
        for _ in range(3):
            server.say("gauge", "", load="x0:1000;x1:1000")
            self.assertTrue(self.caller.silent(0.1))
        self.tell(server, 1)
        server.listener.close()  # it takes no new connection either
        self.assertTrue(self.caller.silent(1.0))  # seen as cut, the call would be released by now
        server.say("down", "00000000000000d5", cause=16)
        self.assertEqual(self.caller.read()["reason"], "Q.850;cause=16")

    def test_more_than_is_due_harms_nothing(self) -> None:
        server = self.log_servers[0]
        self.caller.invite("00000000000000d3")
        server.read()
        server.say("up", "00000000000000ff", text="nobody's")
        self.assertEqual(server.read()["c"], 16)
        for _ in range(2):
            server.say("up", "00000000000000d3", text="good")
        self.assertEqual(self.caller.read()["body"], "good")
        self.assertTrue(self.caller.silent() and server.silent())
        self.set_up("00000000000000d4")

    def test_a_head_split_anywhere_is_read(self) -> None:
        text = (b"INVITE sip:1f@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 00000000000000e0\r\n"
                b"CSeq: 1 INVITE\r\nP-Kind: log-lookup\r\nP-Time-Left: 3000\r\n"
                b"Content-Length: 3\r\n\r\nabc")  # fmt: skip
        for byte in text:
            self.caller.sock.sendall(bytes([byte]))
        sent = spoken_to(self.log_servers).read()
        self.assertEqual((sent["ref"], sent["d"]), ("00000000000000e0", "abc"))

    def test_sigterm_finishes_what_was_taken_and_goes_on_accepting(self) -> None:
        self.caller.invite("00000000000000af")
        self.log_servers[0].read()
        self.program.terminate()
        late = Caller(self.port)  # new connections still come
        late.invite("00000000000000b0", dest=1)
        self.log_servers[1].read()
        for server, call_id in ((0, "00000000000000af"), (1, "00000000000000b0")):
            self.log_servers[server].say("up", call_id, text="x")
        self.assertEqual(self.caller.read()[""], "SIP/2.0 200 OK")
        self.assertEqual(late.read()[""], "SIP/2.0 200 OK")
        for server, call_id in ((0, "00000000000000af"), (1, "00000000000000b0")):
            self.log_servers[server].say("down", call_id, cause=16)
        self.assertEqual(self.program.process.wait(WAIT), 0)


class BadCallers(PlatformCase):
    """What callers that are out of order are owed, and what the others are spared."""

    sockets = 64 + 8

    def setUp(self) -> None:
        super().setUp()
        self.addCleanup(lambda: [caller.sock.close() for caller in self.others])
        self.others: list[Caller] = []

    def other(self, text: bytes = b"") -> Caller:
        caller = Caller(self.port)
        self.others.append(caller)
        caller.sock.sendall(text)
        return caller

    def ended(self, caller: Caller) -> bool:
        """Whether the connection is closed, or will be before long."""
        try:
            while caller.sock.recv(65536):
                pass
        except TimeoutError:
            return False
        except ConnectionError:
            pass
        return True

    def test_silence_and_half_a_message_are_ended_in_time_and_a_good_connection_lives_on(self) -> None:
        self.set_up("00000000000000f1")
        began = time.monotonic()
        silent, half = self.other(), self.other(b"INVITE sip:1f@net SIP/2.0\r\nCall")
        slow = self.other()
        slow.send("OPTIONS", "p")
        slow.sock.sendall(b"INVITE sip:1f@net SIP/2.0\r\nContent-Length: 100\r\n\r\nhalf")
        self.assertTrue(self.ended(silent) and self.ended(half) and self.ended(slow))
        self.assertLess(time.monotonic() - began, 3.0)
        self.log_servers[0].say("down", "00000000000000f1", cause=16)
        self.assertEqual(self.caller.read()["call-id"], "00000000000000f1")  # idle for as long, and heard
        self.assertEqual(self.log_servers[0].read()["t"], "ack")
        self.set_up("00000000000000f2")

    def test_a_burst_of_connections_uses_up_no_descriptors(self) -> None:
        limit = 64 + 8 + 16  # the burst alone is more
        resource.prlimit(self.program.process.pid, resource.RLIMIT_NOFILE, (limit, limit))
        os.kill(self.program.process.pid, signal.SIGSTOP)
        for _ in range(120):  # they wait to be accepted, all at once
            self.other()
        os.kill(self.program.process.pid, signal.SIGCONT)
        good = self.other()
        good.send("OPTIONS", "p")
        self.assertEqual(good.read()[""], "SIP/2.0 200 OK")
        self.assertNotIn("Too many open files", self.program.text())

    def test_a_slow_writer_outlives_a_crowd_that_says_nothing(self) -> None:
        slow = self.other(b"OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: ")
        began = time.monotonic()
        while time.monotonic() - began < 1.8:  # newcomers, old ones, and such as have spoken
            crowd = self.other()
            try:
                crowd.send("OPTIONS", "p")
                crowd.read()
            except (ConnectionError, EOFError):
                pass
            for _ in range(12):
                self.other()
            slow.sock.sendall(b"x")
        slow.sock.sendall(b"\r\nContent-Length: 0\r\n\r\n")
        self.assertEqual(slow.read()[""], "SIP/2.0 200 OK")

    def test_silent_connections_give_way_to_newcomers_and_good_ones_stay(self) -> None:
        self.set_up("00000000000000f3")
        waiting = self.other()
        waiting.invite("00000000000000f4", dest=1)
        self.assertEqual(self.log_servers[1].read()["ref"], "00000000000000f4")
        for _ in range(40):
            self.other()
        late = self.other()
        late.invite("00000000000000f5", dest=1)
        self.assertEqual(self.log_servers[1].read()["ref"], "00000000000000f5")
        for call_id in ("00000000000000f4", "00000000000000f5"):
            self.log_servers[1].say("up", call_id, text="x")
        self.assertEqual((waiting.read()["body"], late.read()["body"]), ("x", "x"))
        self.set_up("00000000000000f6")

    def test_a_crowd_drives_out_no_connection_with_a_standing_call_and_hears_no_release(self) -> None:
        self.set_up("00000000000000e1")
        crowd = [self.other() for _ in range(60)]
        for caller in crowd[-30:]:
            try:
                caller.send("OPTIONS", "p")  # they speak, so the one with the call is longest without a word
                caller.read()
            except (ConnectionError, EOFError):
                pass
        for _ in range(20):
            self.other()
        self.log_servers[0].say("down", "00000000000000e1", cause=16)
        self.assertEqual(self.caller.read()["call-id"], "00000000000000e1")

    def test_an_id_that_is_taken(self) -> None:
        self.caller.invite("00000000000000f7")
        self.log_servers[0].read()
        other = self.other()
        other.invite("00000000000000f7")
        self.assertEqual(other.read()[""][8:11], "482")
        self.caller.invite("00000000000000f7")  # the same again on its own connection: one answer
        self.log_servers[0].say("up", "00000000000000f7", text="x")
        self.assertEqual(self.caller.read()["body"], "x")
        self.assertTrue(self.caller.silent())
        other.invite("00000000000000f7")  # it stands
        self.assertEqual(other.read()[""][8:11], "482")
        other.invite("00000000000000f8")
        self.log_servers[0].read()
        other.invite("00000000000000f8", kind="log-update")  # nobody can tell which is meant
        self.assertEqual(other.read()[""][8:11], "400")
        self.assertEqual(self.log_servers[0].read()["c"], 16)
        self.assertTrue(other.silent())

    def test_an_id_whose_connection_closed_unanswered_may_come_again(self) -> None:
        other = self.other()
        other.invite("00000000000000f9")
        self.log_servers[0].read()
        other.sock.close()
        self.assertEqual(self.log_servers[0].read()["t"], "down")
        self.set_up("00000000000000f9")

    def test_who_sends_too_much_can_read_its_refusal(self) -> None:
        big = self.other(b"INVITE sip:1f@net SIP/2.0\r\nCall-ID: 00000000000000fa\r\nCSeq: 1 INVITE\r\n"
                         b"Content-Length: 60000000\r\n\r\n")  # fmt: skip
        for _ in range(50):
            big.sock.sendall(b"x" * 10_000)
        self.assertEqual(big.read()[""][8:11], "413")
        self.assertTrue(self.ended(big))

    def test_what_is_open_on_a_connection_that_cannot_be_followed_ends_at_once(self) -> None:
        other = self.other()
        other.invite("00000000000000fd")
        self.log_servers[0].read()
        other.sock.sendall(b"\x00 garbage\r\n\r\n")
        self.assertEqual(self.log_servers[0].read()["c"], 16)
        self.assertEqual(other.read()[""][8:11], "487")
        self.assertTrue(self.ended(other))

    def test_one_that_repeats_what_is_bad_is_closed_and_does_not_fill_the_log(self) -> None:
        flood = self.other()
        for _ in range(40):
            try:
                flood.invite("00000000000000fb", kind="no-such")
            except ConnectionError:
                break
        self.assertTrue(self.ended(flood))
        self.set_up("00000000000000fc")
        self.assertLess(self.program.text().count("no-such"), 4)


class Silence(CoreCase):
    def test_what_stands_behind_a_silent_link_is_released_in_time(self) -> None:
        asyncio.run(self.silence())

    async def silence(self) -> None:
        side = PlatformServers(self.calls, IOLoop.current(), self.clock, 500 * MS)
        self.calls.attach(side)
        server = Server("s0", ("127.0.0.1", 1), 0, ServerStatus.READY)
        side.list_told(ListTold((server,), whole=True))
        link, sock = side.links["s0"], socket.socket()
        self.addCleanup(sock.close)
        link.stream, link.heard_at = IOStream(sock), self.clock.now
        caller, idle = self.offer(), self.offer("b")
        self.calls.stood(link.open.pop("a"), "text")
        self.clock.now += 7500 * MS
        side.watch()
        self.assertEqual(caller.releases, [])
        self.clock.now += 200 * MS  # 8 s are allowed from the end that could not be told
        side.watch()
        side.watch()
        self.assertEqual((caller.releases, idle.releases), ([Ending.CONNECTION_SILENT], []))


if __name__ == "__main__":
    unittest.main()
