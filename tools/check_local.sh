#!/usr/bin/env bash
# Sends one request of each kind through a running local system and prints the
# answers: tools/check_local.sh [BASE_PORT]. Exits 0 if all are as expected.
set -euo pipefail
cd "$(dirname "$0")/.."
source tools/local_settings.sh
LOCAL_BASE_PORT="${1:-18000}"

key="hanbit-large-key"
failures=0

expect() {  # WHAT PATTERN ANSWER
  echo "--- $1"
  printf '%s\n' "$3" | head -c 1500
  echo
  if ! grep -q -- "$2" <<<"$3"; then
    echo "FAILED: $1: expected $2" >&2
    failures=$((failures + 1))
  fi
}

call() {  # ENTRY PATH BODY [CURL ARGUMENTS...]
  local entry="$1" path="$2" body="$3"
  shift 3
  curl -sS -i --max-time 30 "$(url_of "$entry")$path" \
    -H "Authorization: Bearer $key" -H 'Content-Type: application/json' \
    -d "$body" "$@" 2>&1 || true
}

chat_body() {  # STREAM
  echo '{"model": "keywords-8b", "stream": '"$1"', "max_tokens": 8,
    "messages": [{"role": "user", "content": "keywords for a rainy street"}]}'
}

order='{"item": "catalogue entry", "count": 1}'
order_key="check-$$-$RANDOM"

expect "streamed chat by entry-1" 'data: \[DONE\]' \
  "$(call entry-1 /v1/chat/completions "$(chat_body true)")"
expect "whole chat by entry-2" '"finish_reason"' \
  "$(call entry-2 /v1/chat/completions "$(chat_body false)")"
expect "order by entry-1" '200 OK' \
  "$(call entry-1 /v1/orders "$order" -H "Idempotency-Key: $order_key")"
expect "the same order resent by entry-2" 'Idempotent-Replayed: true' \
  "$(call entry-2 /v1/orders "$order" -H "Idempotency-Key: $order_key")"
expect "an unknown model" '"unknown_model"' \
  "$(call entry-1 /v1/chat/completions '{"model": "x", "messages": []}')"
expect "metrics" 'bergamot_requests' "$(curl -sS "$(url_of entry-1)/metrics")"
executed="$(curl -sS "$(url_of service-1)/journal" | grep -c "$order_key" || true)"
echo "--- the service's journal has the order $executed time(s)"
[ "$executed" -ge 1 ] || failures=$((failures + 1))
[ "$failures" -eq 0 ] && echo "check passed" || echo "check failed"
[ "$failures" -eq 0 ]
