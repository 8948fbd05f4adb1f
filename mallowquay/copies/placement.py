"""Who keeps whose copies. No I/O.

Rendezvous hashing (Thaler and Ravishankar, 1998): each writer ranks all members by a hash of the pair;
when one
goes, only what it held moves. A district is used again only when every district has been.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import xxhash

from .model import Ensemble, Holder


def rank(writer: str, name: str) -> int:
    """The place of a member in a writer's order: greater comes first."""
    return xxhash.xxh3_64_intdigest(f"{writer}\n{name}".encode())


def chosen(
    writer: str, candidates: Iterable[str], districts: Mapping[str, str], copies: int
) -> tuple[str, ...]:
    """The members that are to keep a writer's log, the writer first."""
    order = sorted((name for name in candidates if name != writer), key=lambda name: rank(writer, name))
    order.reverse()
    found = [writer]
    while len(found) < copies and order:
        used = [districts.get(name, "") for name in found]
        # The least used district first; within it the writer's own order.
        best = min(order, key=lambda name: used.count(districts.get(name, "")))
        order.remove(best)
        found.append(best)
    return tuple(found)


def quorum(write: int, holders: int) -> int:
    """How many of so many holders must have an entry; in a fleet too small for `write`, all there are."""
    return min(write, holders)


def next_step(
    current: Ensemble, wanted: tuple[str, ...], disks: Mapping[str, int], lost: Iterable[str], write: int
) -> Ensemble | None:
    """The ensemble after one change towards the wanted one, or None where nothing is to change.

    An empty disk under a known name first, then members that are lost, then those that are not wanted.
    """
    holders = list(current.holders)
    gone = set(lost)
    for index, holder in enumerate(holders):
        disk = disks.get(holder.name)
        if disk is not None and disk != holder.disk and holder.name not in gone:
            holders[index] = Holder(holder.name, disk)
            return _numbered(current, holders, write)
    names = [holder.name for holder in holders]
    missing = [name for name in wanted if name not in names and name in disks and name not in gone]
    unwanted = [name for name in names[1:] if name not in wanted]
    unwanted.sort(key=lambda name: name not in gone)
    if missing and unwanted:
        holders[names.index(unwanted[0])] = Holder(missing[0], disks[missing[0]])
    elif missing:
        holders.append(Holder(missing[0], disks[missing[0]]))
    elif unwanted and len(holders) > len(wanted):
        del holders[names.index(unwanted[0])]
    else:
        return None
    return _numbered(current, holders, write)


def _numbered(current: Ensemble, holders: list[Holder], write: int) -> Ensemble:
    return Ensemble(current.number + 1, tuple(holders), quorum(write, len(holders)))
