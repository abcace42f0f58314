#!/usr/bin/env bash
# Real entry hosts under random signals, in series that overlap, on a stand-in of
# the users' platform whose store is away or loses answers meanwhile. The verdict
# comes from what callers and targets saw; callers keep their connections open.
#   tests/live/process-soak.sh [SEEDS] [FIRST_SEED]
# Two seeds by default, a minute in all. The logs of a seed that fails are kept.
set -uo pipefail
cd "$(dirname "$0")/../.."
PORT_BASE=${PORT_BASE:-26000}
. scripts/lib/fleet.sh
. scripts/lib/day.sh
trap stop_fleet EXIT
seeds=${1:-2}
first=${2:-1}
HOSTS=${HOSTS:-5}
LENGTH_MS=${LENGTH_MS:-18000}
# Seconds that a host has after SIGTERM, as on the users' platform.
GRACE_S=6
STEP_MS=100
failed=0

declare -A state due

# pick N: a number below N from the seeded sequence, in PICKED.
pick() { PICKED=$((RANDOM % $1)); }

# fault N STEP: does something to host N, which is up.
fault() {
  local host=$1 step=$2
  pick 10
  case $PICKED in
    0 | 1 | 2)
      end_and_wait "host-$host" KILL
      pick 12
      state[$host]=down due[$host]=$((step + 1 + PICKED))
      echo "step=$step host=$host fault=kill" >>"$RUN_DIR/faults"
      ;;
    3 | 4 | 5)
      end "host-$host" STOP
      pick 30
      state[$host]=stopped due[$host]=$((step + 1 + PICKED))
      echo "step=$step host=$host fault=stop steps=$((PICKED + 1))" >>"$RUN_DIR/faults"
      ;;
    6 | 7)
      end "host-$host" TERM
      state[$host]=leaving due[$host]=$((step + GRACE_S * 1000 / STEP_MS))
      echo "step=$step host=$host fault=term" >>"$RUN_DIR/faults"
      ;;
    *)
      end "host-$host" HUP
      end "host-$host" HUP
      echo "step=$step host=$host fault=hup" >>"$RUN_DIR/faults"
      ;;
  esac
}

# restart N STEP: starts host N. A process that is only being loaded has no signal
# handlers yet: it is left alone for three steps.
restart() {
  start_host "$1"
  state[$1]=starting due[$1]=$(($2 + 3))
}

# advance N STEP: ends what is due at host N; a host that left starts again.
advance() {
  local host=$1 step=$2
  case ${state[$host]} in
    down)
      [ "$step" -lt "${due[$host]}" ] && return
      restart "$host" "$step"
      ;;
    starting)
      [ "$step" -lt "${due[$host]}" ] || state[$host]=up
      ;;
    stopped)
      [ "$step" -lt "${due[$host]}" ] && return
      end "host-$host" CONT
      state[$host]=up
      ;;
    leaving)
      if ! kill -0 "${PIDS[host-$host]}" 2>/dev/null; then
        wait "${PIDS[host-$host]}" || { echo "host-$host left with an error"; failed=1; }
        restart "$host" "$step"
      elif [ "$step" -ge "${due[$host]}" ]; then
        echo "host-$host did not end in time after SIGTERM"
        failed=1
        end_and_wait "host-$host" KILL
        restart "$host" "$step"
      fi
      ;;
  esac
}

# play SEED: one day.
play() {
  local seed=$1 n step steps=$((LENGTH_MS / STEP_MS)) code
  RANDOM=$seed
  rm -f "$RUN_DIR"/*.out "$RUN_DIR/faults"
  pick 8000
  local away_at=$((2000 + PICKED))
  pick 3000
  local away_for=$((500 + PICKED))
  pick 6000
  local loses_at=$((1000 + PICKED))
  for ((n = 1; n <= HOSTS; ++n)); do write_settings "$n"; done
  spawn day "$BUILD_DIR/standin" day --port-base "$PORT_BASE" --seed "$seed" \
    --rate 12 --length-ms "$LENGTH_MS" --answers-lost 0.05 \
    --store-away-at-ms "$away_at" --store-away-for-ms "$away_for" \
    --store-loses-at-ms "$loses_at" --store-loses-for-ms 5000 \
    $(host_arguments $(seq 1 "$HOSTS"))
  for ((n = 1; n <= HOSTS; ++n)); do
    start_host "$n"
    state[$n]=up
  done
  for ((step = 10; step < steps; ++step)); do
    sleep 0.1
    for ((n = 1; n <= HOSTS; ++n)); do advance "$n" "$step"; done
    pick 6
    [ "$PICKED" -eq 0 ] || continue
    pick "$HOSTS"
    n=$((PICKED + 1))
    [ "${state[$n]}" = up ] && fault "$n" "$step"
  done
  # What still stands is undone, so that all hosts are there for the end.
  for ((; step < steps + GRACE_S * 1000 / STEP_MS + 10; ++step)); do
    for ((n = 1; n <= HOSTS; ++n)); do advance "$n" "$step"; done
    [[ " ${state[*]} " =~ \ (down|stopped|leaving|starting)\  ]] || break
    sleep 0.1
  done
  wait "${PIDS[day]}"
  code=$?
  unset "PIDS[day]"
  echo "seed=$seed faults=$(wc -l <"$RUN_DIR/faults") exit=$code $(tail -n 5 "$RUN_DIR/day.out" | tr '\n' ' ')"
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
    kept=$BUILD_DIR/process-soak-$seed
    rm -rf "$kept"
    cp -r "$RUN_DIR" "$kept"
    echo "FAULT seed=$seed, logs in $kept"
  fi
  failed=$((failed | before))
done
exit $failed
