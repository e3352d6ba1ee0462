#!/usr/bin/env bash
# Demonstrates a fleet of 6 hosts in which hosts fail. Usage: scripts/demo.sh [adinkra|daegu].
# Installs packages and builds first; stops all processes that it started at the end.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh
exec python3 scripts/demo/demo.py --user "${1:-adinkra}" --bin build/bin
