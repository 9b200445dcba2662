# Functions that start, await and stop the processes of a local system. Scripts
# source this file after tools/local_settings.sh and set "folder", which holds
# the settings and receives the logs.

# Starts build/bin/BINARY with the settings of NAME and sets started_pid to its
# process id.
start_process() {  # NAME BINARY
  "build/bin/$2" "--settings=$folder/$1.json" >"$folder/$1.log" 2>&1 &
  started_pid="$!"
}

# Waits until a process responds to a path, for at most 20 s.
wait_for() {  # NAME PATH
  local tries
  for tries in $(seq 400); do
    if curl -sf -o /dev/null --max-time 2 "$(url_of "$1")$2"; then
      return 0
    fi
    sleep 0.05
  done
  echo "$1 is not answering; see $folder/$1.log" >&2
  return 1
}

# Sends SIGTERM to processes and waits until they have ended.
stop_processes() {  # PID...
  local pid
  for pid in "$@"; do
    kill -TERM "$pid" 2>/dev/null || true
  done
  for pid in "$@"; do
    wait "$pid" 2>/dev/null || true
  done
}
