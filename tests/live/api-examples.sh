#!/usr/bin/env bash
# Runs every example of docs/API.md, in its order, against real processes: each
# must answer, and none with an error.
set -uo pipefail
cd "$(dirname "$0")/../.."
PORT_BASE=${PORT_BASE:-24000}
. scripts/lib/fleet.sh
trap stop_fleet EXIT

fail() {
  echo "FAILED: $*"
  exit 1
}

start_platform
start_targets 6 3
start_hosts 2 3
wait_for 20 hosts_alive 2 || fail "entry hosts do not start"
wait_for 20 ops audit || fail "the store is not reached"
ops apply --wait --who test "$RUN_DIR/inventory.json" \
  samples/poolchem/rules.json || fail "apply"
printf %s "$OPERATOR_KEY" >"$RUN_DIR/operator.key"
ops keys grant --team aldine-routes --who test >"$RUN_DIR/routes.key" ||
  fail "grant"
wait_for 20 hosts_ready 2 || fail "entry hosts do not get ready"
targets_usable() { ops status | grep -q '^targets: 6 usable'; }
wait_for 20 targets_usable || fail "targets are not usable"

# The page's blocks as one script, with the address of this fleet.
sed -n '/^```sh$/,/^```$/p' docs/API.md | sed '/^```/d' |
  sed -E -e "s#^export ENTRY=.*#export ENTRY=$(entry_http 0)#" \
    -e "s#cat (routes|operator)\.key#cat $RUN_DIR/\1.key#" \
    -e 's#^curl -sS #echo; curl -sS -m 20 #' >"$RUN_DIR/examples.sh"
bash -eu "$RUN_DIR/examples.sh" >"$RUN_DIR/answers" 2>&1
code=$?
cat "$RUN_DIR/answers"
[ "$code" -eq 0 ] || fail "an example ends with $code"
grep -q '"error"' "$RUN_DIR/answers" && fail "an example is answered by an error"
for part in '"phase":"done"' '"keys":' '"summary":' '"entries":' '"members":' \
  '"alive":true' buckthornmux_requests '"draining":true'; do
  grep -q "$part" "$RUN_DIR/answers" || fail "no answer has $part"
done
echo "every example is answered"
