#!/usr/bin/env bash
# Installs, builds and runs every test. Known faults listed in KNOWN-RED.txt are run apart and
# printed; anything else that fails fails the run.
set -euo pipefail
cd "$(dirname "$0")"
source .ci/packages.sh
citron_install_packages
build=${CITRON_BUILD_DIR:-build}
jobs=${CITRON_JOBS:-$(nproc)}
cmake -S . -B "$build" -G Ninja -DCITRON_SANITIZE="${CITRON_SANITIZE:-}" \
  -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >/dev/null
cmake --build "$build" -j "$jobs" ${CITRON_TARGET:+--target "$CITRON_TARGET"}
known=""
if [ -s KNOWN-RED.txt ]; then
  echo "Known faults, not counted (KNOWN-RED.txt):"
  cat KNOWN-RED.txt
  known=$(cut -d: -f1 KNOWN-RED.txt | paste -sd'|')
  ctest --test-dir "$build" -R "^($known)\$" --output-on-failure || true
fi
ctest --test-dir "$build" -j "${CITRON_TEST_JOBS:-$jobs}" --output-on-failure --no-tests=error \
  ${known:+-E "^($known)\$"} "$@"
