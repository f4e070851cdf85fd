#!/bin/sh
# Runs the case; TROUBLE=0 leaves out the disruption.  Exits with 1 if the rule
# was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/case-3 ] || exit 2
exec target/review/case-3 target/platform/cfd-entry review/3/record.txt
