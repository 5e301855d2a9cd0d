#!/usr/bin/env bash
# Measures the control part over the number of daemons, with few watchers of the store and with
# every daemon watching. Writes bench/results/slopes.md. Run on an otherwise idle machine.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/build/bin
run=$PWD/out/bench-slopes
rm -rf "$run"
mkdir -p "$run" bench/results
. scripts/cluster.sh
trap stop_all EXIT
result=bench/results/slopes.md

# field TEXT FILE: the number after a text.
field() { sed -n "s/.*$1 \([0-9.-]*\).*/\1/p" "$2" | head -n 1; }

row() {
    local n=$1 mode=$2
    shift 2
    local out=$run/$mode-$n.txt
    start_standin store fescue-standin-store
    "$bin/fescue-bench-controltraffic" --store "${addresses[store]}" --daemons "$n" \
        --seconds 6 "$@" >"$out"
    stop store
    local beats bytes
    beats=$(field 'heartbeat per daemon and second: messages' "$out")
    bytes=$(awk '/per daemon and second/ {sum += $NF} END {printf "%.0f", sum}' "$out")
    local force
    force=$(sed -n 's/.*in force everywhere after \([0-9]*\) ms/\1/p' "$out" | sort -n | tr '\n' ' ')
    echo "| $mode | $n | $beats | $bytes | $(field reads "$out") | $(field writes "$out") | $(field watches "$out") | $(field 'share of a core per daemon:' "$out") | $(field 'resident per daemon:' "$out") | $force |" >>"$result"
}

{
    echo "# Control part over the number of daemons"
    echo
    echo "Written by \`bench/slopes.sh\` on $(nproc) cores, load before the run $(cut -d' ' -f1 /proc/loadavg)."
    echo "All daemons of a row run in one process against one store stand-in; 6 s in steady state,"
    echo "then five publishings. Store calls are those of all daemons together."
    echo
    echo "| watching | daemons | heartbeats/s a daemon | bytes/s sent a daemon | store reads/s | writes/s | watches/s | % of a core a daemon | KB a daemon | in force everywhere, ms |"
    echo "|---|---|---|---|---|---|---|---|---|---|"
} >"$result"
for n in 3 9 27 81; do
    row "$n" few
done
for n in 9 27 81; do
    row "$n" every --every-daemon-watches
done
cat "$result"
