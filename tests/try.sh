# A small fleet for interactive use.  Source this file in a shell at the
# repository's root after make:  . tests/try.sh
# Starts a stand-in platform and, in each of two zones, a stand-in engine, an
# agent and a router, and writes their records.  All processes end with the
# shell.  Addresses are on $TRY_ADDRESS (127.0.0.1), logs in build/try-*.log.
# shellcheck shell=sh
TRY_ADDRESS=${TRY_ADDRESS:-127.0.0.1}
TRY_BUILD=${TRY_BUILD:-$PWD/build}
export PATH="$TRY_BUILD/cli:$TRY_BUILD/tests:$PATH"
export CFD_PLATFORM="http://$TRY_ADDRESS:7000"
export CFD_SECRET="${CFD_SECRET:-an-example-secret-of-a-fleet-to-try}"
TRY_PIDS=
# shellcheck disable=SC2064,SC2154  # expands the ids at exit
trap 'kill $TRY_PIDS 2>/dev/null' EXIT
try_start() { # LOG COMMAND...
  try_log="$TRY_BUILD/try-$1.log"
  shift
  "$@" 2>"$try_log" &
  TRY_PIDS="$TRY_PIDS $!"
}
try_wait() {
  curl -fsS --retry 30 --retry-delay 1 --retry-all-errors -o /dev/null \
    "$1" 2>/dev/null
}
try_list=
for try_n in 1 2; do
  try_start "engine-$try_n" standin-engine --listen "$TRY_ADDRESS:900$try_n"
  try_start "agent-$try_n" cfd-agent --instance "agent-$try_n" \
    --zone "bangkok-$try_n" --endpoint "engine-$try_n" \
    --peer-listen "$TRY_ADDRESS:741$try_n" \
    --admin-listen "$TRY_ADDRESS:751$try_n"
  try_start "router-$try_n" cfd-router --instance "router-$try_n" \
    --zone "bangkok-$try_n" --listen "$TRY_ADDRESS:808$try_n" \
    --peer-listen "$TRY_ADDRESS:740$try_n" \
    --admin-listen "$TRY_ADDRESS:750$try_n"
  for try_role in router:0 agent:1; do
    try_list="$try_list{\"name\":\"${try_role%:*}-$try_n\",
      \"role\":\"${try_role%:*}\",\"zone\":\"bangkok-$try_n\",
      \"address\":\"$TRY_ADDRESS:74${try_role#*:}$try_n\",
      \"admin\":\"$TRY_ADDRESS:75${try_role#*:}$try_n\",\"state\":\"live\"},"
  done
done
try_start platform standin-platform --listen "$TRY_ADDRESS:7000"
try_wait "$CFD_PLATFORM/v1/instances"
curl -fsS -o /dev/null -X PUT -d "[${try_list%,}]" \
  "$CFD_PLATFORM/control/instances"
{
  cfdctl create service draft type=model rules=[] classes='["full-shift"]'
  for try_n in 1 2; do
    cfdctl create availability-zone "bangkok-$try_n" state=in region=th
    cfdctl create endpoint "engine-$try_n" service=draft state=in \
      zone="bangkok-$try_n" url="http://$TRY_ADDRESS:900$try_n" \
      slots.max=8 slots.cold=1
  done
  cfdctl create client-account mill weight=2 queue_max=100 \
    keys="[{\"hash\":\"$(echo key-of-the-mill | cfdctl key-hash)\"}]"
} >/dev/null
for try_n in 1 2; do
  try_wait "http://$TRY_ADDRESS:750$try_n/readyz"
  try_wait "http://$TRY_ADDRESS:751$try_n/readyz"
done
