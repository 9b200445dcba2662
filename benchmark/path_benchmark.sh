#!/usr/bin/env bash
# Measures the time that the path adds to calling the engine directly: starts
# the log, one engine, its sidecar and one entry, publishes a configuration and
# runs path_benchmark with 1 and with 64 streams in flight.
# Usage: benchmark/path_benchmark.sh [BASE_PORT]
set -euo pipefail
cd "$(dirname "$0")/.."
source tools/local_settings.sh
source tools/local_processes.sh
ENGINES=1
ENTRIES=1
base_port="${1:-21000}"

tools/build.sh
folder="out/path-benchmark-$base_port"
rm -rf "$folder"
write_local_settings "$folder" "$base_port"

pids=()
stop_all() {
  stop_processes "${pids[@]}"
}
trap stop_all EXIT

start() {  # NAME BINARY
  start_process "$1" "$2"
  pids+=("$started_pid")
}

# STEP_MICROS: time of one step of the engine, whatever the batch.
write_engine() {
  cat >"$folder/engine-1.json" <<EOF
{"port": $(port_of engine-1), "models": ["keywords-8b"],
 "engine": {"step_base_us": $1, "step_per_sequence_us": 0,
            "prefill_per_token_us": 0, "max_running": 256}}
EOF
}

measure() {  # NAME STREAMS REQUESTS TOKENS PAUSE_MS
  echo "--- $1"
  build/bin/path_benchmark "--engine=$(url_of engine-1)" \
    "--entry=$(url_of entry-1)" --key=key-agency-1 "--streams=$2" \
    "--requests=$3" "--tokens=$4" "--pause_ms=$5"
}

run_with_step() {  # STEP_MICROS, then the measurements
  write_engine "$1"
  start engine-1 fake_engine
  engine_pid="${pids[-1]}"
  wait_for engine-1 /readyz
  wait_for entry-1 /readyz
  sleep 2
}

stop_engine() {
  stop_processes "$engine_pid"
}

start log-1 fake_log
wait_for log-1 /healthz
build/bin/bergamotctl load --print_config >"$folder/config.json"
build/bin/bergamotctl publish "$folder/config.json" \
  --log "$(url_of log-1)" >"$folder/publish.log"
start sidecar-e1 bergamot_sidecar
start entry-1 bergamot_entry

run_with_step 100
measure "engine of 0.1 ms a step, 1 stream" 1 300 8 4
stop_engine
run_with_step 5000
measure "engine of 5 ms a step, 1 stream" 1 30 8 20
measure "engine of 5 ms a step, 64 streams" 64 1000 16 20
