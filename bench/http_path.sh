#!/usr/bin/env bash
# Runs bench_http_path: a direct call, a relay on plain evhttp and the relay
# of the I/O layer, one after the other against the same target.
# Usage: bench/http_path.sh [seconds] [calls in flight...]
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=${1:-3}
shift || true
bench=build/bench_http_path
target=127.0.0.1:18301
evhttp=127.0.0.1:18302
relay=127.0.0.1:18303
pids=()
trap 'kill "${pids[@]}" 2>/dev/null; wait' EXIT
"$bench" target --listen $target &
pids+=($!)
"$bench" evhttp-relay --listen $evhttp --to $target &
pids+=($!)
"$bench" relay --listen $relay --to $target &
pids+=($!)
sleep 0.5
for in_flight in "${@:-1 32}"; do
    for n in $in_flight; do
        for path in direct=$target evhttp-relay=$evhttp relay=$relay; do
            "$bench" load --to "${path#*=}" --label "${path%=*}" \
                --in-flight "$n" --seconds "$seconds"
        done
    done
done
