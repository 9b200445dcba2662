#!/usr/bin/env bash
# Installs the packages that the build and the tests need, if any is missing.
set -euo pipefail

packages=(
  g++ cmake ninja-build clang clang-format clang-tidy libclang-rt-14-dev ccache
  libcpprest-dev libnghttp2-dev libgflags-dev libgoogle-glog-dev doctest-dev
  nlohmann-json3-dev librapidcheck-dev libxxhash-dev libbenchmark-dev
  libmsgpack-cxx-dev libboost-dev libboost-system-dev libboost-filesystem-dev
  libssl-dev gnuplot-nox curl jq
)

missing=()
for package in "${packages[@]}"; do
  if ! dpkg -s "$package" >/dev/null 2>&1; then
    missing+=("$package")
  fi
done
if [ "${#missing[@]}" -eq 0 ]; then
  exit 0
fi
sudo=""
if [ "$(id -u)" -ne 0 ]; then
  sudo="sudo"
fi
echo "installing: ${missing[*]}" >&2
$sudo apt-get update -qq >&2
DEBIAN_FRONTEND=noninteractive $sudo apt-get install -y -qq \
  --no-install-recommends "${missing[@]}" >&2
