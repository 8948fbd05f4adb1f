#!/bin/sh
# Prepares the stand-ins of cases 6 to 10. They are Python and need what the deploy file's build has put into
# .venv, nothing more: each is compiled once, so that a fault shows here and not in a play.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/.." || exit 2
[ -x .venv/bin/python ] || { echo "build-2: run the build of the deploy file first"; exit 2; }
for file in review/parts/*.py review/[0-9]*/case.py; do
  .venv/bin/python - "$file" <<'PY' || exit 2
import sys
compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")
PY
done
echo "build-2: the stand-ins are ready"
