#!/usr/bin/env bash
# Measures the relay of one entry with one worker against the engine called directly, in one run.
# Writes bench/results/relay.md. Run on an otherwise idle machine.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/build/bin
run=$PWD/out/bench-relay
rm -rf "$run"
mkdir -p "$run/config" bench/results
. scripts/cluster.sh
trap stop_all EXIT
result=bench/results/relay.md

start_standin store fescue-standin-store
start_standin vmlist fescue-standin-vmlist --vm vm-1:north --vm vm-flood:north --vm vm-paced:north
start_engine() {
    start "$1" "$bin/fescue-bench-relay" engine --port-file "$run/$1.port" --token-ms "$2"
    wait_for 10 "the start of $1" test -s "$run/$1.port"
    addresses[$1]=$(cat "$run/$1.port")
}
start_engine flood 0
start_engine paced 20
start_daemon admission-1 fescue-admission north vm-1
start_daemon entry-1 fescue-entry north vm-1 "workers = 1"
export FESCUE_STORE=${addresses[store]}

publish() {
    cp examples/demo/system.fescue.ini "$run/config/"
    # Not the limits of the account but the relay is measured.
    sed -i 's/^key-hash = .*/&\nmax-streams = 100000/' "$run/config/system.fescue.ini"
    cat >"$run/config/draft.fescue.ini" <<EOF
[service draft]
kind = model
profile = finish

[endpoint $1-1]
service = draft
zone = north
vm = vm-$1
address = ${addresses[$1]}
slots = 4096
cold-slots = 4096
memory-tokens = 1000000000
EOF
    "$bin/fescuectl" publish "$run/config" >/dev/null
}

cpu_ticks() { awk '{print $14 + $15}' "/proc/${pids[entry-1]}/stat"; }
resident_kb() { awk '/^VmRSS/ {print $2}' "/proc/${pids[entry-1]}/status"; }
client() { "$bin/fescue-bench-relay" client --key demo-key "$@"; }

publish flood
wait_for 10 "readiness" is_ready entry-1
# The first streams after a start wait for credit; they do not count.
wait_for 30 "a stream" client --target "${addresses[entry-1]}" --streams 8 --tokens 100
idle=$(resident_kb)
{
    echo "# Relay of one entry with one worker"
    echo
    echo "Written by \`bench/relay.sh\` on $(nproc) cores, load before the run $(cut -d' ' -f1 /proc/loadavg)."
    echo
    echo "Without a pause between tokens (flood):"
    echo
    echo "| streams | tokens/s direct | tokens/s through the entry | entry CPU, µs a token | tokens/s a core |"
    echo "|---|---|---|---|---|"
} >"$result"
for streams in 1 8 32 128; do
    tokens=$((640000 / streams))
    [ "$tokens" -gt 80000 ] && tokens=80000
    read -r _ direct _ < <(client --target "${addresses[flood]}" --streams $streams --tokens $tokens)
    before=$(cpu_ticks)
    read -r n through _ < <(client --target "${addresses[entry-1]}" --streams $streams --tokens $tokens)
    after=$(cpu_ticks)
    awk -v s=$streams -v d="$direct" -v t="$through" -v n="$n" -v c=$((after - before)) \
        -v hz="$(getconf CLK_TCK)" \
        'BEGIN { us = c / hz * 1e6 / n; printf "| %d | %d | %d | %.2f | %d |\n", s, d, t, us, 1e6 / us }' \
        >>"$result"
done

publish paced
wait_for 30 "a paced stream" client --target "${addresses[entry-1]}" --streams 8 --tokens 20
{
    echo
    echo "A token every 20 ms in each stream; delay from the engine's write to the client's read:"
    echo
    echo "| streams | direct p50 µs | direct p99 µs | entry p50 µs | entry p99 µs | added p50 µs | added p99 µs | failed |"
    echo "|---|---|---|---|---|---|---|---|"
} >>"$result"
for streams in 16 64 256; do
    read -r _ _ d50 d99 _ _ _ < <(client --target "${addresses[paced]}" --streams $streams --tokens 200)
    read -r _ _ e50 e99 _ _ bad < <(client --target "${addresses[entry-1]}" --streams $streams --tokens 200)
    echo "| $streams | $d50 | $d99 | $e50 | $e99 | $((e50 - d50)) | $((e99 - d99)) | $bad |" >>"$result"
done

client --target "${addresses[entry-1]}" --streams 1000 --tokens 200 >"$run/memory.out" &
pid=$!
sleep 2
open=$(resident_kb)
wait "$pid" || true
{
    echo
    echo "Memory: $idle KB resident when idle; $open KB with 1000 open streams,"
    echo "$(((open - idle) / 1000)) KB a stream. Failed streams of 1000: $(awk '{print $7}' "$run/memory.out")."
} >>"$result"
cat "$result"
