#!/usr/bin/env bash
# Short fuzz runs of every parser, the same inputs each time.
set -euo pipefail
cd "$(dirname "$0")/.."
source .ci/packages.sh
citron_install_packages
build=${CITRON_BUILD_DIR:-build-fuzz}
jobs=${CITRON_JOBS:-$(nproc)}
cmake -S . -B "$build" -G Ninja -DCITRON_FUZZ=ON -DCMAKE_CXX_COMPILER=clang++ \
  -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >/dev/null
cmake --build "$build" -j "$jobs" --target fuzz_targets
ctest --test-dir "$build" -j "$jobs" --output-on-failure --no-tests=error
