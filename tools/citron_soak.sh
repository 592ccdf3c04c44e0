#!/usr/bin/env bash
# Plays seeds of the fault soak (tests/soak), several at once, and prints the report of each that
# broke a rule.
set -euo pipefail
cd "$(dirname "$0")/.."

usage() {
  echo "usage: tools/citron_soak.sh [--seed N] [--count N] [--seconds N] [--jobs N]"
}

seed=1
count=10
seconds=20
jobs=3
while [ $# -gt 0 ]; do
  case "$1" in
    --seed) seed=${2:?}; shift 2 ;;
    --count) count=${2:?}; shift 2 ;;
    --seconds) seconds=${2:?}; shift 2 ;;
    --jobs) jobs=${2:?}; shift 2 ;;
    --help | -h) usage; exit 0 ;;
    *) usage >&2; exit 2 ;;
  esac
done

build=${CITRON_BUILD_DIR:-build}
cmake --build "$build" --target soak_test >/dev/null
logs=$(mktemp -d)

# play SEED: one seed in a process of its own; its report goes to a file.
play() {
  "$build/tests/soak/soak_test" --run_test=ManySeeds -- --seed "$1" --seconds "$seconds" \
    >"$logs/$1.log" 2>&1 || echo "$1" >>"$logs/failed"
}

for one in $(seq "$seed" $((seed + count - 1))); do
  while [ "$(jobs -rp | wc -l)" -ge "$jobs" ]; do sleep 0.2; done
  play "$one" &
done
wait
failed=0
if [ -f "$logs/failed" ]; then
  failed=$(wc -l <"$logs/failed")
  while read -r one; do
    # A report may be longer; its end is in the log.
    sed -n "/^FAILED/,/^[^ F]/p" "$logs/$one.log" | head -60 || true
    echo "the whole log: $logs/$one.log"
  done <"$logs/failed"
fi
echo "$count seeds from $seed, $failed with a rule broken"
[ "$failed" = 0 ] && rm -rf "$logs"
[ "$failed" = 0 ]
