#!/bin/sh
# Put what a router needs under target/deps: the pinned libraries and the project's own packages.
set -eu
deps=target/deps
# Libraries with compiled parts serve one kind of processor and version of Python.
platform="$(uname -m) $(python3 -V)"
built="$(cat "$deps/.libraries" 2>/dev/null || true)"
if [ "$built" != "$platform" ] || [ ! "$deps/.libraries" -nt deploy/requirements.txt ]; then
    rm -rf "$deps"
    python3 -m pip install --quiet --target "$deps" -r deploy/requirements.txt
    # gevent searches the metadata of all packages for plug-ins at each of its nineteen patches: a sixth
    # of the processor time of a start (0.425 to 0.352 s on a busy machine), and there are no plug-ins.
    rm -rf "$deps"/*.dist-info
    printf '%s' "$platform" > "$deps/.libraries"
fi
rm -rf "$deps/loomyard" "$deps/loomyard_router"
cp -R packages/loomyard/src/loomyard packages/loomyard-router/src/loomyard_router "$deps/"
python3 -m compileall -q "$deps/loomyard" "$deps/loomyard_router"
