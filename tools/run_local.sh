#!/usr/bin/env bash
# Builds if needed, starts a whole local system with its stand-ins, prints
# "NAME URL" for each process and then "ready"; Ctrl-C or SIGTERM stops all.
# With --check: sends one request of each kind through it, prints the answers
# and exits 0 or 1.
set -euo pipefail
cd "$(dirname "$0")/.."
source tools/local_settings.sh
source tools/local_processes.sh

usage() {
  echo "usage: tools/run_local.sh [--check] [--base_port=N]"
}

check=0
base_port=18000
for argument in "$@"; do
  case "$argument" in
    --check) check=1 ;;
    --base_port=*) base_port="${argument#*=}" ;;
    --help) usage; exit 0 ;;
    *) usage >&2; exit 2 ;;
  esac
done

tools/setup.sh
TARGET="bergamot_entry bergamot_sidecar bergamot_console bergamotctl fake_log
  fake_engine fake_service fake_instance_list fake_weight_store" tools/build.sh
folder="out/local-$base_port"
rm -rf "$folder"
write_local_settings "$folder" "$base_port"

names=()
pids=()

start() {  # NAME BINARY
  start_process "$1" "$2"
  names+=("$1")
  pids+=("$started_pid")
}

# Stops the entries first, so that no caller loses its response, and the
# stand-ins last.
stop_all() {
  trap - EXIT INT TERM
  local order i
  for order in entry console sidecar engine service list weights log; do
    local stopping=()
    for i in "${!names[@]}"; do
      case "${names[$i]}" in
        "$order"*) stopping+=("${pids[$i]}") ;;
      esac
    done
    stop_processes "${stopping[@]}"
  done
}
trap stop_all EXIT
trap 'exit 0' INT TERM

start log-1 fake_log
start list-1 fake_instance_list
start weights-1 fake_weight_store
start service-1 fake_service
for i in $(seq "$ENGINES"); do
  start "engine-$i" fake_engine
  start "sidecar-e$i" bergamot_sidecar
done
start sidecar-s1 bergamot_sidecar
for i in $(seq "$ENTRIES"); do
  start "entry-$i" bergamot_entry
done
start console bergamot_console
wait_for log-1 /healthz
build/bin/bergamotctl publish examples/hanbit_tagworks.json \
  --log="$(url_of log-1)" >"$folder/publish.log"
for name in "${names[@]}"; do
  wait_for "$name" /healthz
done
for i in $(seq "$ENTRIES"); do
  wait_for "entry-$i" /readyz
done
for name in "${names[@]}"; do
  echo "$name $(url_of "$name")"
done
echo "ready"

if [ "$check" -eq 1 ]; then
  tools/check_local.sh "$base_port"
  exit
fi
# A signal interrupts the wait and runs the trap.
wait
