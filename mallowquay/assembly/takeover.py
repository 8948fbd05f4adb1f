"""Calls of a lost machine are ended in order on both sides. Loaded only with `[takeover]`."""

from __future__ import annotations

from collections.abc import Mapping
from datetime import timedelta
from typing import Any

import msgspec
import structlog

from ..copies.machine import Adopted
from ..copies.model import LogId
from ..fronts.sip.adopted import end_dialog
from ..net.clock import monotonic
from ..settings import TakeoverConfig
from ..takeover.plan import Plan, PlanTerms
from .base import Assembly, Heart
from .copies import CALL, CopiesAssembly
from .sip import SipAssembly

log = structlog.get_logger(part=__name__)

LOOKS = timedelta(milliseconds=50)


class TakeoverAssembly(Assembly):
    """Ends what copies hand over, at the pace of the plan."""

    def __init__(
        self, heart: Heart, takeover: TakeoverConfig, copies: CopiesAssembly, sip: SipAssembly
    ) -> None:  # fmt: skip
        self._heart, self._copies, self._sip = heart, copies, sip
        copies.takes_over = True
        self._plan = Plan(PlanTerms(takeover.hold, takeover.within))
        self._bodies: dict[str, Mapping[str, Any]] = {}
        self._open: dict[
            str, int
        ] = {}  # calls whose ends are under way, and how many sides are yet to answer
        self._ended = False
        self.answered = self.silent = self.unreadable = self.disowned = 0
        self._log: LogId | None = None  # of this member's present life
        self._before: LogId | None = None  # of a life that this process had before, until it is settled

    async def start(self) -> None:
        """Look for what has been adopted."""
        self._look()

    def end(self) -> None:
        """No more looks."""
        self._ended = True

    def figures(self) -> Mapping[str, Any]:
        """Counts since the start."""
        return {
            "takeover": {
                "adopted": self._plan.adopted,
                "waiting": len(self._plan),
                "ending": len(self._open),
                "ended": self._plan.ended,
                "sides_answered": self.answered,
                "sides_silent": self.silent,
                "unreadable": self.unreadable,
                "disowned": self.disowned,
            }
        }

    def _look(self) -> None:
        if self._ended:
            return
        now = monotonic()
        self._settle_lives()
        adopted, self._copies.adopted = self._copies.adopted, []
        for one in adopted:
            self._adopt(now, one)
        if len(self._plan):
            levels = {rating.server: rating.level for rating in self._heart.decisions.ratings()}
            # Only while a majority is heard: else another may end them as well, or go on with them.
            if self._copies.may_act:
                for call in self._plan.due(now, levels):
                    self._end_call(call)
        self._heart.loop.add_timeout(LOOKS, self._look)

    def _adopt(self, now: timedelta, one: Adopted) -> None:
        try:
            body: dict[str, Any] = msgspec.msgpack.decode(one.body)
            began, server = int(body["began_ms"]), str(body["server"])
        except (msgspec.DecodeError, KeyError, TypeError, ValueError) as fault:
            self.unreadable += 1
            log.error("adopted_call_not_read", call=one.key, fault=str(fault))
            return
        if self._plan.adopt(now, one.key, server, began):
            self._bodies[one.key] = body

    def _end_call(self, call: str) -> None:
        body = self._bodies.pop(call, {})
        sides = [body[side] for side in ("caller", "log") if side in body]
        self._open[call] = len(sides)
        for record in sides:
            try:
                end_dialog(self._sip.layer, record, lambda heard: self._side_over(call, heard))
            except (KeyError, TypeError, ValueError) as fault:
                self.unreadable += 1
                log.error("adopted_dialog_not_read", call=call, fault=str(fault))
                self._side_over(call, False)
        if not sides:
            self._over(call)

    def _side_over(self, call: str, heard: bool) -> None:
        if heard:
            self.answered += 1
        else:
            self.silent += 1
        left = self._open.get(call)
        if left is None:
            return
        self._open[call] = left - 1
        if left == 1:
            self._over(call)

    def _over(self, call: str) -> None:
        """Both sides have heard it, or nobody is there: nothing is owed any more."""
        self._open.pop(call, None)
        self._copies.node.release(CALL, call)

    def _settle_lives(self) -> None:
        """This process was taken for lost: what another one has of its calls by now is not this one's to
        end.
        """
        copies = self._copies.node.copies
        if copies is None:
            return
        if self._log is not None and copies.log != self._log:
            self._before = self._log
        self._log = copies.log
        before = self._before
        if before is None or not self._copies.may_act:
            return
        if before in copies.keeper.logs or before in copies.recoveries:
            return
        self._before = None
        gone = 0
        for call in self._heart.calls.standing():
            if (CALL, call.request.id) not in copies.records and self._heart.calls.disown(call.request.id):
                gone += 1
        self.disowned += gone
        log.warning("life_settled", log=str(before), calls_with_others=gone)
