#!/usr/bin/env bash
# Fails if a name that clients, peers, settings, stored data or metrics depend
# on no longer occurs in a string literal, a flag, a script or a settings file.
# Renaming identifiers in the code must not change these names.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly list=tests/golden/outward_names.txt

# String literals and flags of the C++ sources, all of the other files.
outward_text() {
  git ls-files -- '*.cc' '*.h' | xargs grep -hoE '"([^"\\]|\\.)*"'
  git ls-files -- '*.cc' '*.h' | xargs grep -hE -A 1 '^ *DEFINE_[a-z0-9]+\('
  git ls-files -- '*.cc' '*.h' | xargs grep -hoE '\bFLAGS_[a-z_]+' |
    sed 's/^FLAGS_//'
  # Raw literals, such as the console's pages.
  git ls-files -- '*.cc' '*.h' | xargs sed -n '/R"(/,/)"/p'
  git ls-files -- '*.json' '*.sh' deploy/system.toml '*CMakeLists.txt' |
    grep -v '^journal/' | xargs cat .ci/run
}

words() {
  tr -c '[:alnum:]_/:.$+-' '\n' | sort -u
}

text="$(outward_text)"
missing="$(LC_ALL=C comm -23 <(LC_ALL=C sort -u "$list") \
  <(words <<<"$text" | sed 'p; s/\.$//; p; s/:$//; s/:-.*//' | LC_ALL=C sort -u))"
if [ -n "$missing" ]; then
  echo "$list: these names no longer occur in the sources:" >&2
  echo "$missing" >&2
  exit 1
fi
