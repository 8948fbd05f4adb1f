"""What copies cost: a call's time with `[copies]` off and on, and a lost writer's records until they are
taken over.

    PYTHONPATH=. .venv/bin/python benchmarks/copies_cost.py [--calls 600] [--records 1000,10000]

Five real processes on one machine; the load goes to one of them. Ratios and medians, with the machine's
own times.
"""

from __future__ import annotations

import asyncio
import json
import os
import time
from pathlib import Path
from typing import Any

import click
import numpy as np

from rigs.fleet.rig import Rig

COPIES = "[copies]\nwait_ms = 1000\n"


def used(rig: Rig, name: str) -> tuple[float, int]:
    """Seconds of processor and bytes of memory that a machine's process has used (proc(5): stat, statm)."""
    process = rig.machines[name].process
    assert process is not None
    stat = Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()
    pages = int(Path(f"/proc/{process.pid}/statm").read_text().split()[1])
    return (int(stat[11]) + int(stat[12])) / os.sysconf("SC_CLK_TCK"), pages * os.sysconf("SC_PAGE_SIZE")


async def calls(copies: bool, seconds: float, rate: float) -> dict[str, Any]:
    """The times of calls until their answer, in milliseconds."""
    async with Rig(1, 5, rate=rate, extra=COPIES if copies else "") as rig:
        await rig.begin(callers=False)
        assert await rig.until(rig.all_well)
        await asyncio.sleep(1)
        before = await rig.ask("g1", "/copies") if copies else {}
        idle_from = sum(used(rig, name)[0] for name in rig.names)
        await asyncio.sleep(3)
        loaded_from = sum(used(rig, name)[0] for name in rig.names)
        idle = (loaded_from - idle_from) / 3
        begun = time.monotonic()
        await rig.traffic.begin()
        await asyncio.sleep(seconds)
        await rig.traffic.finish()
        busy = sum(used(rig, name)[0] for name in rig.names) - loaded_from - idle * (time.monotonic() - begun)
        after = await rig.ask("g1", "/copies") if copies else {}
        tracks = rig.traffic.report.calls.values()
        # Calls that the first log server answered at once: an attempt that is silent or refused says
        # nothing of copies.
        times = [1000 * (one.over - one.began) for one in tracks
                 if len(one.seen) == 1 and any(status == 200 for status, _ in one.finals)]  # fmt: skip
        found = {name: round(float(np.percentile(times, q)), 2) for name, q in
                 (("median", 50), ("p99", 99), ("p99.9", 99.9))}  # fmt: skip
        found["calls"] = len(times)
        found["idle_cores_a_machine"] = round(idle / len(rig.names), 4)
        found["calls_a_second_a_core"] = round(len(rig.traffic.report.calls) / busy)
        if copies:
            held = after["put"] - before["put"]
            found["syncs_an_entry"] = round(
                (after["disk"]["syncs"] - before["disk"]["syncs"]) / max(held, 1), 2
            )
            found["bytes_an_entry"] = round((after["disk"]["bytes"] - before["disk"]["bytes"]) / max(held, 1))
        return found


async def takeover(records: int) -> dict[str, Any]:
    """From the kill of a machine with its disk until a survivor acts for all of its records."""
    async with Rig(2, 5, rate=0, extra=COPIES) as rig:
        await rig.begin(callers=False)
        assert await rig.until(rig.all_well)
        memory = {name: used(rig, name)[1] for name in rig.names}
        begun = time.monotonic()
        for start in range(0, records, 200):
            names = "&".join(f"names=k{number}" for number in range(start, min(start + 200, records)))
            told = await rig.ask("g1", "/copies/grant", names)
            assert told == {"done": True}, told
        granted = time.monotonic() - begun
        own = used(rig, "g1")[1] - memory["g1"]
        held = [used(rig, name)[1] - memory[name] for name in (await rig.ask("g1", "/copies"))["ensemble"]
                if name != "g1"]  # fmt: skip
        begun = time.monotonic()
        rig.kill("g1")
        rig.machines["g1"].wipe()
        down_at = None
        while True:
            found = 0
            for name in rig.names[1:]:
                told = await rig.ask(name, "/copies")
                found += told.get("kinds", {}).get("lease", 0)
                if down_at is None and (told["recovering"] or found):
                    down_at = time.monotonic() - begun
            if found >= records:
                break
            await asyncio.sleep(0.02)
        all_at = time.monotonic() - begun
        whole = all_at
        while True:
            told = {name: await rig.ask(name, "/copies") for name in rig.names[1:]}
            if all(one["behind"] == 0 and not one["changing"] and len(one["ensemble"]) == 3
                   for one in told.values()):  # fmt: skip
                whole = time.monotonic() - begun
                break
            await asyncio.sleep(0.02)
        noticed = down_at or 0.0
        return {
            "records": records,
            "granted_per_s": round(records / granted),
            "bytes_a_record": [round(own / records), round(max(held) / records)],  # writer, another holder
            "noticed_s": round(noticed, 2),
            "taken_over_s": round(all_at, 2),
            "after_notice_s": round(all_at - noticed, 2),
            "fully_copied_s": round(whole, 2),
        }


@click.command()
@click.option("--seconds", default=20.0, show_default=True)
@click.option("--rate", default=20.0, show_default=True, help="Calls a second and machine.")
@click.option("--records", default="1000,10000", show_default=True)
def main(seconds: float, rate: float, records: str) -> None:
    """Print the figures as JSON."""
    found: dict[str, Any] = {}
    found["off"] = asyncio.run(calls(False, seconds, rate))
    found["on"] = asyncio.run(calls(True, seconds, rate))
    found["added_ms"] = {q: round(found["on"][q] - found["off"][q], 2) for q in ("median", "p99", "p99.9")}
    found["takeover"] = [asyncio.run(takeover(int(count))) for count in records.split(",")]
    click.echo(json.dumps(found))


if __name__ == "__main__":
    main()
