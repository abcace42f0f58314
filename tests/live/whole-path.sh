#!/usr/bin/env bash
# The whole path with real processes: a fault-free load, then one with an entry
# host killed; the verdict comes from the targets' and callers' own logs.
set -uo pipefail
cd "$(dirname "$0")/../.."
PORT_BASE=${PORT_BASE:-27000} HOSTS=3 TARGETS=9 RATE=30 LOAD_SECONDS=14 \
  exec scripts/faults none kill_one
