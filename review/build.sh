#!/usr/bin/env bash
# Builds the scripts' drivers with their stand-ins into review/bin.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -I.)
for part in http platform; do
    clang++ "${flags[@]}" -c "standins/$part.cpp" -o "bin/$part.o"
done
for folder in [1-5]; do
    [ -f "$folder/case.cpp" ] || continue
    clang++ "${flags[@]}" "$folder/case.cpp" bin/http.o bin/platform.o -o "bin/case-$folder"
done
