#!/bin/sh
# Compares the cases of the test program $1 with the other arguments, the cases
# that the build runs: a case that is not listed would never run, and so never
# fail.
set -eu
program=$1
shift
listed=$(printf '%s\n' "$@" | sort)
actual=$("$program" -l | grep '^/' | sort)
echo 1..1
if [ "$listed" = "$actual" ]; then
  echo "ok 1 /all-cases/$(basename "$program")"
else
  echo "not ok 1 /all-cases/$(basename "$program") - list it in meson.build"
  echo "the build runs: $listed; the program has: $actual" >&2
fi
