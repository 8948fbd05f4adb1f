"""Faults planted in a copy of the program, to see that the rig finds them between real processes."""

from __future__ import annotations

import shutil
from dataclasses import dataclass
from pathlib import Path

from ..process import ROOT
from .schedule import Round, Step


@dataclass(frozen=True, slots=True)
class Planted:
    """One fault: a file of the program, what stands there, what stands there instead, and what brings it
    out.
    """

    file: str
    before: str
    after: str
    rounds: tuple[Round, ...]
    members: int = 5


def _round(*steps: Step) -> Round:
    return Round(steps)


HALVES = _round(
    Step("split", ("g1", "g2"), 300), Step("copy_disk", ("g1",), 3000), Step("copy_disk", ("g1",), 3000)
)
FEW = _round(  # the lesser side has time to elect
    Step("split", ("g4", "g5"), 300),
    *(Step("copy_disk", ("g1",), 3000) for _ in range(3)),
)
RESTARTS = _round(Step("restart", ("g1", "g2"), 300))
WIPES = (
    _round(Step("split", ("g1", "g2"), 200), Step("wipe", ("g3",), 2500), Step("heal_cuts", (), 2500)),
    _round(Step("wipe", ("g1",), 200), Step("wipe", ("g2",), 1500)),
)
SPOILT = _round(*(Step("garble", (one, other), 150) for one in ("g1", "g2", "g3") for other in ("g4", "g5")))
RESETS = _round(
    *(Step("reset", (one, other), 150) for one, other in (("g1", "g2"), ("g2", "g3"), ("g1", "g3")))
)

PLANTED = {
    "majority off by one": Planted(
        "mallowquay/fleet/views.py",
        "return 2 * sum(map(having, members)) > len(members)",
        "return sum(map(having, members)) >= len(members) // 2",
        (FEW, HALVES, FEW),
    ),
    "life not counted": Planted(
        "mallowquay/fleet/member.py",
        "life = Life(before.life.number + 1,",
        "life = Life(before.life.number,",
        (RESTARTS, RESTARTS),
    ),
    "lease too long": Planted(
        "mallowquay/fleet/views.py",
        "[wanted - 1] + self.terms.lease)",
        "[wanted - 1] + 9 * self.terms.lease)",
        (HALVES, _round(Step("split", ("g3", "g4"), 300), Step("copy_disk", ("g1",), 3000))),
    ),
    "no promise to a leader": Planted(
        "mallowquay/fleet/views.py",
        "loyal = now < self._led_at + self.terms.patience or self.role is Role.LEADER",
        "loyal = False",
        (
            _round(
                *(Step("cut_one_way", ("g1", other), 100) for other in ("g2", "g3")),
                Step("copy_disk", ("g1",), 3000),
            ),
        ),
    ),
    "older one stays": Planted(
        "mallowquay/fleet/member.py",
        "        self.stood_down = newer\n",
        "        return\n",
        (_round(Step("twin", ("g2",), 300)),),
    ),
    "a spoilt frame is not expected": Planted(
        "mallowquay/fleet/links.py",
        '        except Garbled:\n            why = "garbled"\n        finally:\n'
        "            if self.links.get(link.name) is link:\n                del self.links[link.name]\n",
        "        finally:\n",
        (SPOILT,),
    ),
    "not dialled again": Planted(
        "mallowquay/fleet/links.py",
        "            if await self._dial(name):\n                continue\n",
        "            if await self._dial(name):\n                return\n",
        (RESETS, RESETS, RESETS),
    ),
    "view kept without a sync": Planted(
        "mallowquay/fleet/node.py",
        "            self._disk.write(self.member.lasting)\n        except OSError",
        "            pass\n        except OSError",
        (_round(Step("restart", ("g1", "g2", "g3", "g4", "g5"), 300)),),
    ),
}


def spoil(planted: Planted, folder: Path) -> Path:
    """A copy of the program with the fault in it. Errors: ValueError, if the place is not there (any
    more).
    """
    for package in ("mallowquay", "quincestand"):
        shutil.copytree(ROOT / package, folder / package, ignore=shutil.ignore_patterns("__pycache__"))
    path = folder / planted.file
    text = path.read_text()
    if text.count(planted.before) != 1:
        raise ValueError(
            f"{planted.file}: {planted.before!r} stands there {text.count(planted.before)} times"
        )
    path.write_text(text.replace(planted.before, planted.after))
    return folder
