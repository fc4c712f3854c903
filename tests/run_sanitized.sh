#!/bin/sh
# Builds the core of the flow path and its simulations with address and undefined
# behavior sanitizers and runs the suites on gossip, eras, fleets and congestion.
# `make sanitize` runs all tests in this way, which takes longer.
set -eu
build=$1
cd "$(dirname "$0")/.."
folder=$build/sanitized
mkdir -p "$folder"
sources="tests/test_main.cc tests/flow/test_view_gossip.cc
  tests/flow/test_store_eras.cc tests/flow/test_flow_fleet.cc
  tests/flow/test_flow_congestion_control.cc tests/flow/test_flow_faults.cc
  tests/flow/flow_cores.cc tests/flow/test_foreign_entries.cc
  tests/flow/test_flow_identity.cc tests/flow/test_opening_eligibility.cc
  $(ls tests/support/flow_simulation*.cc) tests/support/link.cc
  $(find src/core/flow -name '*.cc') src/core/common/metric_set.cc
  src/core/types.cc src/wire/flow_codec.cc src/wire/flow.pb.cc
  src/config/value_parser.cc platform/entry_decoder.cc"
launcher=$(command -v ccache || true)
for source in $sources; do
  echo "$source $folder/$(echo "$source" | tr / _).o"
done > "$folder/objects"
xargs -P "${JOBS:-$(nproc)}" -n 2 sh -c "$launcher clang++ -std=c++17 -O1 -g -I. \
  -Iinclude -fsanitize=address,undefined -fno-sanitize-recover=undefined \
  -c \"\$0\" -o \"\$1\"" < "$folder/objects"
# shellcheck disable=SC2046
clang++ -fsanitize=address,undefined $(cut -d' ' -f2 "$folder/objects") \
  -o "$folder/tests" -lcppunit -lxxhash -lprotobuf-lite
"$folder/tests" --quiet
