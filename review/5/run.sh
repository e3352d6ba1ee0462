#!/usr/bin/env bash
# Turns the deciding host away from the store and checks that nothing goes to a worker that has left.
# TROUBLE=0 runs the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../standins/run.sh" "$(dirname "$0")/staledecider.py"
