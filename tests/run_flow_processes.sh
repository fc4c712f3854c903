#!/bin/sh
# Tests the flow path as real processes on loopback addresses, with stand-ins of
# the platform. Argument: the build folder. FLOW_SEED sets the seed.
set -eu
build=$(realpath "$1")
cd "$(dirname "$0")/flow_processes"
exec python3 -B run.py "$build" --seed "${FLOW_SEED:-1}"
