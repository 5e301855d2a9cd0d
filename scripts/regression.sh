#!/usr/bin/env bash
# Plays hunts on the sites that every change has to hold, newest deployments first:
#   scripts/regression.sh BENCH SITES
# BENCH is the users' bench, SITES the folder of their pages. Ends with 1 where a hunt ended with
# a failure; its lines name broken rules. The deployments of the first milestone (sites/) are covered by grown/ and large/.
set -euo pipefail
bench=${1:?usage: scripts/regression.sh BENCH SITES}
sites=${2:?usage: scripts/regression.sh BENCH SITES}
failed=0
hunt() {
    echo "== $1, $2 days"
    "$bench" hunt "$sites/$1.toml" --days "$2" --jobs "$3" --why "regression run" || failed=1
}
hunt large/waypoint-ops-large 8 2
hunt further-grown/kmn-fescue-grown 8 3
hunt further/kmn-fescue 40 3
hunt grown/waypoint-ops-grown 8 3
hunt grown/ferreira-corte-grown 8 3
exit "$failed"
