#!/usr/bin/env bash
# Runs clang-tidy: tools/lint.sh [FILE.cc...]; all sources without arguments.
# Needs the compilation database of tools/build.sh.
#
# Nearly all of clang-tidy's time goes to library headers, so sources of
# different namespaces are checked together, as one unit that includes them. A
# unit with any finding is checked again file by file, and those results count.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly units=build/lint
# Files of the project. Findings in them are reported even though the sources
# that a unit includes count as headers.
readonly own="$PWD/(include|src|standins|tests|tools|platform|benchmark|examples|fuzz)/.*"

# @return 0 if clang-tidy finds nothing in the file.
check_file() {  # FILE
  clang-tidy -p build --quiet "$1" 2>/dev/null
}

check_unit() {  # UNIT
  local sources
  mapfile -t sources < <(sed -n 's/^#include "\(.*\)"  \/\/.*/\1/p' "$1")
  if clang-tidy --quiet --header-filter="$own" "$1" -- -std=gnu++17 -I. \
    -Iinclude $(cat "$units/flags") >/dev/null 2>&1; then
    return 0
  fi
  local file status=0
  for file in "${sources[@]}"; do
    check_file "$file" || status=1
  done
  return "$status"
}

# @return 0 for sources that use src/web. Its namespace hides the one of
# cpprest, so sources that use one can't share a unit with those that use the
# other.
is_web() {  # FILE
  [[ "$1" =~ /(src/(web|gateway|route|keyed_log)|platform)/ ]] ||
    grep -qE '#include "(src/(web|gateway)/|platform/|.*gateway_bench)' "$1"
}

# Writes the i-th unit from the i-th file of each namespace. Files of the same
# namespace go to different units, because their unnamed namespaces may define
# the same names. Files with a main function are checked alone.
write_units() {
  rm -rf "$units"
  mkdir -p "$units"
  # Collects the macro definitions of all targets, without duplicates.
  jq -r '.[].command' build/compile_commands.json | grep -o ' -D[^ ]*' |
    sed 's/\\"/"/g' | sort -u | tr -d '\n' >"$units/flags"
  local file folder kind unit
  declare -A count
  while read -r file; do
    kind=cpprest
    if is_web "$file"; then kind=web; fi
    if grep -qE '^int main\(|^BENCHMARK_MAIN' "$file" ||
      { [ "$kind" = web ] && grep -q '#include "src/http/' "$file"; }; then
      echo "$file" >>"$units/alone"
      continue
    fi
    folder="$(sed -n 's/^namespace bergamotscale::\([a-z_]*\).*/\1/p' "$file" |
      head -1)"
    folder="${folder:-$(dirname "$file")}"
    folder="$kind $folder"
    count[$folder]=$((${count[$folder]:-0} + 1))
    unit="$units/unit_${kind}_${count[$folder]}.cc"
    # A macro of cpprest breaks this header if it comes first.
    [ -f "$unit" ] || echo "#include <nghttp2/nghttp2.h>" >"$unit"
    echo "#include \"$file\"  // NOLINT(bugprone-suspicious-include)" \
      >>"$unit"
  done
}

if [ "$#" -gt 0 ]; then
  export -f check_file
  printf '%s\n' "$@" | xargs -P "$(nproc)" -I{} bash -c 'check_file {}'
  exit
fi
jq -r '.[].file' build/compile_commands.json | sort -u | write_units
export -f check_file check_unit
export units own
{
  ls "$units"/unit_*.cc | sed 's/^/check_unit /'
  sed 's/^/check_file /' "$units/alone"
} | xargs -P "$(nproc)" -I{} bash -c '{}'
