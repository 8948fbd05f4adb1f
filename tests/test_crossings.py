"""Instants at which something ends while something is owed: callers of the platform.

Each is forced. Where the order matters the program is stopped (SIGSTOP), both sides write, and it goes on
with all of it unread; or the front stands on this loop, which is kept busy meanwhile.
"""

from __future__ import annotations

import asyncio
import itertools
import os
import signal
import socket
import struct
import threading
import time
import unittest
from collections.abc import Iterator
from datetime import timedelta

from support import SETTINGS, WAIT, Caller, LogServer, read_sip
from test_platform import PlatformCase
from tornado.ioloop import IOLoop
from tornado.netutil import bind_sockets

from mallowquay.core.calls import Call, Calls, CallState
from mallowquay.core.decisions import Decisions
from mallowquay.core.figures import Figures
from mallowquay.core.model import Attempt, Ending, ListTold, Presence, Request, Server, ServerStatus
from mallowquay.fronts.platform import front as platform_front
from mallowquay.fronts.platform.connection import Connection
from mallowquay.fronts.platform.front import PlatformFront
from mallowquay.net.clock import LATE, Metronome, monotonic
from mallowquay.net.streams import WRITE_BUFFER_MOST
from mallowquay.operation.readiness import CALLERS_KNOW, Operation
from mallowquay.operation.twin import Twin
from mallowquay.settings.common import common

SECOND = timedelta(seconds=1)
GONE_MOST = 0.1  # seconds after its caller's end in which an attempt may still begin
RESET = struct.pack("ii", 1, 0)
INVITE = (
    "INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\nCall-ID: {0}\r\nCSeq: 1 INVITE\r\nP-Kind: log-lookup\r\n"
    "P-Time-Left: 3000\r\nP-Path: dest:{1};width:1;via:-1\r\nContent-Length: 0\r\n\r\n"
)
CANCEL = (
    "CANCEL sip:7f3a9c21e0b4d655@net SIP/2.0\r\nCall-ID: {0}\r\nCSeq: 1 CANCEL\r\nContent-Length: 0\r\n\r\n"
)
OPTIONS = "OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: p\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n"
WORD_EVERY = 0.2  # seconds between two words of free lines: a log server that says none is taken as mute


class Leaver(Caller):
    """A caller that goes in one of the ways in which callers go."""

    WAYS = ("cancel", "close", "half-close", "reset")

    def leave(self, way: str, call_id: str) -> None:
        if way == "cancel":
            self.sock.sendall(CANCEL.format(call_id).encode())
        elif way == "half-close":
            self.sock.shutdown(socket.SHUT_WR)
        else:
            if way == "reset":
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            self.sock.close()


class CallersGone(PlatformCase):
    """Term: no attempt, first or further, begins more than 0.1 s after its caller closed or cancelled."""

    def setUp(self) -> None:
        super().setUp()
        self.ids = (f"{number:016x}" for number in itertools.count(0xA0000))
        self.lines: list[tuple[float, dict[str, object]]] = []
        self.answered: set[str] = set()
        self.at: dict[str, LogServer] = {}  # where an id was heard of last
        self.over = threading.Event()
        words = threading.Thread(target=self.tell_lines)
        words.start()
        self.addCleanup(words.join)
        self.addCleanup(self.over.set)

    def tell_lines(self) -> None:
        """Even words of free lines from each log server."""
        while not self.over.wait(WORD_EVERY):
            for server in self.log_servers:
                server.say("gauge", "", load="x0:1000;x1:1000")

    def stopped(self) -> None:
        self.program.process.send_signal(signal.SIGSTOP)
        os.waitid(os.P_PID, self.program.process.pid, os.WSTOPPED)
        self.serve(answer=False)  # all that it wrote before
        self.lines.clear()

    def goes_on(self) -> None:
        """When the callers that have gone went so long ago that no attempt may begin for them."""
        went = time.monotonic()
        while time.monotonic() < went + GONE_MOST:
            pass
        self.program.process.send_signal(signal.SIGCONT)

    def settled(self) -> None:
        """Until a call that came after all the others is seen to its end: what was to be sent is sent."""
        marker = next(self.ids)
        self.caller.sock.sendall(INVITE.format(marker, 0).encode())
        while marker not in self.answered:
            self.serve(answer=True)
        while self.caller.read()["call-id"] != marker:
            pass

    def serve(self, answer: bool) -> None:
        """Take what has come at the log servers; set-ups are answered and released."""
        for server in self.log_servers:
            while not server.silent(0.001):
                line = server.read()
                self.lines.append((time.monotonic(), line))
                self.at[str(line["ref"])] = server
                if answer and line["t"] == "new":
                    ref = str(line["ref"])
                    self.answered.add(ref)
                    server.say("up", ref, text="x")
                    server.say("down", ref, cause=16)

    def begun(self, left_at: dict[str, float]) -> list[float]:
        """How long after their callers went attempts began, in seconds; they went while it was stopped."""
        self.assertTrue(left_at)
        began = [(at, str(line["ref"])) for at, line in self.lines if line["t"] == "new"]
        self.assertTrue(began, "not even the set-up that came last")
        return [at - left_at[ref] for at, ref in began if ref in left_at]

    def ways(self) -> Iterator[str]:
        return itertools.cycle(Leaver.WAYS)

    def fresh(self, count: int) -> dict[str, float]:
        """Set-ups behind which their caller has gone by the time that they are read."""
        left_at: dict[str, float] = {}
        callers = [Leaver(self.port) for _ in range(count)]
        self.stopped()
        for caller, way in zip(callers, self.ways(), strict=False):
            call_id = next(self.ids)
            caller.sock.sendall(INVITE.format(call_id, 0).encode())
            caller.leave(way, call_id)
            left_at[call_id] = time.monotonic()
        self.goes_on()
        self.settled()
        return left_at

    def further(self) -> dict[str, float]:
        """A log server answers that the set-up never ran, so that another may have it, as the caller goes."""
        left_at: dict[str, float] = {}
        callers = [(Leaver(self.port), next(self.ids), way) for way in Leaver.WAYS]
        for caller, call_id, _ in callers:
            caller.sock.sendall(INVITE.format(call_id, 0).encode())
        while not all(call_id in self.at for _, call_id, _ in callers):
            self.serve(answer=False)
        self.stopped()
        for caller, call_id, way in callers:
            self.at[call_id].say("down", call_id, cause=102)
            caller.leave(way, call_id)
            left_at[call_id] = time.monotonic()
        self.goes_on()
        self.settled()
        return left_at

    def held(self, count: int) -> dict[str, float]:
        """Set-ups that the module holds while its log servers have all they may; these answer as it goes."""
        left_at: dict[str, float] = {}
        busy = [next(self.ids) for _ in range(8)]
        holders = Leaver(self.port)
        for call_id in busy:
            holders.sock.sendall(INVITE.format(call_id, 0).encode())
        callers = [(Leaver(self.port), next(self.ids)) for _ in range(count)]
        for caller, call_id in callers:
            caller.sock.sendall(INVITE.format(call_id, 0).encode())
            caller.send("OPTIONS", "p")
            caller.read()  # by now its set-up is taken
        out = [(server, server.read()) for server in self.log_servers if not server.silent(WAIT)]
        self.assertTrue(out)
        self.stopped()
        for server, line in out:
            server.say("up", str(line["ref"]), text="x")
            server.say("down", str(line["ref"]), cause=16)
        for (caller, call_id), way in zip(callers, self.ways(), strict=False):
            caller.leave(way, call_id)
            left_at[call_id] = time.monotonic()
        self.goes_on()
        for call_id in busy:  # their callers go too, or the next round would find them
            holders.leave("cancel", call_id)
        self.settled()
        holders.sock.close()
        return left_at

    def test_a_thousand_callers_go_and_no_attempt_begins_for_them(self) -> None:
        cases, begun = 0, list[float]()
        for _ in range(25):
            for way in (lambda: self.fresh(20), self.further, lambda: self.held(16)):
                left_at = way()
                cases, begun = cases + len(left_at), begun + self.begun(left_at)
        print(f"\nplatform: {cases} callers gone, attempts begun after that {sorted(begun)}, seconds")
        self.assertGreaterEqual(cases, 1000)
        self.assertEqual(begun, [])

    def test_answers_whose_callers_went_unread_leave_nothing_standing(self) -> None:
        """Term: what has stood is released; its caller went before it could know, and will not end it."""
        gone = [(Leaver(self.port), next(self.ids), way) for way in Leaver.WAYS]
        for caller, call_id, _ in gone:
            caller.sock.sendall(INVITE.format(call_id, 0).encode())
        end = time.monotonic() + WAIT
        while not all(call_id in self.at for _, call_id, _ in gone):
            self.assertLess(time.monotonic(), end)
            self.serve(answer=False)
        self.stopped()
        for caller, call_id, way in gone:
            self.at[call_id].say("up", call_id, text="x")
            caller.leave(way, call_id)
        self.goes_on()
        end = time.monotonic() + 1
        while time.monotonic() < end and len(self.lines) < len(gone):
            self.serve(answer=False)
        down = [str(line["ref"]) for _, line in self.lines if line["t"] == "down"]
        ways = {call_id: way for _, call_id, way in gone}
        self.assertEqual(sorted(down), sorted(ways), {way for ref, way in ways.items() if ref not in down})

    def test_a_burst_longer_than_the_buffer_with_its_cancels_behind_starts_nothing(self) -> None:
        ids = [next(self.ids) for _ in range(200)]
        burst = "".join(INVITE.format(call_id, 0) for call_id in ids)
        cancels = "".join(CANCEL.format(call_id) for call_id in ids)
        self.assertGreater(len(burst), 2 * 16 * 1024)
        caller = Leaver(self.port)
        self.stopped()
        caller.sock.sendall((burst + cancels).encode())
        left_at = dict.fromkeys(ids, time.monotonic())
        self.goes_on()
        self.settled()
        self.assertEqual(self.begun(left_at), [])
        statuses = [read_sip(caller.sock, caller.kept) for _ in range(2 * len(ids))]
        finals = [answer["call-id"] for answer in statuses if answer["cseq"] == "1 INVITE"]
        self.assertEqual(sorted(finals), sorted(ids))  # each has exactly one final answer

    def test_a_caller_that_waits_is_served_behind_one_that_went(self) -> None:
        """The guard holds nothing up: of two set-ups read in one go only the cancelled one is not placed."""
        gone, stays = next(self.ids), next(self.ids)
        both = INVITE.format(gone, 0) + INVITE.format(stays, 0) + CANCEL.format(gone)
        self.caller.sock.sendall(both.encode())
        self.assertEqual(self.log_servers[0].read()["ref"], stays)


class Side:
    """The servers' side, which remembers what was begun."""

    def __init__(self) -> None:
        self.begun: list[Attempt] = []
        self.withdrawn: list[Attempt] = []
        self.released: list[str] = []

    def start(self, attempt: Attempt) -> None:
        self.begun.append(attempt)

    def withdraw(self, attempt: Attempt) -> None:
        self.withdrawn.append(attempt)

    def release(self, attempt: Attempt, cause: int) -> None:
        self.released.append(attempt.request.id)

    def examine(self, server: str) -> None:
        pass


class OnThisLoop(unittest.IsolatedAsyncioTestCase):
    """The platform's front on the loop of the test: what happens between two of its turns can be had here."""

    sockets = 200

    async def asyncSetUp(self) -> None:
        self.skew = timedelta(0)
        config = common(SETTINGS, 1, self.sockets)
        self.operation = Operation(self.clock)
        self.calls = Calls(
            Decisions(config.settings, 1, self.clock), self.clock, config.release_wait, config.guard_margin,
            config.default_gap, Figures(config.classes),
        )  # fmt: skip
        self.side = Side()
        self.calls.attach(self.side)
        self.metronome = Metronome(IOLoop.current(), self.calls)
        servers = tuple(
            Server(f"s-{number}", ("127.0.0.1", 1), number, ServerStatus.READY, None) for number in range(2)
        )
        self.calls.list_told(ListTold(servers, whole=True))
        self.front = PlatformFront(
            self.calls, self.clock, config.terms, config.end_margin, self.most(), self.operation,
            Twin(IOLoop.current()),
        )  # fmt: skip
        self.listeners = bind_sockets(0, "127.0.0.1")
        self.front.add_sockets(self.listeners)
        self.port = self.listeners[0].getsockname()[1]
        self.addAsyncCleanup(self.close)

    def most(self) -> int:
        return 100

    async def close(self) -> None:
        self.front.stop()
        self.front._watch.stop()
        for connection in list(self.front.connections):
            connection.stream.close()
        await self.turns(4)

    def clock(self) -> timedelta:
        return monotonic() + self.skew

    async def turns(self, count: int = 4) -> None:
        for _ in range(count):
            await asyncio.sleep(0)

    async def until(self, true: object) -> None:
        end = time.monotonic() + WAIT
        assert callable(true)
        while not true():
            self.assertLess(time.monotonic(), end, "it does not come to pass")
            await asyncio.sleep(0.001)

    async def connected(self) -> tuple[socket.socket, Connection]:
        """A caller's connection, and the front's side of it, which waits for a first word."""
        before = set(self.front.connections)
        sock = socket.socket()
        sock.settimeout(WAIT)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect(("127.0.0.1", self.port))
        self.addCleanup(sock.close)
        await self.until(lambda: len(self.front.connections) > len(before))
        (made,) = set(self.front.connections) - before
        await self.until(lambda: made.more is not None)
        return sock, made

    async def read_and_not_taken(self, sock: socket.socket, what: bytes, then: object) -> None:
        """In the very turn of the loop in which what was written is read, and before it is taken: `then`."""
        assert callable(then)
        near, far = socket.socketpair()
        loop = asyncio.get_running_loop()
        done = asyncio.Event()

        def in_this_turn() -> None:
            loop.remove_reader(near)
            then()
            done.set()

        loop.add_reader(near, in_this_turn)
        sock.sendall(what)  # this turn goes on, so both are found ready by the next, in this order
        far.send(b"x")
        await asyncio.wait_for(done.wait(), WAIT)
        near.close()
        far.close()

    async def set_up(self, sock: socket.socket, call_id: str) -> Attempt:
        sock.sendall(INVITE.format(call_id, 0).encode())
        await self.until(lambda: any(attempt.request.id == call_id for attempt in self.side.begun))
        return next(attempt for attempt in self.side.begun if attempt.request.id == call_id)


class Closes(OnThisLoop):
    """Term: what was written to a connection before its close is not thrown away by that close."""

    async def test_a_set_up_read_in_the_turn_of_the_drain_s_close_is_placed(self) -> None:
        sock, connection = await self.connected()
        self.operation.drain()
        self.skew = CALLERS_KNOW  # callers' connections are closed between requests from here on
        invite = INVITE.format("00000000000000c1", 0).encode()
        await self.read_and_not_taken(sock, invite, self.front.watch)
        self.assertFalse(connection.closing)
        await self.until(lambda: self.side.begun)
        self.calls.stood(self.side.begun[0], "answer")
        answer = await asyncio.to_thread(read_sip, sock, bytearray())
        self.assertEqual((answer[""], answer["body"]), ("SIP/2.0 200 OK", "answer"))

    async def test_an_idle_connection_is_closed_by_the_drain(self) -> None:
        _, connection = await self.connected()
        self.operation.drain()
        self.skew = CALLERS_KNOW
        self.front.watch()
        self.assertTrue(connection.closing)

    async def test_a_request_that_came_while_this_process_stood_still_is_read(self) -> None:
        sock, connection = await self.connected()
        sock.sendall(INVITE.format("00000000000000c2", 0).encode())  # unread: the loop has not gone round
        self.skew = platform_front.MESSAGE_WITHIN
        self.front.watch()
        self.assertFalse(connection.stream.closed())
        await self.until(lambda: self.side.begun)

    async def test_one_that_says_nothing_is_closed_when_its_time_is_up(self) -> None:
        _, connection = await self.connected()
        self.skew = platform_front.MESSAGE_WITHIN
        self.front.watch()
        self.assertTrue(connection.stream.closed())


class Evicted(OnThisLoop):
    """Term: eviction of an idle connection as a request arrives on it; idle callers fill the descriptors."""

    def most(self) -> int:
        return 2

    async def test_the_one_on_which_a_request_has_just_come_is_not_the_one_that_gives_way(self) -> None:
        first, speaks = await self.connected()
        _, silent = await self.connected()
        self.skew = platform_front.NEW_FOR
        first.sendall(INVITE.format("00000000000000c3", 0).encode())  # unread
        self.assertTrue(self.front.make_room())
        self.assertTrue(silent.stream.closed())
        self.assertFalse(speaks.stream.closed())
        await self.until(lambda: self.side.begun)

    async def test_also_when_it_is_read_and_not_taken(self) -> None:
        first, speaks = await self.connected()
        _, silent = await self.connected()
        self.skew = platform_front.NEW_FOR
        invite = INVITE.format("00000000000000c4", 0).encode()
        await self.read_and_not_taken(first, invite, self.front.make_room)
        self.assertTrue(silent.stream.closed())
        await self.until(lambda: self.side.begun)
        self.assertFalse(speaks.stream.closed())


class Owed(OnThisLoop):
    """Term: a release reaches its caller, and a process does not end while anything is owed or unread."""

    async def full(self, sock: socket.socket, connection: Connection) -> None:
        """The caller does not read, so that what is written to it stays in this process."""
        for end in (connection.stream.socket, sock):  # neither buffer of the kernel grows any more
            end.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            end.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        # So much waits here that what the kernel takes meanwhile does not reach what is written next.
        while len(connection.stream._write_buffer) < WRITE_BUFFER_MOST // 2:
            self.assertTrue(connection.write([b"SIP/2.0 100 Trying\r\nContent-Length: 0\r\n\r\n" * 64]))
            await asyncio.sleep(0)

    async def test_a_release_that_did_not_leave_before_its_connection_closed_comes_on_another(self) -> None:
        sock, connection = await self.connected()
        attempt = await self.set_up(sock, "00000000000000d1")
        self.calls.stood(attempt, "x")
        await self.full(sock, connection)
        self.calls.ended(attempt, Ending.COMPLETED)
        other, _ = await self.connected()
        other.sendall(OPTIONS.encode())
        kept = bytearray()
        self.assertEqual((await asyncio.to_thread(read_sip, other, kept))["cseq"], "1 OPTIONS")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        sock.close()
        release = await asyncio.to_thread(read_sip, other, kept)
        self.assertEqual((release[""][:4], release["call-id"]), ("BYE ", "00000000000000d1"))

    async def test_a_call_whose_answer_did_not_leave_before_the_close_is_released(self) -> None:
        """Its caller cannot know of it, so nobody would ever end it: nothing is left standing."""
        sock, connection = await self.connected()
        attempt = await self.set_up(sock, "00000000000000d4")
        await self.full(sock, connection)
        self.calls.stood(attempt, "x")
        self.assertEqual(connection.leaving, {"00000000000000d4"})
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        sock.close()
        await self.until(lambda: connection not in self.front.connections)
        self.assertEqual(self.side.released, ["00000000000000d4"])
        self.assertEqual(self.calls.pending, 0)

    async def test_an_id_that_comes_again_waits_for_the_release_of_its_attempt_before(self) -> None:
        """Term: 300 ms after a cancel before a resend, also when the caller's connection has closed."""
        first, _ = await self.connected()
        attempt = await self.set_up(first, "00000000000000d5")
        first.close()
        await self.until(lambda: self.side.withdrawn == [attempt])
        self.side.begun.clear()
        second, _ = await self.connected()
        second.sendall(INVITE.format("00000000000000d5", 0).encode())
        await self.until(lambda: self.calls.get("00000000000000d5") is not None)
        self.assertEqual(self.side.begun, [])
        self.skew += timedelta(seconds=1)
        self.calls.tick()
        self.assertEqual([again.request.id for again in self.side.begun], ["00000000000000d5"])

    async def test_also_when_it_was_given_up_once_more_before_any_attempt(self) -> None:
        """Term: 300 ms after a cancel before a resend, however often the id comes and goes meanwhile."""
        first, _ = await self.connected()
        attempt = await self.set_up(first, "00000000000000d6")
        first.close()
        await self.until(lambda: self.side.withdrawn == [attempt])
        self.side.begun.clear()
        second, connection = await self.connected()
        second.sendall(INVITE.format("00000000000000d6", 0).encode())
        second.close()  # read behind the set-up, so it is never placed
        await self.until(lambda: connection not in self.front.connections)
        self.assertEqual((self.calls.pending, self.side.begun), (0, []))
        third, _ = await self.connected()
        third.sendall(INVITE.format("00000000000000d6", 0).encode())
        await self.until(lambda: self.calls.get("00000000000000d6") is not None)
        await self.turns()
        self.assertEqual(self.side.begun, [])
        self.skew += timedelta(seconds=1)
        self.calls.tick()
        self.assertEqual([again.request.id for again in self.side.begun], ["00000000000000d6"])

    async def test_an_answer_whose_caller_went_unread_makes_nothing_stand(self) -> None:
        """Term: nothing is left standing; its caller's end lies in the socket as the log server answers."""
        for number, way in enumerate(("close", "half-close", "reset")):
            call_id = f"00000000000001d{number}"
            sock, connection = await self.connected()
            attempt = await self.set_up(sock, call_id)
            if way == "half-close":
                sock.shutdown(socket.SHUT_WR)
            else:
                if way == "reset":
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                sock.close()
            self.assertFalse(self.calls.stood(attempt, "x"), way)  # so the servers' side releases it
            await self.until(lambda known=connection: known not in self.front.connections)
            self.assertEqual(self.calls.pending, 0, way)
            self.assertFalse(self.front.answered.holds(call_id), way)  # so the id may come again

    async def test_an_id_that_comes_again_ahead_of_its_connection_s_close_is_taken(self) -> None:
        """Its first connection has closed, and what came on the second is read before that close is."""
        first, before = await self.connected()
        attempt = await self.set_up(first, "00000000000000d9")
        second, _ = await self.connected()
        before.stream.io_loop.remove_handler(before.stream.socket)  # its close is met after the set-up
        first.close()
        second.sendall(INVITE.format("00000000000000d9", 0).encode())
        await self.until(lambda: self.side.withdrawn == [attempt])
        await self.until(lambda: self.calls.get("00000000000000d9") is not None)
        second.settimeout(0.05)
        with self.assertRaises(TimeoutError):  # it is not refused
            await asyncio.to_thread(second.recv, 1)
        self.side.begun.clear()
        self.skew += timedelta(seconds=1)
        self.calls.tick()
        self.assertEqual([again.request.id for again in self.side.begun], ["00000000000000d9"])

    async def test_a_call_whose_answer_could_not_be_written_is_released(self) -> None:
        """Term: nothing is left standing; its caller does not read, and its buffer here is full."""
        sock, connection = await self.connected()
        attempt = await self.set_up(sock, "00000000000000d7")
        await self.full(sock, connection)
        connection.stream.max_write_buffer_size = 1
        self.calls.stood(attempt, "x")
        await self.until(lambda: connection not in self.front.connections)
        self.assertEqual((self.side.released, self.calls.pending), (["00000000000000d7"], 0))

    async def test_a_release_whose_caller_closed_unread_comes_on_another(self) -> None:
        """Term: what is over is released within 1 s; a call that stands is bound to no connection."""
        sock, _ = await self.connected()
        attempt = await self.set_up(sock, "00000000000000d8")
        self.calls.stood(attempt, "x")
        other, _ = await self.connected()
        other.settimeout(1)
        other.sendall(OPTIONS.encode())
        kept = bytearray()
        self.assertEqual((await asyncio.to_thread(read_sip, other, kept))["cseq"], "1 OPTIONS")
        await asyncio.to_thread(read_sip, sock, bytearray())  # with bytes unread it would be a reset
        sock.close()
        self.calls.ended(attempt, Ending.COMPLETED)  # in this turn: the close is not read
        release = await asyncio.to_thread(read_sip, other, kept)
        self.assertEqual((release[""][:4], release["call-id"]), ("BYE ", "00000000000000d8"))

    async def test_a_release_that_left_is_not_sent_again_when_its_connection_closes(self) -> None:
        sock, connection = await self.connected()
        attempt = await self.set_up(sock, "00000000000000d2")
        self.calls.stood(attempt, "x")
        self.calls.ended(attempt, Ending.COMPLETED)
        self.assertFalse(connection.releases)
        sock.close()
        await self.until(lambda: connection not in self.front.connections)
        self.assertTrue(self.front.settled())

    async def test_it_is_not_settled_while_something_is_unread_unwritten_or_not_accepted(self) -> None:
        sock, connection = await self.connected()
        self.assertTrue(self.front.settled())
        sock.sendall(b"I")
        self.assertFalse(self.front.settled(), "a byte is unread")
        await self.until(lambda: connection.buffer.end)
        self.assertFalse(self.front.settled(), "a message has begun")
        sock.close()
        await self.until(lambda: not self.front.connections)
        late = socket.create_connection(("127.0.0.1", self.port), timeout=WAIT)  # in the accept queue
        self.assertFalse(self.front.settled(), "a connection is not accepted")
        late.close()
        await self.until(self.front.settled)
        sock, connection = await self.connected()
        await self.full(sock, connection)
        self.assertFalse(self.front.settled(), "an answer is unwritten")
        sock.close()
        await self.until(self.front.settled)
        self.front.send_release("00000000000000d3", "sip:d@net", 16)
        self.assertFalse(self.front.settled(), "a release has found no connection")


class Presences(OnThisLoop):
    """Term: an attempt that was kept back (release wait, dial) looks at its caller before it leaves."""

    async def begun(self, call_id: str, presence: Presence) -> tuple[Call, list[Attempt]]:
        """A further attempt, due now, for a caller of whom this is seen."""
        caller = type("Nobody", (), {"answer": lambda *_: None, "release": lambda *_: None})()
        self.calls.presence = lambda call: presence
        request = Request(call_id, 0, "log-lookup", "7f3a9c21e0b4d655", 3 * SECOND, self.clock())
        call = self.calls.offer(request, caller)
        first = call.attempt
        assert first is not None
        self.calls.ended(first, Ending.SETUP_RESET)
        self.side.begun.clear()
        self.skew += call.release_wait + timedelta(milliseconds=1)
        self.calls.tick()
        return call, self.side.begun

    async def test_one_whose_caller_has_gone_never_leaves(self) -> None:
        call, begun = await self.begun("00000000000000e1", Presence.GONE)
        self.assertEqual((begun, call.state), ([], CallState.OVER))

    async def test_one_whose_caller_is_there_leaves_when_the_release_wait_is_over(self) -> None:
        call, begun = await self.begun("00000000000000e2", Presence.HERE)
        self.assertEqual([attempt.request.id for attempt in begun], [call.request.id])

    async def test_unread_bytes_hold_it_up_for_some_turns_and_not_for_ever(self) -> None:
        _, begun = await self.begun("00000000000000e3", Presence.UNREAD)
        self.assertEqual(begun, [])
        await self.until(lambda: begun)

    async def test_a_late_timer_lets_what_was_read_go_first(self) -> None:
        """A time-out and an answer in the same turn of the loop: the answer came in time."""
        order: list[str] = []
        near, far = socket.socketpair()
        self.addCleanup(near.close)
        self.addCleanup(far.close)
        loop, heard = asyncio.get_running_loop(), asyncio.Event()
        ticked = asyncio.Event()

        class Timed:
            wake = staticmethod(lambda: None)
            due: timedelta | None = monotonic() + LATE

            def next_due(self) -> timedelta | None:
                return self.due

            def tick(self) -> None:
                order.append("timer")
                self.due = None
                ticked.set()

        async def reader() -> None:
            await heard.wait()  # as a stream's read: the event first, the coroutine a turn later
            order.append("answer")

        timed = Timed()
        loop.add_reader(near, lambda: (near.recv(1), heard.set()))
        reading = asyncio.ensure_future(reader())
        await self.turns(2)
        metronome = Metronome(IOLoop.current(), timed)  # type: ignore[arg-type]
        far.send(b"x")
        while monotonic() < (timed.due or timedelta(0)) + LATE:
            pass  # this process stands still
        await asyncio.wait_for(ticked.wait(), WAIT)
        await reading
        self.assertEqual(order, ["answer", "timer"])
        self.assertIsNotNone(metronome)
        loop.remove_reader(near)
