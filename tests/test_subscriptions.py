"""The xDS machines: whatever the order of what happens, a proxy ends with the newest state."""

from __future__ import annotations

import unittest
from datetime import timedelta

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from mallowquay.controlplane.pacing import WEIGHT_MOST, Board, Pace
from mallowquay.controlplane.snapshot import Item, Kind, Snapshot, Version
from mallowquay.controlplane.subscriptions import NAMES_MOST, Ask, Delta, Lease, Response, TooMuch, World
from mallowquay.core.model import Level, Rating, Server, ServerStatus

MS = timedelta(milliseconds=1)
PATIENCE = timedelta(seconds=10)
LEASE = Lease(450 * MS, 150 * MS)
NAMES = ("a", "b", "c")
END = Kind.ENDPOINTS


def state(sequence: int, withdrawn: int = 0, **bodies: bytes) -> Snapshot:
    items = {name: Item.of(name, body) for name, body in bodies.items()}
    return Snapshot(sequence, withdrawn, {END: items, Kind.CLUSTER: items})


class Proxy:
    """A stand-in that keeps what it is sent, and says so."""

    def __init__(self, kind: Kind, delta: bool, names: tuple[str, ...]) -> None:
        self.kind, self.delta, self.names = kind, delta, set(names)
        self.held: dict[str, str] = {}
        self.versions: dict[str, str] = {}
        self.version = ""

    def connect(self, now: timedelta) -> None:
        """A new stream: the first request tells what is held."""
        made = Delta if self.delta else World
        self.machine = made(self.kind, LEASE, PATIENCE)
        names = tuple(sorted(self.names))
        self.machine.ask(Ask(self.kind, names, version=self.version, versions=dict(self.versions)), now)
        self.late: Response | None = None

    def want(self, name: str, now: timedelta, nonce: str = "") -> None:
        """Subscribe to one more, or leave one."""
        self.names ^= {name}
        if self.delta:
            more, less = ((name,), ()) if name in self.names else ((), (name,))
            self.machine.ask(Ask(self.kind, more, less), now)
        else:
            self.machine.ask(Ask(self.kind, tuple(sorted(self.names)), version=self.version), now)
        if name not in self.names:
            self.held.pop(name, None)
            self.versions.pop(name, None)

    def take(self, response: Response) -> None:
        """Apply a response."""
        if response.beat:
            return
        if not self.delta and self.kind.whole:
            self.held.clear()
        for item in response.items:
            self.held[item.name] = item.digest
            self.versions[item.name] = str(Version(item.digest))
        for name in response.removed:
            self.held.pop(name, None)
            self.versions.pop(name, None)
        self.version = response.version

    def answer(self, response: Response, now: timedelta, refusal: str | None = None) -> None:
        """ACK or NACK."""
        names = () if self.delta else tuple(sorted(self.names))
        ask = Ask(self.kind, names, version=self.version, nonce=response.nonce, refusal=refusal)
        self.machine.ask(ask, now)


class Machine(RuleBasedStateMachine):
    """Any order of changes, requests, ACKs, late ACKs, NACKs and breaks, for one proxy of either variant."""

    delta = False

    def __init__(self) -> None:
        super().__init__()
        self.now, self.sequence = timedelta(0), 1
        self.snapshot = state(1, a=b"0")
        self.made = {"a": {Item.of("a", b"0").digest: 0}}
        self.proxy = Proxy(END, self.delta, ("a", "b"))
        self.proxy.connect(self.now)
        self.newest: dict[str, int] = {}
        self.bad: set[str] = set()

    @rule(name=st.sampled_from(NAMES), there=st.booleans())
    def changes(self, name: str, there: bool) -> None:
        self.sequence += 1
        bodies = {key: item.body for key, item in self.snapshot.of(END).items()}
        body = str(self.sequence).encode()
        if there:
            bodies[name] = body
            self.made.setdefault(name, {})[Item.of(name, body).digest] = self.sequence
        elif self.delta:  # state of the world knows no removal of endpoints
            bodies.pop(name, None)
        self.snapshot = state(self.sequence, **bodies)

    @rule(refuses=st.booleans(), late=st.booleans())
    def is_sent(self, refuses: bool, late: bool) -> None:
        response = self.proxy.machine.next(self.snapshot, self.now)
        if response is None:
            return
        assert not response.beat or response.lease == LEASE.time
        for item in response.items:
            made = self.made[item.name][item.digest]
            assert made >= self.newest.get(item.name, 0), "an older state after a newer"
            self.newest[item.name] = made
            assert response.beat or item.digest not in self.bad, "a refused state came again"
        if refuses and not response.beat:
            self.proxy.answer(response, self.now, "no")
            self.bad |= {item.digest for item in response.items}
            return
        self.proxy.take(response)
        if not late:
            self.proxy.answer(response, self.now)

    @rule(nonce=st.sampled_from(["", "never", "1", "2-1"]))
    def a_stranger_is_answered(self, nonce: str) -> None:
        names = () if self.delta else tuple(sorted(self.proxy.names))
        self.proxy.machine.ask(Ask(END, names, nonce=nonce or "x"), self.now)

    @rule(name=st.sampled_from(NAMES))
    def subscribes(self, name: str) -> None:
        if self.proxy.names != {name}:
            self.proxy.want(name, self.now)
            self.newest.pop(name, None)
            self.bad -= set(self.made.get(name, {}))

    @rule()
    def breaks(self) -> None:
        self.proxy.connect(self.now)
        self.bad.clear()

    @rule(span=st.integers(1, 400))
    def time_passes(self, span: int) -> None:
        self.now += span * MS

    @invariant()
    def ends_with_the_newest(self) -> None:
        """A proxy that takes all from here on, on a new stream, holds the newest of what it wants."""
        ended = Proxy(END, self.delta, tuple(self.proxy.names))
        ended.held, ended.versions = dict(self.proxy.held), dict(self.proxy.versions)
        ended.version = self.proxy.version
        ended.connect(self.now)
        for _ in range(4):
            response = ended.machine.next(self.snapshot, self.now)
            if response is None or response.beat:
                break
            ended.take(response)
            ended.answer(response, self.now)
        wanted = {name: item.digest for name, item in self.snapshot.of(END).items() if name in ended.names}
        held = {name: digest for name, digest in ended.held.items() if name in ended.names}
        assert held == wanted, (held, wanted)


class DeltaMachine(Machine):
    delta = True


for machine in (Machine, DeltaMachine):
    machine.TestCase.settings = settings(
        max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
    )
WorldTest, DeltaTest = Machine.TestCase, DeltaMachine.TestCase


class RulesTest(unittest.TestCase):
    def test_the_list_that_knows_of_the_newest_drain_decides(self) -> None:
        now = timedelta(seconds=5)
        ahead = Version(Item.of("a", b"drains").digest, withdrawn=2000)
        for made in (World, Delta):
            machine = made(END, LEASE, PATIENCE)
            machine.ask(Ask(END, ("a",), version=str(ahead), versions={"a": str(ahead)}), now)
            old = state(1, withdrawn=1000, a=b"ready")
            self.assertIsNone(machine.next(old, now), "an older 'ready' undid a drain")
            self.assertEqual(machine.order.due(old, now), now + PATIENCE)
            caught_up = state(2, withdrawn=2001, a=b"drains")
            response = machine.next(caught_up, now + 10 * MS)
            self.assertTrue(response is None or response.beat or response.items[0].body == b"drains")
            # A clock that is wrong must not silence this instance for good.
            machine = made(END, LEASE, PATIENCE)
            machine.ask(Ask(END, ("a",), version=str(ahead), versions={"a": str(ahead)}), now)
            self.assertIsNotNone(machine.next(old, now + PATIENCE))

    def test_a_proxy_that_comes_with_the_same_state_is_sent_nothing_but_its_lease(self) -> None:
        now = timedelta(0)
        world = Proxy(Kind.CLUSTER, False, ())  # wants all; one of names is sent once anew
        world.connect(now)
        response = world.machine.next(state(7, a=b"x"), now)
        assert response is not None
        world.take(response)
        world.connect(now)
        self.assertIsNone(world.machine.next(state(1, a=b"x"), now))
        first = Proxy(END, True, ("a",))
        first.connect(now)
        response = first.machine.next(state(7, a=b"x"), now)
        assert response is not None
        first.take(response)
        first.connect(now)  # another instance: other sequence, same content
        again = first.machine.next(state(1, a=b"x"), now)
        assert again is not None
        self.assertTrue(again.beat)
        self.assertIsNone(first.machine.next(state(1, a=b"x"), now + 100 * MS))
        renewed = first.machine.next(state(1, a=b"x"), now + 150 * MS)
        self.assertTrue(renewed is not None and renewed.beat)

    def test_a_day_of_renewals_keeps_nothing(self) -> None:
        for made in (World, Delta):
            machine, now, nonces = made(END, LEASE, PATIENCE), timedelta(0), set()
            machine.ask(Ask(END, ("a",)), now)
            for _ in range(3000):
                response = machine.next(state(1, a=b"x"), now)
                assert response is not None
                nonces.add(response.nonce)
                now += LEASE.renew
            self.assertEqual(len(nonces), 3000)  # each can be told from the others
            kept = [value for value in vars(machine).values() if isinstance(value, (set, dict, list))]
            self.assertLessEqual(max(map(len, kept)), 16)

    def test_too_many_names_end_the_stream(self) -> None:
        names = tuple(map(str, range(NAMES_MOST + 1)))
        for made in (World, Delta):
            with self.assertRaises(TooMuch):
                made(END, None, PATIENCE).ask(Ask(END, names), timedelta(0))
            with self.assertRaises(TooMuch):
                made(END, None, PATIENCE).ask(Ask(END, ("x" * 5000,)), timedelta(0))

    def test_versions_that_are_none_of_ours_are_none(self) -> None:
        for text in ("", "7", "x" * 16 + ".0", "0" * 16, "0" * 16 + ".g", "0" * 16 + "." + "1" * 99):
            self.assertIsNone(Version.read(text))


class BoardTest(unittest.TestCase):
    def servers(self, *states: ServerStatus) -> list[Server]:
        return [Server(f"s{n}", ("127.0.0.1", n), n, status) for n, status in enumerate(states)]

    def test_a_drain_is_due_at_once_and_the_rest_is_gathered(self) -> None:
        board, now = Board(Pace()), timedelta(seconds=1)
        ready, drains = ServerStatus.READY, ServerStatus.DRAINING
        board.list_told(self.servers(ready, ready), now, 5000)
        self.assertEqual(board.due(), now + 20 * MS)
        board.told()
        board.list_told(self.servers(ready, drains), now, 6000)
        self.assertEqual((board.due(), board.withdrawn, board.alarm), (now, 6000, None))
        board.told()
        board.list_told(self.servers(drains, drains), now, 5990)  # a clock that went back
        self.assertEqual((board.due(), board.withdrawn), (now, 6001))
        self.assertIn("all 2", str(board.alarm))

    def test_noise_makes_no_storm(self) -> None:
        board, now, told = Board(Pace()), timedelta(seconds=1), 0
        board.list_told(self.servers(*[ServerStatus.READY] * 2), now, 5000)
        board.told()
        for step in range(400):  # 10 s of weights that jump between halves
            now += 25 * MS
            takes = 50.0 if step % 2 else 100.0
            board.rated([Rating("s0", Level.NORMAL, 100.0), Rating("s1", Level.NORMAL, takes)], now)
            if board.due() is not None and board.due() <= now:
                board.told()
                told += 1
        self.assertLessEqual(told, 21)
        shown = board.shown["s1"].weight
        for takes in range(1, 19):
            now += timedelta(seconds=1)
            one = shown * (1 + takes / 100)
            rated = [Rating("s0", Level.NORMAL, 100.0), Rating("s1", Level.NORMAL, one)]
            board.rated(rated, now)
        self.assertEqual(board.shown["s1"].weight, shown, "within the dead band")
        self.assertEqual(board.shown["s0"].weight, WEIGHT_MOST)


if __name__ == "__main__":
    unittest.main()
