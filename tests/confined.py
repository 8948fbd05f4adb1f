"""Starts the program with the system calls refused that its platform refuses: one such call ends it.

    python tests/confined.py        as `python -m mallowquay`
    python tests/confined.py CALL   only make that call: fork, exec, unix, splice, sendfile

Threads are allowed, other processes are not; clone3 hides its flags behind a pointer, so it is 'not there'
and the C library falls back to clone. The platform says ENOSYS where this kills with SIGSYS: a fallback
would hide a call.
"""

from __future__ import annotations

import errno
import os
import runpy
import socket
import sys

import pyseccomp

CLONE_THREAD = 0x00010000
REFUSED = (
    "fork", "vfork", "execve", "execveat", "splice", "vmsplice", "tee", "sendfile",
    "io_uring_setup", "io_uring_enter", "io_uring_register",
)  # fmt: skip


def confine() -> None:
    """Refuse them in this process and whatever it would start."""
    calls = pyseccomp.SyscallFilter(pyseccomp.ALLOW)
    for name in REFUSED:
        calls.add_rule(pyseccomp.KILL_PROCESS, name)
    thread = pyseccomp.Arg(0, pyseccomp.MASKED_EQ, CLONE_THREAD, 0)
    calls.add_rule(pyseccomp.KILL_PROCESS, "clone", thread)
    calls.add_rule(pyseccomp.ERRNO(errno.ENOSYS), "clone3")
    # A pair of sockets within the process is no way out of it: asyncio wakes its own loop by one.
    calls.add_rule(pyseccomp.KILL_PROCESS, "socket", pyseccomp.Arg(0, pyseccomp.EQ, socket.AF_UNIX))
    calls.load()


def make(call: str) -> None:
    """Make one of the refused calls."""
    if call == "fork":
        os.fork()
    elif call == "exec":
        os.execv(sys.executable, [sys.executable, "-c", ""])
    elif call == "unix":
        socket.socket(socket.AF_UNIX)
    else:
        source, sink = os.open(__file__, os.O_RDONLY), os.pipe()[1]
        os.splice(source, sink, 1) if call == "splice" else os.sendfile(sink, source, 0, 1)


if __name__ == "__main__":
    sys.path.insert(0, os.getcwd())
    confine()
    if len(sys.argv) > 1:
        make(sys.argv[1])
    else:
        sys.argv = ["mallowquay"]
        runpy.run_module("mallowquay", run_name="__main__")
