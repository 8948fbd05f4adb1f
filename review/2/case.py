"""A log server of the second front dies: the calls that it cut are left standing for their callers."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

REVIEW = Path(__file__).resolve().parents[1]
sys.path.insert(0, str(REVIEW))
from standins import opfile
from standins.common import TROUBLE, NotRun, Processes, Record, free_ports, play, until
from standins.consul import Consul
from standins.sip import Callers

SERVERS = 7  # one of them dies: 14.3%, and the page allows up to 15%
HOLD, WORK = 10.0, 0.02
# The page: cold after 5.8 to 23 s; the list is told within 1 to 3.3 s.
KILL_AT, NOTICE, OUTAGE = 5.0, 3.0, 20.0
NO_RELEASE, RELEASED, SLACK = 8.0, 1.0, 0.05


async def case(record: Record, processes: Processes) -> list[str]:
    sip, consul_port, caller_port, *ports = free_ports(3 + SERVERS)
    consul = Consul(record)
    await consul.listen(consul_port)
    names = [f"log-{number}" for number in range(SERVERS)]
    files = {name: f"{processes.folder}/{name}.events" for name in names}

    def start(name: str):
        port = str(ports[names.index(name)])
        return processes.standin(
            name, str(REVIEW / "standins" / "sip.py"), name, port, "tcp", str(HOLD), str(WORK), files[name]
        )

    servers = {name: start(name) for name in names}
    await until(lambda: all(opfile.events(files[name]) for name in names), 10, "no log servers")
    for number, name in enumerate(names):
        await consul.tell(name, ports[number], number=str(number), transport="tcp")
    processes.gatekeeper("gatekeeper", opfile.write(processes, sip, consul_port))
    callers = Callers(record, caller_port, sip)
    await callers.listen()
    for _ in range(100):
        callers.test()
        await asyncio.sleep(0.1)
        if callers.ready:
            break
    else:
        raise NotRun("the gatekeeper is not ready")

    began = time.monotonic()

    async def at(seconds: float) -> None:
        await asyncio.sleep(max(0.0, began + seconds - time.monotonic()))

    killed_at = None
    dies = names[3]

    async def trouble() -> None:
        nonlocal killed_at
        await at(KILL_AT)
        if TROUBLE:
            processes.signal(dies, servers[dies], signal.SIGKILL)
            killed_at = time.time()
            await at(KILL_AT + NOTICE)
            await consul.tell(dies, ports[3], "critical", number="3", transport="tcp")
            await at(KILL_AT + OUTAGE)
            servers[dies] = start(dies)
            await asyncio.sleep(1)
            meta = {"number": "3", "transport": "tcp", "started_ms": str(int(time.time() * 1000))}
            await consul.tell(dies, ports[3], "passing", **meta)

    disruption = asyncio.ensure_future(trouble())
    for turn in range(100):  # 10 calls a second for 10 s, to each log server in turn
        await at(turn * 0.1)
        callers.invite(destination=turn % SERVERS)
    await at(10 + HOLD + NO_RELEASE + 1)
    await disruption

    told = [event for name in names for event in opfile.events(files[name])]
    for event in told:
        record.add(event["server"], event["what"], event["call"], at=event["at"])
    # A call at a log server carries a Call-ID of the gatekeeper's; its number is the caller's.
    numbers = {call.invite.first.split()[1].partition("@")[0]: call for call in callers.calls.values()}
    own = {}
    for event in told:
        if event["what"] == "invite":
            own[event["server"], event["call"]] = numbers[event["number"].partition("@")[0]]
    own = {key: call.call_id for key, call in own.items()}
    broken, stood = [], 0
    for call in callers.calls.values():
        if not call.finals or call.finals[0][1] != 200:
            continue
        body = call.finals[0][2]  # its first line but one names the log server by which the call stands
        server = next(name for name in names if b"o=%s " % name.encode() in body)
        at = {
            e["what"]: e["at"]
            for e in told
            if e["server"] == server and own.get((server, e["call"])) == call.call_id
        }
        if "release" in at:  # by the log server: its BYE leaves
            ended, most, why = at["release"], RELEASED, "was released there"
        elif killed_at is not None and server == dies and call.finals[0][0] < killed_at:
            ended, most, why = killed_at, NO_RELEASE, "was cut as the log server died"
        else:  # it has not ended, or the gatekeeper ended it
            continue
        stood += 1
        if call.bye_at is None or call.bye_at > ended + most + SLACK:
            when = "never" if call.bye_at is None else f"{call.bye_at - ended:.2f} s after its end"
            broken.append(f"call {call.call_id} stood at {server} and {why}; its caller was released {when}")
    record.say("calls that stood and ended:", stood, "of", len(callers.calls))
    if stood < 50:
        raise NotRun("too few calls stood")
    return broken


play(Path(__file__).resolve().parent, case)
