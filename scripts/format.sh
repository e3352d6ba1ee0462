#!/usr/bin/env bash
# Formats all C++ files. With --check it changes nothing, reports files that are not formatted, and then fails.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
[ "${1:-}" = --check ] && mode=(--dry-run --Werror)
git ls-files -co --exclude-standard '*.h' '*.cpp' | xargs -r clang-format "${mode[@]}"
