#!/bin/sh
# Checks that the documentation pages generated from tables in the code match the
# output of the program.
set -u
program=$1/cactuscross
cd "$(dirname "$0")/.." || exit 1
status=0

# Prints the part of the file $1 between the markers "<!-- $2 -->".
part() {
  sed -n "/^<!-- begin $2 -->\$/,/^<!-- end $2 -->\$/p" "$1" | sed '1d;$d'
}

"$program" check --errors-markdown | diff docs/ERRORS.md - || {
  echo "docs/ERRORS.md is out of date: replace it by the output of 'cactuscross check --errors-markdown'"
  status=1
}
part docs/OPERATIONS.md fields > "$1/fields.md"
"$program" check --fields-markdown | diff "$1/fields.md" - || {
  echo "docs/OPERATIONS.md is out of date: replace the part 'fields' by the output of 'cactuscross check --fields-markdown'"
  status=1
}
[ "$status" -eq 0 ] && echo "documentation pages match the code"
exit "$status"
