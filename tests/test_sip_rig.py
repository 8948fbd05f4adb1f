"""The second front's rig judges the program, never the machine: doctored records, and real standstills."""

from __future__ import annotations

import asyncio
import signal
import socket
import subprocess
import sys
import time
import unittest
import warnings
from collections.abc import Callable
from random import Random
from unittest import mock

from rigs.sip_peers import (
    DISTURBED, FORGETS, PLAYS, TICK, WAITS_MORE, Attempt, Kept, Machine, Report, StampedSocket,
    StandInCallers, StandInServer, Starved, Track, Weather, When, encode, judged, sip_port,
)  # fmt: skip

CALLS, ABOVE, LENGTH = 600, 450, 20.0  # calls, the bound on those served, seconds of the doctored run


def record(served: int = 574) -> Report:
    """What a right run leaves behind: a call each 1/30 s, an attempt each, at 1 ms a step."""
    report = Report()
    report.machine.began, report.machine.ended = 0.0, LENGTH
    for number in range(CALLS):
        began = number / 30
        status = 200 if number < served else 480
        track = Track(began=began, over=began + 0.02, finals={(status, "t")})
        track.attempts["a"] = Attempt(When(began + 0.001, began + 0.001), When(began + 0.01, began + 0.01))
        report.calls[f"{number:08x}"] = track
        report.statuses[status] += 1
    return report


def calls(report: Report) -> list[Track]:
    return list(report.calls.values())


def second_answer(report: Report) -> Track:
    track = calls(report)[300]
    track.finals.add((200, "other"))
    track.again = track.over + 1.0
    return track


def no_answer(report: Report) -> Track:
    track = calls(report)[300]
    track.finals.clear()
    track.over, track.gave_up = 0.0, track.began + 6.3
    return track


def resend_after(report: Report, gap: float) -> Track:
    """Another attempt so long after the first one's CANCEL."""
    track = calls(report)[300]
    cancel, again = track.began + 0.1, track.began + 0.1 + gap
    track.attempts["a"].over, track.attempts["a"].given_up = When(cancel, cancel), True
    track.attempts["b"] = Attempt(When(again, again), When(again + 0.01, again + 0.01))
    track.over = again + 0.02
    return track


def never_given_up(report: Report) -> Track:
    """Another attempt, and no word ever about the first one."""
    track = resend_after(report, 0.3)
    track.attempts["a"].over, track.attempts["a"].given_up = None, False
    return track


PLANTED: list[tuple[str, Callable[[Report], Track]]] = [
    ("double answers", second_answer),
    ("missing answers", no_answer),
    ("two attempts out", lambda report: resend_after(report, -0.05)),
    ("two attempts out", never_given_up),
    ("sent again too soon", lambda report: resend_after(report, 0.2)),
]


class Records(unittest.TestCase):
    def test_the_bounds_of_an_undisturbed_machine(self) -> None:
        for served, right in ((574, True), (451, True), (450, False), (331, False)):
            verdict = record(served).judge(ABOVE)
            self.assertEqual((dict(verdict.faults), dict(verdict.undecided)),
                             ({} if right else {"calls served": 1}, {}), served)  # fmt: skip
        for gap, faults in ((0.3, {}), (0.241, {}), (0.239, {"sent again too soon": 1})):
            report = record()
            resend_after(report, gap)
            verdict = report.judge(ABOVE)
            self.assertEqual((dict(verdict.faults), dict(verdict.undecided)), (faults, {}), gap)

    def test_a_fault_is_found_with_a_standstill_elsewhere(self) -> None:
        for fault, plant in PLANTED:
            for start in (0.0, 17.5):  # well before the call, and well after it
                report = record()
                track = plant(report)
                for side in (report.machine.rig, report.machine.program):
                    side.append(Kept(start, start + 2.0, 2.0))
                verdict = report.judge(ABOVE)
                self.assertEqual(dict(verdict.faults), {fault: 1}, (fault, start, track.began))
                self.assertEqual(str(verdict)[:6], "faults")

    def test_a_resend_too_soon_is_found_on_a_busy_machine(self) -> None:
        """Neither many short waits nor a long one that ended before the CANCEL explain 200 ms."""
        for end, each, ticks in ((0.4, 0.002, 60), (0.06, 0.01, 20)):
            report = record()
            track = resend_after(report, 0.2)
            for tick in range(-ticks, 0):
                at = track.began + end + tick * TICK
                report.machine.program.append(Kept(at, at + TICK, each))
            self.assertEqual(dict(report.judge(ABOVE).faults), {"sent again too soon": 1})

    def test_a_fault_is_found_in_a_starved_run(self) -> None:
        for fault, plant in PLANTED:
            report = record()
            plant(report)
            report.machine.program += [Kept(0.0, 9.0, 9.0), Kept(17.0, 20.0, 3.0)]
            self.assertEqual(dict(report.judge(ABOVE).faults), {fault: 1})

    def test_calls_refused_away_from_a_standstill_are_the_programs(self) -> None:
        for side in ("rig", "program"):
            report = record(served=440)  # refused: the last 160, from 14.7 s on
            getattr(report.machine, side).append(Kept(15.0, 16.0, 1.0))  # it touches 2 s of calls
            self.assertEqual(dict(report.judge(ABOVE).undecided), {"calls served": 1}, side)
            report = record(served=300)
            getattr(report.machine, side).append(Kept(15.0, 16.0, 1.0))
            self.assertEqual(dict(report.judge(ABOVE).faults), {"calls served": 1}, side)
            report = record(served=440)
            getattr(report.machine, side).append(Kept(15.0, 15.0 + DISTURBED, DISTURBED))
            self.assertEqual(dict(report.judge(ABOVE).faults), {"calls served": 1}, side)

    def test_a_standstill_alone_is_neither_a_fault_nor_right(self) -> None:
        def read_late(report: Report) -> str:  # the CANCEL and the next set-up, by TCP, in one late read
            track = resend_after(report, 0.0)
            track.attempts["a"].over = When(track.began + 0.1, track.began + 0.5)
            track.attempts["b"].begun = When(track.began + 0.1, track.began + 0.5)
            return "sent again too soon"

        def sent_late(report: Report) -> str:  # the program stood between deciding and sending
            track = resend_after(report, 0.1)
            report.machine.program.append(Kept(track.began, track.began + 0.1, 0.1))
            report.machine.program.append(Kept(track.began + 0.1, track.began + 0.2, 0.1))
            track.attempts["b"].begun = When(track.began + 0.25, track.began + 0.25)
            return "sent again too soon"

        def unread(report: Report) -> str:  # the rig stood still at the end: the CANCEL lies there
            resend_after(report, 0.3).attempts["a"].over = None
            report.machine.rig.append(Kept(LENGTH - 0.2, LENGTH, 0.2))
            return "two attempts out"

        def kept_for_long(report: Report) -> str:
            track = no_answer(report)
            track.gave_up = track.began + 6.3 + WAITS_MORE
            report.machine.program.append(Kept(track.began, track.began + WAITS_MORE + 1, WAITS_MORE + 1))
            return "missing answers"

        def forgotten(report: Report) -> str:
            track = second_answer(report)
            track.again = track.began + FORGETS + 1
            report.machine.rig.append(Kept(track.began, track.again, FORGETS + 0.5))
            return "double answers"

        def lost(report: Report) -> str:  # the CANCEL was dropped before a rig that stood still
            sock = StampedSocket(socket.AF_INET, socket.SOCK_DGRAM)
            self.addCleanup(sock.close)
            sock.dropped = 3
            report.sockets.append(sock)
            return "datagrams dropped"

        for plant in (read_late, sent_late, unread, kept_for_long, forgotten, lost):
            report = record()
            what = plant(report)
            verdict = report.judge(ABOVE)
            self.assertEqual(dict(verdict.faults), {}, plant.__name__)
            self.assertEqual(set(verdict.undecided), {what}, plant.__name__)
            self.assertTrue(str(verdict).startswith("starved: nothing judged"))


class Plays(unittest.TestCase):
    def play(self, *reports: Report) -> tuple[Callable[[], tuple[Report, float]], list[Report]]:
        left = list(reports)
        return lambda: (left.pop(0), 100.0), left

    def starved(self) -> Report:
        report = record()
        report.machine.program.append(Kept(0.0, 11.0, 11.0))  # over half of the run
        return report

    def test_a_starved_run_is_no_pass(self) -> None:
        play, left = self.play(*(self.starved() for _ in range(PLAYS + 1)))
        with warnings.catch_warnings(record=True) as told, self.assertRaisesRegex(Starved, "nothing judged"):
            warnings.simplefilter("always")
            judged(play, ABOVE)
        self.assertEqual((len(told), len(left)), (PLAYS, 1))

    def test_a_starved_run_is_played_again_and_each_play_told(self) -> None:
        play, left = self.play(self.starved(), record(), record())
        with self.assertWarnsRegex(UserWarning, "play 1: .*nothing judged"):
            verdict = judged(play, ABOVE)[2]
        self.assertEqual((str(verdict), len(left)), ("right", 1))

    def test_a_fault_is_not_played_away(self) -> None:
        bad = self.starved()
        second_answer(bad)
        play, left = self.play(bad, record())
        self.assertEqual(dict(judged(play, ABOVE)[2].faults), {"double answers": 1})
        self.assertEqual(len(left), 1)


class Measures(unittest.IsolatedAsyncioTestCase):
    def child(self, code: str) -> subprocess.Popen[str]:
        line = [sys.executable, "-c", code]
        child = subprocess.Popen(line, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)
        for close in (child.stdout.close, child.stdin.close, child.wait, child.kill):  # the last one first
            self.addCleanup(close)
        child.stdout.readline()
        return child

    async def measured(
        self, machine: Machine, pid: int, meanwhile: Callable[[], object], length: float
    ) -> None:
        task = asyncio.create_task(machine.measure(pid))
        await asyncio.sleep(3 * TICK)
        meanwhile()
        await asyncio.sleep(length)
        task.cancel()

    async def test_a_program_that_is_stopped_is_kept_and_one_that_sleeps_is_not(self) -> None:
        sleeps = self.child("import time; print(flush=True); time.sleep(60)")
        machine = Machine()
        await self.measured(machine, sleeps.pid, lambda: None, 0.3)
        self.assertLess(sum(kept.span for kept in machine.program), 0.1)
        machine = Machine()
        await self.measured(machine, sleeps.pid, lambda: sleeps.send_signal(signal.SIGSTOP), 0.3)
        self.assertGreater(sum(kept.span for kept in machine.program), 0.2)

    async def test_a_wait_is_noted_whole_though_the_system_counts_it_at_its_end(self) -> None:
        counted, machine = [(0.0, False), (0.0, False), (0.2, False)], Machine()
        with mock.patch.object(Machine, "_waited", lambda *_: counted.pop(0) if counted else (0.2, False)):
            await self.measured(machine, 1, lambda: None, 0.1)
        [kept] = machine.program
        self.assertAlmostEqual(kept.span, 0.2)
        self.assertAlmostEqual(kept.end - kept.start, 0.2)

    async def test_the_rigs_own_standstill_is_measured_where_it_was(self) -> None:
        machine, clock = Machine(), asyncio.get_running_loop().time
        start = clock()
        await self.measured(machine, 1, lambda: time.sleep(0.25), 0.1)
        self.assertGreater(machine.kept(start, clock()), 0.2)
        self.assertEqual(machine.kept(start - 9, start), 0.0)

    async def test_a_message_that_is_read_late_has_the_time_at_which_it_came(self) -> None:
        """The 300 ms after a CANCEL count from its arrival, over UDP and TCP."""
        for transport in ("udp", "tcp"):
            report, port, clock = Report(), sip_port(), asyncio.get_running_loop().time
            server = StandInServer(report, Weather(1, 0.0, 0.0), Random(1), 0)
            server._answer = lambda *call: None  # type: ignore[method-assign]  # it stays silent
            await server.listen(port, transport)
            track = report.calls["n"] = Track()
            kind = socket.SOCK_DGRAM if transport == "udp" else socket.SOCK_STREAM
            with socket.socket(socket.AF_INET, kind) as peer:
                peer.connect(("127.0.0.1", port))

                def send(method: str, call_id: str) -> float:
                    headers = [("To", "<sip:n@127.0.0.1>"), ("Call-ID", call_id), ("CSeq", f"1 {method}")]
                    peer.send(encode(f"{method} sip:n@127.0.0.1 SIP/2.0", headers))
                    return clock()

                send("INVITE", "a")
                while "a" not in track.attempts:
                    await asyncio.sleep(0.001)
                sent = send("CANCEL", "a")
                time.sleep(0.25)  # the rig stands still: it reads this CANCEL 250 ms late
                while track.attempts["a"].over is None:
                    await asyncio.sleep(0.001)
                self.assertGreater(clock() - sent, 0.25)
                self.assertLess(track.attempts["a"].over.latest - sent, 0.05, transport)
            for path in server.paths:
                path.sock.close()
            if transport == "tcp":
                server.listener.close()

    async def test_a_caller_waits_longer_by_what_the_program_was_kept_in_its_time(self) -> None:
        for when, copies in ((None, 3), (-60.0, 3), (0.0, 5)):
            report, written = Report(), []
            callers = StandInCallers(report, Weather(1, 0.0, 0.0), Random(3), 9)
            callers.own_port = 9
            callers.udp = callers.tcp = mock.Mock(write=written.append)
            callers.chance = mock.Mock(**{"random.return_value": 0.5, "randrange.return_value": 0,
                                          "choice.return_value": "udp"})  # fmt: skip
            now = asyncio.get_running_loop().time()
            if when is not None:
                report.machine.program.append(Kept(now + when - 0.001, now + when + 0.5, 0.5))
            with mock.patch("rigs.sip_peers.WAITS", 0.3):
                await callers.call("00000001")
            self.assertEqual(len(written), copies, when)
            self.assertLess(report.calls["00000001"].gave_up, float("inf"))


if __name__ == "__main__":
    unittest.main()
