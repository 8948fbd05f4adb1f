"""What two processes of an upgrade say to each other, by itself."""

from __future__ import annotations

import asyncio
import os
import socket
import unittest
from types import SimpleNamespace

from tornado.ioloop import IOLoop

from mallowquay.settings import SOCKETS_KEPT
from mallowquay.fronts.platform.handover import Handover
from mallowquay.operation.twin import Packet, Wire


class WireTest(unittest.IsolatedAsyncioTestCase):
    """The Unix socket between two processes of an upgrade."""

    async def test_packets_of_any_size_in_order_with_descriptors(self) -> None:
        ends = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        heard: list[tuple[object, int]] = []
        whole, lost = asyncio.Event(), asyncio.Event()

        def take(packet: Packet, descriptors: list[int]) -> None:
            heard.append((packet, len(descriptors)))
            for descriptor in descriptors:
                os.close(descriptor)
            if packet["t"] == "last":
                whole.set()
            if packet["t"] == "bad":
                raise KeyError("a packet of another version")

        loop = IOLoop.current()
        one = Wire(loop, ends[0], lambda packet, descriptors: None, lambda: None)
        other = Wire(loop, ends[1], take, lost.set)
        packets: list[Packet] = [{"t": "bad"}, {"t": "long", "text": "é" * 600_000}, {"t": "short"}]
        for packet in packets:
            one.send(packet, ends[0].fileno() if packet["t"] == "short" else None)
        self.assertFalse(one.settled)  # more than the socket holds: the rest waits its turn
        one.send({"t": "last"})
        await asyncio.wait_for(whole.wait(), 5)
        self.assertEqual(heard, [(packets[0], 0), (packets[1], 0), (packets[2], 1), ({"t": "last"}, 0)])
        one.close()
        await asyncio.wait_for(lost.wait(), 5)
        other.send({"t": "late"})  # to nobody

    async def test_a_process_that_does_not_read_is_taken_as_dead(self) -> None:
        ends = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self.addCleanup(ends[1].close)
        lost = asyncio.Event()
        one = Wire(IOLoop.current(), ends[0], lambda packet, descriptors: None, lost.set)
        for _ in range(12):
            one.send({"t": "x", "text": "x" * 1_000_000})
        self.assertTrue(lost.is_set() and not one.alive)


class PlacesTest(unittest.TestCase):
    def test_two_processes_share_the_places(self) -> None:
        twin = SimpleNamespace(alive=False, takes={})
        front = SimpleNamespace(trim=lambda: None)
        places = Handover(front, SimpleNamespace(), twin).places  # type: ignore[arg-type]
        self.assertEqual(places(320), 320)
        twin.alive = True
        self.assertEqual(places(320), (320 - SOCKETS_KEPT) // 2)
        self.assertEqual(places(64), 8)
