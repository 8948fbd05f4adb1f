#!/bin/sh
# The stand-ins are plain Python of the standard library, run by the environment that the deploy file's `build` leaves:
# they are compiled here, so that a fault in them shows before a case runs.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review/standins review/[0-9]/case.py
