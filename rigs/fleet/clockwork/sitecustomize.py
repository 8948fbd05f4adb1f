"""A wall clock that is ahead, behind, or steps: loaded by the processes that the rig starts, and by
nobody else.

The file that RIG_CLOCK names holds milliseconds, which every reading of the wall clock has added.
Monotonic clocks stay.
"""

import os
import time

_file = os.environ.get("RIG_CLOCK", "")
if _file:
    _real, _monotonic = time.time_ns, time.monotonic
    _state = [0.0, 0]  # when it was read last, nanoseconds

    def _time_ns() -> int:
        now = _monotonic()
        if now - _state[0] > 0.05:
            _state[0] = now
            try:
                with open(_file, encoding="ascii") as file:
                    _state[1] = int(file.read() or 0) * 1_000_000
            except (OSError, ValueError):
                pass
        return _real() + int(_state[1])

    time.time_ns = _time_ns
    time.time = lambda: _time_ns() / 1e9
