#!/usr/bin/env bash
# Installs the compiler, tools and libraries that fescueworks needs on Debian 12.
set -euo pipefail

packages=(
    clang clang-format clang-tidy lld cmake ninja-build pkg-config curl jq
    libboost1.81-dev libboost-fiber1.81-dev libboost-context1.81-dev libboost-log1.81-dev
    libboost-thread1.81-dev libboost-filesystem1.81-dev
    libwebsocketpp-dev nlohmann-json3-dev prometheus-cpp-dev libcli11-dev libexpected-dev
    libssl-dev libinih-dev libxxhash-dev zlib1g-dev
    libgtest-dev libbenchmark-dev librapidcheck-dev
)
sudo=()
[ "$(id -u)" -eq 0 ] || sudo=(sudo)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' \
        || missing+=("$package")
done
if [ "${#missing[@]}" -gt 0 ]; then
    "${sudo[@]}" apt-get update -q
    "${sudo[@]}" env DEBIAN_FRONTEND=noninteractive apt-get install -y -q "${missing[@]}"
fi
