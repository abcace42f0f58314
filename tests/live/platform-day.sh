#!/usr/bin/env bash
# Real entry hosts on a stand-in of the users' platform: a calm load, then one in
# which the cell's owner is killed and one in which the store is away. The verdict
# comes from what callers and targets saw.
set -uo pipefail
cd "$(dirname "$0")/../.."
PORT_BASE=${PORT_BASE:-24000}
. scripts/lib/fleet.sh
. scripts/lib/day.sh
trap stop_fleet EXIT
failed=0

# play NAME ARGUMENTS...: one day with three hosts; FAULT runs beside it.
play() {
  local name=$1
  shift
  rm -f "$RUN_DIR"/host-*.out
  for n in 1 2 3; do write_settings "$n"; done
  spawn day "$BUILD_DIR/standin" day --port-base "$PORT_BASE" \
    $(host_arguments 1 2 3) "$@"
  for n in 1 2 3; do start_host "$n"; done
  "${FAULT:-true}"
  wait "${PIDS[day]}"
  local code=$?
  unset "PIDS[day]"
  echo "$name: exit $code, $(tail -n 5 "$RUN_DIR/day.out" | tr '\n' ' ')"
  [ $code -eq 0 ] || failed=1
  for n in 1 2 3; do
    end_and_wait "host-$n" TERM || [ "$name" = owner_killed ] ||
      { echo "host-$n ended with an error"; failed=1; }
  done
  stop_fleet
  rm -f "$RUN_DIR/day.out"
}

kill_owner() {
  sleep 4
  local owner
  owner=$(owner_host)
  echo "killing host-$owner"
  end "host-$owner" KILL
}

play calm --seed 11
FAULT=kill_owner play owner_killed --seed 12 --answers-lost 0.05
play store_away --seed 13 --store-away-at-ms 3000 --store-away-for-ms 3000
exit $failed
