"""Start of the program: `python -m mallowquay`. Without arguments it serves, and loads nothing but that."""

from __future__ import annotations

import signal
import sys


def main() -> int:
    """The exit code: 0 ended as asked, 1 failed, 2 a file or an option that cannot be used."""
    # Before anything is loaded: SIGHUP would end the process, and the file that it tells of is read later.
    hang_up = signal.signal(signal.SIGHUP, signal.SIG_IGN)
    if len(sys.argv) > 1:
        from .cli import program  # the command line is for people: the run line does not pay for it

        return program(sys.argv[1:], hang_up)
    from . import logs, service

    logs.configure()
    return service.run([])


if __name__ == "__main__":
    sys.exit(main())
