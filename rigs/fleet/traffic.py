"""Callers and log servers of the rig: those of `rigs.sip_peers`, one set of callers a machine, one set of
servers.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter, defaultdict
from typing import Any

from ..process import quiet_port
from ..sip_peers import Report, StandInCallers, StandInServer, Weather

CALL_ENDS = 6.5  # seconds: its time, its copies and the last answer
SERVERS = ("udp", "tcp", "udp")
ANSWER_WAIT_S = 0.5


class Traffic:
    """Calls at a steady rate to every machine, and what became of them."""

    def __init__(self, seed: int, ports: dict[str, int], rate: float) -> None:
        self.report, self._ports, self._rate = Report(), ports, rate
        self.weather = Weather(seed, loss=0.0, reorder=0.0)
        self._seed = seed
        self.servers = [(quiet_port(), transport) for transport in SERVERS]
        self._callers: dict[str, StandInCallers] = {}
        self._stand_ins: list[StandInServer] = []
        self._tasks: set[asyncio.Task[None]] = set()
        self._drivers: list[asyncio.Task[None]] = []
        self.out: dict[str, list[list[float]]] = defaultdict(list)  # spans in which a machine was impaired
        self.late: list[float] = []  # when the rig itself was late: its log servers answered late then, too
        self._paused = False

    async def open(self) -> None:
        """The log servers listen."""
        for number, (port, transport) in enumerate(self.servers):
            server = StandInServer(self.report, self.weather, random.Random(self._seed + number), number)
            await server.listen(port, transport)
            self._stand_ins.append(server)

    async def begin(self) -> None:
        """Callers come to every machine."""
        for index, (name, port) in enumerate(self._ports.items()):
            callers = StandInCallers(self.report, self.weather, random.Random(self._seed + 100 + index), port)
            await callers.open()
            self._callers[name] = callers
            self._drivers.append(asyncio.create_task(self._drive(index, callers)))

    async def _drive(self, index: int, callers: StandInCallers) -> None:
        number = 0
        while True:
            await asyncio.sleep(1 / self._rate)
            if self._paused:
                continue
            task = asyncio.create_task(callers.call(f"{(index + 1) * 1_000_000 + number:08x}"))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            number += 1

    def impaired(self, name: str, ended: bool = False) -> None:
        """A machine is not there for its callers from now on; or is again."""
        now = asyncio.get_running_loop().time()
        if ended:
            for span in self.out[name]:
                span[1] = min(span[1], now)
        else:
            self.out[name].append([now, float("inf")])

    async def reconnect(self, name: str) -> None:
        """Callers of a machine that came back connect again."""
        callers = self._callers.get(name)
        if callers is not None:
            try:
                await callers.open_tcp()
            except OSError:
                pass  # it is gone again

    async def pause(self) -> None:
        """Stop new calls, and wait for the open ones to be answered."""
        for driver in self._drivers:
            driver.cancel()
        await asyncio.sleep(ANSWER_WAIT_S)

    async def finish(self) -> dict[str, Any]:
        """No new calls; wait for what is open. Counts, and what broke a rule."""
        self._paused = True
        for driver in self._drivers:
            driver.cancel()
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=CALL_ENDS + 1)
        names = list(self._ports)
        counts: dict[str, Any] = {"taken": 0, "served": 0, "refused": 0, "excused": 0, "missing": 0}
        missing, double = [], 0
        for call, track in self.report.calls.items():
            machine = names[int(call, 16) // 1_000_000 - 1]
            counts["taken"] += 1
            double += len(track.finals) > 1
            if any(status == 200 for status, _ in track.finals):
                counts["served"] += 1
            elif track.finals:
                counts["refused"] += 1
            elif self._was_out(machine, track.began):
                counts["excused"] += 1  # its machine was killed or stood still meanwhile
            else:
                missing.append(f"{call} at {machine}")
        broken: Counter[str] = Counter()
        for fault, call in self.report.broken:
            # A process that was killed knows nothing of its calls; copies of a set-up are new ones to the
            # next.
            if not self._was_out(names[int(call, 16) // 1_000_000 - 1], self.report.calls[call].began):
                broken[fault] += 1
                track = self.report.calls[call]
                begun = track.began
                seen = [(round(at - begun, 3), what) for at, what in track.log]
                missing.append(f"{call}: {fault}: {track.notes} {seen} {sorted(track.finals)}")
        counts["missing"] = sum(":" not in text for text in missing)
        return {**counts, "double": double, **broken, "which": missing[:3]}

    def _was_out(self, machine: str, began: float) -> bool:
        return any(begin < began + CALL_ENDS and end > began for begin, end in self.out[machine])
