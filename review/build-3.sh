#!/bin/sh
# Builds what the scripts of this review start beside the program: stand-ins in Python that need the standard library
# alone, so nothing is compiled. It is checked that the interpreter of the deploy file's build takes them.
cd "$(dirname "$0")/.." || exit 1
test -x .venv/bin/python || { echo "run the build of deploy/balancer.toml first"; exit 1; }
for file in review/standins-2/*.py review/1[1-6]/play.py; do
    test -e "$file" || continue
    .venv/bin/python -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file" || exit 1
done
