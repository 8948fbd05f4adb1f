"""What two processes of an upgrade do for each other's callers: connections, and word of open calls."""

from __future__ import annotations

import asyncio
import base64
import socket
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from datetime import timedelta
from typing import Any, Protocol

from tornado.iostream import IOStream

from ...settings import SOCKETS_KEPT
from ...core.calls import Call, Calls, CallState
from ...net.streams import WRITE_BUFFER_MOST, when_written
from ...net.tasks import Tasks
from ...operation.twin import Packet, Twin
from ..recently_seen import RecentlySeen
from ..sip.message import parse, q850_cause
from ..statuses import NORMAL_CLEARING, release_ending
from .connection import Connection, Release

MICROSECOND = timedelta(microseconds=1)
HAND_AGAIN = timedelta(milliseconds=20)
PLACES_LEAST = 8


class Host(Protocol):
    """The front whose connections are handed over."""

    connections: dict[Connection, None]
    answered: RecentlySeen
    over: RecentlySeen

    def serve(self, connection: Connection) -> Coroutine[Any, Any, None]:
        """Read a connection until it closes."""

    def new_connection(self, stream: IOStream) -> Connection:
        """A connection that opens now."""

    def trim(self) -> None:
        """There are fewer places from now on."""

    def give_up(self, connection: Connection) -> None:
        """Nobody is left to answer on it."""

    def adopt_call(self, told: Packet, connection: Connection | None) -> None:
        """A call stood in the process before, which has ended."""

    def cancel(self, call_id: str, passed_on: bool = False) -> None:
        """A caller gives a set-up up."""

    def caller_released(self, call_id: str, cause: int, passed_on: bool = False) -> None:
        """A caller ends a call that stands."""

    def send_release(self, call_id: str, uri: str, cause: int, first: Connection | None = None) -> None:
        """BYE for a call that is over."""


@dataclass(frozen=True, slots=True)
class Successor:
    """The successor, as the carrier of one connection that it was handed."""

    twin: Twin
    key: int

    def write(self, parts: list[bytes]) -> bool:
        """Pass a message on; False: it does not leave."""
        return self.twin.send("write", key=self.key, data=_text(parts))

    def answer(self, call_id: str, parts: list[bytes]) -> bool:
        """Pass on the answer by which a call stands; True if word comes once it has left whole."""
        self.twin.send("write", key=self.key, data=_text(parts), id=call_id)
        return self.twin.hears

    def release(self, release: Release) -> bool:
        """Pass a release on; what the other does not read is carried out here, once it is found gone."""
        if not self.twin.alive:
            return False
        self.twin.send("release", id=release.call_id, uri=release.uri, cause=release.cause, key=self.key)
        return True


def _text(parts: list[bytes]) -> str:
    return base64.b64encode(b"".join(parts)).decode()


class Handover:
    """Hands the front's connections to the successor, and takes those of the process before."""

    def __init__(self, front: Host, calls: Calls, twin: Twin) -> None:
        self._front, self._calls, self.twin = front, calls, twin
        self._next_key = 0
        self._handed: dict[int, Connection] = {}  # to the successor, by key
        self._adopted: dict[int, Connection] = {}  # from the process before
        self._succeeds = False  # the process before has begun to hand over
        self._gives = False  # calls that stand here are the successor's
        # It went early, and what these log servers had told it is unknown.
        self.lost_with: Callable[[set[str]], None] = lambda servers: None
        self._spawn = Tasks().spawn
        twin.met, twin.gone, twin.connection = front.trim, self._gone, self._adopt
        twin.takes.update(
            write=self._write,
            closed=lambda told: self._closed_there(told["key"]),
            over=lambda told: self._over_there(told["id"]),
            answered=lambda told: front.answered.add_all(told["ids"]),
            cancel=lambda told: front.cancel(told["id"], passed_on=True),
            bye=lambda told: front.caller_released(told["id"], told["cause"], passed_on=True),
            down=self._ended_here,
            release=self._released_there,
            heard=lambda told: self._heard_there(told["id"]),
            gave_up=lambda told: calls.hold_back(told["id"], told["until"] * MICROSECOND),
            given=self._adopt_call,
        )

    def places(self, most: int, kept: int = SOCKETS_KEPT) -> int:
        """How many connections may be open here: the two share what the configuration gives."""
        if not self.twin.alive:
            return max(most, PLACES_LEAST)
        both = most - kept  # each keeps as many for itself
        return max(both if self._succeeds else both // 2, PLACES_LEAST)

    @property
    def carries(self) -> bool:
        """Whether calls of the process before are open on connections that are here now."""
        return any(connection.elsewhere for connection in self._adopted.values())

    # --- the process that ends

    async def hand_over(self) -> None:
        """Hand each connection over between two reads, until none has come up any more."""
        quiet_turns = 0
        while quiet_turns < 2 and self.twin.succeeded:  # what was accepted just now is to come up
            connections = self._front.connections
            for connection in list(connections):
                if not connection.closing:
                    self._hand(connection)
            quiet_turns = 0 if connections else quiet_turns + 1
            await asyncio.sleep(HAND_AGAIN.total_seconds())

    def _hand(self, connection: Connection) -> None:
        stream, buffer = connection.stream, connection.buffer
        if not stream.reading() or stream.writing() or stream.closed():
            return  # in a moment
        if not self.twin.settled:
            return  # the successor has yet to read those before: what waits for it is bounded, and it may die
        key = self._next_key = self._next_key + 1
        since = connection.waiting_since
        if not self.twin.send(
            "connection",
            stream.socket.fileno(),
            key=key,
            rest=base64.b64encode(buffer.data[buffer.start : buffer.end]).decode(),
            open=sorted(connection.unanswered | connection.standing),
            spoke=connection.spoke,
            bad=connection.bad,
            waiting=None if since is None else since // MICROSECOND,
        ):
            return  # the successor has gone, and has not got it: it stays here, with its calls

        connection.handed = Successor(self.twin, key)
        self._handed[key] = connection
        del self._front.connections[connection]
        stream.close()  # the successor has it: nothing is shut down

    def _closed_there(self, key: int) -> None:
        """A connection that was handed over has closed, or its new process has died."""
        connection = self._handed.pop(key, None)
        if connection is not None:
            connection.handed = None
            connection.standing.clear()
            self._front.give_up(connection)
            for call_id in connection.leaving:  # their callers have not heard that they stand
                if self._calls.get(call_id) is not None:
                    self._front.caller_released(call_id, NORMAL_CLEARING)

    def _heard_there(self, call_id: str) -> None:
        """The successor has carried a release out, or an answer has left whole there."""
        self.twin.unheard.pop(call_id, None)
        for connection in self._handed.values():
            connection.leaving.discard(call_id)

    def give(self) -> None:
        """The successor is to be succeeded, too: it holds what stands here, so that this process can end."""
        self._gives = True
        for call in self._calls.standing():
            self.stands(call)

    # --- the process that succeeds

    def _adopt(self, told: Packet, descriptor: int) -> None:
        """A connection of the process before."""
        self._succeeds = True
        sock = socket.socket(fileno=descriptor)
        sock.setblocking(False)
        stream = IOStream(sock, max_buffer_size=WRITE_BUFFER_MOST, read_chunk_size=16 * 1024)
        connection = self._front.new_connection(stream)
        connection.buffer.put(base64.b64decode(told["rest"]))
        connection.key, connection.elsewhere = told["key"], set(told["open"]) & self.twin.ids
        connection.spoke, connection.bad = told["spoke"], told["bad"]
        connection.waiting_since = None if told["waiting"] is None else told["waiting"] * MICROSECOND
        self._adopted[connection.key] = connection
        self._spawn(self._front.serve(connection))

    def closed(self, connection: Connection) -> None:
        """A connection has closed here."""
        if self._adopted.pop(connection.key, None) is not None:
            self.twin.send("closed", key=connection.key)

    def _write(self, told: Packet) -> None:
        connection = self._adopted.get(told["key"])
        data = base64.b64decode(told["data"])
        if connection is not None and connection.write([data]):
            if "id" in told:
                when_written(connection.stream, lambda: self._say_heard(told))
            return
        message, _ = parse(bytearray(data), 0, len(data))
        if message is not None and message.method == "BYE":  # it crossed the close: any connection will do
            cause = q850_cause(message.get("Reason"), NORMAL_CLEARING)
            self._front.send_release(message.get("Call-ID"), message.uri, cause)

    def _say_heard(self, told: Packet) -> None:
        self.twin.send("heard", id=told["id"])

    # --- either

    def _over_there(self, call_id: str) -> None:
        self._front.over.add(call_id)
        for connection in self._adopted.values():
            connection.elsewhere.discard(call_id)

    def _ended_here(self, told: Packet) -> None:
        """The other process heard from a log server that a call is over, which may stand here."""
        call = self._calls.get(told["id"])
        if call is not None and call.state is CallState.STANDING and call.attempt is not None:
            self._calls.ended(call.attempt, release_ending(told["cause"]))

    def _released_there(self, told: Packet) -> None:
        """A release that the other process cannot write; it may have given us its call just now."""
        if self._calls.get(told["id"]) is None:
            first = self._adopted.get(told.get("key", 0))
            self._front.send_release(told["id"], told["uri"], told["cause"], first)
        else:
            self._ended_here(told)
        self._say_heard(told)

    def gave_up(self, call_id: str, until: timedelta) -> None:
        """A call was given up here with an attempt out: its id may come again in the other process."""
        self.twin.send("gave_up", id=call_id, until=until // MICROSECOND)

    def tell_held_back(self) -> dict[str, int]:
        """The ids that have no attempt yet, and until when: microseconds of the clock that both have."""
        return {call_id: until // MICROSECOND for call_id, until in self._calls.held_back().items()}

    def hold_back(self, told: dict[str, int]) -> None:
        """What `tell_held_back` of the process before told."""
        for call_id, until in told.items():
            self._calls.hold_back(call_id, until * MICROSECOND)

    def stands(self, call: Call) -> None:
        """A call has come to stand here."""
        told = self.tell_standing(call)
        if not (self._gives and self.twin.succeeded):
            self.twin.send("stands", **told)
        elif self.twin.send("given", **told):
            self._calls.disown(call.request.id)

    def tell_standing(self, call: Call) -> Packet:
        """What the other process is to know of a call that stands, should this one end before it."""
        assert call.attempt is not None
        request, uri = call.request, getattr(call.caller, "uri", "")
        return {"id": request.id, "server": call.attempt.server, "class": request.class_name, "uri": uri}

    def _adopt_call(self, told: Packet) -> None:
        """A call that stood in the process before is ours."""
        carriers = [known for known in self._adopted.values() if told["id"] in known.elsewhere]
        self._front.adopt_call(told, carriers[0] if carriers else None)

    def _gone(self) -> None:
        """The other process has ended: calls that stood there are ours, nothing comes of the others."""
        self._succeeds = self._gives = False
        early = bool(self.twin.standing or self._handed)  # it held calls or connections
        for told in self.twin.standing.values():
            self._adopt_call(told)
        for connection in self._adopted.values():
            connection.elsewhere.clear()
        self._adopted.clear()
        for key in list(self._handed):
            self._closed_there(key)
        for packet in list(self.twin.unheard.values()):
            self.twin.takes[packet["t"]](packet)
        if early:
            standing = [call.attempt for call in self._calls.standing()]
            self.lost_with({attempt.server for attempt in standing if attempt is not None})
