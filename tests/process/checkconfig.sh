#!/usr/bin/env bash
# Checks the exit status and the text of `fescuectl check` on the example configurations.
# Usage: checkconfig.sh PROGRAM EXAMPLES
set -euo pipefail
program=$1
examples=$2
fail() {
    echo "failed: $1"
    exit 1
}
# Runs the check; the status goes to `code` and the text to `text`.
check() {
    text=$("$program" check "$@" 2>&1) && code=0 || code=$?
    echo "$text"
}

check "$examples/config.json" --memory-mb 88
[ "$code" = 0 ] || fail "a sound configuration has status $code"

check "$examples/config-with-findings.json" --memory-mb 88 --against "$examples/config.json"
[ "$code" = 1 ] || fail "a configuration with findings has status $code"
for expected in 'route reads: its timeout' 'route reads-again: it has the host and prefix' \
    'route posts: the prefix' 'route posts: its service book' 'weight of service book is 0' \
    'service spare: no route' 'account diner: one of its keys' 'limits: a request of 33554432' \
    'route reads: timeout 3000 ms becomes 300 ms' 'account kiosk: keys withdrawn: 1'; do
    grep -qF "$expected" <<<"$text" || fail "not told: $expected"
done
! grep -q 'key-' <<<"$text" || fail "a key is quoted"

check --json "$examples/config-with-findings.json"
[ "$code" = 1 ] || fail "JSON changes the status to $code"
grep -q '"findings"' <<<"$text" || fail "no JSON"

folder=$(mktemp -d)
trap 'rm -r "$folder"' EXIT
printf '{"Version": 1,\n "Routes": [}' >"$folder/broken.json"
check "$folder/broken.json"
[ "$code" = 2 ] || fail "a broken file has status $code"
grep -q 'line 2, column 13' <<<"$text" || fail "the position is not told"
check "$folder/absent.json"
[ "$code" = 2 ] || fail "an absent file has status $code"
