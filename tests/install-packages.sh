#!/bin/sh
# Installs the Debian packages listed in the file $1 that are missing.
set -eu
missing=
for package in $(cat "$1"); do
  dpkg -s "$package" >/dev/null 2>&1 || missing="$missing $package"
done
[ -n "$missing" ] || exit 0
export DEBIAN_FRONTEND=noninteractive
apt-get update -q
# shellcheck disable=SC2086  # a list of package names
apt-get install -q -y --no-install-recommends $missing
