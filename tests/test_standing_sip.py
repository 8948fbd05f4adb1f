"""Calls that stand at a SIP log server whose process is gone: they are released, and no others are."""

from __future__ import annotations

import socket
from typing import Any

from test_crossings_sip import MS, FrontCase, ready, reset
from test_sip import Peer


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
