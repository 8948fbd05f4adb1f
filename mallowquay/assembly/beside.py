"""What stands beside a front, each only where it is set up: control plane, second address, record."""

from __future__ import annotations

import secrets
from collections.abc import Callable, Mapping
from typing import TYPE_CHECKING, Any

from ..core.model import ListTold
from ..net.clock import monotonic
from ..operation.control import serve as serve_control
from ..settings import TrafficConfig, XdsConfig
from .base import Assembly, Heart

if TYPE_CHECKING:
    from ..controlplane.streams import Hub


class ControlPlaneAssembly(Assembly):
    """Other proxies are shown what this one knows: polls, streams, or both."""

    def __init__(self, heart: Heart, xds: XdsConfig) -> None:
        self._heart, self._xds = heart, xds
        self._hub: Hub | None = None

    async def start(self) -> None:
        """Listen for proxies. Errors: OSError."""
        heart, xds = self._heart, self._xds
        if xds.listen is not None:
            from ..controlplane.xds import Endpoints
            from ..controlplane.xds import serve as serve_polls

            begun = f"{secrets.randbits(32):08x}"
            listed = lambda: dict(heart.listed())  # noqa: E731
            endpoints = Endpoints(xds.cluster, heart.decisions.ratings, listed, begun)
            self._polls = serve_polls(endpoints, xds.listen)
        if xds.ads is not None:
            from ..controlplane.service import start

            plane, self._hub, self._streams = await start(
                heart.config, heart.decisions.ratings, lambda place: None
            )
            plane.list_told(ListTold(tuple(heart.listed().values()), whole=True))
            heart.shown.append(plane.list_told)

    def figures(self) -> Mapping[str, Any]:
        """Streams and what they were told."""
        return {} if self._hub is None else {"xds": self._hub.figures()}


class ControlAssembly(Assembly):
    """The second address."""

    def __init__(self, heart: Heart, address: tuple[str, int], told: Callable[[], dict[str, Any]]) -> None:
        self._heart, self._address, self._told = heart, address, told

    async def start(self) -> None:
        """Listen. Errors: OSError."""
        heart = self._heart
        self._server = serve_control(heart.operation, self._told, self._address, heart.pages)


class RecordAssembly(Assembly):
    """The record of what the core sees."""

    def __init__(self, heart: Heart, traffic: TrafficConfig) -> None:
        self._heart, self._traffic = heart, traffic

    async def start(self) -> None:
        """Open the record. Errors: OSError."""
        from ..traffic.recording import Recording  # off on the platform, which does not pay for it

        heart, traffic = self._heart, self._traffic
        self._recording = Recording(
            heart.loop, monotonic, heart.calls.figures, traffic.file, traffic.interval, heart.config.classes
        )

    def end(self) -> None:
        """The last interval is written."""
        self._recording.stop()
