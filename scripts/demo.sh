#!/usr/bin/env bash
# Shows a fleet of 6 hosts at work: scripts/demo.sh [adinkra|daegu].
# Installs and builds first; everything that it starts is stopped at the end.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install.sh
scripts/build.sh
exec python3 scripts/demo/demo.py --user "${1:-adinkra}" --bin build/bin
