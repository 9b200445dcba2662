#!/usr/bin/env bash
# Builds and runs the tests: tools/test.sh [thread|address]. Ends with one
# line "N passed, N failed". Tests listed in KNOWN-RED.txt are run and printed
# but don't decide the exit code. With a sanitizer only the unit tests run,
# because it makes the process tests too slow for their timeouts. The
# experiments are then left out: they run no threads of the product and would
# take minutes.
set -euo pipefail
cd "$(dirname "$0")/.."

variant="${1:-}"
folder="build${variant:+-$variant}"
tools/setup.sh
# A sanitizer run needs no other binary than the unit tests.
TARGET="${variant:+unit_tests}" tools/build.sh "$variant"

# doctest reads a comma-separated list of filters, so a comma in a name is
# escaped.
red_tests() {
  if [ -f KNOWN-RED.txt ]; then
    sed -n 's/^test: //p' KNOWN-RED.txt | sed 's/,/\\,/g'
  fi
}

red_filter="$(red_tests | paste -sd, -)"
# The process tests mostly wait, so parts of them run in parallel. The last one
# has what the others leave.
process_parts=(
  'orders:*,config faults:*'
  'gateway*'
  'stream version:*,store restored:*,rate limit:*,placement:*'
)
# Floods of connections, which would take the processor time and the descriptors
# of the others. They run when those have ended.
alone='untrusted clients:*'
passed=0
failed=0
export TSAN_OPTIONS="suppressions=$PWD/tests/tsan.supp"

# Runs a part of the tests and writes its output and exit code to files.
run_part() {  # PART BINARY ONLY EXCEPT
  local arguments=()
  [ -z "$3" ] || arguments+=("--test-case=$3")
  [ -z "$4" ] || arguments+=("--test-case-exclude=$4")
  local status=0
  "$folder/bin/$2" "${arguments[@]}" >"$folder/$1.log" 2>&1 || status=$?
  echo "$status" >"$folder/$1.status"
}

join_filters() {
  local joined=""
  local filter
  for filter in "$@"; do
    [ -z "$filter" ] || joined="${joined:+$joined,}$filter"
  done
  echo "$joined"
}

count_part() {  # PART
  local status summary ok bad
  status="$(cat "$folder/$1.status")"
  summary="$(grep -a 'test cases:' "$folder/$1.log" | tail -1 || true)"
  ok="$(sed -n 's/.*| *\([0-9]*\) passed.*/\1/p' <<<"$summary")"
  bad="$(sed -n 's/.*| *\([0-9]*\) failed.*/\1/p' <<<"$summary")"
  passed=$((passed + ${ok:-0}))
  failed=$((failed + ${bad:-0}))
  if [ "$status" -ne 0 ]; then
    # A crash leaves no summary and still counts.
    [ "${bad:-0}" -gt 0 ] || failed=$((failed + 1))
    echo "--- $1 failed (exit $status)"
    grep -a -B 6 -A 4 'ERROR' "$folder/$1.log" | head -n 60 || true
    tail -n 40 "$folder/$1.log"
  fi
}

binaries=(unit_tests)
if [ -n "$variant" ]; then
  run_part unit_tests unit_tests "" "$(join_filters "$red_filter" 'experiment:*')"
  count_part unit_tests
else
  binaries+=(process_tests)
  run_part unit_tests unit_tests "" "$red_filter"
  parts=(unit_tests)
  for filter in "${process_parts[@]}"; do
    parts+=("process_tests_${#parts[@]}")
    run_part "${parts[-1]}" process_tests "$filter" "$red_filter" &
  done
  parts+=("process_tests_${#parts[@]}")
  run_part "${parts[-1]}" process_tests "" \
    "$(join_filters "$red_filter" "${process_parts[@]}" "$alone")"
  wait
  parts+=("process_tests_alone")
  run_part process_tests_alone process_tests "$alone" "$red_filter"
  for part in "${parts[@]}"; do
    count_part "$part"
  done
fi
while read -r name; do
  if [ -z "$name" ] || [ -n "$variant" ]; then
    continue
  fi
  for binary in "${binaries[@]}"; do
    echo "known red: ${name//\\/}"
    "$folder/bin/$binary" "--test-case=$name" 2>&1 | grep -a 'test cases:' || true
  done
done < <(red_tests)
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
