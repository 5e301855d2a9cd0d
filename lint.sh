#!/usr/bin/env bash
# Checks formatting and runs clang-tidy over every source file. With --fix, formats in place.
set -euo pipefail
cd "$(dirname "$0")"
mapfile -t files < <(git ls-files '*.h' '*.inl' '*.cpp')
[ "${#files[@]}" -gt 0 ] || exit 0
if [ "${1:-}" = --fix ]; then
    clang-format -i "${files[@]}"
    exit 0
fi
clang-format --dry-run -Werror "${files[@]}"
echo "format: clean"
[ "${1:-}" = --format ] && exit 0
git ls-files 'src/*.cpp' 'platform/*.cpp' 'tests/*.cpp' 'bench/*.cpp' \
    | xargs -P "$(nproc)" -n 2 clang-tidy --quiet -p build 2>build/tidy.err
echo "clang-tidy: clean"
