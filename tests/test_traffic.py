"""The record of traffic: what is counted, and files that crashes, disks and strangers have spoilt."""

from __future__ import annotations

import tempfile
import unittest
from datetime import timedelta
from pathlib import Path

from test_platform import PlatformCase

from mallowquay.cli import program as command
from mallowquay.core.model import Request, Verdict
from mallowquay.traffic.record import Header, Interval, Recorder
from mallowquay.traffic.store import TrafficFault, Writer, read
from mallowquay.traffic.summary import summarise

SECOND = timedelta(seconds=1)


def request(number: int, at: float, again: bool = False) -> Request:
    return Request(f"c{number}", 0, "a", "1", 9 * SECOND, at * SECOND, redialled=again)


def played() -> Interval:
    """Two calls that stand, one of them over within the interval of 10 s; one refused and dialled again."""
    recorder = Recorder(0 * SECOND)
    first = request(0, 1.0)
    for number, (at, stands) in enumerate(((1.0, 1.5), (2.0, 2.25))):
        call = request(number, at)
        recorder.offered(call, at * SECOND)
        recorder.answered(call, Verdict.STANDS, stands * SECOND)
    for call in (request(2, 3.0), request(3, 4.0, again=True)):
        recorder.offered(call, call.taken_at)
        recorder.answered(call, Verdict.REFUSED, call.taken_at)
    recorder.over(first, 1.5 * SECOND, 6.5 * SECOND)
    recorder.load_told("x", {"free": 3.0, "size": 40.0})
    return recorder.cut(10 * SECOND)


class RecorderTest(unittest.TestCase):
    def test_counts_calls_and_spans(self) -> None:
        interval = played()
        kind = interval.classes["a"]
        self.assertEqual((kind.offered, kind.again, kind.stood, kind.refused, kind.ended), (4, 1, 2, 2, 1))
        self.assertEqual((kind.calls_most, interval.lines, interval.servers), (2, 40, 1))
        self.assertAlmostEqual(kind.calls_mean, (5.0 + 7.75) / 10)
        self.assertAlmostEqual(kind.calls_square, (0.75 + 4 * 4.25 + 3.5) / 10)
        summary = summarise([interval]).classes[0]
        self.assertAlmostEqual(summary.hold / SECOND, 5.0, delta=0.05)
        self.assertEqual(summary.first, 3)
        self.assertAlmostEqual(summary.again_share, 0.5)

    def test_calls_that_stand_go_on_into_the_next_interval(self) -> None:
        recorder = Recorder(0 * SECOND)
        call = request(1, 0.0)
        recorder.offered(call, call.taken_at)
        recorder.answered(call, Verdict.STANDS, 1 * SECOND)
        recorder.cut(10 * SECOND)
        self.assertEqual(recorder.cut(20 * SECOND).classes["a"].calls_mean, 1.0)
        recorder.over(call, 1 * SECOND, 25 * SECOND)
        self.assertEqual(recorder.cut(30 * SECOND).classes["a"].calls_mean, 0.5)
        self.assertEqual(recorder.cut(40 * SECOND).classes, {})


class FileTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "record"
        self.header = Header(1, 5, 10_000, ["a"])
        writer = Writer(str(self.path), self.header)
        for _ in range(3):
            writer.write(played())
        writer.close()
        self.whole = self.path.read_bytes()

    def test_comes_back_as_it_was(self) -> None:
        record = read(self.path)
        self.assertEqual((record.starts, record.cut), ([(self.header, [played()] * 3)], []))

    def test_cut_at_any_byte_it_is_read_to_the_last_whole_line(self) -> None:
        ends = [index + 1 for index, byte in enumerate(self.whole) if byte == ord("\n")]
        for size in range(ends[0], len(self.whole)):
            self.path.write_bytes(self.whole[:size])
            record = read(self.path)
            self.assertEqual(len(list(record.intervals())), sum(end <= size for end in ends) - 1)
            self.assertEqual(bool(record.cut), size not in ends)

    def test_a_start_after_a_crash_goes_on_in_the_same_file(self) -> None:
        self.path.write_bytes(self.whole[:-20])
        Writer(str(self.path), self.header).write(played())
        record = read(self.path)
        self.assertEqual([len(intervals) for _, intervals in record.starts], [2, 1])
        self.assertEqual(record.cut, [4])

    def test_a_damaged_or_foreign_file_is_turned_down_with_its_line(self) -> None:
        second = self.whole.index(b"\n") + 5
        cases = [
            (self.whole[:second] + b"#" + self.whole[second + 1 :], "line 2"),
            (b"", "line 1"), (b"hello\n" * 4, "line 1"), (self.whole[30:], "line 1"),
            (self.whole.replace(b'"at_ms":0', b'"at_ms":9'), "line 2"),
        ]  # fmt: skip
        for data, named in cases:
            with self.subTest(named):
                self.path.write_bytes(data)
                with self.assertRaisesRegex(TrafficFault, named):
                    read(self.path)
                self.assertEqual(command(["traffic", "show", str(self.path)]), 2)


class ServingTest(PlatformCase):
    """The real program records what its callers do."""

    def more(self) -> dict[str, object]:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.record = str(Path(folder.name) / "record")
        return {"traffic": {"file": self.record, "interval_ms": 100}}

    def test_the_platforms_front_records(self) -> None:
        record = read(self.record)
        self.assertEqual(record.starts[0][0].classes, ["log-lookup", "log-update"])
        self.set_up("00000000000000a1")
        self.program.terminate()
        self.caller.send("BYE", "00000000000000a1", "Reason: Q.850;cause=16")
        self.assertEqual(self.program.process.wait(5), 0)
        kinds = [kind for interval in read(self.record).intervals() for kind in interval.classes.values()]
        self.assertEqual(sum(kind.stood for kind in kinds), 1)
        self.assertEqual(sum(kind.ended for kind in kinds), 1)


if __name__ == "__main__":
    unittest.main()
