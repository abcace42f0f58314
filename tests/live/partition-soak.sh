#!/usr/bin/env bash
# Real entry hosts behind proxies that delay, reset, hold back and cut connections,
# with a store that is silent meanwhile. The verdict comes from what callers were
# told and what targets ran.
#   tests/live/partition-soak.sh [SEEDS] [FIRST_SEED]
# One seed by default. KEEP=FOLDER keeps the logs of a seed that fails.
set -uo pipefail
cd "$(dirname "$0")/../.."
seeds=${1:-1}
first=${2:-1}
failed=0
for ((seed = first; seed < first + seeds; ++seed)); do
  python3 tests/live/partition_soak.py "${BUILD_DIR:-target/build}/buckthornmux" \
    "$seed" "${ROUNDS:-3}" || failed=1
done
exit $failed
