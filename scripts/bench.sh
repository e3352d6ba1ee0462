#!/usr/bin/env bash
# Compares three ways to call a stand-in engine under the same concurrent load: directly, through the passthrough
# command (a proxy without scheduling) and through one host. Usage: scripts/bench.sh [requests per second] [seconds].
# Results go to out/bench/.
set -euo pipefail
cd "$(dirname "$0")/.."
rate=${1:-20}
seconds=${2:-20}
bin=build/bin
out=out/bench
scripts/build.sh
rm -rf "$out"
mkdir -p "$out"
pids=()
stop_all() {
    for pid in "${pids[@]}"; do
        kill -KILL "$pid" 2>/dev/null || true
    done
}
trap stop_all EXIT

# Starts a program in the background with its output in $out/NAME.out.
start() {
    local name=$1
    shift
    "$@" >"$out/$name.out" 2>"$out/$name.err" &
    pids+=($!)
}
# Waits until a stand-in has printed its port, and prints that port.
port_of() {
    for _ in $(seq 100); do
        if grep -q '^port=' "$out/$1.out"; then
            sed -n '1s/^port=//p' "$out/$1.out"
            return
        fi
        sleep 0.05
    done
    echo "$1 did not print its port" >&2
    return 1
}
# Waits until host 0 is ready.
wait_ready() {
    for _ in $(seq 200); do
        if python3 -c 'import sys, urllib.request as u; u.urlopen("http://127.0.0.1:%s/readyz" % sys.argv[1], timeout=1)' \
            "$1" 2>/dev/null; then
            return
        fi
        sleep 0.1
    done
    echo "the host did not become ready" >&2
    return 1
}

# Each variant has its own engine, since requests in one batch would slow down those of the other variants.
options='{"prefill_tokens_per_second":200000,"decode_tokens_per_second":100,"streams":64}'
for variant in direct passthrough host; do
    start "engine-$variant" $bin/sapphirecove-standins engine --port 0 --options "$options"
done
start log $bin/sapphirecove-standins log --port 0
engine_direct=$(port_of engine-direct)
engine_passthrough=$(port_of engine-passthrough)
engine_host=$(port_of engine-host)
log=$(port_of log)
passthrough=24900
callers=24901
operators=24902
peers=24903

cat >"$out/hosts.json" <<JSON
{"hosts": [{"id": "bench-1", "address": "127.0.0.1", "peer_port": $peers, "region": "accra",
            "failure_domain": "accra-osu", "state": "live"}],
 "targets": [{"id": "layout-1", "state": "live"}]}
JSON
start list $bin/sapphirecove-standins hosts --port 0 --file "$out/hosts.json"
host_list=$(port_of list)
echo key-of-the-bench-operators >"$out/operators.key"
echo key-of-the-bench-fleet >"$out/fleet.key"
cat >"$out/settings.json" <<JSON
{"host": {"id": "bench-1", "region": "accra", "failure_domain": "accra-osu"},
 "listen": {"callers": "127.0.0.1:$callers", "operators": "127.0.0.1:$operators", "peers": "127.0.0.1:$peers"},
 "keys": {"operators_file": "operators.key", "fleet_file": "fleet.key"},
 "platform": {"log": "127.0.0.1:$log", "host_list": "127.0.0.1:$host_list"}}
JSON
key_hash=$(printf %s bench-key | sha256sum | cut -d' ' -f1)
mkdir -p "$out/config"
cat >"$out/config/bench.json" <<JSON
{"tiers": {"urgent": {"tier": 0, "default_deadline_ms": 60000}, "normal": {"tier": 1, "default_deadline_ms": 60000}},
 "failure_domains": {"accra-osu": {"region": "accra"}},
 "customers": {"bench": {"key_hashes": ["$key_hash"], "highest_tier": "urgent", "default_tier": "normal"}},
 "pools": {"layout-llm": {"kind": "model", "model": "layout-llm", "version": "v1",
           "capacity": {"streams": 64, "prefill_tokens": 200000, "prefill_tokens_per_second": 200000,
                        "decode_tokens_per_second": 100}}},
 "targets": {"layout-1": {"pool": "layout-llm", "address": "127.0.0.1", "port": $engine_host,
                          "failure_domain": "accra-osu"}}}
JSON
start host $bin/sapphirecove serve --settings "$out/settings.json"
start passthrough $bin/sapphirecove passthrough --listen "127.0.0.1:$passthrough" \
    --target "127.0.0.1:$engine_passthrough"
$bin/sapphirecove config publish "$out/config" --settings "$out/settings.json" --operator bench
wait_ready "$operators"

run_load() {
    $bin/sapphirecove-load --host "127.0.0.1:$2" --customer bench=bench-key --class order-answer --class role-tag \
        --rate "$rate" --duration "$seconds" --seed 7 --csv "$out/$1.csv" >"$out/$1.txt" 2>&1
}
load_pids=()
run_load direct "$engine_direct" & load_pids+=($!)
run_load passthrough "$passthrough" & load_pids+=($!)
run_load host "$callers" & load_pids+=($!)
failed=0
for load_pid in "${load_pids[@]}"; do
    wait "$load_pid" || failed=1
done
for variant in direct passthrough host; do
    echo "== $variant"
    cat "$out/$variant.txt"
done
exit $failed
