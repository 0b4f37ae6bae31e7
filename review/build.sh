#!/bin/sh
# Builds the stand-ins of the cases: they are Python programs of the standard library alone.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins.py runner.py 1 2 3
