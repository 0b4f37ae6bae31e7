#!/bin/sh
# Checks the stand-ins of the cases, Python programs of the standard library alone; there is nothing to
# compile, and no folder of compiled files is left behind.
set -eu
cd "$(dirname "$0")"
for file in standins.py runner.py */case.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
