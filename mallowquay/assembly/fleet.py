"""What this gatekeeper is among the others. Loaded only with `[fleet]`."""

from __future__ import annotations

import json
import random
import secrets
from collections.abc import Mapping
from functools import cache
from pathlib import Path
from typing import Any

import structlog
import xxhash

from ..core.model import ListTold
from ..fleet.detector import Terms
from ..fleet.identity import Disk
from ..fleet.member import MemberTerms
from ..fleet.node import Node
from ..fleet.views import ViewTerms
from ..net.clock import monotonic
from ..operation.control import Page
from ..settings import Config, FleetConfig
from .base import Assembly, Heart

log = structlog.get_logger(part=__name__)


class FleetAssembly(Assembly):
    """Be a member: found by the others, with a life of its own, agreeing on views."""

    def __init__(self, heart: Heart, fleet: FleetConfig) -> None:
        self._heart = heart
        terms = MemberTerms(
            Terms(period=fleet.period, answer_within=fleet.answer),
            ViewTerms(beat=fleet.beat, lease=fleet.lease, patience=fleet.patience, jitter=fleet.patience),
        )
        # Not the file's seed: two starts must never draw the same mark.
        chance = random.Random(secrets.randbits(128))
        self.node = Node(fleet.name, fleet.listen, fleet.members, Disk(fleet.disk), monotonic, chance, terms)
        self._facts = b""

    async def start(self) -> None:
        """Begin a life and listen. Errors: OSError."""
        heart, node = self._heart, self.node
        node.on_stood_down = heart.operation.drain
        node.facts = lambda: self._facts
        self._look()
        heart.shown.append(self._look)
        node.start()
        heart.pages += [Page("/fleet", shown=node.told), Page("/fleet/give-up", act=node.give_up)]

    def _look(self, news: ListTold | None = None) -> None:
        """What this process goes by, for the others to see."""
        listed = [f"{s.id} {s.address} {s.status.value}" for s in self._heart.listed().values()]
        versions = {
            "list": xxhash.xxh3_64_hexdigest("\n".join(sorted(listed)).encode())[:8],
            "settings": xxhash.xxh3_64_hexdigest(repr(self._heart.config.settings).encode())[:8],
            "program": program_hash(),
        }
        self._facts = json.dumps(versions, separators=(",", ":")).encode()

    def reload(self, settings: Config) -> None:
        """Members that are new in the file or missing from it."""
        if settings.fleet is not None:
            self.node.reload(settings.fleet.members)
        self._heart.loop.add_callback(self._look)

    def stop(self) -> None:
        """The others hear that this is no loss."""
        self.node.leave()

    def end(self) -> None:
        """Close links and disk."""
        self.node.end()

    def figures(self) -> Mapping[str, Any]:
        """In short; `/fleet` has the rest."""
        told = self.node.told()
        return {"fleet": {key: told[key] for key in ("life", "view", "term", "majority", "up", "stood_down")}}


@cache
def program_hash() -> str:
    """What tells two builds apart: a hash over the program's own files."""
    root = Path(__file__).resolve().parents[1]
    digest = xxhash.xxh3_64()
    for folder in (root, root.parent / "quincestand"):
        for path in sorted(folder.rglob("*.py")):
            digest.update(path.read_bytes())
    return digest.hexdigest()[:8]
