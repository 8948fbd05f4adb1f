"""Batch loop of the bench's adapter: one Controller per instance, nothing shared between them."""

from __future__ import annotations

import sys
from typing import BinaryIO

from .interface import Action
from .logic import Controller
from .wire import Codec, Start, Stop, WireError, read_frames, read_settings


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer every batch of `source` on `sink` until the input ends."""
    codec = Codec()
    controllers: dict[int, Controller] = {}
    for header, body in read_frames(source):
        batch = codec.decode(header, body)
        replies: list[tuple[int, Action | str]] = []
        for instance, event in batch.events:
            try:
                if isinstance(event, Start):
                    controllers.pop(instance, None)
                    controllers[instance] = Controller(read_settings(event.config), event.seed)
                elif isinstance(event, Stop):
                    controllers.pop(instance, None)
                elif instance in controllers:
                    actions = controllers[instance].handle(batch.now, event)
                    replies.extend((instance, action) for action in actions)
            except Exception as fault:  # any failure of the module is reported, never swallowed
                replies.append((instance, f"{type(fault).__name__}: {fault}"))
        sink.write(codec.encode(batch.number, replies))
        sink.flush()


def main() -> int:
    """Run on standard input and output; 1 and a plain line on standard error for a bad frame."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as fault:
        print(f"quincestand: {fault}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
