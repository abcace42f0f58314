#!/usr/bin/env bash
# Real entry hosts whose owner of the cell is killed, paused or told to leave, each
# time 0.3 to 3 s after it has gained the cell, beside a load whose callers keep their
# connections. The verdict comes from what callers and targets saw.
#   tests/live/owner-chain-soak.sh [SEEDS] [FIRST_SEED]
# One seed by default. The logs of a seed that fails are kept.
set -uo pipefail
cd "$(dirname "$0")/../.."
PORT_BASE=${PORT_BASE:-28000}
. scripts/lib/fleet.sh
. scripts/lib/day.sh
trap stop_fleet EXIT
seeds=${1:-1}
first=${2:-1}
HOSTS=${HOSTS:-5}
LENGTH_MS=${LENGTH_MS:-18000}
failed=0

# pick N: a number below N from the seeded sequence, in PICKED.
pick() { PICKED=$((RANDOM % $1)); }

# claims: how often hosts of this day have gained the cell.
claims() { cat "$RUN_DIR"/host-*.out | grep -c 'event=range_gained'; }

# await_claim COUNT: waits until the cell was gained more than COUNT times, 10 s at most.
await_claim() {
  local try
  for ((try = 0; try < 100; ++try)); do
    [ "$(claims)" -gt "$1" ] && return 0
    sleep 0.1
  done
  return 1
}

# replace HOST: ends or pauses the owner; it is back a little later. CLAIMED is false if
# the owner may keep the cell, since the pause was short.
replace() {
  local host=$1
  CLAIMED=true
  pick 4
  case $PICKED in
    0 | 1)
      end_and_wait "host-$host" KILL
      pick 10
      sleep "0.$PICKED"
      start_host "$host"
      ;;
    2)
      end "host-$host" STOP
      pick 25
      sleep "$((PICKED / 10)).$((PICKED % 10))"
      end "host-$host" CONT
      CLAIMED=false
      ;;
    3)
      end "host-$host" TERM
      wait "${PIDS[host-$host]}" || { echo "host-$host left with an error"; failed=1; }
      start_host "$host"
      ;;
  esac
}

# play SEED: one day.
play() {
  local seed=$1 n owner known replaced=0 until code
  RANDOM=$seed
  rm -f "$RUN_DIR"/*.out
  for ((n = 1; n <= HOSTS; ++n)); do write_settings "$n"; done
  spawn day "$BUILD_DIR/standin" day --port-base "$PORT_BASE" --seed "$seed" \
    --rate 12 --length-ms "$LENGTH_MS" --answers-lost 0.05 \
    $(host_arguments $(seq 1 "$HOSTS"))
  for ((n = 1; n <= HOSTS; ++n)); do start_host "$n"; done
  known=0
  CLAIMED=true
  until=$((SECONDS + LENGTH_MS / 1000))
  while [ "$SECONDS" -lt "$until" ]; do
    if $CLAIMED && ! await_claim "$known"; then
      echo "no owner after $known claims"
      failed=1
      break
    fi
    known=$(claims)
    owner=$(owner_host)
    pick 28
    sleep "$(((PICKED + 3) / 10)).$(((PICKED + 3) % 10))"
    replace "$owner"
    replaced=$((replaced + 1))
  done
  wait "${PIDS[day]}"
  code=$?
  unset "PIDS[day]"
  echo "seed=$seed replaced=$replaced exit=$code $(tail -n 5 "$RUN_DIR/day.out" | tr '\n' ' ')"
  [ $code -eq 0 ] || failed=1
  for ((n = 1; n <= HOSTS; ++n)); do
    end_and_wait "host-$n" TERM || { echo "host-$n ended with an error"; failed=1; }
  done
  stop_fleet
}

for ((seed = first; seed < first + seeds; ++seed)); do
  before=$failed
  failed=0
  play "$seed"
  if [ $failed -ne 0 ]; then
    kept=$BUILD_DIR/owner-chain-soak-$seed
    rm -rf "$kept"
    cp -r "$RUN_DIR" "$kept"
    echo "FAULT seed=$seed, logs in $kept"
  fi
  failed=$((failed | before))
done
exit $failed
