"""The list from Consul: what its answers, and their absence, mean for calls that stand and for new ones."""

from __future__ import annotations

import os
import unittest
from dataclasses import replace
from datetime import timedelta

from rigs.consul import StandInConsul, instance
from rigs.sip_peers import operators_file, sip_port
from support import Process
from test_sip import SipBase, udp

from mallowquay.core.model import Server, ServerStatus
from mallowquay.membership.catalogue import Catalogue, Instances
from mallowquay.settings import CatalogueRules

MS = timedelta(milliseconds=1)
A, B, C = (Server(name, ("127.0.0.1", at), at, ServerStatus.READY) for at, name in enumerate("abc"))


class Lists(unittest.TestCase):
    def setUp(self) -> None:
        self.catalogue = Catalogue(CatalogueRules(3000 * MS, 3000 * MS, 3))

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


    def drops(self, *told: Server, times: tuple[int, ...]) -> list[tuple[Server, ...]]:
        """The list after each of the answers at these milliseconds; before them A, B and C were told."""
        self.catalogue.answered(Instances((A, B, C)), 0 * MS)
        lists = []
        for at in times:
            self.catalogue.answered(Instances(told), at * MS)
            lists.append(self.catalogue.servers(at * MS))
        return lists

    def test_an_empty_answer_counts_only_once_it_is_confirmed(self) -> None:
        """Guards against an empty list by mistake, which cut every call."""
        lists = self.drops(times=(1000, 2000, 3999, 4000))
        self.assertEqual(lists, [(A, B, C)] * 3 + [()])
        self.assertEqual(self.catalogue.unconfirmed, 0)

    def test_as_many_answers_as_are_asked_for_confirm_it(self) -> None:
        """Guards against one late answer counting for all."""
        self.assertEqual(self.drops(times=(1000, 9000, 9001)), [(A, B, C), (A, B, C), ()])

    def test_without_most_of_the_list_the_missing_ones_drain_until_it_is_confirmed(self) -> None:
        """Guards against a partial answer that cuts calls, and against new calls at what was taken out."""
        drained = tuple(replace(server, status=ServerStatus.DRAINING) for server in (B, C))
        self.assertEqual(self.drops(A, times=(1000, 2000, 4000)), [(A, *drained)] * 2 + [(A,)])

    def test_one_of_two_that_is_missing_is_gone_at_once(self) -> None:
        """Guards against doubting an ordinary removal."""
        self.catalogue.answered(Instances((A, B)), 0 * MS)
        self.catalogue.answered(Instances((A,)), MS)
        self.assertEqual(self.catalogue.servers(MS), (A,))

    def test_a_whole_answer_ends_the_doubt(self) -> None:
        """Guards against adding up mistakes that lie apart."""
        self.drops(times=(1000, 2000))
        self.catalogue.answered(Instances((A, B, C)), 3000 * MS)
        self.assertEqual((self.catalogue.unconfirmed, self.catalogue.servers(3000 * MS)), (0, (A, B, C)))
        self.catalogue.answered(Instances(()), 60_000 * MS)
        self.assertEqual(self.catalogue.servers(60_000 * MS), (A, B, C))

    def test_an_empty_list_at_the_start_is_the_list(self) -> None:
        """Guards against a service without instances that is never known."""
        self.catalogue.answered(Instances(()), 0 * MS)
        self.assertEqual((self.catalogue.unconfirmed, self.catalogue.servers(0 * MS)), (0, ()))


class ConsulCase(SipBase):
    """A gatekeeper whose list is Consul's: one log server over UDP, `a`."""

    table = "wait_ms = 60000\nage_ms = 2000\nfailing_ms = 300\nconfirm_ms = 900\n"

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


class Emptied(ConsulCase):
    def test_an_empty_answer_by_mistake_cuts_no_call_and_stops_no_set_up(self) -> None:
        """Guards against an empty list by mistake: every call was cut at once, and every set-up refused."""
        self.stand(self.udp, "c")
        self.consul.tell([])
        self.assertTrue(self.consul.wait_for(lambda: self.consul.queries[-1][1]["index"] == ["0"]))
        self.stand(self.udp, "d")
        self.consul.tell([self.passing])
        self.assertTrue(self.udp.quiet(1.5, "BYE"))
        self.consul.tell([])  # this time for good
        self.assertEqual({self.udp.expect("BYE").get("call-id") for _ in range(2)}, {"c", "d"})


class Silenced(ConsulCase):
    def test_a_query_that_is_never_answered_is_asked_anew(self) -> None:
        """Guards against a watch that falls silent: a failing log server had set-ups meanwhile."""
        self.consul.fall_silent()
        self.consul.tell([self.critical])
        self.assertTrue(self.consul.wait_for(lambda: len(self.consul.queries) > self.consul.silenced))
        self.assertTrue(self.consul.wait_for(lambda: self.consul.queries[-1][1]["index"] == ["12"]))
        self.request(self.udp, "INVITE", "c")
        self.udp.expect("SIP/2.0 503")


class Back(ConsulCase):
    def test_an_answer_of_an_older_index_counts_only_when_it_is_told_again(self) -> None:
        """Guards against an answer that is out of date: the next one, asked from 0, counts."""
        self.consul.tell([self.critical], index=5)
        self.assertTrue(self.consul.wait_for(lambda: self.consul.queries[-1][1]["index"] == ["0"]))
        self.assertTrue(self.consul.wait_for(lambda: self.consul.queries[-1][1]["index"] == ["5"]))
        self.request(self.udp, "INVITE", "c")
        self.udp.expect("SIP/2.0 503")
