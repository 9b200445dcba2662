#!/usr/bin/env bash
# Builds the project: tools/build.sh [thread|address|fuzz]. The argument picks
# a sanitizer or the fuzz targets, each with a build folder of its own.
set -euo pipefail
cd "$(dirname "$0")/.."

variant="${1:-}"
folder="build${variant:+-$variant}"
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=1
options=()
case "$variant" in
  "") ;;
  thread | address) options+=("-DBERGAMOTSCALE_SANITIZE=$variant") ;;
  fuzz)
    options+=("-DBERGAMOTSCALE_FUZZ=ON" "-DCMAKE_CXX_COMPILER=clang++")
    ;;
  *)
    echo "usage: tools/build.sh [thread|address|fuzz]" >&2
    exit 2
    ;;
esac
if [ ! -f "$folder/build.ninja" ]; then
  cmake -S . -B "$folder" -G Ninja "${options[@]}" >&2
fi
cmake --build "$folder" ${TARGET:+--target $TARGET} >&2
