"""Loss and delay formulas against printed tables, exact sums and each other."""

from __future__ import annotations

import unittest
from datetime import timedelta
from fractions import Fraction

from hypothesis import given, settings
from hypothesis import strategies as st

from mallowquay.dimensioning import erlang
from mallowquay.dimensioning.erlang import Unanswerable

SECOND = timedelta(seconds=1)

# T. S. Rappaport, Wireless Communications, 2nd edition, table 3.4: the load in erlang that N lines carry.
LOSSES = (0.01, 0.005, 0.002, 0.001)
ERLANG_B = {
    2: (0.153, 0.105, 0.065, 0.046), 4: (0.869, 0.701, 0.535, 0.439), 5: (1.36, 1.13, 0.900, 0.762),
    10: (4.46, 3.96, 3.43, 3.09), 20: (12.0, 11.1, 10.1, 9.41), 24: (15.3, 14.2, 13.0, 12.2),
    40: (29.0, 27.3, 25.7, 24.5), 70: (56.1, 53.7, 51.0, 49.2), 100: (84.1, 80.9, 77.4, 75.2),
}  # fmt: skip
# H. C. Tijms, A First Course in Stochastic Models, chapter 9: the share that waits in M/M/c, by use.
USES = (0.5, 0.7, 0.8, 0.9, 0.95)
ERLANG_C = {
    1: (0.5, 0.7, 0.8, 0.9, 0.95), 2: (0.3333, 0.5765, 0.7111, 0.8526, 0.9256),
    5: (0.1304, 0.3778, 0.5541, 0.7625, 0.8778), 10: (0.0361, 0.2217, 0.4092, 0.6687, 0.8256),
}  # fmt: skip


def exact_b(load: Fraction, servers: int) -> Fraction:
    """Erlang's sum in rational arithmetic."""
    term = total = Fraction(1)
    for busy in range(1, servers + 1):
        term *= load / busy
        total += term
    return term / total


class TableTest(unittest.TestCase):
    def test_erlang_b_of_the_tables(self) -> None:
        for servers, loads in ERLANG_B.items():
            for loss, load in zip(LOSSES, loads):
                with self.subTest(servers=servers, loss=loss):
                    got = erlang.erlang_b_load(servers, loss)
                    # A printed last digit is half a unit off at most, plus what older tables rounded.
                    self.assertAlmostEqual(got, load, delta=0.006 * load if load > 0.2 else 0.0006)

    def test_erlang_c_of_the_tables(self) -> None:
        for servers, shares in ERLANG_C.items():
            for use, waits in zip(USES, shares):
                with self.subTest(servers=servers, use=use):
                    self.assertAlmostEqual(erlang.erlang_c(use * servers, servers).waits, waits, delta=6e-5)

    def test_exact_sums(self) -> None:
        for load in (Fraction(1, 100), Fraction(1, 2), Fraction(3), Fraction(17, 2), Fraction(40)):
            for servers in (0, 1, 2, 5, 13, 40, 60):
                with self.subTest(load=load, servers=servers):
                    loss = exact_b(load, servers)
                    self.assertLess(abs(erlang.erlang_b(float(load), servers) / float(loss) - 1), 1e-12)
                    if load < servers:
                        waits = loss * servers / (servers - load * (1 - loss))
                        got = erlang.erlang_c(float(load), servers)
                        self.assertLess(abs(got.waits / float(waits) - 1), 1e-12)
                        mean = float(waits / (servers - load))
                        self.assertLess(abs(got.mean / mean - 1), 1e-12)

    def test_large_and_small_sizes_against_the_recursion(self) -> None:
        for load, parts in ((0.01, (1, 200)), (1e3, (0.5, 1, 1.1)), (1e6, (0.01, 0.9, 1, 1.002, 1.01))):
            loss, wanted = 1.0, {round(load * part) for part in parts}
            for servers in range(1, max(wanted) + 1):
                loss = load * loss / (servers + load * loss)
                if servers in wanted:
                    with self.subTest(load=load, servers=servers):
                        self.assertLess(abs(erlang.erlang_b(load, servers) / loss - 1), 1e-9)

    def test_real_sizes_lie_between_whole_ones(self) -> None:
        # B(n + 1) from B(n) holds for real n (Jagerman 1974): check at sizes that are not whole.
        for load, servers in ((0.3, 0.4), (5.0, 2.5), (500.0, 3.25), (1e4, 1e4 + 0.5)):
            loss = erlang.erlang_b(load, servers)
            step = load * loss / (servers + 1 + load * loss)
            self.assertLess(abs(erlang.erlang_b(load, servers + 1) / step - 1), 1e-9)


class PropertyTest(unittest.TestCase):
    loads = st.floats(0.01, 1e6)
    sizes = st.floats(0.1, 1e6)

    @settings(max_examples=200, deadline=None, derandomize=True)
    @given(loads, sizes)
    def test_loss_rises_with_load_and_falls_with_size(self, load: float, servers: float) -> None:
        loss = erlang.erlang_b(load, servers)
        self.assertTrue(0 <= loss <= 1)
        slack = 1 + 1e-9
        self.assertLessEqual(loss, erlang.erlang_b(load * 1.01, servers) * slack)
        self.assertLessEqual(erlang.erlang_b(load, servers * 1.01), loss * slack)

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(st.floats(0.1, 1e5), st.floats(1e-6, 0.9))
    def test_inverses(self, load: float, target: float) -> None:
        servers = erlang.erlang_b_servers(load, target)
        self.assertLessEqual(erlang.erlang_b(load, servers), target)
        if servers:
            self.assertGreater(erlang.erlang_b(load, servers - 1), target)
            back = erlang.erlang_b_load(servers, target)
            self.assertGreaterEqual(back * (1 + 1e-9), load)
            self.assertLess(abs(erlang.erlang_b(back, servers) / target - 1), 1e-8)
        waiting = erlang.erlang_c_servers(load, target)
        self.assertLessEqual(erlang.erlang_c(load, waiting).waits, target)
        carries = erlang.erlang_c_load(waiting, target)
        self.assertGreaterEqual(carries * (1 + 1e-9), load)

    @settings(max_examples=60, deadline=None, derandomize=True)
    @given(st.lists(st.tuples(st.floats(0.05, 30.0), st.integers(1, 6)), min_size=1, max_size=4),
           st.integers(6, 120))  # fmt: skip
    def test_wider_classes_lose_more(self, classes: list[tuple[float, int]], lines: int) -> None:
        losses = erlang.kaufman_roberts(lines, classes)
        by_width = sorted(zip((width for _, width in classes), losses))
        for (_, less), (_, more) in zip(by_width, by_width[1:]):
            self.assertLessEqual(less, more + 1e-12)


class RelativesTest(unittest.TestCase):
    def test_kaufman_roberts_is_erlang_b_for_one_class(self) -> None:
        for lines, load in ((5, 2.0), (30, 45.0), (3000, 2900.0)):
            self.assertAlmostEqual(erlang.kaufman_roberts(lines, [(load, 1)])[0],
                                   erlang.erlang_b(load, lines), places=12)  # fmt: skip

    def test_kaufman_roberts_against_the_sum_over_all_states(self) -> None:
        lines, classes = 7, [(1.5, 1), (0.7, 2), (0.4, 3)]
        weights: dict[int, float] = {}
        for a in range(8):
            for b in range(4):
                for c in range(3):
                    busy = a + 2 * b + 3 * c
                    if busy <= lines:
                        weight = 1.0
                        for count, (load, _) in zip((a, b, c), classes):
                            for step in range(1, count + 1):
                                weight *= load / step
                        weights[busy] = weights.get(busy, 0.0) + weight
        total = sum(weights.values())
        for (_, width), loss in zip(classes, erlang.kaufman_roberts(lines, classes)):
            lost = sum(weight for busy, weight in weights.items() if busy + width > lines)
            self.assertAlmostEqual(loss, lost / total, places=12)

    def test_redials_add_up(self) -> None:
        result = erlang.extended_erlang_b(10, 10, 0.7)
        self.assertAlmostEqual(result.loss, erlang.erlang_b(result.offered, 10), places=10)
        p, r = result.loss, 0.7
        self.assertAlmostEqual(result.offered, 10 * (1 + p * r + (p * r) ** 2), places=9)
        self.assertAlmostEqual(result.given_up, p * (1 - r + r * p * (1 - r + r * p)), places=9)
        self.assertEqual(erlang.extended_erlang_b(10, 10, 0.0).loss, erlang.erlang_b(10, 10))

    def test_the_equivalent_of_rough_traffic_has_its_moments(self) -> None:
        for mean, peakedness in ((10.0, 2.0), (100.0, 1.3), (3.0, 4.0)):
            same = erlang.equivalent(mean, peakedness)
            got, variance = erlang.overflow_moments(same.load, same.servers)
            self.assertAlmostEqual(got / mean, 1, places=6)
            self.assertAlmostEqual(variance / got, peakedness, places=6)
            lost = erlang.wilkinson(mean, mean * 1.2, peakedness)
            self.assertGreater(lost, erlang.erlang_b(mean, mean * 1.2))
            self.assertAlmostEqual(lost / erlang.hayward(mean, mean * 1.2, peakedness), 1, delta=0.2)

    def test_smooth_traffic_loses_less(self) -> None:
        self.assertLess(erlang.rough_loss(10, 15, 0.6), erlang.erlang_b(10, 15))

    def test_erlang_a_against_its_birth_and_death_chain(self) -> None:
        for load, servers, patience in ((10.0, 8, 0.5), (3.0, 5, 2.0), (0.1, 20, 0.05), (50.0, 20, 1.0)):
            states = [1.0]
            for calls in range(1, 600):
                rate = min(calls, servers) + max(0, calls - servers) / patience
                states.append(states[-1] * load / rate)
            total = sum(states)
            waits = sum(states[servers:]) / total
            queue = sum((calls - servers) * weight for calls, weight in enumerate(states) if calls > servers)
            got = erlang.erlang_a(load, servers, SECOND, patience * SECOND)
            self.assertAlmostEqual(got.waits, waits, places=9)
            self.assertAlmostEqual(got.gives_up, queue / total / patience / load, places=9)

    def test_questions_without_an_answer(self) -> None:
        for ask in (
            lambda: erlang.erlang_b(0, 5), lambda: erlang.erlang_b(float("nan"), 5),
            lambda: erlang.erlang_b(5, -1), lambda: erlang.erlang_b_servers(5, 1.0),
            lambda: erlang.erlang_c_servers(5, 0.0), lambda: erlang.kaufman_roberts(5, [(1.0, 6)]),
            lambda: erlang.kaufman_roberts(5, [(0.0, 1)]), lambda: erlang.equivalent(5, 0.9),
            lambda: erlang.hayward(5, 5, float("inf")), lambda: erlang.extended_erlang_b(5, 5, 1.5),
        ):  # fmt: skip
            with self.assertRaises(Unanswerable):
                ask()
