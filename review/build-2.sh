#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 6 to 10 into target/review/,
# after the build of the deploy file. Needs no package beyond its own.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review
support=target/review/support.o
flags=(-std=c++17 -O1 -g -pthread -Ireview/second/shim -I. -Iinclude
  "-DBERGAMOTSCALE_BIN_DIR=\"$PWD/target/bin\""
  "-DBERGAMOTSCALE_DEPLOY_DIR=\"$PWD/deploy\"")
g++ "${flags[@]}" -c tests/support/gateway_process.cc -o "$support"
for source in review/second/*.cc; do
  name="$(basename "$source" .cc)"
  g++ "${flags[@]}" "$source" "$support" -o "target/review/$name"
done
