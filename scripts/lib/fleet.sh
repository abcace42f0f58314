# Starts and stops a fleet on loopback: stand-ins of the platform, targets,
# entry hosts. Sourced by scripts/quickstart, scripts/faults and tests/live.
# Every process is started here and ended here, by its id.

BUILD_DIR=${BUILD_DIR:-target/build}
PORT_BASE=${PORT_BASE:-21000}
KV_PORT=$PORT_BASE
LIST_PORT=$((PORT_BASE + 1))
BALANCER_PORT=$((PORT_BASE + 2))
HTTP_PORT=$((PORT_BASE + 100))
PEER_PORT=$((PORT_BASE + 200))
TARGET_PORT=$((PORT_BASE + 300))
RUN_DIR=${RUN_DIR:-$(mktemp -d)}
OPERATOR_KEY=ops.local
declare -A PIDS

port_address() { echo "127.0.0.1:$1"; }
entry_http() { port_address $((HTTP_PORT + $1)); }

# spawn NAME COMMAND...: starts a process, keeps its id and its output.
spawn() {
  local name=$1
  shift
  "$@" >>"$RUN_DIR/$name.out" 2>&1 &
  PIDS[$name]=$!
}

# end NAME SIGNAL: signals one process of ours.
end() {
  [ -n "${PIDS[$1]:-}" ] && kill "-${2:-TERM}" "${PIDS[$1]}" 2>/dev/null
}

# end_and_wait NAME SIGNAL: signals and reaps; returns the exit code.
end_and_wait() {
  end "$1" "$2"
  wait "${PIDS[$1]}" 2>/dev/null
  local code=$?
  unset "PIDS[$1]"
  return $code
}

stop_fleet() {
  local name
  for name in "${!PIDS[@]}"; do
    end "$name" CONT
    end "$name" KILL
  done
  wait 2>/dev/null
  PIDS=()
}

# wait_for SECONDS COMMAND...: until the command succeeds.
wait_for() {
  local until=$((SECONDS + $1))
  shift
  while ! "$@" >/dev/null 2>&1; do
    [ $SECONDS -lt $until ] || return 1
    sleep 0.05
  done
}

http_ok() { curl -fsS -m 2 "http://$1$2" >/dev/null 2>&1; }

start_platform() {
  spawn kv "$BUILD_DIR/standin" kv --listen "$(port_address $KV_PORT)"
  spawn hosts "$BUILD_DIR/standin" hosts --listen "$(port_address $LIST_PORT)"
}

# start_targets COUNT DATA_CENTRES [FLAGS...]: writes inventory.json too.
start_targets() {
  local count=$1 centres=$2
  shift 2
  mkdir -p "$RUN_DIR/targets"
  local rows="" index centre
  for ((index = 0; index < count; ++index)); do
    centre=$((index % centres + 1))
    spawn "target-$index" "$BUILD_DIR/standin" target \
      --listen "$(port_address $((TARGET_PORT + index)))" --id "t$index" \
      --slots 8 --connections 64 --log "$RUN_DIR/targets/t$index.log" "$@"
    rows+="${rows:+,}{\"id\":\"t$index\",\"address\":\"$(port_address $((TARGET_PORT + index)))\","
    rows+="\"data_centre\":\"dc$centre\",\"rack\":\"dc$centre-r$((index / centres / 8 + 1))\","
    rows+="\"host\":\"h$index\",\"slots\":8,\"cpu_milli\":16000,\"memory_mb\":32000,"
    rows+="\"accelerators\":0,\"connections\":64,\"labels\":[]}"
  done
  echo "{\"targets\":[$rows]}" >"$RUN_DIR/inventory.json"
}

write_settings() {
  local index=$1 centre=$2
  local hash
  hash=$(printf %s "$OPERATOR_KEY" | sha256sum | cut -d' ' -f1)
  cat >"$RUN_DIR/host-$index.json" <<JSON
{"host_id": "host-$index", "data_centre": "$centre",
 "http_address": "$(entry_http "$index")",
 "peer_address": "$(port_address $((PEER_PORT + index)))",
 "store_addresses": ["$(port_address $KV_PORT)"],
 "host_list_address": "$(port_address $LIST_PORT)",
 "operator_key_sha256": "$hash",
 "drain_wait_ms": ${DRAIN_WAIT_MS:-500}${EXTRA_SETTINGS:-}}
JSON
}

# start_host INDEX DATA_CENTRE
start_host() {
  write_settings "$1" "$2"
  spawn "host-$1" "$BUILD_DIR/buckthornmux" serve \
    --settings "$RUN_DIR/host-$1.json"
}

# start_hosts COUNT DATA_CENTRES
start_hosts() {
  local index
  for ((index = 0; index < $1; ++index)); do
    start_host "$index" "dc$((index % $2 + 1))"
  done
  ENTRIES=()
  for ((index = 0; index < $1; ++index)); do
    ENTRIES+=(--entry "$(entry_http "$index")")
  done
}

start_balancer() {
  local backends=() index
  for ((index = 0; index < $1; ++index)); do
    backends+=(--backend "$(entry_http "$index")")
  done
  spawn balancer "$BUILD_DIR/standin" balancer \
    --listen "$(port_address $BALANCER_PORT)" "${backends[@]}"
}

# ops COMMAND...: an operator's call of the command line.
ops() {
  BUCKTHORNMUX_KEY=$OPERATOR_KEY "$BUILD_DIR/buckthornmux" "$@" "${ENTRIES[@]}"
}

# hosts_alive COUNT: that many answer /healthz.
hosts_alive() {
  local index alive=0
  for ((index = 0; index < $1; ++index)); do
    http_ok "$(entry_http "$index")" /healthz && alive=$((alive + 1))
  done
  [ "$alive" -ge "$1" ]
}

hosts_ready() {
  local index
  for ((index = 0; index < $1; ++index)); do
    http_ok "$(entry_http "$index")" /readyz || return 1
  done
}

# stop_hosts COUNT: SIGTERM to each, one after another; fails where one did not
# end gracefully.
stop_hosts() {
  local index failed=0
  for ((index = 0; index < $1; ++index)); do
    end "host-$index" TERM
  done
  for ((index = 0; index < $1; ++index)); do
    wait "${PIDS[host-$index]}" || failed=1
    unset "PIDS[host-$index]"
  done
  return $failed
}

# start_fleet HOSTS TARGETS DATA_CENTRES: everything, with rules in force.
start_fleet() {
  start_platform
  start_targets "$2" "$3"
  start_hosts "$1" "$3"
  wait_for 20 hosts_alive "$1" || { echo "entry hosts do not answer"; return 1; }
  ops apply --wait --who "$(basename "$0")" "$RUN_DIR/inventory.json" \
    "${RULES:-samples/loopback/rules.json}" || return 1
  wait_for 20 hosts_ready "$1" || { echo "entry hosts are not ready"; return 1; }
}

# grant_key TEAM: prints a new key of the team.
grant_key() {
  ops keys grant --team "$1" --who "$(basename "$0")" --json |
    python3 -c 'import json,sys; print(json.load(sys.stdin)["key"])'
}
