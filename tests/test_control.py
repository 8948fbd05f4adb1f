"""Consul as the source of the list, and xDS for other proxies: the real program against stand-ins."""

from __future__ import annotations

import http.client
import json
import os
import socket
import tempfile
import unittest
from typing import Any

from rigs.consul import StandInConsul, instance
from rigs.sip_peers import encode, operators_file, sip_port
from support import WAIT, Process, free_port
from test_sip import Peer, udp

from mallowquay.controlplane.xds import PATH, TYPE, BadRequest, Endpoints
from mallowquay.core.model import Level, Rating, Server, ServerStatus
from mallowquay.membership.consul import ConsulFault, read_instances, status_of
from mallowquay.net.clock import UnixTime


class ControlCase(unittest.TestCase):
    def start(self, servers: list[tuple[int, str]], extra: str) -> None:
        self.port, self.xds = sip_port(), free_port()
        extra += f'[xds]\nlisten = "127.0.0.1:{self.xds}"\n'
        path = operators_file(self.port, servers, extra=extra)
        self.addCleanup(os.unlink, path)
        self.program = Process([path], {})
        self.addCleanup(self.program.stop)
        self.program.wait_until_serves()

    def poll(self, request: object, status: int = 200) -> dict[str, Any]:
        client = http.client.HTTPConnection("127.0.0.1", self.xds, timeout=WAIT)
        body = request if isinstance(request, bytes) else json.dumps(request).encode()
        client.request("POST", PATH, body, {"Content-Type": "application/json"})
        answer = client.getresponse()
        text = answer.read()
        client.close()
        self.assertEqual(answer.status, status, text)
        return json.loads(text) if text else {}

    def health(self) -> dict[int, str]:
        """Health by port, as another proxy is told it."""
        groups = self.poll({"type_url": TYPE})["resources"][0]["endpoints"]
        endpoints = groups[0]["lb_endpoints"] if groups else []
        where = [e["endpoint"]["address"]["socket_address"]["port_value"] for e in endpoints]
        return dict(zip(where, [e["health_status"] for e in endpoints], strict=True))


class ConsulTest(ControlCase):
    def test_the_list_follows_consul_by_blocking_queries(self) -> None:
        consul = StandInConsul()
        self.addCleanup(consul.server_close)
        self.addCleanup(consul.shutdown)
        first, second = udp(sip_port()), udp(sip_port())
        ports = [peer.sock.getsockname()[1] for peer in (first, second)]
        for peer in (first, second):
            self.addCleanup(peer.sock.close)
        consul.tell([instance("a", ports[0])], index=11)
        with tempfile.NamedTemporaryFile("w") as token:
            token.write("secret\n")
            token.flush()
            where = f"127.0.0.1:{consul.server_address[1]}"
            table = f'[consul]\naddress = "{where}"\nservice = "log-server"\ntoken_file = "{token.name}"\n'
            self.start([], table + "wait_ms = 60000\n")
            self.assertTrue(consul.wait_for(lambda: len(consul.queries) >= 2))
        path, query, sent = consul.queries[1]
        self.assertEqual((path, query["index"], sent), ("/v1/health/service/log-server", ["11"], "secret"))
        self.assertEqual(self.health(), {ports[0]: "HEALTHY"})
        self.invite("one")
        first.expect("INVITE")
        self.follow(consul, [instance("a", ports[0], "critical"), instance("b", ports[1])])
        self.assertEqual(self.health(), {ports[0]: "DRAINING", ports[1]: "HEALTHY"})
        self.invite("two")
        second.expect("INVITE")
        self.assertTrue(first.quiet(0.1, "INVITE"))
        with consul.changed:  # an outage of Consul changes nothing
            consul.failing = 1
        self.follow(consul, [instance("b", ports[1])], queries=2)
        self.assertEqual(self.health(), {ports[1]: "HEALTHY"})
        consul.tell([instance("a", ports[0])], index=3)  # restored from a copy: the index goes back
        self.assertTrue(consul.wait_for(lambda: consul.queries[-1][1]["index"] == ["0"]))

    def follow(self, consul: StandInConsul, instances: list[dict[str, Any]], queries: int = 1) -> None:
        """Tell a change, and wait until the program has asked for what comes after it."""
        before = len(consul.queries)
        consul.tell(instances)
        index = [str(consul.index)]
        self.assertTrue(consul.wait_for(lambda: len(consul.queries) >= before + queries
                                        and consul.queries[-1][1]["index"] == index))  # fmt: skip

    def invite(self, call: str) -> None:
        peer: Peer = udp(far=self.port)
        self.addCleanup(peer.sock.close)
        port = peer.sock.getsockname()[1]
        headers = [("Via", f"SIP/2.0/UDP 127.0.0.1:{port};branch=z9hG4bK{call}"), ("Call-ID", call),
                   ("From", "<sip:c@127.0.0.1>;tag=1"), ("To", "<sip:7f@127.0.0.1>"), ("CSeq", "1 INVITE"),
                   ("Contact", f"<sip:c@127.0.0.1:{port}>")]  # fmt: skip
        peer.write(encode("INVITE sip:7f@127.0.0.1 SIP/2.0", headers))

    def test_instances(self) -> None:
        other = instance("a", 1, number="0", transport="tcp", started_ms="5")
        body = json.dumps([instance("b", 2), other]).encode()
        a, b = read_instances(body, UnixTime()).servers
        self.assertEqual((a.id, a.number, a.transport, a.address), ("n1/a", 0, "tcp", ("127.0.0.1", 1)))
        self.assertEqual((b.id, b.number, b.started), ("n1/b", 1, None))
        self.assertIsNotNone(a.started)
        for bad in (b"x", b"{}", b"[1]", b'[{"Service":{},"Node":{}}]', body.replace(b'"tcp"', b'"sctp"')):
            with self.assertRaises(ConsulFault):
                read_instances(bad, UnixTime())

    def test_checks(self) -> None:
        for checks, status in (
            ([], ServerStatus.READY), ([{"Status": "warning"}], ServerStatus.READY),
            ([{"Status": "passing"}, {"Status": "critical"}], ServerStatus.DRAINING),
            ([{"Status": "passing", "CheckID": "_service_maintenance:a"}], ServerStatus.DRAINING),
        ):  # fmt: skip
            self.assertIs(status_of(checks), status)


class XdsTest(ControlCase):
    def test_polls_of_the_real_program(self) -> None:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as one:
            one.bind(("127.0.0.1", 0))
            self.start([(one.getsockname()[1], "udp"), (free_port(), "tcp")], "")
            answer = self.poll({"type_url": TYPE, "resource_names": ["log-servers"], "node": {"id": "p"}})
        self.assertEqual((answer["type_url"], answer["resources"][0]["@type"]), (TYPE, TYPE))
        endpoints = answer["resources"][0]["endpoints"][0]["lb_endpoints"]
        protocols = [e["endpoint"]["address"]["socket_address"]["protocol"] for e in endpoints]
        self.assertEqual(protocols, ["UDP", "TCP"])
        self.poll({"type_url": TYPE, "version_info": answer["version_info"]}, status=304)
        self.assertEqual(self.poll({"resource_names": ["other"]})["resources"], [])
        for bad in (b"{", b"[]", {"type_url": "type.googleapis.com/x"}, {"resource_names": 3}, b"[" * 60000):
            self.poll(bad, status=400)

    def test_ratings_become_health_and_weights(self) -> None:
        servers = {n: Server(n, ("127.0.0.1", i), i, ServerStatus.READY) for i, n in enumerate("abcd")}
        servers["d"] = Server("d", ("127.0.0.1", 3), 3, ServerStatus.DRAINING)
        ratings = [Rating("a", Level.NORMAL, 40.0), Rating("b", Level.WARNING, 10.0),
                   Rating("c", Level.CRITICAL, 0.01), Rating("d", Level.NORMAL, 40.0),
                   Rating("not listed", Level.NORMAL, 99.0)]  # fmt: skip
        endpoints = Endpoints("c", lambda: ratings, lambda: servers, "s")
        first = endpoints.answer({})
        assert first is not None
        seen = [(e["health_status"], e["load_balancing_weight"])
                for e in first["resources"][0]["endpoints"][0]["lb_endpoints"]]  # fmt: skip
        self.assertEqual(seen, [("HEALTHY", 100), ("DEGRADED", 25), ("UNHEALTHY", 1), ("DRAINING", 100)])
        self.assertIsNone(endpoints.answer({"versionInfo": first["version_info"]}))
        refusal = {"version_info": "", "response_nonce": first["nonce"], "error_detail": {"message": "no"}}
        self.assertEqual((endpoints.answer(refusal), endpoints.refused), (None, 1))
        ratings[0] = Rating("a", Level.WARNING, 40.0)
        second = endpoints.answer(refusal)  # what was refused has changed: it is offered again
        assert second is not None
        self.assertNotEqual(second["version_info"], first["version_info"])
        with self.assertRaises(BadRequest):
            endpoints.answer([])


if __name__ == "__main__":
    unittest.main()
