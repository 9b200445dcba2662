#!/usr/bin/env bash
# Builds and runs the tests: tools/test.sh [thread|address]. Ends with one
# line "N passed, N failed". Tests listed in KNOWN-RED.txt are run and printed
# but don't decide the exit code. With a sanitizer only the unit tests run, as
# timeouts of the process tests are not meant for its pace, and without the
# experiments, which have no threads of the product and take minutes there.
set -euo pipefail
cd "$(dirname "$0")/.."

variant="${1:-}"
folder="build${variant:+-$variant}"
tools/setup.sh
# A sanitizer run needs no other binary than the unit tests.
TARGET="${variant:+unit_tests}" tools/build.sh "$variant"

red_tests() {
  if [ -f KNOWN-RED.txt ]; then
    sed -n 's/^test: //p' KNOWN-RED.txt
  fi
}

# doctest reads a comma-separated list of filters.
red_filter="$(red_tests | sed 's/,/\\,/g' | paste -sd, -)"
passed=0
failed=0
binaries=(unit_tests)
skipped="$red_filter"
if [ -z "$variant" ]; then
  binaries+=(process_tests)
else
  skipped="${skipped:+$skipped,}experiment:*"
fi
export TSAN_OPTIONS="suppressions=$PWD/tests/tsan.supp"
for binary in "${binaries[@]}"; do
  output="$folder/$binary.log"
  arguments=()
  [ -n "$skipped" ] && arguments+=("--test-case-exclude=$skipped")
  status=0
  "$folder/bin/$binary" "${arguments[@]}" >"$output" 2>&1 || status=$?
  summary="$(grep -a 'test cases:' "$output" | tail -1 || true)"
  ok="$(sed -n 's/.*| *\([0-9]*\) passed.*/\1/p' <<<"$summary")"
  bad="$(sed -n 's/.*| *\([0-9]*\) failed.*/\1/p' <<<"$summary")"
  passed=$((passed + ${ok:-0}))
  failed=$((failed + ${bad:-0}))
  if [ "$status" -ne 0 ]; then
    # A crash leaves no summary and still counts.
    [ "${bad:-0}" -gt 0 ] || failed=$((failed + 1))
    echo "--- $binary failed (exit $status)"
    tail -n 80 "$output"
  fi
done
while read -r name; do
  [ -n "$name" ] && [ -z "$variant" ] || continue
  for binary in "${binaries[@]}"; do
    echo "known red: $name"
    "$folder/bin/$binary" "--test-case=$name" 2>&1 | grep -a 'test cases:' || true
  done
done < <(red_tests)
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
