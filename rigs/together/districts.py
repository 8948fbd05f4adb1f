"""Gatekeepers in districts, each with log servers and callers of its own; and what befalls a district.

`DistrictRig` is the fleet's rig (processes, relays between members, an observer) with another traffic. A
member's file names its district, each log server's too, and `[sites]` where it is asked for. Faults between
districts hold for the relays between members and for the links to log servers alike.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from ..fleet.history import Event, now_us
from ..fleet.machines import FILE
from ..fleet.rig import Rig
from ..process import ROOT, quiet_port
from ..sip_peers import Report
from .callers import ENDS, Desk, Planned
from .clients import wall_offset_us
from .servers import Calls, CallSeen, Link, LogServer, micros

DISTRICTS = ("reykjavik", "akureyri", "isafjordur")
COST_MS = {("reykjavik", "akureyri"): 9, ("reykjavik", "isafjordur"): 22, ("akureyri", "isafjordur"): 15}
LOOKS_EVERY = 0.3  # seconds, at each member's second address
SLOW_S = 2.0  # what a slow district's log servers and links cost more


@dataclass(frozen=True, slots=True)
class Layout:
    """Who stands where."""

    members: tuple[int, ...] = (3, 3, 3)  # gatekeepers in each district
    servers: tuple[tuple[str, ...], ...] = (("udp", "tcp"),) * 3  # transports of each district's log servers
    set_ups_per_s: float = 40.0  # what the log servers of a district can do together
    patience: float = 0.4  # seconds of work that wait at one; more is refused

    @property
    def districts(self) -> tuple[str, ...]:
        """Those that have members."""
        return DISTRICTS[: len(self.members)]

    def district_of(self) -> dict[str, str]:
        """Each gatekeeper's."""
        places = [d for d, count in zip(self.districts, self.members, strict=True) for _ in range(count)]
        return {f"g{number + 1}": district for number, district in enumerate(places)}


class DistrictTraffic:
    """Log servers and callers of all districts; what the fleet's rig asks of its traffic."""

    def __init__(
        self, seed: int, layout: Layout, sips: dict[str, int], plan: list[Planned], note: Callable[..., None]
    ) -> None:  # fmt: skip
        self._seed, self._layout, self._sips, self._plan, self._note = seed, layout, sips, plan, note
        self._where = layout.district_of()
        self.calls: Calls = {}
        self.report = Report()
        self.late: list[float] = []
        self.desks = {name: Desk(name, port, self.calls) for name, port in sips.items()}
        self.servers: list[LogServer] = []
        self.out: set[str] = set()  # gatekeepers that no caller reaches
        self._tasks: set[asyncio.Task[None]] = set()
        self._driver: asyncio.Task[None] | None = None
        self.began = 0.0

    async def open(self) -> None:
        """The log servers listen."""
        for place, transports in enumerate(self._layout.servers):
            district = self._layout.districts[place]
            for transport in transports:
                number, each = len(self.servers), self._layout.set_ups_per_s / len(transports)
                server = LogServer(
                    f"log-{number}", district, number, each, transport,
                    self._layout.patience, self.calls, random.Random(self._seed * 97 + number), self._note,
                )  # fmt: skip
                await server.open(list(self._sips))
                self.servers.append(server)

    def of(self, district: str) -> list[LogServer]:
        """A district's log servers."""
        return [server for server in self.servers if server.district == district]

    def links(self) -> Iterable[Link]:
        """All of them."""
        return (link for server in self.servers for link in server.links.values())

    async def begin(self) -> None:
        """Callers come."""
        for desk in self.desks.values():
            await desk.open()
            await desk.connect()
        self.began = asyncio.get_running_loop().time()
        self._note("callers_begin")
        self._driver = asyncio.create_task(self._drive())

    async def _drive(self) -> None:
        loop = asyncio.get_running_loop()
        for planned in self._plan:
            if (early := self.began + planned.at - loop.time()) > 0:
                await asyncio.sleep(early)
            self._offer(planned, loop.time())

    def _offer(self, planned: Planned, now: float) -> None:
        near = [name for name, where in self._where.items() if where == planned.district]
        within = [name for name in near if name not in self.out]
        within = within or [name for name in self._where if name not in self.out]
        if not within:
            self._note("nobody_to_dial", planned.id, district=planned.district)
            return
        name = within[int(planned.pick * len(within))]
        call = CallSeen(planned.id, planned.kind, planned.district, name, self._where[name], micros(now),
                        planned.hold, planned.rings_off)  # fmt: skip
        self.calls[call.id] = call  # at once: whoever kills its gatekeeper is to find it
        task = asyncio.create_task(self.desks[name].call(call, planned.by_tcp))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def impaired(self, name: str, ended: bool = False) -> None:
        """A gatekeeper is not there for its callers from now on; or is again."""
        if ended:
            self.out.discard(name)
            return
        self.out.add(name)
        since = now_us() - micros(ENDS)
        for call in self.calls.values():
            if call.gatekeeper == name and call.offered > since:
                call.excuse = call.excuse or "its gatekeeper was gone"

    async def reconnect(self, name: str) -> None:
        """Callers of a gatekeeper that came back connect again."""
        await self.desks[name].connect()

    async def finish(self) -> dict[str, Any]:
        """No new calls; wait for what is open, and write all calls down."""
        if self._driver is not None:
            self._driver.cancel()
        await asyncio.sleep(0)
        latest = max((call.offered for call in self.calls.values()), default=0)
        ends = latest + micros(ENDS)

        def owed() -> bool:
            return any(not call.finals and not call.excuse or call.finals and call.finals[0][1] == 200
                       and not call.released and not call.over for call in self.calls.values())  # fmt: skip

        while now_us() < ends and owed():
            await asyncio.sleep(0.1)
        await asyncio.sleep(0.3)
        return {"taken": len(self.calls)}

    def close(self) -> None:
        """End everything."""
        for task in [*self._tasks, *([self._driver] if self._driver else [])]:
            task.cancel()
        for desk in self.desks.values():
            desk.close()
        for link in self.links():
            link.close()

    def events(self) -> list[Event]:
        """Each call as one line."""
        return [told(call) for call in self.calls.values()]


def told(call: CallSeen) -> Event:
    """A call as a line of the history: attempts are [log server, came, trying, ended, how, last copy]."""
    attempts = [[a.server, a.at, a.trying, a.ended, a.how, a.last] for a in call.attempts.values()]
    fields = {
        "id": call.id, "kind": call.kind, "district": call.district, "site": call.site,
        "finals": [list(final) for final in call.finals], "attempts": attempts, "released": call.released,
        "cause": call.cause, "over": call.over, "excuse": call.excuse,
    }  # fmt: skip
    return Event(call.offered, "call", call.gatekeeper, fields)


class DistrictRig(Rig):
    """One run. `plan`: the calls that will be offered; `sites`: whether the files have `[sites]`."""

    traffic: DistrictTraffic  # type: ignore[assignment]

    def __init__(
        self, seed: int, layout: Layout, plan: list[Planned], sites: bool = False, program: Path = ROOT,
        extra: str = "", ceiling: float = 0.9, events: bool = False,
    ) -> None:  # fmt: skip
        """`extra`: of each file, as `[copies]` or `[[closings]]`; `events`: each listens for clients."""
        super().__init__(seed, sum(layout.members), program=program, extra=extra)
        self.layout, self.plan, self.sites, self.ceiling = layout, plan, sites, ceiling
        self.where = layout.district_of()
        self.events = {name: quiet_port() for name in self.names} if events else {}

    async def __aenter__(self) -> DistrictRig:
        self.sips = {name: quiet_port() for name in self.names}
        self.traffic = DistrictTraffic(self.seed, self.layout, self.sips, self.plan, self.history.add)
        await self.traffic.open()
        await self.relays.open(self.listens)
        for name in self.names:
            self.machines[name].write_file(self.file_of(name, self.names))
        self.history.add("wall", offset_us=wall_offset_us())
        self.history.add(
            "layout",
            where=self.where,
            ceiling=self.ceiling,
            sites=self.sites,
            set_ups_per_s=self.layout.set_ups_per_s,
            servers={server.name: [server.district, server.capacity] for server in self.traffic.servers},
        )
        return self

    async def __aexit__(self, *what: object) -> None:
        self.traffic.close()
        await super().__aexit__(*what)

    def file_of(self, name: str, members: list[str], listen: int = 0, disk: Path | None = None) -> str:
        """The operator's file of a gatekeeper, with districts."""
        text = FILE.format(
            seed=self.seed, count=len(self.names), control=self.controls[name], sip=self.sips[name]
        )
        for server in self.traffic.servers:
            port = server.links[name].port
            text += f'[[servers]]\nid = "{server.name}"\naddress = "127.0.0.1:{port}"\n'
            text += f'transport = "{server.transport}"\ndistrict = "{server.district}"\n'
        at, folder = listen or self.listens[name], disk or self.machines[name].disk
        text += f'[fleet]\nname = "{name}"\nlisten = "127.0.0.1:{at}"\ndisk = "{folder}"\n'
        for member in members:
            port = at if member == name else self.relays.ports[name, member]
            text += f'[[fleet.members]]\nname = "{member}"\naddress = "127.0.0.1:{port}"\n'
            text += f'district = "{self.where[member]}"\n'
        if name in self.events:
            text += f'\n[events]\nlisten = "127.0.0.1:{self.events[name]}"\n'
        return text + (self._sites_table() if self.sites else "") + self._extra

    def _sites_table(self) -> str:
        text = f"\n[sites]\nceiling = {self.ceiling}\n"
        for district in self.layout.districts:
            costs = ", ".join(
                f"{other} = {cost_ms(district, other)}"
                for other in self.layout.districts
                if other != district
            )
            text += f'[[sites.site]]\nname = "{district}"\nset_ups_per_s = {self.layout.set_ups_per_s}\n'
            text += f"cost_ms = {{ {costs} }}\n"
        return text

    async def finish(self) -> None:
        """No more calls; what became of each goes into the history."""
        await super().finish()
        self.history.events += self.traffic.events()

    async def _watch(self, name: str) -> None:
        """As the fleet's rig does, but seldom: callers and log servers need the rig's time."""
        machine = self.machines[name]
        while True:
            await asyncio.sleep(LOOKS_EVERY)
            process = machine.process
            if process is None or machine.stopped:
                continue
            code = process.poll()
            if code is not None and machine.process is process:
                self.history.add("crashed", name, code=code)
                machine.process = None
                continue
            await self._read(name, process.pid, self.controls[name])

    # --- what befalls a district

    def members_of(self, district: str) -> list[str]:
        """Its gatekeepers."""
        return [name for name, where in self.where.items() if where == district]

    def _fault(self, fault: str, district: str) -> None:
        self.history.add("fault", district, fault=fault, names=self.members_of(district))

    def _borders(self, district: str) -> list[Any]:
        """What lies between a district and all others: ways of members, both directions."""
        inside = set(self.members_of(district))
        return self._pairs(inside)

    def _links(self, district: str) -> list[Link]:
        """The links to log servers that cross the border of a district."""
        return [
            link for link in self.traffic.links()
            if (self.where[link.gatekeeper] == district) is not (link.server.district == district)
        ]  # fmt: skip

    async def lose(self, district: str) -> None:
        """All its gatekeepers and log servers are gone, with their disks."""
        self._fault("site_killed", district)
        for server in self.traffic.of(district):
            server.kill()
        for name in self.members_of(district):
            self.kill(name)
            self.machines[name].wipe()

    async def bring_back(self, district: str) -> None:
        """Its machines start anew: cold log servers, gatekeepers with empty disks."""
        self._fault("site_returns", district)
        for server in self.traffic.of(district):
            await server.start()
        idle = [name for name in self.members_of(district) if self.machines[name].process is None]
        await asyncio.gather(*(self.start(name) for name in idle))
        self.history.add("site_back", district)

    async def cut_off(self, district: str) -> None:
        """Nothing passes its border; inside, its callers, gatekeepers and log servers reach each other."""
        self._fault("site_cut_off", district)
        for way in self._borders(district):
            way.cut = True
        for link in self._links(district):
            link.cut_to = link.cut_from = True

    async def join(self, district: str) -> None:
        """The border is open, and nothing there is slow."""
        self._fault("site_joined", district)
        for way in self._borders(district):
            way.mend()
        for link in self._links(district):
            link.mend()
        for server in self.traffic.of(district):
            server.slow = 0.0
        self.history.add("site_back", district)

    async def slow(self, district: str, seconds: float = SLOW_S) -> None:
        """Its log servers answer so much later, and what crosses its border is late as well."""
        self._fault("site_slow", district)
        for way in self._borders(district):
            way.delay = seconds / 2
        for server in self.traffic.of(district):
            server.slow = seconds

    async def leader(self) -> str:
        """Who leads the views, by the word of most; "" if nobody does."""
        told = [one.get("leader") or "" for one in self._latest.values()]
        return max(set(told), key=told.count) if told else ""


def cost_ms(one: str, other: str) -> int:
    """Of the way between two districts."""
    return COST_MS.get((one, other)) or COST_MS[other, one]


async def until_at(rig: DistrictRig, seconds: float) -> None:
    """Wait until so long after the first call."""
    early = rig.traffic.began + seconds - asyncio.get_running_loop().time()
    if early > 0:
        await asyncio.sleep(early)


__all__ = ["DISTRICTS", "CallSeen", "DistrictRig", "Layout", "Planned", "until_at"]
