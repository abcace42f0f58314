#!/usr/bin/env bash
# Real entry hosts on a stand-in of the users' platform, where another writer
# leaves odd entries among those of the targets: no process ends by itself, every
# accepted job ends, no odd entry gets a call, and each host names it at most once.
set -uo pipefail
cd "$(dirname "$0")/../.."
PORT_BASE=${PORT_BASE:-25000}
. scripts/lib/fleet.sh
. scripts/lib/day.sh
trap stop_fleet EXIT
failed=0

# broken TEXT...: the play has failed.
broken() {
  echo "BROKEN $*"
  failed=1
}

# times_named KEY FILE: log lines of the file that name the entry as unreadable.
times_named() {
  grep 'event=target_entry_unreadable' "$2" | grep -cE " key=\"?$1\"?( |\$)"
}

# check_log: each unreadable entry is named, and at most once by each host.
check_log() {
  local key n times total
  while read -r key; do
    total=0
    for n in 1 2 3; do
      times=$(times_named "$key" "$RUN_DIR/host-$n.out")
      total=$((total + times))
      [ "$times" -le 1 ] || broken "host-$n names $key $times times"
    done
    [ "$total" -ge 1 ] || broken "no host names $key"
  done < <(sed -n 's/^odd_unreadable=//p' "$RUN_DIR/day.out")
}

# play NAME ARGUMENTS...: one day with three hosts; KILLED names the one ended by
# the play, by FAULT.
play() {
  local name=$1 n
  shift
  rm -f "$RUN_DIR"/host-*.out "$RUN_DIR/day.out"
  KILLED=
  for n in 1 2 3; do write_settings "$n"; done
  spawn day "$BUILD_DIR/standin" day --port-base "$PORT_BASE" --odd-entries \
    $(host_arguments 1 2 3) "$@"
  for n in 1 2 3; do start_host "$n"; done
  "${FAULT:-true}"
  wait "${PIDS[day]}"
  local code=$?
  unset "PIDS[day]"
  echo "$name: exit $code, $(grep -v '^odd_' "$RUN_DIR/day.out" | head -n 6 |
    tr '\n' ' ')"
  [ $code -eq 0 ] || failed=1
  for n in 1 2 3; do
    [ "$n" = "$KILLED" ] && continue
    kill -0 "${PIDS[host-$n]}" 2>/dev/null || broken "host-$n ended by itself"
    end_and_wait "host-$n" TERM || broken "host-$n ended with an error"
  done
  check_log
  stop_fleet
}

kill_owner() {
  sleep 4
  KILLED=$(owner_host)
  echo "killing host-$KILLED"
  end "host-$KILLED" KILL
}

play calm --seed 21
FAULT=kill_owner play owner_killed --seed 22
exit $failed
