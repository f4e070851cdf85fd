#!/bin/bash
# A test that runs the shell blocks of the given pages as printed, one shell
# for each page, with 127.0.0.1 replaced by an address of its own.
#   tests/page-commands.sh BUILD PAGE...
set -u
build=$(realpath "$1")
shift
cd "$(dirname "$0")/.." || exit 1
echo "1..$#"
number=0
for page in "$@"; do
  number=$((number + 1))
  id=$(($$ + number))
  address=127.$((220 + id / 250 % 30)).$((1 + id % 250)).1
  {
    echo 'set -euo pipefail'
    # shellcheck disable=SC2016  # awk's own
    awk '/^```sh$/ { on = 1; next } /^```$/ { on = 0 } on' "$page"
  } | sed -e "s/127\.0\.0\.1/$address/g" -e "s#\([ ./>]\)build/#\1$build/#g" \
    >"$build/page-commands"
  if TRY_ADDRESS=$address TRY_BUILD=$build \
    timeout 120 bash "$build/page-commands" >"$build/page-output" 2>&1; then
    echo "ok $number /pages/$(basename "$page")"
  else
    sed 's/^/# /' "$build/page-output"
    echo "not ok $number /pages/$(basename "$page")"
  fi
done
