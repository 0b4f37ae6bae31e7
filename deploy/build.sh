#!/bin/sh
# Put what a router needs under target/deps: the pinned libraries and the project's own packages.
set -eu
deps=target/deps
if [ ! "$deps/.libraries" -nt deploy/requirements.txt ]; then
    rm -rf "$deps"
    python3 -m pip install --quiet --target "$deps" -r deploy/requirements.txt
    touch "$deps/.libraries"
fi
rm -rf "$deps/loomyard" "$deps/loomyard_router"
cp -R packages/loomyard/src/loomyard packages/loomyard-router/src/loomyard_router "$deps/"
python3 -m compileall -q "$deps/loomyard" "$deps/loomyard_router"
