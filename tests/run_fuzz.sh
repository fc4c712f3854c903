#!/bin/sh
# Builds the decoders with clang's libFuzzer, address and undefined behavior
# sanitizers and runs them with a fixed seed and number of inputs. FUZZ_RUNS and
# FUZZ_SEED override these.
set -eu
build=$1
runs=${FUZZ_RUNS:-200000}
seed=${FUZZ_SEED:-20260101}
cd "$(dirname "$0")/.."
folder=$build/fuzz
mkdir -p "$folder/corpus"
flags="-std=c++17 -O1 -g -I. -Iinclude $(pkg-config --cflags libcoap-3-notls protobuf-lite libpistache)"
launcher=$(command -v ccache || true)
objects=""
for source in tests/fuzz/fuzz_decoders.cc src/wire/*.cc src/core/types.cc \
  src/core/flow/common/flow_types.cc src/config/value_parser.cc \
  platform/packet_codec.cc platform/entry_decoder.cc src/shell/http_response_parser.cc; do
  object=$folder/$(echo "$source" | tr / _).o
  case $source in *.pb.cc) warnings=-w ;; *) warnings= ;; esac
  # shellcheck disable=SC2086
  $launcher clang++ $flags $warnings -fsanitize=fuzzer-no-link,address,undefined \
    -fno-sanitize-recover=undefined -c "$source" -o "$object"
  objects="$objects $object"
done
# shellcheck disable=SC2046,SC2086
clang++ -fsanitize=fuzzer,address,undefined $objects -o "$folder/fuzz_decoders" \
  $(pkg-config --libs libcoap-3-notls protobuf-lite libxxhash)
rm -rf "$folder/corpus"
mkdir -p "$folder/corpus"
"$folder/fuzz_decoders" -seed="$seed" -runs="$runs" -max_len=1500 -rss_limit_mb=2048 \
  -artifact_prefix="$folder/" "$folder/corpus"
echo "fuzz: $runs inputs, seed $seed, no crash"
