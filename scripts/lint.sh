#!/usr/bin/env bash
# Runs clang-tidy on the given files, or on all translation units of the product, the platform adapter, the stand-ins
# and the benchmarks.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build -G Ninja >/dev/null
if [ $# -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files -co --exclude-standard 'src/*.cpp' 'platform/*.cpp' 'standins/*.cpp' 'bench/*.cpp' | grep -v '/asio\.cpp$')
fi
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p build 2>/dev/null
