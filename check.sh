#!/usr/bin/env bash
# Sets up, then runs every test. Tests named in KNOWN-RED.txt run apart:
# their result is printed and does not decide the verdict.
set -euo pipefail
cd "$(dirname "$0")"
./setup.sh
red=$(sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null | paste -sd'|')
if [ -n "$red" ]; then
    cat KNOWN-RED.txt
    ctest --test-dir build -R "^($red)\$" || true
    ctest --test-dir build -j 3 --output-on-failure -E "^($red)\$"
else
    ctest --test-dir build -j 3 --output-on-failure
fi
