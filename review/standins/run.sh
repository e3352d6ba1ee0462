#!/usr/bin/env bash
# Runs the case in the folder of the script that is given, with Python 3. Exit status: 1 if the rule was broken, 0 if it
# held, 2 if the case could not run.
set -u
limit_s=115
command -v python3 >/dev/null || exit 2
[ -x "$(dirname "$0")/../../target/bin/sapphirecove" ] || exit 2
timeout --signal=KILL "$limit_s" python3 -B "$1"
case $? in
    0) exit 0 ;;
    1) exit 1 ;;
    *) exit 2 ;;
esac
