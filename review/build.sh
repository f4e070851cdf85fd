#!/bin/sh
# Builds the cases' programs and the stand-ins that they contain into
# target/review/.  To be run after the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
[ -f target/build.ninja ] || {
  echo "target/ is missing: run the build of deploy/system.toml first" >&2
  exit 2
}
ninja -C target libcoltsfootdrum.a >/dev/null
mkdir -p target/review
flags=$(pkg-config --cflags --libs glib-2.0 json-glib-1.0 msgpack \
  libmicrohttpd libcurl libxxhash libsodium)
for case in 1 2 3; do
  [ -f "review/$case/case.c" ] || continue
  # shellcheck disable=SC2086  # a list of flags
  cc -std=gnu11 -O1 -g -Wall -D_GNU_SOURCE -Ilibcoltsfootdrum \
    -o "target/review/case-$case" "review/$case/case.c" \
    review/common/stage.c platform/test-standin-store.c \
    target/libcoltsfootdrum.a $flags -lev -lhttp_parser -lm
done
echo "review: built"
