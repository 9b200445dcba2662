#!/usr/bin/env bash
# Measures the figures from which docs/CAPACITY.md is derived: memory, processor
# time and messages of each role at several sizes, and the slope of each by
# least squares. Usage: tools/measure_capacity.sh [PART...]; parts: sidecars
# subset entries requests tokens document changes orders. Takes about six
# minutes in all.
set -euo pipefail
cd "$(dirname "$0")/.."
source tools/local_settings.sh
source tools/local_processes.sh
ENGINES=1
ENTRIES=1
LOCAL_BASE_PORT=23000
seconds="${CAPACITY_SECONDS:-5}"
folder="out/capacity"
key="key-agency-1"
peers_port=23900

declare -A pids
declare -A rows

tools/build.sh
rm -rf "$folder"
mkdir -p "$folder"

stop() {  # NAME
  [ -n "${pids[$1]:-}" ] || return 0
  stop_processes "${pids[$1]}"
  unset "pids[$1]"
}

stop_all() {
  local name
  for name in entry-1 sidecar-e1 sidecar-s1 engine-1 service-1 peers log-1 entry-2 list-1; do
    stop "$name"
  done
}
trap stop_all EXIT

start() {  # NAME BINARY
  start_process "$1" "$2"
  pids[$1]="$started_pid"
}

write_fast_engine() {
  cat >"$folder/engine-1.json" <<EOF
{"port": $(port_of engine-1), "models": ["keywords-8b"],
 "engine": {"step_base_us": 2000, "step_per_sequence_us": 0,
            "prefill_per_token_us": 0, "max_running": 512}}
EOF
}

start_log_with() {  # CONFIG FILE
  start log-1 fake_log
  wait_for log-1 /healthz
  build/bin/bergamotctl publish "$1" --log "$(url_of log-1)" >/dev/null
}

# Starts a log, an engine, a service, their sidecars and an entry.
start_system() {
  write_local_settings "$folder" "$LOCAL_BASE_PORT"
  write_fast_engine
  build/bin/bergamotctl load --print_config >"$folder/config.json"
  start_log_with "$folder/config.json"
  start service-1 fake_service
  start engine-1 fake_engine
  start sidecar-e1 bergamot_sidecar
  start sidecar-s1 bergamot_sidecar
  start entry-1 bergamot_entry
  wait_for engine-1 /readyz
  wait_for entry-1 /readyz
  sleep 1
}

cpu_micros() {  # NAME: processor time of all threads so far
  cat /proc/"${pids[$1]}"/task/*/schedstat | awk '{t += $1} END {printf "%d", t / 1000}'
}

resident_kb() {  # NAME
  awk '/^VmRSS/ {print $2}' /proc/"${pids[$1]}"/status
}

# Runs a command, measures each role meanwhile, and adds "SIZE CPU% RSS_KB" to
# the rows of PART:ROLE.
sample() {  # PART SIZE ROLES COMMAND...
  local part="$1" size="$2" roles="$3" role start_at spent
  shift 3
  declare -A before
  for role in $roles; do before[$role]="$(cpu_micros "$role")"; done
  start_at="$(date +%s%N)"
  "$@"
  spent=$((($(date +%s%N) - start_at) / 1000))
  for role in $roles; do
    local used=$(($(cpu_micros "$role") - before[$role]))
    rows["$part:$role"]+="$size $(awk "BEGIN {printf \"%.3f\", 100 * $used / $spent}") $(resident_kb "$role")"$'\n'
  done
}

report() {  # PART UNIT
  local name
  for name in "${!rows[@]}"; do
    [ "${name%%:*}" = "$1" ] || continue
    echo "== $name by $2 (size, % of a core, KB resident)"
    printf '%s' "${rows[$name]}"
    printf '%s' "${rows[$name]}" | awk '
      {n++; x += $1; xx += $1 * $1; c += $2; xc += $1 * $2; m += $3; xm += $1 * $3}
      END {
        d = n * xx - x * x
        sc = (n * xc - x * c) / d; sm = (n * xm - x * m) / d
        printf "slope: %.5f %% of a core and %.3f KB for each; at zero: %.3f %% and %.0f KB\n",
               sc, sm, (c - sc * x) / n, (m - sm * x) / n
      }'
  done
}

# Adds COUNT sidecars at 127.1.x.y to the settings of the entry, in three zones
# in rotation.
write_many_sidecars() {  # COUNT
  awk -v n="$1" -v port="$peers_port" '
    /"sidecars": \[/ {
      print
      for (i = 0; i < n; i++)
        printf "%s{\"id\": \"sidecar-%d\", \"group\": \"keywording\", \"availability_zone\": \"zone-%s\", \"address\": \"127.1.%d.%d\", \"port\": %d}\n",
               i ? "," : "", i, substr("abc", i % 3 + 1, 1), i / 250, i % 250 + 1, port
      skip = 1; next
    }
    /^  \]/ {skip = 0}
    !skip {print}' "$folder/entry-1.json" >"$folder/entry-many.json"
  mv "$folder/entry-many.json" "$folder/entry-1.json"
}

# Measures an entry with COUNT sidecars that only send their status.
sample_sidecars() {  # PART COUNT
  build/bin/capacity_peers "--sidecars=$2" "--port=$peers_port" \
    >"$folder/peers.out" 2>&1 &
  pids[peers]=$!
  start entry-1 bergamot_entry
  wait_for entry-1 /readyz
  sleep 3
  sample "$1" "$2" entry-1 sleep "$seconds"
  stop_all
  echo "$1 $2: peers $(cat "$folder/peers.out")"
}

measure_sidecars() {
  local count
  for count in 10 100 200 400; do
    write_local_settings "$folder" "$LOCAL_BASE_PORT"
    build/bin/bergamotctl load --print_config >"$folder/config.json"
    write_many_sidecars "$count"
    start_log_with "$folder/config.json"
    sample_sidecars sidecars "$count"
  done
  report sidecars "sidecars, each sending its status 10 times a second"
}

# Registers 20 entries in the instance list, so that the entry connects only to
# its subset of the sidecars.
list_entries() {
  local i
  start list-1 fake_instance_list
  wait_for list-1 /healthz
  for i in $(seq 20); do
    curl -sf -o /dev/null "$(url_of list-1)/instances" -d \
      "{\"id\": \"entry-$i\", \"role\": \"entry\", \"zone\": \"$(zone_of "$i")\", \"address\": \"127.0.0.1\"}"
  done
  sed -i "s|\"log_url\"|\"instance_list_url\": \"$(url_of list-1)\",\n  \"log_url\"|" \
    "$folder/entry-1.json"
}

# Like measure_sidecars, but with a list of entries. A second entry holds the
# placement lease, because the holder of the lease connects to all sidecars.
measure_subset() {
  local count
  for count in 10 100 200 400; do
    ENTRIES=2 write_local_settings "$folder" "$LOCAL_BASE_PORT"
    build/bin/bergamotctl load --print_config >"$folder/config.json"
    write_many_sidecars "$count"
    start_log_with "$folder/config.json"
    list_entries
    start entry-2 bergamot_entry
    wait_for entry-2 /readyz
    sleep 3
    sample_sidecars subset "$count"
  done
  report subset "sidecars listed beside 20 entries"
}

# Measures a sidecar with entries that only receive its status.
measure_entries() {
  local count
  start_system
  stop entry-1
  for count in 1 50 100 200; do
    build/bin/capacity_peers "--entries=$count" \
      "--peer=127.0.0.1:$(port_of link-e1)" >"$folder/peers.out" 2>&1 &
    pids[peers]=$!
    sleep 2
    sample entries "$count" sidecar-e1 sleep "$seconds"
    stop peers
    echo "entries $count: peers $(cat "$folder/peers.out")"
  done
  stop_all
  report entries "entries that listen"
}

load_at() {  # REQUESTS A SECOND, TOKENS, REQUESTS
  build/bin/path_benchmark "--engine=$(url_of engine-1)" \
    "--entry=$(url_of entry-1)" "--key=$key" "--tokens=$2" \
    "--open_rate=$1" "--requests=$3" >"$folder/load.out" 2>&1 || true
  grep -o '[0-9]* by the path.*failed' "$folder/load.out" || true
}

measure_requests() {
  local rate
  start_system
  load_at 100 1 300
  for rate in 25 50 100 200; do
    sample requests "$rate" "entry-1 sidecar-e1" load_at "$rate" 1 $((rate * seconds))
  done
  stop_all
  report requests "requests a second of one token"
}

measure_tokens() {
  local tokens
  start_system
  load_at 50 16 200
  for tokens in 1 16 32 64; do
    sample tokens $((50 * tokens)) "entry-1 sidecar-e1" \
      load_at 50 "$tokens" $((50 * seconds))
  done
  stop_all
  report tokens "tokens a second, at 50 requests a second"
}

write_config_of() {  # WORKSPACES FILE
  build/bin/bergamotctl load --print_config | jq -c --argjson n "$1" '
    .workspaces[0] as $w
    | .workspaces = [range($n) | . as $i | $w | .name = "agency-\($i + 1)"
        | .key_hashes = [("0" * 56) + ("00000000\($i)" | .[-8:])]]' >"$2"
}

measure_document() {
  local count
  for count in 10 1000 2500 5300; do
    write_local_settings "$folder" "$LOCAL_BASE_PORT"
    write_config_of "$count" "$folder/config.json"
    start_log_with "$folder/config.json"
    start sidecar-e1 bergamot_sidecar
    start entry-1 bergamot_entry
    wait_for entry-1 /readyz
    sleep 2
    echo "document of $count workspaces: $(stat -c %s "$folder/config.json") bytes"
    sample document "$count" "entry-1 sidecar-e1" sleep "$seconds"
    stop_all
  done
  report document "workspaces in the document"
}

publish_changes() {  # CHANGES
  local change
  for change in $(seq "$1"); do
    jq -c --argjson c "$change" \
      '.workspaces[$c].requests_per_second = 10 + $c' \
      "$folder/config.json" >"$folder/next.json"
    build/bin/bergamotctl publish "$folder/next.json" \
      --log "$(url_of log-1)" >>"$folder/publish.log" 2>&1 || true
  done
  sleep 1
}

measure_changes() {
  local changes
  write_local_settings "$folder" "$LOCAL_BASE_PORT"
  write_config_of 5300 "$folder/config.json"
  start_log_with "$folder/config.json"
  start sidecar-e1 bergamot_sidecar
  start entry-1 bergamot_entry
  wait_for entry-1 /readyz
  sleep 2
  for changes in 1 2 4 8; do
    local before after
    before="$(cpu_micros entry-1) $(cpu_micros sidecar-e1)"
    local start_at end_at
    start_at="$(date +%s%N)"
    publish_changes "$changes"
    end_at="$(date +%s%N)"
    after="$(cpu_micros entry-1) $(cpu_micros sidecar-e1)"
    echo "$changes changes at 5300 workspaces in $(((end_at - start_at) / 1000000)) ms: us before $before, after $after"
  done
  curl -s "$(url_of log-1)/streams/config/records?from=0" | jq -r \
    '.records[] | (.payload | length)' | tr '\n' ' '
  echo "bytes of the records in the config stream"
  stop_all
}

place_orders() {  # ORDERS A SECOND, ORDERS
  build/bin/path_benchmark "--engine=$(url_of service-1)" \
    "--entry=$(url_of entry-1)" "--key=$key" --orders "--open_rate=$1" \
    "--requests=$2" >"$folder/load.out" 2>&1 || true
  grep -o '[0-9]* by the path.*failed' "$folder/load.out" || true
}

log_end() {  # offset after the last record of the orders stream
  curl -s "$(url_of log-1)/streams/orders/records?from=-1" | jq -r .next
}

measure_orders() {
  local rate
  start_system
  for rate in 5 10 20 40; do
    local before
    before="$(log_end)"
    sample orders "$rate" "entry-1 sidecar-s1 sidecar-e1 log-1" \
      place_orders "$rate" $((rate * seconds))
    echo "$rate orders a second for $seconds s: $(($(log_end) - before)) records"
  done
  stop_all
  report orders "orders a second"
}

parts=("$@")
[ "${#parts[@]}" -gt 0 ] ||
  parts=(sidecars subset entries requests tokens document changes orders)
for part in "${parts[@]}"; do
  "measure_$part"
done
