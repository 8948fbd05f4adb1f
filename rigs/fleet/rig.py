"""N processes, relays between them, callers, an observer; and a nemesis that plays a schedule."""

from __future__ import annotations

import asyncio
import json
import shutil
import tempfile
from pathlib import Path
from typing import Any, Self

from ..process import ROOT, quiet_port
from .history import History, now_us
from .leases import Leases
from .machines import FILE, Machine
from .relay import Relays
from .schedule import Round, Step
from .traffic import Traffic
from .wire import Tap

READS_EVERY = 0.08
READ_WITHIN = 1.0
HEALS_WITHIN = 25.0
LATE = 0.1


class Rig:
    """One run. Use as an asynchronous context manager: it leaves no process behind, however it ends."""

    def __init__(
        self, seed: int, count: int = 5, fleet: bool = True, rate: float = 10.0, program: Path = ROOT,
        extra: str = "",
        leases: float = 0.0,
    ) -> None:  # fmt: skip
        """`leases`: seconds between two requests of the clients of each machine; 0: no copies."""
        self.seed, self.fleet = seed, fleet
        self._extra = extra + ("[copies]\nwait_ms = 300\n" if leases else "")
        self.history = History()
        self.folder = Path(tempfile.mkdtemp(prefix="fleet-rig-"))
        self.names = [f"g{index + 1}" for index in range(count)]
        self.machines = {name: Machine(name, self.folder / name, program) for name in self.names}
        self.listens = {name: quiet_port() for name in self.names}
        self.controls = {name: quiet_port() for name in self.names}
        self.relays = Relays(seed)
        self.relays.tapped = Tap(self.history).frame
        self._tasks: list[asyncio.Task[None]] = []
        self._copies: dict[str, list[Path]] = {name: [] for name in self.names}
        self.impaired: set[str] = set()  # faults that are on, by kind
        self.twins: list[Machine] = []
        self._rate = rate
        self.leases = Leases(seed, self.names, self.ask, self.history, leases) if leases else None
        self._latest: dict[str, dict[str, Any]] = {}

    async def __aenter__(self) -> Self:
        self.sips = {name: quiet_port() for name in self.names}
        self.traffic = Traffic(self.seed, self.sips, self._rate)
        await self.traffic.open()
        await self.relays.open(self.listens)
        for name in self.names:
            self.machines[name].write_file(self.file_of(name, self.names))
        return self

    async def __aexit__(self, *what: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for machine in [*self.machines.values(), *self.twins]:
            machine.kill()
        await self.relays.close()
        shutil.rmtree(self.folder, ignore_errors=True)

    def file_of(self, name: str, members: list[str], listen: int = 0, disk: Path | None = None) -> str:
        """The operator's file of a machine: the others lie behind its own relays."""
        text = FILE.format(
            seed=self.seed, count=len(self.names), control=self.controls[name], sip=self.sips[name]
        )
        for number, (port, transport) in enumerate(self.traffic.servers):
            text += f'[[servers]]\nid = "log-{number}"\naddress = "127.0.0.1:{port}"\n'
            text += f'transport = "{transport}"\n'
        if self.fleet:
            at = listen or self.listens[name]
            folder = disk or self.machines[name].disk
            text += f'[fleet]\nname = "{name}"\nlisten = "127.0.0.1:{at}"\ndisk = "{folder}"\n'
            for member in members:
                port = at if member == name else self.relays.ports[name, member]
                text += f'[[fleet.members]]\nname = "{member}"\naddress = "127.0.0.1:{port}"\n'
        return text + self._extra

    # --- processes

    async def start(self, name: str) -> None:
        """Start a machine's process, and wait until it serves."""
        machine = self.machines[name]
        machine.start()
        assert machine.process is not None
        self.history.add("started", name, pid=machine.process.pid)
        await self._ready(machine, self.controls[name])
        self.traffic.impaired(name, ended=True)
        await self.traffic.reconnect(name)

    async def _ready(self, machine: Machine, port: int) -> None:
        for _ in range(1500):
            if machine.died is not None:
                raise RuntimeError(f"{machine.name} did not start: {machine.log.read_text()[-2000:]}")
            try:
                if (await self._get(port, "/healthcheck")).get("ready"):
                    return
            except (OSError, ValueError, TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.01)
        raise RuntimeError(f"{machine.name} did not serve in time")

    def kill(self, name: str) -> None:
        """SIGKILL."""
        self.traffic.impaired(name)
        self.machines[name].kill()
        self._latest.pop(name, None)
        self.history.add("ended", name)

    # --- the observer

    async def begin(self, callers: bool = True) -> None:
        """Start all, look at them, and let callers come."""
        await asyncio.gather(*(self.start(name) for name in self.names))
        self._tasks = [asyncio.create_task(self._watch(name)) for name in self.names]
        self._tasks.append(asyncio.create_task(self._watch_itself()))
        if callers:
            await self.traffic.begin()
        if self.leases is not None:
            self.leases.runs = lambda name: self.machines[name].running
            self.leases.begin()

    async def _watch(self, name: str) -> None:
        machine = self.machines[name]
        while True:
            await asyncio.sleep(READS_EVERY)
            process = machine.process
            if process is None or machine.stopped or not self.fleet:
                continue
            code = process.poll()
            if code is not None and machine.process is process:
                self.history.add("crashed", name, code=code)
                machine.process = None
                continue
            await self._read(name, process.pid, self.controls[name])

    async def _read(self, name: str, pid: int, port: int) -> dict[str, Any] | None:
        asked = now_us()
        try:
            told: dict[str, Any] = await self._get(port, "/fleet")
        except (OSError, ValueError, TimeoutError, asyncio.IncompleteReadError):
            return None
        kept = {
            key: told[key]
            for key in (
                "life",
                "number",
                "disk_mark",
                "stood_down",
                "trust",
                "role",
                "term",
                "view",
                "view_term",
                "lease_term",
                "majority",
                "lease_ms",
                "configured",
                "up",
                "lives",
                "at_us",
            )
        }
        self.history.add("reading", name, pid=pid, started_us=asked, **kept)
        self._latest[name] = told
        return told

    async def _get(self, port: int, path: str, body: str | None = None) -> dict[str, Any]:
        async with asyncio.timeout(READ_WITHIN):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            try:
                head = f"GET {path} HTTP/1.0\r\n\r\n" if body is None else (
                    f"POST {path} HTTP/1.0\r\nContent-Type: application/x-www-form-urlencoded\r\n"
                    f"Content-Length: {len(body)}\r\n\r\n{body}")  # fmt: skip
                writer.write(head.encode())
                data = await reader.read()
            finally:
                writer.close()
        found: dict[str, Any] = json.loads(data.partition(b"\r\n\r\n")[2])
        return found

    async def ask(self, name: str, path: str, body: str | None = None) -> dict[str, Any]:
        """Call a machine's second address."""
        return await self._get(self.controls[name], path, body)

    async def _watch_itself(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            due = loop.time() + 0.05
            await asyncio.sleep(0.05)
            if loop.time() - due > LATE:
                self.history.add("lag", us=round((loop.time() - due) * 1e6))
                self.traffic.late.append(loop.time())

    def all_well(self, members: list[str] | None = None) -> bool:
        """Whether all that run hold one view with all of them up, by their latest words."""
        expected = members or [name for name in self.names if self.machines[name].running]
        told = [self._latest.get(name) for name in expected]
        if any(one is None for one in told):
            return False
        return len({one["view"] for one in told if one}) == 1 and all(
            one["majority"] and sorted(one["up"]) == sorted(expected) for one in told if one
        )  # fmt: skip

    async def until(self, what: Any, within: float = HEALS_WITHIN, every: float = 0.05) -> bool:
        """Wait for a condition."""
        loop = asyncio.get_running_loop()
        end = loop.time() + within
        while not what():
            if loop.time() > end:
                return False
            await asyncio.sleep(every)
        return True

    async def settle(self, within: float = HEALS_WITHIN) -> bool:
        """Wait until all is well, by words that were said after now."""
        self._latest.clear()
        return await self.until(self.all_well, within)

    # --- the nemesis

    async def play(self, rounds: list[Round], pause: float | None = None) -> None:
        """Each round: faults, their end, healing. `pause`: a fixed wait in place of healing."""
        if pause is None:
            self.history.add("mended", running=self.names)
            await self.settle()
        for number, one in enumerate(rounds):
            self.history.add("round", number=number)
            for step in one.steps:
                await self._step(step)
            await self.mend()
            if pause is None:
                await self.settle()
                await self._copied_again()
            else:
                await asyncio.sleep(pause)

    async def _copied_again(self) -> None:
        """The next disk is lost only once what was on the last one is copied again."""
        loop = asyncio.get_running_loop()
        end = loop.time() + HEALS_WITHIN
        while self.leases is not None and not await self._all_copied(behind=50) and loop.time() < end:
            await asyncio.sleep(0.05)

    async def _step(self, step: Step) -> None:
        if step.frame:
            await self._event(step.frame)
        else:
            await asyncio.sleep(step.wait_ms / 1000)
        self.history.add(
            "fault", step.names[0] if step.names else "", fault=step.fault, names=list(step.names)
        )
        await getattr(self, f"_do_{step.fault}")(step.names)

    async def _event(self, kind: str) -> None:
        """Until something happens; two seconds at most, since it may not."""
        passed = asyncio.Event()
        if kind == "call stood":
            served = self.traffic.report.statuses[200]
            await self.until(lambda: self.traffic.report.statuses[200] > served, 2.0, 0.002)
        elif kind == "disk written":
            before = [machine.last_change() for machine in self.machines.values()]
            machines = self.machines.values()
            await self.until(lambda: [one.last_change() for one in machines] != before, 2.0, 0.005)
        else:
            self.relays.passed = lambda origin, to, frame: passed.set() if frame == kind else None
            try:
                await asyncio.wait_for(passed.wait(), 2.0)
            except TimeoutError:
                pass
            self.relays.passed = lambda origin, to, frame: None

    def _ways(self, one: str, other: str) -> list[Any]:
        return [self.relays.ways[one, other], self.relays.ways[other, one]]

    def _pairs(self, group: set[str]) -> list[Any]:
        return [
            way for (one, other), way in self.relays.ways.items() if (one in group) is not (other in group)
        ]

    async def _do_cut(self, names: tuple[str, ...]) -> None:
        for way in self._ways(names[0], names[1]):
            way.cut = True

    async def _do_cut_one_way(self, names: tuple[str, ...]) -> None:
        self.relays.ways[names[0], names[1]].cut = True

    async def _do_split(self, names: tuple[str, ...]) -> None:
        for way in self._pairs(set(names)):
            way.cut = True

    async def _do_heal_cuts(self, names: tuple[str, ...]) -> None:
        for way in self.relays.ways.values():
            way.cut = False

    async def _do_chain(self, names: tuple[str, ...]) -> None:
        """Each hears its neighbours only."""
        order = list(names)
        for (one, other), way in self.relays.ways.items():
            if one in order and other in order and abs(order.index(one) - order.index(other)) > 1:
                way.cut = True

    async def _do_reset(self, names: tuple[str, ...]) -> None:
        self.relays.reset(names[0], names[1])

    async def _do_loss(self, names: tuple[str, ...]) -> None:
        for way in self.relays.ways.values():
            way.loss = 0.2

    async def _do_delay(self, names: tuple[str, ...]) -> None:
        for way in self.relays.ways.values():
            way.delay, way.jitter = 0.02, 0.1

    async def noise(self, seconds: float) -> None:
        """What a member must bear without being taken for lost: frames late, jittered, one in twenty gone."""
        for way in self.relays.ways.values():
            way.loss, way.delay, way.jitter = 0.05, 0.01, 0.05
        self.history.add("noise", seconds=seconds)
        await asyncio.sleep(seconds)
        self.relays.mend()
        self.history.add("noise_over")

    async def _do_halt(self, names: tuple[str, ...]) -> None:
        self.relays.ways[names[0], names[1]].halted = True

    async def _do_unread(self, names: tuple[str, ...]) -> None:
        self.relays.ways[names[0], names[1]].unread = True

    async def _do_narrow(self, names: tuple[str, ...]) -> None:
        for way in self.relays.ways.values():
            way.bandwidth = 20_000

    async def _do_garble(self, names: tuple[str, ...]) -> None:
        self.relays.ways[names[0], names[1]].garble = 1

    async def _do_oversize(self, names: tuple[str, ...]) -> None:
        self.relays.ways[names[0], names[1]].oversize = 1

    async def _do_stop(self, names: tuple[str, ...]) -> None:
        self.traffic.impaired(names[0])
        self.machines[names[0]].stop()
        self._latest.pop(names[0], None)
        self.history.add("ended", names[0])

    async def _do_go_on(self, names: tuple[str, ...]) -> None:
        if self.machines[names[0]].stopped:
            self.machines[names[0]].go_on()
            self.history.add("went_on", names[0])
            self.traffic.impaired(names[0], ended=True)

    async def _do_kill(self, names: tuple[str, ...]) -> None:
        for name in names:
            if self.machines[name].process is not None:
                self.kill(name)

    async def _do_start(self, names: tuple[str, ...]) -> None:
        idle = [name for name in names if self.machines[name].process is None]
        await asyncio.gather(*(self.start(name) for name in idle))

    async def _do_restart(self, names: tuple[str, ...]) -> None:
        await self._do_kill(names)
        await self._do_start(names)

    async def _do_wipe(self, names: tuple[str, ...]) -> None:
        await self._do_kill(names)
        for name in names:
            self.machines[name].wipe()
        await self._do_start(names)

    async def _do_copy_disk(self, names: tuple[str, ...]) -> None:
        for name in names:
            self._copies[name].append(self.machines[name].copy_disk())

    async def _do_old_disk(self, names: tuple[str, ...]) -> None:
        """As `trust.py` says, whoever knows better must be there to say so: everything else is well."""
        name = names[0]
        if not self._copies[name]:
            return
        await self.mend()
        if self.fleet and not await self.settle():
            return
        self.history.add("fault", name, fault="old_disk_put")
        self.kill(name)
        self.machines[name].put_disk(self._copies[name][0])
        await self.start(name)

    async def _do_flip_bit(self, names: tuple[str, ...]) -> None:
        self.kill(names[0])
        self.machines[names[0]].flip_bit(0.7)
        await self.start(names[0])

    async def _do_no_room(self, names: tuple[str, ...]) -> None:
        self.machines[names[0]].refuse_writes(True)

    async def _do_clock(self, names: tuple[str, ...]) -> None:
        """Ahead, behind, or a step back, by the number of faults so far."""
        steps = (5_000, -5_000, 3_600_000, -3_600_000, 0)
        count = sum(event.what == "fault" for event in self.history.events)
        self.machines[names[0]].set_clock(steps[count % len(steps)])

    async def _do_twin(self, names: tuple[str, ...]) -> None:
        """A second process with the same name, on an empty disk and other ports."""
        name, old = names[0], self.machines[names[0]]
        await self.mend()
        if not self.fleet or not await self.settle() or old.process is None:
            return
        self.history.add("fault", name, fault="twin_starts")
        twin = Machine(name, self.folder / f"{name}-twin-{len(self.twins)}", old._program)
        self.twins.append(twin)
        control, sip = quiet_port(), quiet_port()
        text = self.file_of(name, self.names, listen=quiet_port(), disk=twin.disk)
        text = text.replace(
            f'control = "127.0.0.1:{self.controls[name]}"', f'control = "127.0.0.1:{control}"'
        )
        twin.write_file(text.replace(f':{self.sips[name]}"', f':{sip}"'))
        pid = old.process.pid
        twin.start()
        assert twin.process is not None
        self.history.add("twin", name, old=pid, new=twin.process.pid)
        await self._ready(twin, control)
        loop = asyncio.get_running_loop()
        end = loop.time() + 8
        while loop.time() < end:
            await self._read(name, twin.process.pid, control)
            told = await self._read(name, pid, self.controls[name])
            if told is not None and told["stood_down"]:
                break
            await asyncio.sleep(0.05)
        # The operator ends both and starts the machine anew, on a disk that is behind by now.
        twin.kill()
        self.kill(name)
        await self.start(name)

    async def mend(self) -> None:
        """End every fault."""
        self.relays.mend()
        for name, machine in self.machines.items():
            machine.refuse_writes(False)
            if machine.stopped:
                await self._do_go_on((name,))
        await self._do_start(tuple(self.names))
        self.history.add("mended", running=list(self.names))

    async def _all_copied(self, behind: int = 0) -> bool:
        """Whether every log of a life that is over was taken over, and every record is on all its
        machines.
        """
        try:
            told = [await self.ask(name, "/copies") for name in self.names]
        except (OSError, ValueError, TimeoutError, asyncio.IncompleteReadError):
            return False
        present = {one.get("log") for one in told}
        return all(
            set(one["held_for"]) <= present
            and not one["recovering"]
            and not one["changing"]
            and one["behind"] <= behind
            and len(one["ensemble"]) == min(3, len(self.names))
            for one in told
            if "log" in one
        ) and all("log" in one for one in told)

    async def finish_leases(self, within: float = 40.0) -> bool:
        """No more requests; wait until all is copied, and see who has what."""
        assert self.leases is not None
        await self.leases.finish()
        loop = asyncio.get_running_loop()
        end = loop.time() + within
        whole = False
        while not whole and loop.time() < end:
            whole = await self._all_copied()
            await asyncio.sleep(0.1)
        for name, keys in (await self.leases.show()).items():
            self.history.add("leases", name, keys=keys)
        self.history.add("copied", whole=whole)
        return whole

    async def finish(self) -> None:
        """No more calls; what became of them goes into the history."""
        self.history.add("calls", **await self.traffic.finish())
        for name, machine in self.machines.items():
            errors = [
                line
                for line in machine.log.read_text().splitlines()
                if '"level":"error"'
                in
                # fmt: skip
                line.replace(" ", "")
                and "_disk_" not in line
                and "not_as_written" not in line
            ]
            if errors:
                self.history.add("errors", name, count=len(errors), first=errors[0][:500])
