#!/usr/bin/env bash
# Runs all policies over both deployments at 70, 100 and 130% of capacity and through a zone that
# leaves and returns, five seeds each, and writes the summary to bench/results/policy.md.
# Usage: bench/policy.sh [OUTPUT.md] [extra options of fescue-load experiment]
set -euo pipefail
cd "$(dirname "$0")/.."
out=${1:-bench/results/policy.md}
shift || true
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
jobs=${JOBS:-3}
export bin=${FESCUE_LOAD:-build/bin/fescue-load}

run() {
    "$bin" experiment --scenario "$1" --load "$2" --seed 1 2 3 4 5 \
        --json "$work/$1-$2$3.json" "${@:3}" >/dev/null 2>>"$work/log"
}
export -f run
export work
{
    for scenario in waypoint ferreira; do
        for load in 0.7 1.0 1.3; do
            echo "run $scenario $load $*"
        done
        echo "run $scenario 1.0 --zone-outage $*"
    done
} | xargs -P "$jobs" -I{} bash -c '{}'
"$bin" summary "$work"/*.json --out "$out"
echo "wrote $out"
