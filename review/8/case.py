"""A log server hangs for some seconds: are calls that end meanwhile released?"""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from parts.kit import TROUBLE, Case, LogServerProcess, document, free_port, main

HANG = 5.0  # seconds
HOLD = 10.0  # seconds that each call lasts
CALLS = 30
BOUND = 8.0 + 0.05  # "within 8 s of its end", and the 50 ms by which every limit is longer


async def play(case: Case) -> tuple[bool, str]:
    """Thirty calls stand, one after the other comes to its end; the log server stands still for 5 s of that."""
    hangs = LogServerProcess(case.record, 0, HOLD)
    await hangs.start()
    case.ends.append(hangs.end)
    others = await case.servers(4, first=1)
    for server in others:
        server.hold = HOLD
    coordinator = await case.coordinator()
    gatekeeper = await case.gatekeeper("n1", document(free_port(), coordinator.port, [hangs, *others]))
    caller = await case.caller("caller", gatekeeper.port)
    calls = []
    for _ in range(CALLS):
        calls.append(caller.invite(dest=0))
        await asyncio.sleep(0.3)
    await asyncio.sleep(2.5)
    if TROUBLE:
        hangs.signal(signal.SIGSTOP)
    await asyncio.sleep(HANG)
    if TROUBLE:
        hangs.signal(signal.SIGCONT)
    await asyncio.sleep(HOLD + BOUND + 2.0)

    ended = {call: at for server in (hangs, *others) for call, at in server.ended.items()}
    stood = [call for call in calls if call.stands]
    until = case.record.now() - BOUND  # of what has ended later its release may still come in time
    over = [call for call in stood if ended.get(call.id, until) < until]
    left = [call for call in over if call.released_at is None or call.released_at > ended[call.id] + BOUND]
    for call in left:
        case.record.add("judge", "left standing", call.id)
    if len(stood) < CALLS // 2:
        raise RuntimeError(f"only {len(stood)} of {CALLS} calls stood")
    return bool(left), f"{len(left)} of {len(over)} calls that came to their end were left standing with their caller"


main(__file__, play)
