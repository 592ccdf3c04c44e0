#!/usr/bin/env bash
# Formatter and linter over the whole tree; any finding fails.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${CITRON_BUILD_DIR:-build}
mapfile -t files < <(git ls-files -co --exclude-standard '*.cc' '*.h')
clang-format --dry-run --Werror "${files[@]}"
run-clang-tidy -p "$build" -quiet -j "${CITRON_JOBS:-$(nproc)}" \
  -extra-arg=-Wno-unknown-warning-option \
  "$PWD/(src|platform|apps|standins|tools|tests|bench)/.*\.cc$" >"$build/clang-tidy.log" 2>&1 || {
  grep -E 'error:|warning:' "$build/clang-tidy.log" | sort -u | head -50
  exit 1
}
echo "Formatter and linter: clean."
