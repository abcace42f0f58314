# Entry hosts on the users' platform, against its stand-in on loopback. Sourced
# by tests/live/platform-day.sh; scripts/lib/fleet.sh has been sourced before.

DAY_HOST_PORT=$((PORT_BASE + 100))

# Metrics have one port on each host: days side by side need other addresses.
DAY_NETWORK=127.0.$((PORT_BASE / 1000 % 256))

# write_settings N: the settings file of entry host N, as the platform writes it.
write_settings() {
  local base=$((DAY_HOST_PORT + 10 * $1))
  cat >"$RUN_DIR/host-$1.conf" <<SETTINGS
node=host-$1
ip=$DAY_NETWORK.$((10 + $1))
zone=zone-$1
listen.frontend=127.0.0.1:$base
listen.readiness=127.0.0.1:$((base + 1))
internal_ports=$((base + 2)),$((base + 5))
bootstrap=true
advice=127.0.0.1:$((PORT_BASE + 1))
platform.address=127.0.0.1:$PORT_BASE
bounds.hold_max_ms=6000
SETTINGS
}

# start_host N: starts entry host N.
start_host() {
  spawn "host-$1" "$BUILD_DIR/buckthornmux" host \
    --settings "$RUN_DIR/host-$1.conf"
}

# host_arguments N...: arguments of `standin day` that name the hosts.
host_arguments() {
  local n
  for n in "$@"; do
    printf -- '--host 127.0.0.1:%s ' $((DAY_HOST_PORT + 10 * n))
  done
}

# owner_host: number of the entry host that last gained the cell.
owner_host() {
  grep -H 'event=range_gained' "$RUN_DIR"/host-*.out | sort -t= -k2 |
    sed 's/.*host-\([0-9]*\)\.out:time_ms=\([0-9]*\).*/\2 \1/' |
    sort -n | tail -n 1 | cut -d' ' -f2
}
