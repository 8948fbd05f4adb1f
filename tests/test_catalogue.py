"""The list from Consul: what its answers, and their absence, mean for calls that stand and for new ones."""

from __future__ import annotations

import os
import unittest
from datetime import timedelta

from rigs.sip_peers import operators_file, sip_port
from support import Process
from test_control import StandInConsul, instance
from test_sip import SipBase, udp

from mallowquay.core.model import Server, ServerStatus
from mallowquay.membership.catalogue import Catalogue, Instances

MS = timedelta(milliseconds=1)
A, B = (Server(name, ("127.0.0.1", at), at, ServerStatus.READY) for at, name in ((1, "a"), (2, "b")))


class Lists(unittest.TestCase):
    def setUp(self) -> None:
        self.catalogue = Catalogue(failing_limit=3000 * MS)

    def test_an_instance_that_fails_for_long_is_gone_and_one_that_flaps_is_not(self) -> None:
        """Guards against calls that stand for ever at a failing instance, and against cutting sound ones."""
        for turn in range(100):  # five changes a second
            self.catalogue.answered(Instances((A, B), frozenset({"a"} if turn % 2 else ())), turn * 200 * MS)
            self.assertEqual(self.catalogue.servers(turn * 200 * MS), (A, B))
        failing_since = 99 * 200 * MS
        gone_at = self.catalogue.next_change(failing_since)
        self.assertEqual(gone_at, failing_since + 3000 * MS)
        self.assertEqual(self.catalogue.servers(gone_at - MS), (A, B))
        self.assertEqual(self.catalogue.servers(gone_at), (B,))
        self.catalogue.answered(Instances((A, B), frozenset({"a"})), gone_at + MS)  # still gone
        self.assertEqual(self.catalogue.servers(gone_at + MS), (B,))
        self.catalogue.answered(Instances((A, B)), gone_at + 2 * MS)
        self.assertEqual(self.catalogue.servers(gone_at + 2 * MS), (A, B))
        self.assertIsNone(self.catalogue.next_change(gone_at + 2 * MS))


class ConsulCase(SipBase):
    """A gatekeeper whose list is Consul's: one log server over UDP, `a`."""

    table = "wait_ms = 60000\nfailing_ms = 300\n"

    def setUp(self) -> None:
        self.port, self.server = sip_port(), udp(sip_port())
        at = self.server.sock.getsockname()[1]
        self.server_contact = ("Contact", f"<sip:log@127.0.0.1:{at}>")
        self.consul = StandInConsul()
        self.addCleanup(self.consul.server_close)
        self.addCleanup(self.consul.shutdown)
        self.passing, self.critical = instance("a", at), instance("a", at, "critical")
        self.consul.tell([self.passing], index=11)
        where = "127.0.0.1:%d" % self.consul.server_address[1]
        table = f'[consul]\naddress = "{where}"\nservice = "log-server"\n'
        path = operators_file(self.port, [], extra=table + self.table)
        self.addCleanup(os.unlink, path)
        self.program = Process([path], {})
        self.addCleanup(self.program.stop)
        self.program.wait_until_serves()
        self.udp = udp(far=self.port)
        for item in (self.udp.sock, self.server.sock):
            self.addCleanup(item.close)
        self.assertTrue(self.consul.wait_for(lambda: len(self.consul.queries) >= 2))


class Failing(ConsulCase):
    def test_calls_at_an_instance_that_goes_on_failing_are_released(self) -> None:
        """Guards against calls that stood on at a log server that is silent and failing its check."""
        self.stand(self.udp, "c")
        self.consul.tell([self.critical])
        self.consul.tell([self.passing])
        self.assertTrue(self.udp.quiet(0.6, "BYE"))  # it flapped
        self.consul.tell([self.critical])
        self.assertIn("cause=41", self.udp.expect("BYE").get("reason"))
