#!/usr/bin/env bash
# Installs the Debian packages in packages.txt and builds everything.
set -euo pipefail
cd "$(dirname "$0")"
as_root=
[ "$(id -u)" = 0 ] || as_root=sudo
missing=$(xargs dpkg-query -W -f '${db:Status-Abbrev} ${Package}\n' \
    < packages.txt 2>&1 | grep -cv '^ii ' || true)
if [ "$missing" != 0 ]; then
    $as_root apt-get update -qq
    xargs env DEBIAN_FRONTEND=noninteractive $as_root \
        apt-get install -y -qq --no-install-recommends < packages.txt
fi
cmake -S . -B build -G Ninja --log-level=WARNING
cmake --build build
