#!/usr/bin/env bash
# One fault of real processes. Starts the whole system on free ports and waits for events only; the
# bounds on the waits say that something is broken, not how fast it has to be.
# Usage: faults.sh BIN RUN CASE
set -euo pipefail
bin=$1
run=$2
name=$3
cd "$(dirname "$0")/../.."
rm -rf "$run"
mkdir -p "$run/config"
. scripts/cluster.sh
trap stop_all EXIT

key="Authorization: Bearer demo-key"
engines=(ash-1 birch-1 cedar-1)
zones=(north middle south)

start_pair() {
    start_daemon "admission-$1" fescue-admission "${zones[$1 - 1]}" "vm-$1"
    start_daemon "entry-$1" fescue-entry "${zones[$1 - 1]}" "vm-$1"
}

start_system() {
    local n
    start_standin store fescue-standin-store
    start_standin vmlist fescue-standin-vmlist --vm vm-ash:north --vm vm-birch:middle \
        --vm vm-cedar:south --vm vm-ledger:middle --vm vm-1:north --vm vm-2:middle --vm vm-3:south
    for n in "${engines[@]}"; do
        start_standin "$n" fescue-standin-engine --token-ms 10 --slots 16 --cold-slots 4 \
            --memory-tokens 65536 --fencing checks --min-output 200 --max-output 260
    done
    start_standin ledger-1 fescue-standin-service
    for n in 1 2 3; do
        start_pair "$n"
    done
    cp examples/demo/*.ini "$run/config/"
    sed -i 's/^directory-ttl = .*/directory-ttl = 1s/' "$run/config/system.fescue.ini"
    for n in "${engines[@]}" ledger-1; do
        sed -i "/^\[endpoint $n\]/,/^\[/ s/^address = .*/address = ${addresses[$n]}/" \
            "$run"/config/*.ini
    done
    export FESCUE_STORE=${addresses[store]}
    "$bin/fescuectl" publish "$run/config" >/dev/null
    wait_serving 1 2 3
}

# serves N: entry N streams a whole generation.
serves() {
    generate "entry-$1" "warm up $RANDOM" >"$run/serves.sse"
    is_whole "$run/serves.sse"
}
wait_serving() {
    local n
    for n in "$@"; do
        wait_for 60 "service by entry-$n" serves "$n"
    done
}

generate() {
    curl -sN --max-time 60 -H "$key" -X POST "http://${addresses[$1]}/v1/completions" \
        -d "{\"model\":\"draft\",\"prompt\":\"$2\",\"stream\":true}" || true
}
indexes() { sed -n 's/^id: .*:\([0-9]*\)$/\1/p' "$1"; }
# in_order FILE: its tokens are 0, 1, 2 and so on.
in_order() {
    local n
    n=$(indexes "$1" | wc -l)
    indexes "$1" | cmp -s - <(seq 0 $((n - 1)))
}
is_whole() { [ -n "$(indexes "$1" | head -n 1)" ] && in_order "$1" && grep -q 'data: \[DONE\]' "$1"; }
# generations FILE: how many generations its event ids name.
generations() { sed -n 's/^id: \(.*\):[0-9]*$/\1/p' "$1" | sort -u | wc -l; }
has_tokens() { [ "$(indexes "$1" | wc -l)" -ge "$2" ]; }
expect() {
    local what=$1
    shift
    "$@" || fail "$what"
}

# call ENTRY KEY PATH: a call to the plain service; the answer is in $run/call.*
call() {
    status=$(curl -s --max-time 30 -o "$run/call.body" -D "$run/call.head" -w '%{http_code}' \
        -H "$key" -H "Idempotency-Key: $2" -X POST "http://${addresses[$1]}/v1/services/ledger$3" \
        -d '{"unit":7}') || status=000
}
runs_of() {
    curl -sf "http://${addresses[ledger-1]}/control/counts" | jq ".counts[\"$1\"] // 0"
}
run_state() { jq -r .run "$run/call.body"; }
version_of() { curl -sf "http://${addresses[$1]}/status" | jq .config_version; }

case_engine_crashes_in_mid_stream() {
    generate entry-1 "engine crash" >"$run/crash.sse" &
    local pid=$!
    wait_for 20 "20 tokens" has_tokens "$run/crash.sse" 20
    local each
    for each in "${engines[@]}"; do
        control "$each" '{"crash":true}'
    done
    wait "$pid" || true
    expect "tokens in order" in_order "$run/crash.sse"
    expect "one generation" [ "$(generations "$run/crash.sse")" = 1 ]
    expect "a final error" grep -q 'event: error' "$run/crash.sse"
    expect "no end mark" eval '! grep -q "\[DONE\]" "$run/crash.sse"'
    wait_serving 1
}

case_open_connections_go_silent() {
    generate entry-2 "silent" >"$run/silent.sse" &
    local pid=$!
    wait_for 20 "20 tokens" has_tokens "$run/silent.sse" 20
    local each
    for each in "${engines[@]}"; do
        control "$each" '{"silent":true}'
    done
    wait "$pid" || true
    expect "a whole generation" is_whole "$run/silent.sse"
    wait_serving 1 2 3
}

case_entry_frozen_past_its_lease() {
    generate entry-3 "frozen" >"$run/frozen.sse" &
    local pid=$!
    wait_for 20 "20 tokens" has_tokens "$run/frozen.sse" 20
    kill -STOP "${pids[entry-3]}"
    not_listed() {
        ! curl -sf "http://${addresses[entry-1]}/v1/directory?account=diner&service=draft" \
            | grep -q '"entry-3"'
    }
    wait_for 60 "entry-3 out of the directory" not_listed
    kill -CONT "${pids[entry-3]}"
    wait "$pid" || true
    expect "a whole generation" is_whole "$run/frozen.sse"
    wait_serving 3
}

case_admission_killed() {
    stop admission-1 KILL
    wait_serving 1 2 3
    start_daemon admission-1 fescue-admission north vm-1
    wait_serving 1 2 3
}

case_store_down_in_service() {
    control store '{"outage":"refuse"}'
    serves_all() { serves 1 && serves 2; }
    wait_for 60 "generations in an outage" serves_all
    call entry-1 outage-1 /adjust
    expect "a refusal" [ "$status" = 503 ]
    expect "not-run" [ "$(run_state)" = not-run ]
    expect "when to come back" grep -qi '^retry-after' "$run/call.head"
    expect "no run" [ "$(runs_of outage-1)" = 0 ]
    control store '{"outage":false}'
    runs_once() {
        call entry-2 outage-1 /adjust
        [ "$status" = 200 ]
    }
    wait_for 60 "the call after the outage" runs_once
    expect "one run" [ "$(runs_of outage-1)" = 1 ]
    wait_serving 1 2 3
}

case_store_answer_lost_after_the_write() {
    control store '{"lose_answer_next":1,"lose_answer_prefix":"claims/"}'
    call entry-1 lost-1 /adjust
    expect "the answer of the service, not $status" [ "$status" = 200 ]
    expect "one run" [ "$(runs_of lost-1)" = 1 ]
    call entry-2 lost-1 /adjust
    expect "the kept answer" [ "$status" = 200 ]
    expect "still one run" [ "$(runs_of lost-1)" = 1 ]
}

case_service_answer_lost() {
    control ledger-1 '{"lose_answer_next":1}'
    call entry-1 unknown-1 /adjust
    expect "an unknown outcome" [ "$(run_state)" = unknown ]
    call entry-2 unknown-1 /adjust
    expect "no second run" [ "$(runs_of unknown-1)" = 1 ]
    expect "never called not run" [ "$(run_state)" = unknown ]
}

case_entry_killed_during_a_call() {
    control ledger-1 '{"delay_ms":1500}'
    (call entry-2 killed-1 /adjust) &
    local pid=$!
    running() { [ "$(runs_of killed-1)" = 1 ]; }
    wait_for 20 "the call at the service" running
    stop entry-2 KILL
    wait "$pid" || true
    control ledger-1 '{"delay_ms":0}'
    call entry-1 killed-1 /adjust
    expect "no success" [ "$status" = 409 ]
    expect "never called not run" [ "$(run_state)" = unknown ]
    expect "one run" [ "$(runs_of killed-1)" = 1 ]
    start_daemon entry-2 fescue-entry middle vm-2
    wait_serving 2
}

case_same_key_at_all_entries_at_once() {
    local n
    local waits=()
    for n in 1 2 3 1 2 3; do
        curl -s -o /dev/null --max-time 30 -H "$key" -H "Idempotency-Key: race-1" -X POST \
            "http://${addresses[entry-$n]}/v1/services/ledger/adjust" -d '{"unit":7}' &
        waits+=($!)
    done
    wait "${waits[@]}" || true
    expect "one run" [ "$(runs_of race-1)" = 1 ]
}

case_two_operators_at_once() {
    local before
    before=$(version_of entry-1)
    "$bin/fescuectl" vm out vm-x1 >"$run/op1.log" 2>&1 &
    local first=$!
    "$bin/fescuectl" vm out vm-x2 >"$run/op2.log" 2>&1 &
    local second=$!
    wait "$first" || true
    wait "$second" || true
    "$bin/fescuectl" zone out south >/dev/null
    "$bin/fescuectl" zone in south >/dev/null
    expect "versions that only rise" [ "$(version_of entry-1)" -gt "$before" ]
    "$bin/fescuectl" publish "$run/config" --base-version 1 >"$run/op3.log" 2>&1 && code=0 || code=$?
    expect "a conflict on an old base, not exit $code" [ "$code" = 3 ]
    wait_serving 1 2 3
}

case_store_back_with_an_older_value() {
    "$bin/fescuectl" zone out south >/dev/null
    local newest each
    newest=$(version_of entry-1)
    control store '{"old_value":true}'
    start_daemon entry-9 fescue-entry north vm-1
    learns() { [ "$(version_of entry-9)" -ge $((newest - 1)) ]; }
    wait_for 30 "a configuration at the new entry" learns
    for each in entry-1 entry-2 entry-3 admission-1 admission-2 admission-3; do
        expect "$each never goes back" [ "$(version_of "$each")" -ge "$newest" ]
    done
    control store '{"old_value":false}'
    "$bin/fescuectl" zone in south >/dev/null
    stop entry-9
    wait_serving 1 2 3
}

case_zone_taken_out_during_an_outage_is_not_accepted() {
    control store '{"outage":"refuse"}'
    "$bin/fescuectl" zone out north >"$run/outage.log" 2>&1 && code=0 || code=$?
    expect "an unreachable store, not exit $code" [ "$code" = 4 ]
    control store '{"outage":false}'
    wait_serving 1 2 3
}

case_zone_out_gets_no_new_work() {
    started() { curl -sf "http://${addresses[ash-1]}/control/stats" | jq .started; }
    "$bin/fescuectl" zone out north >/dev/null
    local before n
    before=$(started)
    for n in 1 2 3; do
        serves "$n" || fail "entry-$n serves"
    done
    expect "no new work in the zone" [ "$(started)" = "$before" ]
    "$bin/fescuectl" zone in north >/dev/null
}

case_graceful_shutdown_under_load() {
    local n
    local waits=()
    for n in 1 2 3 4; do
        generate entry-1 "leaving $n" >"$run/leaving-$n.sse" &
        waits+=($!)
    done
    for n in 1 2 3 4; do
        wait_for 30 "tokens of stream $n" has_tokens "$run/leaving-$n.sse" 5
    done
    kill -TERM "${pids[entry-1]}"
    wait "${waits[@]}" || true
    for n in 1 2 3 4; do
        expect "whole stream $n" is_whole "$run/leaving-$n.sse"
    done
    wait "${pids[entry-1]}" || fail "entry-1 ends with 0"
    unset "pids[entry-1]"
    start_daemon entry-1 fescue-entry north vm-1
    wait_serving 1
}

# A call that may not be repeated and cannot end before the process does must not be taken: it would
# be cut, and nobody could tell whether it has run.
case_call_longer_than_the_rest_of_the_grace() {
    start_daemon entry-9 fescue-entry north vm-1 "drain-grace = 3s"
    wait_serving 9
    control ledger-1 '{"delay_ms":4000}'
    kill -TERM "${pids[entry-9]}"
    wait_for 10 "the start of the shutdown" grep -q event=leaving "$run/entry-9.log"
    call entry-9 late-1 /adjust
    control ledger-1 '{"delay_ms":0}'
    expect "a refusal, not $status" [ "$status" = 503 ]
    expect "not-run" [ "$(run_state)" = not-run ]
    expect "when to come back" grep -qi '^retry-after' "$run/call.head"
    expect "no run" [ "$(runs_of late-1)" = 0 ]
    call entry-1 late-1 /adjust
    expect "the call at another entry, not $status" [ "$status" = 200 ]
    expect "one run" [ "$(runs_of late-1)" = 1 ]
    wait "${pids[entry-9]}" || fail "entry-9 ends with 0"
    unset "pids[entry-9]"
}

# A call that waits for capacity must not keep the process alive past its grace, and is told that it
# has not run.
case_queued_call_at_the_end_of_the_grace() {
    local n
    # An entry that starts without them gets no credits.
    for n in 1 2 3; do
        stop "admission-$n" KILL
    done
    start_daemon entry-9 fescue-entry north vm-1 "drain-grace = 4s"
    wait_for 30 "entry-9 to be ready" is_ready entry-9
    (
        call entry-9 queued-1 /adjust
        printf '%s %s' "$status" "$(run_state)" >"$run/queued"
    ) &
    local waiting=$!
    sleep 1
    expect "a call that waits" [ ! -e "$run/queued" ]
    kill -TERM "${pids[entry-9]}"
    ended() { ! kill -0 "${pids[entry-9]}"; }
    wait_for 20 "the end of entry-9" ended
    wait "${pids[entry-9]}" || true
    unset "pids[entry-9]"
    wait "$waiting" || true
    expect "a refusal that says not-run, not $(cat "$run/queued")" \
        [ "$(cat "$run/queued")" = "503 not-run" ]
}

# A request that is half read when nothing else is open any more gets an answer.
case_half_read_call_at_the_end() {
    start_daemon entry-9 fescue-entry north vm-1
    wait_serving 9
    local n half port=${addresses[entry-9]##*:}
    kill -TERM "${pids[entry-9]}"
    # A head may take 10 s only, and it is not known when new requests are refused.
    refuses() { grep -q event=refusing-new "$run/entry-9.log"; }
    until refuses; do
        exec {half}<>"/dev/tcp/127.0.0.1/$port"
        printf 'POST /v1/services/ledger/adjust HTTP/1.1\r\nHost: e\r\n%s\r\n' "$key" >&"$half"
        for n in $(seq 20); do
            refuses || sleep 0.1
        done
    done
    # Longer than one step of the shutdown.
    sleep 0.3
    (
        trap '' PIPE
        printf 'Idempotency-Key: half-1\r\nContent-Length: 10\r\n\r\n{"unit":7}' >&"$half" || true
    )
    timeout 10 cat <&"$half" >"$run/half" || true
    expect "a refusal" grep -q '^HTTP/1.1 503' "$run/half"
    expect "not-run" grep -q '"run":"not-run"' "$run/half"
    wait "${pids[entry-9]}" || fail "entry-9 ends with 0"
    unset "pids[entry-9]"
}

# A hang-up signal does not ask for a stop.
case_hang_up_does_not_end_a_daemon() {
    kill -HUP "${pids[entry-1]}" "${pids[admission-1]}"
    sleep 0.3
    expect "entry-1 runs on" kill -0 "${pids[entry-1]}"
    expect "admission-1 runs on" kill -0 "${pids[admission-1]}"
    wait_serving 1
}

case_malformed_input() {
    local port=${addresses[entry-1]##*:}
    printf 'GET / HTTP/9.9\r\n\r\n' | timeout 5 curl -s --max-time 3 "telnet://127.0.0.1:$port" \
        >/dev/null || true
    head -c 70000 /dev/zero | tr '\0' 'x' >"$run/huge"
    status=$(curl -s -o "$run/call.body" -w '%{http_code}' -H "X-Huge: $(cat "$run/huge")" \
        "http://${addresses[entry-1]}/v1/directory") || true
    expect "431 for a huge head, not $status" [ "$status" = 431 ]
    head -c 6000000 /dev/zero >"$run/huge"
    status=$(curl -s -o "$run/call.body" -w '%{http_code}' -H "$key" --data-binary "@$run/huge" \
        "http://${addresses[entry-1]}/v1/completions") || true
    expect "413 for a huge body, not $status" [ "$status" = 413 ]
    printf '\377\377\377garbage' | timeout 5 curl -s --max-time 3 \
        "telnet://$(jq -r .peer "$run/entry-1.json")" >/dev/null || true
    wait_serving 1
}

case_everything_restarted_at_once() {
    local n
    call entry-1 lost-1 /adjust
    expect "the answer of the service" [ "$status" = 200 ]
    for n in 1 2 3; do
        stop "entry-$n" KILL
        stop "admission-$n" KILL
    done
    for n in 1 2 3; do
        start_pair "$n"
    done
    wait_serving 1 2 3
    call entry-1 lost-1 /adjust
    expect "the kept answer after the restart" [ "$status" = 200 ]
    expect "still one run" [ "$(runs_of lost-1)" = 1 ]
}

start_system
"case_$name"
echo "pass $name ($SECONDS s)"
