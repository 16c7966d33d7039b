#!/usr/bin/env bash
# Checks format and lint of every source file. Needs a finished build.
set -euo pipefail
cd "$(dirname "$0")"
git ls-files '*.hpp' '*.cpp' | xargs clang-format --dry-run --Werror
git ls-files 'src/*.cpp' 'apps/*.cpp' 'platform/*.cpp' 'standins/*.cpp' 'bench/*.cpp' |
    xargs -r -P "$(nproc)" -n 2 clang-tidy -p build --quiet
