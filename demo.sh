#!/usr/bin/env bash
# Installs, builds, runs a whole system on loopback addresses and checks its main job.
# With --keep, leaves it running and prints commands to try.
set -euo pipefail
cd "$(dirname "$0")"
./install.sh
./build.sh

bin=$PWD/build/bin
run=$PWD/out/demo
rm -rf "$run"
mkdir -p "$run/config"
. scripts/cluster.sh
keep=${1:-}
trap '[ "$keep" = --keep ] && [ -n "${kept:-}" ] || stop_all' EXIT

zones=(north middle south)
engines=(ash birch cedar)
key="Authorization: Bearer demo-key"

say "Start the platform's stand-ins: a store, a VM list, three engines, a plain service"
start_standin store fescue-standin-store
start_standin vmlist fescue-standin-vmlist --vm vm-ash:north --vm vm-birch:middle \
    --vm vm-cedar:south --vm vm-ledger:middle --vm vm-1:north --vm vm-2:middle --vm vm-3:south
for n in 0 1 2; do
    start_standin "${engines[n]}-1" fescue-standin-engine --token-ms 10 --slots 16 \
        --cold-slots 4 --memory-tokens 65536 --fencing checks --min-output 300 --max-output 400
done
start_standin ledger-1 fescue-standin-service

say "Start three admission daemons and three entries, one pair in each zone"
for n in 0 1 2; do
    start_daemon "admission-$((n + 1))" fescue-admission "${zones[n]}" "vm-$((n + 1))"
    start_daemon "entry-$((n + 1))" fescue-entry "${zones[n]}" "vm-$((n + 1))"
done

say "Publish the example configuration"
cp examples/demo/*.ini "$run/config/"
for name in ash-1 birch-1 cedar-1 ledger-1; do
    sed -i "/^\[endpoint $name\]/,/^\[/ s/^address = .*/address = ${addresses[$name]}/" \
        "$run"/config/*.ini
done
export FESCUE_STORE=${addresses[store]}
"$bin/fescuectl" publish "$run/config"
for n in 1 2 3; do
    wait_for 10 "readiness of entry-$n" is_ready "entry-$n"
done

say "Ask the directory which addresses to use"
directory() {
    curl -sf "http://${addresses[entry-2]}/v1/directory?account=diner&service=draft"
}
lists_three() { [ "$(directory | jq '.addresses | length')" -ge 3 ]; }
wait_for 10 "a directory answer with three entries" lists_three
directory | jq -c .
first=$(directory | jq -r '.addresses[0].address')
second=$(directory | jq -r '.addresses[1].address')

# generate ADDRESS PROMPT: streams a generation.
generate() {
    curl -sN --max-time 60 -H "$key" -X POST "http://$1/v1/completions" \
        -d "{\"model\":\"draft\",\"prompt\":\"$2\",\"stream\":true}"
}
# Token indexes of a stream, one a line.
indexes() { sed -n 's/^id: .*:\([0-9]*\)$/\1/p' "$1"; }
# check_whole FILE...: the files hold a whole generation, each token once and in order.
check_whole() {
    local n
    cat "$@" >"$run/joined.sse"
    n=$(indexes "$run/joined.sse" | wc -l)
    [ "$n" -gt 0 ] || fail "no tokens in $*"
    indexes "$run/joined.sse" | cmp -s - <(seq 0 $((n - 1))) || fail "tokens lost or doubled in $*"
    tail -n 2 "$run/joined.sse" | grep -q 'data: \[DONE\]' || fail "the end mark is missing in $*"
    echo "$n tokens, each once and in order, with the end mark"
}

say "Stream a generation to its end"
generate "$first" "draft a lease dispute" >"$run/whole.sse"
check_whole "$run/whole.sse"

say "Repeat a call that may not be repeated, with the same idempotency key, at two entries"
adjust() {
    curl -s -H "$key" -H "Idempotency-Key: rent-2026-12" -X POST \
        "http://$1/v1/services/ledger/adjust" -d '{"unit":7,"amount":120}'
}
adjust "$first"
echo
adjust "$second"
echo
ran=$(curl -sf "http://${addresses[ledger-1]}/control/counts" | jq '.counts["rent-2026-12"]')
[ "$ran" = 1 ] || fail "the adjustment ran $ran times"
echo "the service ran it $ran time"

say "Kill the entry in mid-stream and resume at another"
generate "$first" "a second dispute" >"$run/part1.sse" &
stream=$!
has_tokens() { [ "$(indexes "$run/part1.sse" | wc -l)" -ge 50 ]; }
wait_for 20 "50 tokens" has_tokens
for name in entry-1 entry-2 entry-3; do
    [ "${addresses[$name]}" = "$first" ] && victim=$name
done
stop "$victim" KILL
wait "$stream" || true
# The last event may have been cut in its middle: whole events end with an empty line.
awk 'BEGIN { RS = ""; ORS = "\n\n" } /^id: .*\ndata: .*}$/' "$run/part1.sse" >"$run/part1.whole.sse"
last=$(sed -n 's/^id: //p' "$run/part1.whole.sse" | tail -n 1)
echo "$victim killed after token ${last##*:}; resuming at $second"
curl -sN --max-time 60 -H "$key" -H "Last-Event-ID: $last" "http://$second/v1/streams" \
    >"$run/part2.sse"
check_whole "$run/part1.whole.sse" "$run/part2.sse"

say "Take a zone out, and bring it back"
started() { curl -sf "http://${addresses[ash-1]}/control/stats" | jq .started; }
"$bin/fescuectl" zone out north
before=$(started)
for n in 1 2 3 4 5 6; do
    generate "$second" "while the zone is out $n" >"$run/out-$n.sse" &
done
wait $(jobs -p | grep -vxF -e "$(printf '%s\n' "${pids[@]}")") || true
for n in 1 2 3 4 5 6; do
    check_whole "$run/out-$n.sse" >/dev/null
done
[ "$(started)" = "$before" ] || fail "the zone that is out got new work"
echo "6 generations served; the engine of zone north started none of them"
"$bin/fescuectl" zone in north
serves_again() {
    generate "$second" "back in service $RANDOM" >"$run/back.sse"
    check_whole "$run/back.sse"
    [ "$(started)" -gt "$before" ]
}
wait_for 60 "new work in zone north" serves_again
echo "zone north serves again"

say "The time line over all processes"
from=()
for name in entry-1 entry-2 entry-3 admission-1 admission-2 admission-3; do
    [ -n "${pids[$name]:-}" ] && from+=(--from "${addresses[$name]}")
done
"$bin/fescue-timeline" "${from[@]}" >"$run/timeline.txt"
tail -n 25 "$run/timeline.txt"
[ -s "$run/timeline.txt" ] || fail "the time line is empty"

if [ "$keep" = --keep ]; then
    kept=1
    cat <<EOF

The system is running. Some commands to try:
  curl -s 'http://$second/v1/directory?account=diner&service=draft'
  curl -N -H '$key' http://$second/v1/completions -d '{"model":"draft","prompt":"hello","stream":true}'
  $bin/fescuectl --store $FESCUE_STORE status
Stop it with: kill ${pids[*]}
EOF
    exit 0
fi

say "Shut down gracefully"
for name in entry-1 entry-2 entry-3 admission-1 admission-2 admission-3; do
    [ -n "${pids[$name]:-}" ] || continue
    kill -TERM "${pids[$name]}"
done
for name in entry-1 entry-2 entry-3 admission-1 admission-2 admission-3; do
    [ -n "${pids[$name]:-}" ] || continue
    wait "${pids[$name]}" || fail "$name did not stop gracefully; see $run/$name.log"
    unset "pids[$name]"
done
echo "every daemon ended by itself"
echo
echo "demo: all of it held"
