"""Calls that stand at a SIP log server whose process is gone: they are released, and no others are."""

from __future__ import annotations

import socket
import unittest
from typing import Any
from unittest import mock

from test_crossings_sip import LOCAL, MS, FrontCase, ready, reset
from test_sip import Peer

from mallowquay.fronts.sip.liveness import Endpoint, Liveness
from mallowquay.fronts.sip.transport import Hop


class OverTcp(FrontCase):
    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.script.order[0] = "t0"
        self.server = Peer(socket.socket())

    async def stands(self) -> Any:
        """A call that has stood for a while; its log server's INVITE."""
        _, invite = await self.stand("c", self.server)
        self.advance(1000 * MS)
        return invite

    async def reconnected(self) -> None:
        """The front has opened its next connection to the log server."""
        await self.until(lambda: ready(self.listener))
        self.server.sock = self.listener.accept()[0]
        self.opened.append(self.server.sock)

    async def test_calls_are_released_when_the_process_of_their_log_server_dies(self) -> None:
        """Guards against review case 2: calls cut by a log server's death stood on for their callers."""
        await self.stands()
        self.listener.close()
        reset(self.server.sock)
        bye = await self.next(self.caller, "BYE")
        self.assertIn("cause=41", bye.get("reason"))
        self.assertEqual(self.calls.pending, 0)

    async def test_a_connection_that_is_lost_alone_ends_no_call(self) -> None:
        """Guards against releasing what still stands: its log server takes a new connection."""
        invite = await self.stands()
        reset(self.server.sock)
        await self.reconnected()
        await self.turns()
        self.assertEqual(self.calls.pending, 1)
        self.server.write(self.server_bye(invite, "srv", 1))
        await self.next(self.server, "SIP/2.0 200")
        await self.next(self.caller, "BYE")

    async def test_a_log_server_that_closes_each_connection_is_dialled_with_pauses(self) -> None:
        """Guards against a loop of dials: each connection that closes at once doubles the pause."""
        await self.stands()
        reset(self.server.sock)
        dials = 0
        for _ in range(100):  # 5 s
            self.advance(50 * MS)
            self.side.standing.look()
            await self.turns()
            while ready(self.listener):
                reset(self.listener.accept()[0])
                dials += 1
        self.assertTrue(2 <= dials <= 10, dials)
        self.assertEqual(self.calls.pending, 1)


class OverUdp(FrontCase):
    async def test_calls_are_released_when_a_datagram_is_refused_there(self) -> None:
        """Guards against calls that stand at a dead log server over UDP: its port refuses the next set-up."""
        await self.stand("c", self.u0)
        await self.stand_at_the_other("d")
        self.u0.sock.close()
        self.script.order[0] = "u0"
        self.caller.write(self.message("INVITE", "e"))
        bye = await self.next(self.caller, "BYE")
        self.assertEqual((bye.get("call-id"), self.calls.pending), ("c", 2))
        await self.until(lambda: self.heard(self.u1.sock))  # and the set-up goes on: nothing ran
        self.assertEqual(self.begun["e"], 1)

    async def stand_at_the_other(self, call: str) -> None:
        self.script.order[0] = "u1"
        await self.stand(call, self.u1)

    async def test_a_refusal_fails_no_datagram_to_anybody_else(self) -> None:
        """Guards against the error of one datagram being taken for that of the next one sent."""
        dead, live, failed = self.u0.sock.getsockname(), self.u1.sock.getsockname(), []
        self.u0.sock.close()
        self.transport.send(Hop("udp", dead), [b"x"])
        self.transport.send(Hop("udp", live), [b"y"], failed.append)
        await self.turns()
        self.assertEqual((failed, self.u1.sock.recv(1)), ([], b"y"))

    async def test_a_set_up_that_may_have_run_waits_before_it_is_sent_again(self) -> None:
        """Term: 300 ms after a reset before a resend: the first copy arrived, a later one was refused."""
        self.caller.write(self.message("INVITE", "c"))
        await self.until(lambda: self.heard(self.u0.sock))
        self.u0.sock.close()
        self.advance(500 * MS)  # its copy
        await self.until(lambda: not self.calls.trying_at("u0"))
        self.advance(299 * MS)
        await self.turns()
        self.assertEqual(self.heard(self.u1.sock), [])
        self.advance(MS)
        await self.until(lambda: self.heard(self.u1.sock))


class Silent(FrontCase):
    async def test_calls_at_a_log_server_that_answers_nothing_are_released(self) -> None:
        """Guards against calls that stand on at a machine that vanished, over either transport."""
        for transport, peer in (("udp", self.u0), ("tcp", Peer(socket.socket()))):
            self.script.order[0] = "u0" if transport == "udp" else "t0"
            await self.stand(f"stands-{transport}", peer)
            self.caller.sock.setblocking(False)
            for second in range(8):  # one set-up a second; its copies count where the transport loses
                self.caller.write(self.message("INVITE", f"{transport}{second}"))
                await self.turns()
                self.advance(1000 * MS)
                self.side.standing.look()
                if second < 7:  # 7.6 s
                    self.assertEqual(len(self.calls.standing()), 1, second)
            await self.turns()
            self.assertEqual(self.calls.standing(), [])
            self.advance(10_000 * MS)


class Silence(unittest.TestCase):
    def silent_after(self, transport: str, *asked_at: int) -> bool:
        """Whether an endpoint that was sent requests at these milliseconds is silent after 60 s."""
        liveness, endpoint = Liveness(), Endpoint(transport, LOCAL)
        liveness.stands(endpoint, mock.Mock(), 0 * MS)
        for at in asked_at:
            liveness.asked(endpoint, at * MS)
        return liveness.silent(endpoint, 60_000 * MS)

    def test_what_was_lost_or_came_at_once_is_no_silence(self) -> None:
        """Guards against taking loss, or a moment's load, for a log server that is gone."""
        self.assertFalse(self.silent_after("udp"))
        self.assertFalse(self.silent_after("tcp"))
        self.assertFalse(self.silent_after("udp", 0, 500, 7500))
        self.assertFalse(self.silent_after("udp", *range(0, 3700, 100)))
        self.assertTrue(self.silent_after("udp", 0, 500, 1500, 3800))
        self.assertTrue(self.silent_after("tcp", 0))

    def test_any_word_begins_it_anew(self) -> None:
        """Guards against cutting calls at a log server that has spoken since."""
        liveness, endpoint = Liveness(), Endpoint("tcp", LOCAL)
        liveness.stands(endpoint, mock.Mock(), 0 * MS)
        liveness.asked(endpoint, 0 * MS)
        self.assertFalse(liveness.silent(endpoint, 7599 * MS))
        self.assertTrue(liveness.silent(endpoint, 7600 * MS))
        liveness.heard(endpoint)
        self.assertFalse(liveness.silent(endpoint, 60_000 * MS))
