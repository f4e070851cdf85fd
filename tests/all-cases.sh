#!/bin/sh
# Compares the cases of the test program $1 with those that the build runs, the
# other arguments: a case that is not listed would be green by never running.
set -eu
program=$1
shift
run=$(printf '%s\n' "$@" | sort)
has=$("$program" -l | grep '^/' | sort)
echo 1..1
if [ "$run" = "$has" ]; then
  echo "ok 1 /all-cases/$(basename "$program")"
else
  echo "not ok 1 /all-cases/$(basename "$program") - list it in meson.build"
  echo "the build runs: $run; the program has: $has" >&2
fi
