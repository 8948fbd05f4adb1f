"""The control service as proxies meet it: gRPC's own xDS client, stand-ins, strangers, and its end."""

from __future__ import annotations

import asyncio
import json
import os
import tempfile
import threading
import time
import unittest
from collections import Counter
from pathlib import Path

import grpc
from envoy.service.discovery.v3 import ads_pb2_grpc, discovery_pb2
from support import WAIT, Process, free_port
from test_operation import control_call
from xds_proxies import CLUSTER, CallServer, Service, StandIn

from mallowquay.cli import program
from mallowquay.settings import ConfigError
from mallowquay.settings.operator import load_control_plane
from mallowquay.controlplane.snapshot import Kind
from mallowquay.controlplane.streams import MESSAGE_MOST


class ServiceCase(unittest.TestCase):
    count = 3
    more = ""

    def setUp(self) -> None:
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        self.servers = [CallServer(f"s{number}") for number in range(self.count)]
        for server in self.servers:
            self.addCleanup(server.stop)
        self.service = Service(folder, [server.port for server in self.servers], self.more)
        self.addCleanup(lambda: self.service.process.stop())

    def figures(self) -> dict[str, int]:
        return control_call(self.service.control, "GET", "/stats")[1]["xds"]

    def until(self, truth: object, what: str) -> None:
        end = time.monotonic() + WAIT
        while not truth():  # type: ignore[operator]
            self.assertLess(time.monotonic(), end, what)
            time.sleep(0.01)


class GrpcClientTest(ServiceCase):
    """The client that comes with gRPC, with nothing configured but where the service is."""

    def test_it_spreads_calls_leaves_what_drains_and_lives_through_a_restart(self) -> None:
        bootstrap = {
            "xds_servers": [{
                "server_uri": f"127.0.0.1:{self.service.ads}",
                "channel_creds": [{"type": "insecure"}], "server_features": ["xds_v3"],
            }],
            "node": {"id": "test"},
        }  # fmt: skip
        os.environ["GRPC_XDS_BOOTSTRAP_CONFIG"] = json.dumps(bootstrap)
        self.addCleanup(os.environ.pop, "GRPC_XDS_BOOTSTRAP_CONFIG")
        channel = grpc.insecure_channel(f"xds:///{CLUSTER}")
        self.addCleanup(channel.close)
        call = channel.unary_unary("/t.T/M")
        lost: list[str] = []
        stop = threading.Event()

        def calls() -> None:
            while not stop.is_set():
                try:
                    call(b"", timeout=WAIT, wait_for_ready=True)
                except grpc.RpcError as fault:
                    lost.append(str(fault))

        seen = Counter(call(b"", timeout=WAIT, wait_for_ready=True).decode() for _ in range(900))
        self.assertEqual(set(seen), {"s0", "s1", "s2"})
        # Equal weights on a ring of 1,024 places: its gaps leave a third more or less at most.
        self.assertTrue(all(200 < count < 400 for count in seen.values()), seen)
        caller = threading.Thread(target=calls)
        caller.start()
        try:
            told = self.service.tell({1})
            self.servers[1].until = told + 0.5
            before = self.servers[0].calls
            enough = before + 200
            self.until(lambda: time.monotonic() > told + 0.6 and self.servers[0].calls > enough, "calls")
            self.assertEqual(self.servers[1].late, 0)
            self.service.kill()
            before = self.servers[0].calls
            self.until(lambda: self.servers[0].calls > before + 200, "without the service")
            self.service.start()
            told = self.service.tell({1, 2})
            self.servers[2].until = told + 2.0  # its client reconnects in its own time
            self.until(lambda: time.monotonic() > told + 2.3, "after the restart")
            self.assertEqual((self.servers[2].late, lost), (0, []))
        finally:
            stop.set()
            caller.join()


class StandInTest(ServiceCase):
    def test_a_drain_reaches_all_and_what_is_cut_off_runs_out(self) -> None:
        asyncio.run(self.drains())

    async def drains(self) -> None:
        proxies = [StandIn(number, self.service.ads, delta=number % 2 == 1) for number in range(8)]
        for proxy in proxies:
            proxy.connect()
        ports = {server.port for server in self.servers}
        await self.come_to(proxies, lambda proxy: set(proxy.endpoints) == ports)
        cut = proxies[:2]
        for proxy in cut:
            await proxy.disconnect()
        told = self.service.tell({0})
        drained = self.servers[0].port
        await self.come_to(proxies[2:], lambda proxy: proxy.endpoints[drained][0])
        self.assertLess(time.monotonic() - told, 0.5)
        for proxy in cut:  # it was told of no drain, and sends nothing new all the same
            self.assertFalse(proxy.endpoints[drained][0])
            self.assertLessEqual(proxy.good_until, told + 0.5)
            proxy.connect()
        await self.come_to(cut, lambda proxy: proxy.endpoints[drained][0])
        await self.come_to(proxies, lambda proxy: proxy.beats > 1)
        self.assertGreater(self.figures()["beats"], 0)
        for proxy in proxies:
            await proxy.disconnect()

    async def come_to(self, proxies: list[StandIn], truth: object) -> None:
        end = time.monotonic() + WAIT
        for proxy in proxies:
            while not truth(proxy):  # type: ignore[operator]
                self.assertLess(time.monotonic(), end)
                proxy.heard.clear()
                await asyncio.wait_for(proxy.heard.wait(), WAIT)


class StrangersTest(ServiceCase):
    more = 'nodes = ["good"]\nstreams_most = 2\nlease_ms = 0'

    def stream(self, *requests: object) -> object:
        channel = grpc.insecure_channel(f"127.0.0.1:{self.service.ads}")
        self.addCleanup(channel.close)
        stub = ads_pb2_grpc.AggregatedDiscoveryServiceStub(channel)
        held = threading.Event()
        self.addCleanup(held.set)

        def asks() -> object:
            yield from requests
            held.wait(2 * WAIT)

        return stub.StreamAggregatedResources(asks(), timeout=WAIT)

    def ask(self, node: str = "good", **fields: object) -> object:
        return discovery_pb2.DiscoveryRequest(node={"id": node}, type_url=Kind.ENDPOINTS.value, **fields)

    def refused(self, *requests: object) -> grpc.StatusCode:
        with self.assertRaises(grpc.RpcError) as caught:
            next(self.stream(*requests))
        return caught.exception.code()

    def test_strangers_and_what_is_out_of_bounds_end_their_own_stream_alone(self) -> None:
        good = self.stream(self.ask(resource_names=[CLUSTER]), self.ask(response_nonce="never was"))
        self.assertEqual(len(next(good).resources), 1)
        self.assertIs(self.refused(self.ask("bad")), grpc.StatusCode.INVALID_ARGUMENT)
        many = [str(number) for number in range(100_000)]
        self.assertIs(self.refused(self.ask(resource_names=many)), grpc.StatusCode.INVALID_ARGUMENT)
        long = self.ask(resource_names=["x" * (MESSAGE_MOST + 1)])
        self.assertIs(self.refused(long), grpc.StatusCode.RESOURCE_EXHAUSTED)
        second = self.stream(self.ask(resource_names=[CLUSTER]))
        next(second)
        self.assertIs(self.refused(self.ask()), grpc.StatusCode.RESOURCE_EXHAUSTED)
        self.service.tell({2})
        self.assertEqual(len(next(good).resources), 1)
        self.assertEqual(self.figures()["streams"], 2)

    def test_all_draining_is_served_and_reported(self) -> None:
        good = self.stream(self.ask(resource_names=[CLUSTER]))
        next(good)
        self.service.tell({0, 1, 2})
        self.assertEqual(len(next(good).resources), 1)
        self.service.process.wait_for("all 3 log servers drain")


class BesideTest(unittest.TestCase):
    def test_a_front_shows_proxies_its_list_and_its_drains(self) -> None:
        ports = [free_port() for _ in range(4)]
        folder = Path(self.enterContext(tempfile.TemporaryDirectory()))
        file = folder / "beside.toml"

        def write(state: str) -> None:
            file.write_text(
                f'control = "127.0.0.1:{ports[1]}"\n[sip]\ntcp = "127.0.0.1:{ports[2]}"\n'
                f'[xds]\nads = "127.0.0.1:{ports[0]}"\n'
                '[[classes]]\nname = "a"\naim_ms = 2000\ndeadline_ms = 9000\n'
                f'[[servers]]\nid = "s"\naddress = "127.0.0.1:{ports[3]}"\ntransport = "tcp"\n'
                f'state = "{state}"\n'
            )

        write("ready")
        process = Process([str(file)], {})
        self.addCleanup(process.stop)
        process.wait_until_serves()

        async def follows() -> None:
            proxy = StandIn(1, ports[0], delta=True)
            proxy.connect()
            for draining in (False, True):
                async with asyncio.timeout(WAIT):
                    while proxy.endpoints.get(ports[3], (None,))[0] is not draining:
                        proxy.heard.clear()
                        await proxy.heard.wait()
                write("draining")
                process.hang_up()
            await proxy.disconnect()

        asyncio.run(follows())
        self.assertEqual(control_call(ports[1], "GET", "/stats")[1]["xds"]["streams_opened"], 1)
        process.terminate()
        self.assertEqual(process.process.wait(10), 0)


class FileTest(unittest.TestCase):
    def fault(self, text: str) -> str:
        with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
            file.write('[[classes]]\nname = "a"\naim_ms = 2000\ndeadline_ms = 9000\n'
                       '[[servers]]\nid = "s"\naddress = "127.0.0.1:1"\n' + text)  # fmt: skip
            file.flush()
            with self.assertRaises(ConfigError) as caught:
                load_control_plane(file.name)
        return str(caught.exception)

    def test_each_fault_names_its_key(self) -> None:
        for text, key in (
            ("", "xds.ads"), ("[xds]\n", "xds.listen or xds.ads"),
            ('[xds]\nads = "0.0.0.0:1"\n', "xds.ads: 0.0.0.0"),
            ('[xds]\nads = "127.0.0.1:1"\nrenew_ms = 400\n', "xds.renew_ms"),
            ('[xds]\nads = "127.0.0.1:1"\nstreams_most = 0\n', "xds.streams_most"),
        ):  # fmt: skip
            self.assertIn(key, self.fault(text))

    def test_a_file_that_is_not_there_is_exit_code_2(self) -> None:
        self.assertEqual(program(["control-plane", "not-there.toml"]), 2)


if __name__ == "__main__":
    unittest.main()
