#!/usr/bin/env bash
# Sends requests that carry another request where their body is due.
# TROUBLE=0 runs the same without the disruption.
export TROUBLE="${TROUBLE:-1}"
exec "$(dirname "$0")/../standins/run.sh" "$(dirname "$0")/smuggledrequest.py"
