#!/usr/bin/env bash
# Replaces machines, then takes power from all of them, and checks that the fleet serves again.
exec "$(dirname "$0")/../standins/run.sh" "$(dirname "$0")/replacedmachines.py"
