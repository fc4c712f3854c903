#!/bin/bash
# Checks model/*.pml with spin. The unmodified models must hold. With one
# mechanism removed, the checker must find a counterexample. If the build folder
# has passing results for the same models and the same version of this script,
# these are printed and no model is checked.
set -u
build=$1
cd "$(dirname "$0")/.." || exit 1
work=$build/models
jobs=3             # max number of concurrent checkers
memory_mb=1200     # memory limit of one checker
limit_s=240        # time limit of one checker, long enough for a busy machine
key=$(cat model/*.pml tests/run_models.sh | cksum)
if [ "$(cat "$work/passed" 2> /dev/null)" = "$key" ]; then
  cat "$work/summary"
  exit 0
fi
rm -rf "$work"
mkdir -p "$work"

# Each line: expected result, model, preprocessor switches of the model.
runs="holds ticket -DTICKETS=2
holds ticket -DREQUESTS=1 -DTICKETS=4 -DRESTARTS=2
holds ticket -DTICKETS=3 -DAGENTS=1
holds ticket -DTICKETS=2 -DCARELESS_CALLER -DAGENTS=1 -DRESTARTS=0
fails ticket -DTICKETS=2 -DCARELESS_CALLER
fails ticket -DTICKETS=2 -DCARELESS_CALLER -DAGENTS=1 -DRESTARTS=0 -DNO_IDEMPOTENT_ISSUE
fails ticket -DTICKETS=2 -DNO_TICKET
fails ticket -DTICKETS=2 -DNO_INCARNATION_CHECK
fails ticket -DTICKETS=2 -DREISSUE_WHEN_LOST
fails ticket -DTICKETS=2 -DNO_OWNER_CHECK
fails ticket -DTICKETS=2 -DNO_BURN
fails ticket -DTICKETS=2 -DNO_BINDING
fails ticket -DTICKETS=2 -DNOT_RUN_WHEN_BROKEN
fails ticket -DTICKETS=2 -DRETRY_WHEN_BROKEN
fails ticket -DTICKETS=2 -DFORGET_EARLY
fails ticket -DTICKETS=2 -DNOT_RUN_WHEN_FORGOTTEN
holds dissemination
fails dissemination -DNO_VERSION_CHECK
fails dissemination -DNO_TOMBSTONE
fails dissemination -DCOUNT_STARTING_PEERS
fails dissemination -DNO_START_CHECK
fails dissemination -DSERVICE_SUFFICES
fails dissemination -DNO_WARM_UP
holds session -DTICKS=3 -DPAUSES=0
holds session -DTICKS=3 -DRESTARTS=0
fails session -DNO_EPOCH
fails session -DTICKS=0 -DGRANTS=5 -DPAUSES=0 -DRESTARTS=0 -DNO_OFFER_MEMORY
fails session -DOFFER_TO_ANOTHER
fails session -DNO_ACKNOWLEDGEMENT_LEASE
fails session -DRESTARTS=0 -DNO_WAKE_CHECK
fails session -DNO_WAKE_DISCARD
fails session -DOFFER_OUTLIVES_RESTART
fails session -DREGISTER_TWICE
holds opening
holds opening -DBALANCERS=2 -DKILLS=4
fails opening -DNO_COPY_CHECK
fails opening -DNO_FIRST_COPY
holds restore
holds restore -DBALANCERS=1 -DREPORTS=6 -DRESTORES=3
fails restore -DNO_ERA
fails restore -DNO_REPORT_CHECK
fails restore -DCONTINUE_WATCH"

check_model() {
  expected=$1
  model=$2
  shift 2
  name=$(echo "$model $*" | tr -c 'A-Za-z0-9\n' _)
  folder=$work/$name
  mkdir -p "$folder"
  cp "model/$model.pml" "$folder/"
  (cd "$folder" && spin "$@" -a "$model.pml" > spin.log 2>&1 &&
    gcc -w -O2 -DSAFETY -DVECTORSZ=2048 -DMEMLIM="$memory_mb" -o pan pan.c \
      > gcc.log 2>&1 &&
    timeout "$limit_s" ./pan -E -m100000 -w24 > pan.log 2>&1)
  log=$folder/pan.log
  states=$(sed -n 's/ *\([0-9.e+]*\) states, stored.*/\1/p' "$log" 2> /dev/null)
  errors=$(sed -n 's/.*errors: \([0-9]*\)/\1/p' "$log" 2> /dev/null)
  found=incomplete
  if grep -q 'assertion violated' "$log" && ! grep -q 'invalid array' "$log"; then
    found=fails
  elif [ "$errors" = 0 ] && ! grep -qE 'too small|MEMLIM|out of memory' "$log"; then
    found=holds
  fi
  verdict=ok
  [ "$found" = "$expected" ] || verdict=WRONG
  echo "$verdict: $model $* expected $expected, $found; $states states" \
    > "$folder/verdict"
  rm -f "$folder/pan" "$folder"/pan.?
}
export -f check_model
export work memory_mb limit_s

echo "$runs" | xargs -P "$jobs" -I{} bash -c 'check_model {}'
cat "$work"/*/verdict
ok=$(cat "$work"/*/verdict | grep -c '^ok')
expected_count=$(echo "$runs" | wc -l)
total=$(grep -h 'holds;' "$work"/*/verdict | awk '{sum += $(NF - 1)} END {print sum}')
echo "models: $ok of $expected_count as expected, $total states without a violation" |
  tee "$work/summary"
[ "$ok" -eq "$expected_count" ] || exit 1
echo "$key" > "$work/passed"
tail -n 1 "$work/summary"
