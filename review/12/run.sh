#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 plays the same without the disruption.
set -m # The case and all that it starts are one process group.
cd "$(dirname "$0")" || exit 2
TMPDIR=$(mktemp -d) || exit 2
export TMPDIR
timeout -k 3 112 python3 -B case.py &
group=$!
stop() {
  trap - EXIT TERM INT HUP
  kill -TERM "$group" 2>/dev/null
  for _ in $(seq 30); do
    kill -0 "$group" 2>/dev/null || break
    sleep 0.1
  done
  kill -KILL -- "-$group" 2>/dev/null
  wait 2>/dev/null
  rm -rf "$TMPDIR"
}
trap stop EXIT
trap 'stop; exit 2' TERM INT HUP
wait "$group"
code=$?
stop
# An interpreter that fails ends with 1, so that the case has codes of its own.
case $code in
10) exit 0 ;;
11) exit 1 ;;
*) exit 2 ;;
esac
