#!/usr/bin/env bash
# Checks that no name of the platform's wire stands outside the adapter, its tests and the soak.
set -euo pipefail
cd "$(dirname "$0")/.."
names='X-Attempt-Id|X-Token-Usage|X-Prefix-Hash|X-Tenant-Id|X-Expected-|X-Not-Executed'
names+='|X-Request-Priority|X-Server-Signature|X-Kv-Backup|X-Cache-Hold|X-Pin-Ms|Kv-From|Kv-Fetch'
names+='|X-Length-Hint|ExpectedRevision|kv-txn|kv-range|kv-watch|kv-move|kv-lease|kv-keep|kv-handle'
names+='|ColdRemainingMs|KvCapacity|WeightedServices|DirectoryService|op/config|op/evacuate|op/rollout'
names+='|status/rollout|StreamResumption|SessionAffinity|ReuseWindowS|ExposureShare|ExposureTolerance'
if git grep -nE "$names" -- src include tests ':!tests/platform' ':!tests/soak'; then
    echo "names of the platform outside platform/"
    exit 1
fi
echo "names: clean"
