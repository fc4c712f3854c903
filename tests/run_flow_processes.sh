#!/bin/sh
# The flow path as real processes on loopback, against stand-ins of the platform.
set -eu
build=$(realpath "$1")
cd "$(dirname "$0")/flow_processes"
exec python3 -B run.py "$build" --seed "${FLOW_SEED:-1}"
