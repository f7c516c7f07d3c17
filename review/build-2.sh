#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, which are plain Python files.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q standins-2
