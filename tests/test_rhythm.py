"""When a connection to a log server is taken as mute, on virtual time."""

from __future__ import annotations

import unittest
from datetime import timedelta

from mallowquay.fronts.platform.rhythm import PATIENCE_MOST, Rhythm

MS = timedelta(milliseconds=1)
STEP = 50 * MS


class RhythmTest(unittest.TestCase):
    def mute_after(
        self, rhythm: Rhythm, now: timedelta, words: list[timedelta], until: timedelta
    ) -> timedelta | None:
        """When the connection that opened at `now` is left, by when words come on it; None if it is not."""
        rhythm.opened(now)
        heard = now
        for step in range(int((until - now) / STEP)):
            at = now + step * STEP
            while words and words[0] <= at:
                heard = words.pop(0)
                rhythm.told(heard)
            if rhythm.missed(at, heard):
                rhythm.mute()
                return at
        return None

    def test_a_healthy_server_is_never_left_whatever_the_phase_of_its_words(self) -> None:
        """A word greets each new connection, then words come at even gaps that do not know of it."""
        for gap in (200, 550, 880, 1000):
            for phase in range(10, gap, max(10, gap // 20)):
                rhythm, now = Rhythm(), timedelta(0)
                words = [now, *(now + (phase + gap * number) * MS for number in range(30))]
                left = self.mute_after(rhythm, now, words, 10 * gap * MS)
                self.assertIsNone(left, f"gap {gap} ms, phase {phase} ms")

    def test_a_connection_without_further_words_is_left_after_a_gap_and_its_slack(self) -> None:
        rhythm = Rhythm()
        words = [number * 500 * MS for number in range(6)]
        left = self.mute_after(rhythm, timedelta(0), words, timedelta(seconds=9))
        assert left is not None
        self.assertTrue(timedelta(0) <= left - 2500 * MS - 650 * MS <= 2 * STEP, left)

    def test_a_server_that_drains_untold_is_not_dialled_again_and_again(self) -> None:
        """It accepts, greets, and tells no more: over 7 s that the list may be late, few connections."""
        rhythm = Rhythm()
        words = [number * 500 * MS for number in range(6)]
        now = self.mute_after(rhythm, timedelta(0), words, timedelta(seconds=9))
        assert now is not None
        end, opened = now + timedelta(seconds=7), 0
        while now is not None and now < end:
            opened += 1
            now = self.mute_after(rhythm, now, [now], end + timedelta(seconds=9))
        self.assertLessEqual(opened, 4)  # without patience every 650 ms: 11

    def test_patience_is_bounded_and_ends_with_even_words(self) -> None:
        rhythm, now = Rhythm(), timedelta(0)
        self.mute_after(rhythm, now, [number * 500 * MS for number in range(6)], timedelta(seconds=9))
        spans = []
        for _ in range(6):
            left = self.mute_after(rhythm, now, [now], now + timedelta(seconds=30))
            assert left is not None
            spans.append(left - now)
            now = left
        self.assertLessEqual(max(spans), 500 * 1.3 * PATIENCE_MOST * MS + 2 * STEP)
        words = [now + number * 500 * MS for number in range(6)]
        last = words[-1]
        left = self.mute_after(rhythm, now, words, now + timedelta(seconds=30))
        assert left is not None
        self.assertLess(left - last, timedelta(seconds=1))


if __name__ == "__main__":
    unittest.main()
