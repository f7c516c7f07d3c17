#!/bin/sh
# Installs the daemon's locked libraries and the package under target/deps.
set -eu
deps=target/deps
if [ ! -e "$deps/.locked" ] || [ deploy/requirements.lock -nt "$deps/.locked" ]; then
    rm -rf "$deps"
    python3 -m pip install -q --disable-pip-version-check --require-hashes \
        --target "$deps" -r deploy/requirements.lock
    touch "$deps/.locked"
fi
rm -rf "$deps/primrosesaddle"
cp -R src/primrosesaddle "$deps/primrosesaddle"
python3 -m compileall -q "$deps/primrosesaddle"
