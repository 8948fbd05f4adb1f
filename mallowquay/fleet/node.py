"""A member on real sockets, a real disk and the real clock."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from datetime import timedelta
from typing import Any

import structlog
from tornado.ioloop import IOLoop

from ..core.model import Clock
from .identity import Disk, DiskFailed
from .links import Links, common_format
from .member import Member, MemberTerms, Sends
from .model import (
    HIGHEST_FORMAT,
    LOWEST_FORMAT,
    Bulk,
    Carry,
    Frame,
    Hello,
    Life,
    Refused,
    View,
    Welcome,
    micros,
)

log = structlog.get_logger(part=__name__)

LONGEST_STEP = timedelta(milliseconds=50)  # between two looks at what is due
DISK_AGAIN = timedelta(milliseconds=200)  # after a write that failed

Addresses = Mapping[str, tuple[str, int]]


class Node:
    """One gatekeeper in its fleet: carries out what `Member` says."""

    def __init__(
        self, name: str, listen: tuple[str, int], members: Addresses, disk: Disk, clock: Clock,
        chance: random.Random, terms: MemberTerms,
    ) -> None:  # fmt: skip
        self.name, self._listen, self._clock, self._chance = name, listen, clock, chance
        self._members, self._disk, self._terms = dict(members), disk, terms
        self.links = Links(name, self, clock, chance)
        self.on_stood_down: Callable[[], None] = lambda: None
        self.facts: Callable[[], bytes] = bytes
        self.on_life: list[Callable[[Life], None]] = []  # another life began, on this disk or a new one
        self.on_begun: list[Callable[[], None]] = []  # the member is there, before its first step
        self.on_step: list[Callable[[], None]] = []  # after each look at what is due
        self.on_end: list[Callable[[], None]] = []  # the last that is said, while there are links
        self._channels: dict[str, Callable[[str, bytes], None]] = {}
        self._life: Life | None = None
        self._loop = IOLoop.current()
        self._timer: object | None = None
        self._disk_again: timedelta | None = None
        self._told_down = False
        self._looked_at: View | None = None
        self._ended = False

    def start(self) -> None:
        """Read the disk, begin a life on it, listen and dial. Errors: OSError."""
        before = self._disk.open()
        self.member = Member(self.name, self._texts(), before, self._terms, self._chance, self._clock())
        for begun in self.on_begun:
            begun()
        self._disk.write(self.member.lasting)  # a life that cannot be counted does not begin
        self.member.saved()
        self.links.listen(self._listen)
        self._dial()
        self._step()

    def _texts(self) -> dict[str, str]:
        return {name: f"{host}:{port}" for name, (host, port) in self._members.items()}

    def _dial(self) -> None:
        found = {}
        for name, text in self.member.addresses().items():
            host, _, port = text.rpartition(":")
            found[name] = (host, int(port))
        self.links.configure(found)

    # --- time

    def _step(self) -> None:
        """Everything that is due; then wait for what is next."""
        if self._ended:
            return
        if self._timer is not None:
            self._loop.remove_timeout(self._timer)
        now = self._clock()
        self.member.facts = self.facts()
        self._carry(self.member.tick(now))
        for look in self.on_step:
            look()
        wait = min(max(self.member.next_due - self._clock(), timedelta(milliseconds=1)), LONGEST_STEP)
        self._timer = self._loop.add_timeout(wait, self._step)

    def _carry(self, sends: Sends) -> None:
        """Write what must last, then send what rests on it."""
        if self._ended:  # the folder is given up: another process may have it
            return
        member = self.member
        if member.unsaved and not self._save():
            sends = []  # nothing that is not on disk is promised; it is said anew when it is asked for anew
        for name, frame in sends:
            self.links.send(name, frame)
        if member.events:
            events, member.events = member.events, []
            at = micros(self._clock())
            for event in events:
                log.info(event.what, member_at_us=at, **event.fields)
        if member.relink:
            member.relink = False
            self.links.relink()
        if member.life != self._life and not member.unsaved:
            self._life = member.life
            for begun in self.on_life:
                begun(member.life)
        if set(member.addresses()) != set(self.links.dialled()):
            self._dial()
        if member.stood_down is not None and not self._told_down:
            self._told_down = True
            self.links.relink()
            self.links.configure({})
            self.on_stood_down()

    def _save(self) -> bool:
        now = self._clock()
        if self._disk_again is not None and now < self._disk_again:
            return False
        try:
            self._disk.write(self.member.lasting)
        except OSError as fault:
            self._disk_again = now + DISK_AGAIN
            log.error("fleet_disk_failed", **DiskFailed(str(fault), "fleet.disk").told())
            return False
        self._disk_again = None
        self.member.saved()
        return True

    # --- what the links ask of their owner

    def greeting(self, to: str) -> Hello | None:
        """The first word to a member; None while this life is not on disk: nobody may know of it then."""
        if self.member.unsaved:
            return None
        return Hello(LOWEST_FORMAT, HIGHEST_FORMAT, self.name, to, self.member.life)

    def greeted(self, hello: Hello) -> Welcome | Refused:
        """The answer to a greeting."""
        if self.member.stood_down is not None:
            return Refused("stood down")
        if self.member.unsaved:
            return Refused("its disk takes nothing")
        agreed = common_format(hello)
        if agreed is None:
            return Refused(f"formats {LOWEST_FORMAT} to {HIGHEST_FORMAT} are spoken here")
        newer = self.member.greets_old(hello.name, hello.life)
        if newer is not None:
            return Refused("a later life of this name is known", newer)
        return Welcome(agreed, self.name, self.member.life)

    def up(self, name: str, life: Life) -> None:
        """A link is up."""
        self._carry(self.member.greeted(self._clock(), name, life))

    def refused(self, name: str, word: Refused) -> None:
        """A member did not take this one's greeting."""
        log.info("fleet_greeting_refused", by=name, why=word.why)
        if word.known is not None:
            self._carry(self.member.heard(self._clock(), name, word.known))

    def frame(self, name: str, frame: Frame) -> None:
        """A frame came."""
        if isinstance(frame, Carry | Bulk):
            take = self._channels.get(frame.channel)
            if take is not None:
                take(name, frame.data)
            return
        self._carry(self.member.heard(self._clock(), name, frame))
        agreed = self.member.lasting.agreed
        if agreed is not self._looked_at:  # others go by it: at once, not at the next step
            self._looked_at = agreed
            self.later(self._look)

    def _look(self) -> None:
        if not self._ended:
            for look in self.on_step:
                look()

    # --- for subsystems

    def later(self, action: Callable[[], None]) -> None:
        """In the next turn of the loop."""
        self._loop.add_callback(action)

    def turn_page(self) -> None:
        """There is something to write into the book."""
        self._carry(self.member.turn_page(self._clock()))

    def channel(self, name: str, take: Callable[[str, bytes], None]) -> None:
        """What comes on this channel goes there, with the name of who sent it."""
        self._channels[name] = take

    def carry(self, to: str, channel: str, data: bytes, bulk: bool = False) -> bool:
        """Send on a channel; False where there is no link or no room. Nothing is sent of an unsaved life."""
        if self.member.unsaved or self.member.stood_down is not None:
            return False
        return self.links.send(to, Bulk(channel, data) if bulk else Carry(channel, data))

    def renew(self) -> None:
        """Begin another life: the present one was taken for lost."""
        self.member.renew(self._clock())
        self._carry([])

    # --- for the program

    def holds(self) -> View | None:
        """The agreed view while this member may act on it."""
        return self.member.holds(self._clock())

    def reload(self, members: Addresses) -> None:
        """The file names these members now."""
        before = self._texts()
        self._members = dict(members)
        after = self._texts()
        self.member.wish(before, after)
        self.member.reload(after)
        self._dial()

    def give_up(self, names: list[str]) -> None:
        """Go on without members that are lost for good. Errors: ValueError."""
        self.member.give_up(self._clock(), names)
        log.warning("fleet_members_given_up", members=names)
        self._carry([])

    def leave(self) -> None:
        """Tell the others that this member ends in order."""
        if self.member.stood_down is None:
            self._carry(self.member.leave())

    def end(self) -> None:
        """Close everything, after the last words."""
        for last in self.on_end:
            last()
        self._ended = True
        if self._timer is not None:
            self._loop.remove_timeout(self._timer)
        self.links.close()
        self._disk.close()

    def told(self) -> dict[str, Any]:
        """The fleet as this member sees it, for people."""
        now = self._clock()
        return {
            **self.member.told(now),
            "at_us": micros(now),
            "links": self.links.figures(),
            "disk": {"writes": self._disk.writes, "failures": self._disk.failures},
        }
