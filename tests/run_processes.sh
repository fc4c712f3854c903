#!/bin/sh
# Tests failures of real processes under load. Argument: the build folder. Prints
# one line per scenario and then a summary.
set -eu
build=$1
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
exec python3 tests/processes/run.py "$build"
