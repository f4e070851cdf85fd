#!/bin/sh
# Prints docs/SETTINGS.md from the programs' tables of settings.  With --check,
# a test that compares the output with the given page.
#   tests/settings-page.sh BUILD >docs/SETTINGS.md
#   tests/settings-page.sh BUILD --check docs/SETTINGS.md
set -eu
build=$1
page() {
  cat <<'END'
# Settings

Printed by `tests/settings-page.sh build >docs/SETTINGS.md` from the table that
also checks the settings; a test compares them. A flag goes before its
environment variable, the variable before the default. A bad value is refused at
the start with the remedy; `--check` checks all and exits.

## cfd-router

END
  "$build/cli/cfd-router" --help-settings
  printf '\n## cfd-agent\n\n'
  "$build/cli/cfd-agent" --help-settings
}
if [ "${2:-}" != --check ]; then
  page
  exit
fi
echo 1..1
if page | diff "$3" - >&2; then
  echo "ok 1 /pages/settings"
else
  echo "not ok 1 /pages/settings - run tests/settings-page.sh"
fi
