"""Datagrams that were read and are not handled yet: a queue for each source, served in turn. No I/O."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

Address = tuple[str, int]

MAX_QUEUED, MAX_QUEUED_BYTES = 4096, 8 * 1024 * 1024
MODEST = 64  # datagrams that a source may have waiting and still be waited for by others


@dataclass(frozen=True, slots=True)
class Datagram:
    """One of them; `number` counts all that were read."""

    number: int
    source: Address
    data: bytes


class DatagramQueues:
    """One source that sends at full speed waits for itself: others have their turn after one of its own.

    When there is no room for one more, the longest queue loses what it had last.
    """

    def __init__(self, max_queued: int = MAX_QUEUED, max_bytes: int = MAX_QUEUED_BYTES) -> None:
        self._max_queued, self._max_bytes = max_queued, max_bytes
        self._queues: dict[Address, deque[Datagram]] = {}  # the next one to be served first
        self._oldest_modest: int | None = None  # number of the oldest in a short queue, while it is known
        self.read = 0  # since the start
        self.queued = self.queued_bytes = self.dropped = 0

    def put(self, source: Address, data: bytes) -> None:
        """One more was read."""
        self.read += 1
        queue = self._queues.get(source)
        while self.queued >= self._max_queued or self.queued_bytes + len(data) > self._max_bytes:
            self.dropped += 1
            if queue is not None and len(queue) * len(self._queues) >= self.queued:  # more than its share
                return
            longest = max(self._queues.values(), key=len)
            self._remove(longest[-1].source, longest, longest.pop())
        if queue is None:
            queue = self._queues[source] = deque()
        queue.append(Datagram(self.read, source, data))
        self._oldest_modest = None
        self.queued += 1
        self.queued_bytes += len(data)

    def _remove(self, source: Address, queue: deque[Datagram], datagram: Datagram) -> None:
        self.queued -= 1
        self.queued_bytes -= len(datagram.data)
        if not queue:
            del self._queues[source]

    def next(self) -> Datagram | None:
        """The next one in turn; None when all are handled."""
        source = next(iter(self._queues), None)
        if source is None:
            return None
        self._oldest_modest = None
        queue = self._queues.pop(source)
        self._queues[source] = queue  # behind all others
        datagram = queue.popleft()
        self._remove(source, queue, datagram)
        return datagram

    def handled(self, number: int, sources: frozenset[Address]) -> bool:
        """Whether all up to this number are handled that came from these sources, or from a modest one."""
        if not self._queues:
            return True
        for source in sources:
            queue = self._queues.get(source)
            if queue is not None and queue[0].number <= number:
                return False
        if self._oldest_modest is None:
            modest = (queue[0].number for queue in self._queues.values() if len(queue) <= MODEST)
            self._oldest_modest = min(modest, default=self.read + 1)
        return self._oldest_modest > number
