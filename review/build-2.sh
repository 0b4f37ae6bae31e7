#!/bin/sh
# Build every stand-in that the scripts of cases 4 to 8 start: tasks of the scripts themselves, in
# Python's standard library alone, so that compiling them is all there is. No network is needed.
set -eu
cd "$(dirname "$0")"
for one in fleet_2.py [4-8]/run.py; do
    python3 - "$one" <<'PY'
import ast, pathlib, sys
ast.parse(pathlib.Path(sys.argv[1]).read_text(encoding="utf-8"), sys.argv[1])
PY
done
