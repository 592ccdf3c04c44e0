#!/usr/bin/env bash
# What one citron_control costs against the number of VMs: real processes on loopback, controls and
# the stand-in platform alone. One line of JSON for each size; ends all that it started.
# Usage: bench/run_controls.sh ZONESxVMS...   for example 1x2 6x1 6x2 6x4
set -euo pipefail
cd "$(dirname "$0")/.."
build=${CITRON_BUILD_DIR:-build}
base=${CITRON_ADDRESS_BASE:-127.81}
seconds=${CITRON_SECONDS:-6}
export CITRON_PLATFORM="$base.200.1:7401"
CITRON_SECRET=$(od -An -tx1 -N24 /dev/urandom | tr -d ' \n')
export CITRON_SECRET
work=$(mktemp -d)
started=()

stop_all() {
  local pid
  for pid in "${started[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  started=()
}
trap 'stop_all; rm -rf "$work"' EXIT

# sample FILE: processor ticks, bytes and messages sent, memory of each control; calls of the store.
sample() {
  local vm listen pid=1
  for vm in $vms; do
    listen=$(jq -r .metrics_listen "$work/fleet/$vm/control.json")
    curl -s -m 2 "http://$listen/metrics" | awk -v pid="${started[$pid]}" '
      /^citron_peer_bytes_sent /{bytes = $2} /^citron_peer_messages_sent /{messages = $2}
      END {
        getline stat < ("/proc/" pid "/stat"); sub(/.*\) /, "", stat); split(stat, f, " ")
        printf "%d %d %d %d\n", f[12] + f[13], bytes, messages, f[22] * 4096 }' >>"$1"
    pid=$((pid + 1))
  done
  curl -s "http://$CITRON_PLATFORM/admin/counts" >"$1.store"
}

mean() { # FILE COLUMN
  awk -v c="$2" '{sum += $c} END {print sum / NR}' "$1"
}

for size in "$@"; do
  rm -rf "$work/fleet" "$work"/at*
  mkdir "$work/fleet"
  unset CITRON_FLEET
  jq --argjson zones "${size%x*}" --argjson each "${size#*x}" \
    '.regions = [{name: "here", zones: [range($zones) | {name: "z\(.)", entry_vms: $each}]}]
      | .small.entry_vms_per_zone = $each | .small.upstreams_per_zone = 1
      | .services[0].upstreams = $zones' \
    bench/forward_chain/deployment.json >"$work/deployment.json"
  "$build/citronctl" expand "$work/deployment.json" --address-base "$base" --out "$work/fleet" \
    >/dev/null
  "$build/standin_platform" --listen "$CITRON_PLATFORM" --data "$work/fleet/platform.json" \
    >"$work/log" 2>&1 &
  started=($!)
  until curl -sf -m 1 "http://$CITRON_PLATFORM/admin/counts" >/dev/null; do sleep 0.1; done
  CITRON_FLEET="$work/fleet/fleet.json" "$build/citronctl" apply "$work/fleet/declarations.json" \
    --wait-ms 0 >/dev/null
  vms=$(jq -r '.vms[].vm' "$work/fleet/fleet.json")
  for vm in $vms; do
    "$build/citron_control" --config "$work/fleet/$vm/control.json" >>"$work/log" 2>&1 &
    started+=($!)
  done
  sleep 6
  sample "$work/at1"
  begin=$(date +%s.%N)
  sleep "$seconds"
  sample "$work/at2"
  end=$(date +%s.%N)
  # From before the operator's call to the answer that every VM has it in force.
  : >"$work/force"
  for _ in 1 2 3 4 5 6 7; do
    before=$(date +%s%N)
    CITRON_FLEET="$work/fleet/fleet.json" "$build/citronctl" key grant caller --label bench --json \
      --wait-ms 8000 >/dev/null || true
    echo $((($(date +%s%N) - before) / 1000000)) >>"$work/force"
  done
  jq -nc --arg size "$size" --argjson s "$(echo "$end - $begin" | awk '{print $1 - $3}')" \
    --argjson cpu "$(mean "$work/at2" 1) " --argjson cpu1 "$(mean "$work/at1" 1)" \
    --argjson bytes "$(mean "$work/at2" 2)" --argjson bytes1 "$(mean "$work/at1" 2)" \
    --argjson n "$(mean "$work/at2" 3)" --argjson n1 "$(mean "$work/at1" 3)" \
    --argjson rss "$(mean "$work/at2" 4)" --arg load "$(cut -d' ' -f1 /proc/loadavg)" \
    --slurpfile store1 "$work/at1.store" --slurpfile store2 "$work/at2.store" \
    --slurpfile force "$work/force" \
    'def r: . * 100 | round / 100;
      {size: $size, vms: ($size | split("x") | map(tonumber) | .[0] * .[1]),
       sent_bytes_per_s: (($bytes - $bytes1) / $s | r), messages_per_s: (($n - $n1) / $s | r),
       cpu_percent: (($cpu - $cpu1) / $s | r), memory_mb: ($rss / 1e6 | r),
       store_per_s: ($store2[0] | with_entries(select(.value | type == "number")
         | .value = ((.value - ($store1[0][.key] // 0)) / $s | r) | select(.value != 0))),
       in_force_ms: ($force | sort | {least: .[0], median: .[3], most: .[6]}), load: $load}'
  stop_all
done
