"""What must hold in every virtual fleet, whatever fails. Each is checked at the step that could break it."""

from __future__ import annotations

from datetime import timedelta

from mallowquay.fleet.model import Event, State, View

from .world import Host, World

HEALS_WITHIN = timedelta(seconds=25)  # after the last fault; with elections that lose by chance


class Broken(AssertionError):
    """An invariant does not hold."""


class Invariants:
    """Watches a world."""

    def __init__(self, world: World) -> None:
        self._world = world
        self.agreed: dict[tuple[int, int], View] = {}  # by number, and by change of the book within it
        self._newest: dict[str, tuple[int, tuple[int, int]]] = {}  # what each process last knew as agreed
        self._lives: dict[str, set[tuple[int, int]]] = {}
        self._leases: dict[int, timedelta] = {}  # the latest end of a lease of each term
        self.checks = 0
        world.watchers.append(self._step)
        world.on_event = self._event

    def _step(self, host: Host) -> None:
        self.checks += 1
        member = host.member
        assert member is not None
        view = member.lasting.agreed
        number = (view.number, view.key.entry)
        if view.number:
            known = self.agreed.setdefault(number, view)
            if known is not view and known != view:
                raise Broken(f"two views agreed as number {number}: {known} and {view}")
        life = member.life
        before = self._newest.get(host.name)
        if before is not None and before[0] == life.mark and number < before[1]:
            raise Broken(f"{host.name} went back from view {before[1]} to {number}")
        self._newest[host.name] = (life.mark, number)
        if member.holds(self._world.clock(host)) is not None:
            self._one_majority(host)

    def _one_majority(self, host: Host) -> None:
        """Leases of two terms never overlap. Counted on: a lease is never shorter than it was told to be."""
        member, world = host.member, self._world
        assert member is not None
        left = (member.views.lease_until - world.clock(host)) / host.rate
        term = member.views.lease_term
        for other, ends in self._leases.items():
            if other != term and ends > world.now:
                raise Broken(f"two majorities at once: {host.name} in term {term}, {other} until {ends}")
        self._leases[term] = max(world.now + left, self._leases.get(term, world.now))

    def _event(self, host: Host, event: Event) -> None:
        if event.what != "fleet_life":
            return
        member = host.member
        assert member is not None
        life = (member.life.number, member.life.mark)
        lives = self._lives.setdefault(host.name, set())
        if life in lives:
            raise Broken(f"{host.name} began life {life} twice")
        lives.add(life)

    def healed(self) -> str:
        """What is still amiss with nothing failing; "" where all is well."""
        world = self._world
        running = [name for name, host in world.hosts.items() if host.member is not None]
        holders = world.holders()
        missing = sorted(set(running) - set(holders))
        if missing:
            return f"no view at {missing}"
        views = {view.key: view for _, view in holders.values()}
        if len(views) > 1:
            return f"views differ: {sorted((name, view.number) for name, (_, view) in holders.items())}"
        view = next(iter(views.values()))
        up = sorted(member.name for member in view.members if member.state is State.UP)
        if up != sorted(running):
            return f"up by the view: {up}, running: {sorted(running)}"
        return ""


def await_healing(world: World, invariants: Invariants, within: timedelta = HEALS_WITHIN) -> timedelta:
    """Let time pass until all is well; how long it took. Errors: Broken."""
    begun = world.now
    amiss = "nothing yet"
    while world.now - begun < within:
        world.run(timedelta(milliseconds=100))
        amiss = invariants.healed()
        if not amiss:
            return world.now - begun
    raise Broken(f"not healed after {within.total_seconds():.0f} s: {amiss}; {world.told()}")
