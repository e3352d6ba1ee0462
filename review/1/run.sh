#!/usr/bin/env bash
# Sends requests that carry another request where their body is due.
exec "$(dirname "$0")/../standins/run.sh" "$(dirname "$0")/smuggledrequest.py"
