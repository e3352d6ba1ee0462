#!/usr/bin/env bash
# Formats all C++ files; with --check it only reports files that differ and fails.
set -euo pipefail
cd "$(dirname "$0")/.."
mode=(-i)
[ "${1:-}" = --check ] && mode=(--dry-run --Werror)
git ls-files -co --exclude-standard '*.h' '*.cpp' | xargs -r clang-format "${mode[@]}"
