"""What every assembly is, and what they share: the core, its clock, and who may come."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any, Protocol

from tornado.ioloop import IOLoop

from ..core.calls import Calls
from ..core.decisions import Decisions
from ..core.figures import Figures
from ..core.model import ListTold, Server
from ..net.clock import Metronome, monotonic
from ..operation.control import Page
from ..operation.readiness import Operation
from ..settings import Config

if TYPE_CHECKING:
    from datetime import timedelta


class Assembly:
    """One concern of a serving program. All have the same life: start, reloads, stop, end."""

    async def start(self) -> None:
        """Open what it serves by. Errors: ConfigError, OSError."""

    def admit(self) -> None:
        """Let callers in; all that stands beside is open. Errors: OSError."""

    def reload(self, settings: Config) -> None:
        """Take a new file, which was found usable. Errors: ConfigError, with nothing changed."""

    def stop(self) -> None:
        """SIGTERM: begin to end; nothing is cut off yet."""

    def owes(self) -> bool:
        """Whether another process still awaits something that goes through this one."""
        return False

    def settled(self, quiet_since: timedelta) -> bool:
        """Whether the program may end as far as this concern goes.

        Nobody came, and no call was owed anything, since `quiet_since`.
        """
        return True

    def end(self) -> None:
        """The program ends now, in this turn of the loop."""

    def figures(self) -> Mapping[str, Any]:
        """What it adds to the figures of the second address."""
        return {}


class Front(Protocol):
    """What the program asks of either front."""

    def settled(self) -> bool:
        """Nothing is left to be written to callers."""


class Heart:
    """The core of one gatekeeper and what its assemblies share."""

    def __init__(self, settings: Config) -> None:
        self.config = settings
        self.loop = IOLoop.current()
        self.operation = Operation(monotonic)
        self.decisions = Decisions(settings.settings, settings.seed, monotonic)
        self.calls = Calls(
            self.decisions, monotonic, settings.release_wait, settings.guard_margin, settings.default_gap,
            Figures(settings.classes),
        )  # fmt: skip
        self.metronome = Metronome(self.loop, self.calls)
        self.front: Front | None = None
        self.addresses: dict[str, Any] = {}  # for the log
        self.unreadable: Callable[[], int] = lambda: 0  # messages that were dropped or answered as bad
        self.listed: Callable[[], Mapping[str, Server]] = dict  # the list as the server side has it
        self.pages: list[Page] = []  # of subsystems, on the second address
        self.shown: list[Callable[[ListTold], None]] = []  # who else is told of the list

    def told(self, news: ListTold, side: Callable[[ListTold], None]) -> None:
        """News of the list: the core, the server side, and whoever else wants to know, in this order."""
        self.calls.list_told(news)
        side(news)
        self.operation.list_known = True
        for show in self.shown:
            show(news)
