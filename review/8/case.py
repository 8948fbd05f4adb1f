"""The control service is started anew while a log server is taken out: proxies go on sending to that one."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1]))
from parts import consul
from parts.proxy import Proxy
from parts.stage import TROUBLE, CannotRun, Stage, free_port, play

GRACE, SLACK = 0.5, 0.05
PROXIES, GAP = 3, 0.05
DOWN = 1.0  # seconds from the end of the service to its next start
WATCHED = 16.0  # seconds after the removal

FILE = """
[consul]
address = "127.0.0.1:{consul}"
service = "log-server"
[xds]
ads = "127.0.0.1:{ads}"
[[classes]]
name = "log-lookup"
aim_ms = 2000
deadline_ms = 9000
"""


async def run(stage: Stage) -> list[str]:
    ads, own = free_port(), free_port()
    ports = {name: free_port() for name in ("log-1", "log-2", "log-3", "log-4")}
    names = {port: name for name, port in ports.items()}
    loop = asyncio.get_running_loop()
    told: list[float] = []  # the service was told of a list without log-2
    removed = False

    def answered(ids: list[str]) -> None:
        stage.note("consul", f"told {ids}")
        if removed and "log-2" not in ids:
            told.append(stage.now())

    catalogue = consul.Consul(own, answered)

    def list_is(*, without: str = "", maintained: str = "") -> None:
        stage.note("consul", f"the list is without {without or 'none'}, in maintenance {maintained or 'none'}")
        catalogue.tell([consul.instance(n, p, n == maintained) for n, p in ports.items() if n != without])

    got: dict[int, list[float]] = {port: [] for port in names}
    for port in names:

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, port: int = port) -> None:
            if await reader.readline():
                got[port].append(stage.now())
            writer.close()

        await asyncio.start_server(serve, "127.0.0.1", port)
    list_is()
    file = stage.folder / "control.toml"
    file.write_text(FILE.format(consul=own, ads=ads))
    service = stage.start("service", f"control-plane {file}")
    await asyncio.to_thread(stage.wait_until_serves, service)
    await asyncio.sleep(1.0)
    proxies = [Proxy(stage, f"proxy-{number}", ads, GAP) for number in range(PROXIES)]
    for proxy in proxies:
        loop.create_task(proxy.follow())
        loop.create_task(proxy.place_calls())
    await asyncio.sleep(2.0)
    if any(len(proxy.ready) != len(ports) for proxy in proxies):
        raise CannotRun("the proxies do not have the list")
    list_is(maintained="log-1")  # an ordinary drain and its end, as there was one some time before
    await asyncio.sleep(1.5)
    list_is()
    await asyncio.sleep(1.5)
    if any(len(proxy.ready) != len(ports) for proxy in proxies):
        raise CannotRun("the proxies do not have the list after a drain")
    if TROUBLE:
        stage.note("service", "SIGTERM: a planned restart")
        service.send_signal(signal.SIGTERM)
        await asyncio.to_thread(service.wait, 20)
        stage.note("service", f"ended with {service.returncode}")
    removed = True
    list_is(without="log-2")
    if TROUBLE:
        await asyncio.sleep(DOWN)
        service = stage.start("service", f"control-plane {file}")
        await asyncio.to_thread(stage.wait_until_serves, service)
    await asyncio.sleep(WATCHED)
    if service.poll() is not None or not told:
        raise CannotRun("the service ended, or was not told of the list")
    breaks = []
    for proxy in proxies:
        if proxy.connected_at is None:
            raise CannotRun(f"{proxy.name} is not connected")
        # What is sent while the proxy cannot be told does not count, nor 500 ms from when it can.
        due = max(told[0], proxy.connected_at) + GRACE + SLACK
        late = [at for at, port, open_ in proxy.sent if names[port] == "log-2" and at > due and open_ is not None]
        if late:
            breaks.append(
                f"{proxy.name} sent {len(late)} new calls to log-2, which was removed, for {late[-1] - due:.1f} s too long"
            )
    arrived = [at for at in got[ports["log-2"]] if at > told[0]]
    stage.note("log-2", f"{len(arrived)} new calls came after the service was told that it is removed")
    return breaks


if __name__ == "__main__":
    play(__file__, lambda stage: asyncio.run(run(stage)))
