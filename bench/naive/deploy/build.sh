#!/bin/sh
# Installs the product's locked libraries and its package for the baseline.
set -eu
root=../..
deps=target/deps
if [ ! -e "$deps/.locked" ] || [ "$root/deploy/requirements.lock" -nt "$deps/.locked" ]; then
    rm -rf "$deps"
    python3 -m pip install -q --disable-pip-version-check --require-hashes \
        --target "$deps" -r "$root/deploy/requirements.lock"
    touch "$deps/.locked"
fi
rm -rf "$deps/primrosesaddle"
cp -R "$root/src/primrosesaddle" "$deps/primrosesaddle"
