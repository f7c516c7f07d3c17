#!/bin/sh
# Installs the daemon's locked libraries and the package under target/deps of the folder
# that it is called from.
set -eu
root=$(dirname "$0")/..
deps=target/deps
if [ ! -e "$deps/.locked" ] || [ "$root/deploy/requirements.lock" -nt "$deps/.locked" ]; then
    rm -rf "$deps"
    python3 -m pip install -q --disable-pip-version-check --require-hashes \
        --target "$deps" -r "$root/deploy/requirements.lock"
    touch "$deps/.locked"
fi
rm -rf "$deps/primrosesaddle"
cp -R "$root/src/primrosesaddle" "$deps/primrosesaddle"
python3 -m compileall -q "$deps/primrosesaddle"
