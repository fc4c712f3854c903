#!/bin/sh
# Runs the quick variant of the policy benchmark with two jobs and with one. Both
# runs must write identical files. No request may run twice, run although it was
# refused, or get the answer to another request.
set -u
bench=$1/bench/cactuscross_bench
first=$1/bench-quick-1
second=$1/bench-quick-2
mkdir -p "$first" "$second"
"$bench" --quick --jobs 2 --out "$first" > "$first/table.txt" || {
  cat "$first/table.txt"
  exit 1
}
"$bench" --quick --jobs 1 --out "$second" > "$second/table.txt" || exit 1
diff -r "$first" "$second" || {
  echo "two runs with the same seed differ"
  exit 1
}
echo "quick bench: no safety violation, both runs are identical"
