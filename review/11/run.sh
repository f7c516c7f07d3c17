#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
here=$(cd "$(dirname "$0")" && pwd)
PYTHONPATH="$here/../standins-3" exec python3 "$here/play.py" "$here"
