#!/usr/bin/env bash
# Builds the fuzz targets and runs each for some seconds with a fixed seed:
# fuzz/run_bounded.sh [SECONDS].
set -euo pipefail
cd "$(dirname "$0")/.."

seconds="${1:-5}"
seed=20261204
TARGET=fuzzers tools/build.sh fuzz
failed=0
for target in wire frames settings config request_bounds platform gateway; do
  log="build-fuzz/fuzz_$target.log"
  if "build-fuzz/bin/fuzz_$target" -seed="$seed" -max_total_time="$seconds" \
    -max_len=4096 -rss_limit_mb=1024 -artifact_prefix=build-fuzz/ \
    >"$log" 2>&1; then
    echo "fuzz_$target: $(tail -n 1 "$log")"
  else
    echo "fuzz_$target FAILED, seed $seed:"
    tail -n 30 "$log"
    failed=1
  fi
done
exit "$failed"
