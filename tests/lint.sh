#!/bin/sh
# Checks the format of all C files and runs the linters on them; $1 is a
# configured build folder.
set -eu
files=$(git ls-files --cached --others --exclude-standard '*.c' '*.h')
sources=$(git ls-files --cached --others --exclude-standard '*.c')
[ -n "$files" ] || exit 0
# shellcheck disable=SC2086  # lists of file names without spaces
clang-format --dry-run -Werror $files
# shellcheck disable=SC2086
cppcheck --quiet --error-exitcode=1 --inline-suppr --std=c11 --library=gtk \
  --enable=warning,performance,portability --suppress=missingIncludeSystem \
  --suppress=unknownMacro --suppress=preprocessorErrorDirective \
  -j "$(nproc)" -I libcoltsfootdrum $sources
# clang-tidy checks a file once for each command that compiles it.  Of commands
# that differ in the names of their outputs alone, one is enough: the fixtures
# of tests are compiled for up to 21 programs.
mkdir -p "$1/lint"
python3 - "$1/compile_commands.json" "$1/lint/compile_commands.json" <<'PY'
import json, shlex, sys
OUTPUTS = ("-o", "-MF", "-MQ")
seen = set()
kept = []
for entry in json.load(open(sys.argv[1])):
    words = shlex.split(entry["command"])
    # A target's own folder has only its outputs.
    flags = [word for before, word in zip([""] + words, words)
             if word not in OUTPUTS and before not in OUTPUTS
             and not (word.startswith("-I") and word.endswith(".p"))]
    key = (entry["directory"], entry["file"], tuple(flags))
    if key not in seen:
        seen.add(key)
        kept.append(entry)
json.dump(kept, open(sys.argv[2], "w"))
PY
# The largest files first, so that no processor waits at the end.
# shellcheck disable=SC2086
ls -S $sources |
  xargs -r -P "$(nproc)" -n 1 clang-tidy -p "$1/lint" --quiet 2>/dev/null
echo "lint: clean"
