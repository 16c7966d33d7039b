#!/usr/bin/env bash
# Sets up, then runs stand-ins, six entries and a load; takes a data centre
# out and brings it back meanwhile. Leaves results and the report in out/.
set -euo pipefail
cd "$(dirname "$0")"

sample=trockenstiefel
phase_s=15
warm_up_s=10
while [ $# -gt 0 ]; do
    case $1 in
    --sample) sample=$2; shift 2 ;;
    --phase-seconds) phase_s=$2; shift 2 ;;
    *)
        echo "usage: demo.sh [--sample trockenstiefel|ndiaye]" \
            "[--phase-seconds N]"
        exit 2
        ;;
    esac
done
dir=samples/$sample
[ -d "$dir" ] || { echo "no sample $dir" >&2; exit 2; }

./setup.sh > /dev/null
bin=build
out=out/$sample
mkdir -p "$out"

pids=()
stop_all() {
    trap - EXIT
    # Entries leave in order only while the platform is there.
    for pid in "${pids[@]:2}"; do
        kill "$pid" 2> /dev/null || true
    done
    for pid in "${pids[@]:2}"; do
        wait "$pid" 2> /dev/null || true
    done
    for pid in "${pids[@]:0:2}"; do
        kill "$pid" 2> /dev/null || true
    done
    wait
}
trap stop_all EXIT
trap 'exit 130' INT TERM

# setting FILE NAME: the text of one field of a settings file
setting() {
    sed -n "s/.*\"$2\": *\"\([^\"]*\)\".*/\1/p" "$1"
}

# wait_for ADDRESS PATH: until an HTTP server answers 200 there
wait_for() {
    for _ in $(seq 300); do
        if (
            exec 3<> "/dev/tcp/${1%:*}/${1#*:}"
            printf 'GET %s HTTP/1.1\r\nHost: demo\r\nConnection: close\r\n\r\n' \
                "$2" >&3
            read -r -t 2 line <&3
            [[ $line == *" 200 "* ]]
        ) 2> /dev/null; then
            return
        fi
        sleep 0.1
    done
    echo "$1$2 did not answer; see $out" >&2
    exit 1
}

entries=()
platform=$(setting "$dir/entries/e1.json" platform_address)
centre=$(setting "$dir/entries/e1.json" data_centre)
$bin/vanillapost-platform-standin --listen "$platform" > "$out/platform.log" &
pids+=($!)
wait_for "$platform" /control/truth
$bin/vanillapost-records --platform "$platform" apply "$dir/records" \
    > "$out/records.log"
$bin/vanillapost-target-standin --records "$dir"/records/*.json \
    > "$out/targets.log" &
pids+=($!)
for settings in "$dir"/entries/*.json; do
    name=$(basename "$settings" .json)
    $bin/vanillapost-router --settings "$settings" > "$out/$name.log" 2>&1 &
    pids+=($!)
    entries+=("$(setting "$settings" caller_address)")
done
for address in "${entries[@]}"; do
    wait_for "$address" /readyz
done
echo "six entries serve $sample; after $warm_up_s s at a third of the load," \
    "$phase_s s each with $centre in, out and back"

$bin/vanillapost-burn "${entries[@]}" --platform "$platform" \
    --duration $((warm_up_s + 3 * phase_s)) --interval 1 --html "$out/burn.html" \
    --json "$out/burn.json" > "$out/burn.log" 2>&1 &
burn=$!
pids+=($burn)
$bin/vanillapost-load --entries "${entries[@]}" --mix "$dir/mix.json" \
    --phases "$warm_up_s:0.3,$phase_s:1,$phase_s:1,$phase_s:1" \
    --json "$out/load.json" --svg "$out/load.svg" > "$out/load.txt" &
load=$!
pids+=($load)
sleep $((warm_up_s + phase_s))
echo "taking $centre out"
$bin/vanillapost-records --platform "$platform" take-out "$centre" \
    >> "$out/records.log"
sleep "$phase_s"
echo "bringing $centre back"
$bin/vanillapost-records --platform "$platform" bring-back "$centre" \
    >> "$out/records.log"
wait "$load"
wait "$burn" || true

echo
echo "phase 1: warm-up; 2: all data centres; 3: $centre out; 4: $centre back"
cat "$out/load.txt"
echo
echo "report on service-level burn: $out/burn.html"
echo "latency over time: $out/load.svg; all figures: $out/load.json"
