#!/usr/bin/env bash
# Turns the deciding host away from the store and checks that nothing goes to a worker that has left.
exec "$(dirname "$0")/../standins/run.sh" "$(dirname "$0")/staledecider.py"
