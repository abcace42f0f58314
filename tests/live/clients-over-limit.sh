#!/usr/bin/env bash
# A real entry host of 64 MB and clients that send more than its limits allow, on
# each of its ports: it stays within its memory, and serves ordinary callers after.
# Guards against input that accumulates in memory before a limit is compared.
set -uo pipefail
cd "$(dirname "$0")/../.."
PORT_BASE=${PORT_BASE:-26000}
. scripts/lib/fleet.sh
. scripts/lib/day.sh
trap stop_fleet EXIT
MEMORY_MB=64
BODY_BYTES=262144
HOST_BINARY=${HOST_BINARY:-$BUILD_DIR/buckthornmux}

spawn day "$BUILD_DIR/standin" day --port-base "$PORT_BASE" --rate 1 \
  --length-ms 300000 --max-body-bytes "$BODY_BYTES" $(host_arguments 1)
write_settings 1
echo "limits.memory_mb=$MEMORY_MB" >>"$RUN_DIR/host-1.conf"
base=$((DAY_HOST_PORT + 10))
python3 tests/live/clients_over_limit.py --binary "$HOST_BINARY" \
  --settings "$RUN_DIR/host-1.conf" --log "$RUN_DIR/host-1.out" \
  --memory-mb "$MEMORY_MB" --callers "127.0.0.1:$base" \
  --readiness "127.0.0.1:$((base + 1))" --metrics "$DAY_NETWORK.11:7434" \
  --peers "$DAY_NETWORK.11:$((base + 2))"
