#!/usr/bin/env bash
# Runs clang-tidy: tools/lint.sh [FILE.cc...]; all sources without arguments.
# Needs the compilation database of tools/build.sh.
set -euo pipefail
cd "$(dirname "$0")/.."

files=("$@")
if [ "${#files[@]}" -eq 0 ]; then
  mapfile -t files < <(jq -r '.[].file' build/compile_commands.json | sort -u)
fi
printf '%s\n' "${files[@]}" |
  xargs -P "$(nproc)" -n 1 clang-tidy -p build --quiet 2>/dev/null
