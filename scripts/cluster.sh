# Functions that start and stop a whole system on loopback addresses. Sourced by demo.sh and by the
# benchmarks. Set `bin` to the folder of the programs and `run` to a folder for files of the run.

declare -A pids=()
declare -A addresses=()

say() { printf '\n== %s\n' "$*"; }

fail() {
    printf 'FAILED: %s\n' "$*" >&2
    exit 1
}

# wait_for SECONDS WHAT COMMAND...: waits until the command succeeds.
wait_for() {
    local seconds=$1 what=$2
    shift 2
    local tries=$((seconds * 20))
    until "$@" >/dev/null 2>&1; do
        tries=$((tries - 1))
        [ "$tries" -gt 0 ] || fail "$what did not happen within $seconds s"
        sleep 0.05
    done
}

# start NAME PROGRAM ARGUMENTS...: starts a program whose output goes to a log of its own.
start() {
    local name=$1
    shift
    "$@" >"$run/$name.log" 2>&1 &
    pids[$name]=$!
}

# start_standin NAME PROGRAM ARGUMENTS...: starts a stand-in on a free port.
start_standin() {
    local name=$1 program=$2
    shift 2
    rm -f "$run/$name.port"
    start "$name" "$bin/$program" --listen 127.0.0.1:0 --port-file "$run/$name.port" "$@"
    wait_for 10 "the start of $name" test -s "$run/$name.port"
    addresses[$name]=$(cat "$run/$name.port")
}

# start_daemon NAME PROGRAM ZONE VM [EXTRA]: starts a daemon of the system; EXTRA is put into its
# settings.
start_daemon() {
    local name=$1 program=$2 zone=$3 vm=$4 extra=${5:-}
    cat >"$run/$name.ini" <<EOF
[daemon]
name = $name
zone = $zone
vm = $vm
listen = 127.0.0.1:0
peer-listen = 127.0.0.1:0
$extra

[store]
address = ${addresses[store]}

[vmlist]
address = ${addresses[vmlist]}
EOF
    rm -f "$run/$name.json"
    start "$name" "$bin/$program" --config "$run/$name.ini" --ports-file "$run/$name.json"
    wait_for 10 "the start of $name" test -s "$run/$name.json"
    addresses[$name]=$(jq -r .listen "$run/$name.json")
}

# stop NAME [SIGNAL]: ends a program that this script started.
stop() {
    local name=$1 signal=${2:-TERM}
    [ -n "${pids[$name]:-}" ] || return 0
    kill "-$signal" "${pids[$name]}" 2>/dev/null || true
    wait "${pids[$name]}" 2>/dev/null || true
    unset "pids[$name]"
}

# stop_all: ends everything that is still running.
stop_all() {
    local name
    for name in "${!pids[@]}"; do
        kill -KILL "${pids[$name]}" 2>/dev/null || true
    done
    for name in "${!pids[@]}"; do
        wait "${pids[$name]}" 2>/dev/null || true
    done
    pids=()
}

# is_ready NAME: true where a daemon says that it is ready.
is_ready() { curl -sf "http://${addresses[$1]}/readyz"; }

# control NAME JSON: switches a stand-in.
control() { curl -sf -X POST -d "$2" "http://${addresses[$1]}/control" >/dev/null; }
