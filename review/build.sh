#!/usr/bin/env bash
# Builds the stand-ins and the cases of this folder into review/build/.
# Needs g++ alone. The gateway is built by the deploy file's build command.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p review/build
flags=(-std=c++17 -O1 -Wall -Wextra -pthread -I.)
g++ "${flags[@]}" -c review/standins/harness.cc -o review/build/harness.o
for source in review/*/case.cc; do
  number="$(basename "$(dirname "$source")")"
  g++ "${flags[@]}" "$source" review/build/harness.o \
    -o "review/build/case_$number"
done
