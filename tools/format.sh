#!/usr/bin/env bash
# Formats all C++ sources; with --check only reports those not formatted.
set -euo pipefail
cd "$(dirname "$0")/.."

mode=(-i)
if [ "${1:-}" = "--check" ]; then
  mode=(--dry-run --Werror)
fi
git ls-files -co --exclude-standard -- '*.cc' '*.h' | sort -u |
  while read -r file; do [ -f "$file" ] && echo "$file"; done |
  xargs -r clang-format "${mode[@]}"
