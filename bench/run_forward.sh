#!/usr/bin/env bash
# Entry and dispatch against a bare chain of two libevent hops: the same far end, the same callers,
# in one run. Prints one line of JSON for each part, then the ratios. Ends all that it started.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${CITRON_BUILD_DIR:-build}
base=${CITRON_ADDRESS_BASE:-127.78}
calls=${CITRON_CALLS:-40000}
rounds=${CITRON_ROUNDS:-3}
bench="$build/bench/forward_chain"
export CITRON_PLATFORM="$base.200.1:7401"
CITRON_SECRET=$(od -An -tx1 -N24 /dev/urandom | tr -d ' \n')
export CITRON_SECRET
work=$(mktemp -d)
started=()

stop_all() {
  trap - EXIT
  local pid
  for pid in "${started[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  sleep 3
  for pid in "${started[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  started=()
}
trap 'stop_all; rm -rf "$work"' EXIT

start() {
  "$@" >>"$work/log" 2>&1 &
  started+=($!)
}

wait_for() {
  local left=150
  until "$@" >/dev/null 2>&1; do
    left=$((left - 1))
    if [ "$left" -le 0 ]; then
      echo "gave up on: $*" >&2
      tail -n 5 "$work/log" >&2
      exit 1
    fi
    sleep 0.2
  done
}

answers() { [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' "$@")" = 200 ]; }

# chain_up LOOPS: both chains, with so many event loops in each hop.
chain_up() {
  local loops=$1 vm far
  rm -rf "$work/fleet"
  # Read at the start by each command of citronctl, if it is named.
  unset CITRON_FLEET
  mkdir "$work/fleet"
  "$build/citronctl" expand bench/forward_chain/deployment.json --address-base "$base" \
    --out "$work/fleet" >>"$work/log"
  export CITRON_FLEET="$work/fleet/fleet.json"
  far=$(jq -r '[.[].listen] | join(",")' "$work"/fleet/upstreams-*.json)
  start "$bench" far --listen "$far" --loops "$far_loops"
  start "$bench" hop --listen "$base.150.1:8002" --to "${far%%,*}" --loops "$loops"
  start "$bench" hop --listen "$base.150.1:8001" --to "$base.150.1:8002" --loops "$loops"
  start "$build/standin_platform" --listen "$CITRON_PLATFORM" --data "$work/fleet/platform.json"
  wait_for curl -sf -m 1 "http://$CITRON_PLATFORM/admin/counts"
  "$build/citronctl" apply "$work/fleet/declarations.json" --wait-ms 0 >>"$work/log"
  vm=$(jq -r '.vms[0].vm' "$CITRON_FLEET")
  local daemon
  for daemon in entry dispatch; do
    jq --argjson loops "$loops" '. + {loops: $loops, log_decisions: false}' \
      "$work/fleet/$vm/$daemon.json" >"$work/fleet/$daemon.json"
  done
  start "$build/citron_control" --config "$work/fleet/$vm/control.json"
  start "$build/citron_dispatch" --config "$work/fleet/dispatch.json"
  dispatch_pid=$!
  start "$build/citron_entry" --config "$work/fleet/entry.json"
  entry_pid=$!
  entry=$(jq -r .listen "$work/fleet/entry.json")
  direct=${far%%,*}
  wait_for "$build/citronctl" status
  key=$("$build/citronctl" key grant caller --label bench --json --wait-ms 6000 | jq -r .key)
  wait_for answers -H "Authorization: Bearer $key" "http://$entry/bench/lots/1"
  wait_for answers "http://$base.150.1:8001/lots/1"
  # The cold-start ramp of the upstreams is over, and every loop owns what it will.
  sleep 4
}

# ticks PIDS...: processor time so far, in clock ticks.
ticks() {
  local sum=0 pid
  for pid in "$@"; do
    sum=$((sum + $(sed 's/.*) //' "/proc/$pid/stat" | awk '{print $12 + $13}')))
  done
  echo "$sum"
}

# measure NAME ADDRESS PATH CONNECTIONS THREADS CALLS PIDS...
measure() {
  local name=$1 address=$2 path=$3 connections=$4 threads=$5 count=$6 before line
  shift 6
  before=$(ticks "$@")
  line=$("$bench" load --to "$address" --path "$path" --key "$key" --connections "$connections" \
    --threads "$threads" --calls "$count")
  if [ "$(echo "$line" | jq .failed)" != 0 ]; then
    # Of the first loop alone; the others have pages on ports of their own.
    curl -s "http://$(jq -r .metrics_listen "$work/fleet/entry.json")/metrics" |
      grep -E '^citron_(refusals|errors)' >&2 || true
    curl -s "http://$(jq -r .metrics_listen "$work/fleet/dispatch.json")/metrics" |
      grep -E '^citron_dispatch_(refusals|slots|usable)' >&2 || true
  fi
  echo "$line" | jq -c --arg name "$name" --argjson connections "$connections" \
    --argjson cpu "$(($(ticks "$@") - before))" --arg load "$(cut -d' ' -f1 /proc/loadavg)" \
    '{name: $name, connections: $connections} + .
      + {cpu_us_per_call: ($cpu * 10000 / .calls * 10 | round / 10), load: $load}' \
    | tee -a "$work/results"
}

# round LOOPS CONNECTIONS THREADS
round() {
  local bare=("${started[1]}" "${started[2]}")
  measure "direct-$1" "$direct" /lots/1 1 1 4000 "${started[0]}"
  measure "bare-$1" "$base.150.1:8001" /lots/1 1 1 4000 "${bare[@]}"
  measure "citron-$1" "$entry" /bench/lots/1 1 1 4000 "$entry_pid" "$dispatch_pid"
  measure "bare-$1" "$base.150.1:8001" /lots/1 "$2" "$3" "$calls" "${bare[@]}"
  measure "citron-$1" "$entry" /bench/lots/1 "$2" "$3" "$calls" "$entry_pid" "$dispatch_pid"
}

far_loops=2
chain_up 1
if [ -n "${CITRON_PROFILE:-}" ]; then
  perf record -q -F 2000 -g -e cpu-clock:u -p "$entry_pid,$dispatch_pid" -o "$CITRON_PROFILE" &
  profiler=$!
  measure citron-profiled "$entry" /bench/lots/1 32 2 "$calls" "$entry_pid" "$dispatch_pid"
  kill -INT "$profiler"
  wait "$profiler" || true
  exit 0
fi
if [ -n "${CITRON_INSTRUCTIONS:-}" ]; then
  # Hardly moved by what else the machine does, unlike time; without the kernel's.
  for part in bare citron; do
    pids="$entry_pid,$dispatch_pid" address=$entry path=/bench/lots/1
    if [ "$part" = bare ]; then
      pids="${started[1]},${started[2]}" address=$base.150.1:8001 path=/lots/1
    fi
    perf stat -x, -e instructions:u -p "$pids" -o "$work/$part" &
    counter=$!
    sleep 0.5
    measure "$part-counted" "$address" "$path" 32 2 "$calls" ${pids/,/ }
    kill -INT "$counter"
    wait "$counter" || true
    awk -F, -v part="$part" -v calls="$calls" '/instructions/ {
      printf "{\"name\":\"%s-instructions\",\"per_call\":%.0f}\n", part, $1 / calls }' "$work/$part"
  done
  exit 0
fi
if [ -n "${CITRON_TRACE:-}" ]; then
  strace -f -c -p "$entry_pid" -o "$CITRON_TRACE.entry" & tracers=($!)
  strace -f -c -p "$dispatch_pid" -o "$CITRON_TRACE.dispatch" & tracers+=($!)
  strace -f -c -p "${started[1]}" -o "$CITRON_TRACE.hop" & tracers+=($!)
  sleep 0.5
  measure citron-traced "$entry" /bench/lots/1 1 1 1000 "$entry_pid" "$dispatch_pid"
  measure bare-traced "$base.150.1:8001" /lots/1 1 1 1000 "${started[1]}"
  kill -INT "${tracers[@]}"
  wait "${tracers[@]}" || true
  exit 0
fi
for _ in $(seq "$rounds"); do round 1 32 2; done
measure lookup-1 "$entry" "/v1/lookup?client=127.0.0.9" 32 2 "$calls" "$entry_pid"
stop_all
if [ -n "${CITRON_ONE_LOOP_ONLY:-}" ]; then
  jq -s 'group_by([.name, .connections])[] | {name: .[0].name, connections: .[0].connections,
    per_s: (map(.per_s) | sort), p50_us: (map(.p50_us) | sort),
    cpu_us_per_call: (map(.cpu_us_per_call) | sort)}' -c "$work/results"
  exit 0
fi
far_loops=3
chain_up 4
for _ in $(seq "$rounds"); do round 4 128 4; done
stop_all

# The median of the rounds, so that one disturbed round does not decide.
jq -s 'def median: sort | .[(length / 2 | floor)];
  def of($name; $many): map(select(.name == $name and (.connections > 1) == $many));
  def rate($name): of($name; true) | map(.per_s) | median;
  def p50($name): of($name; false) | map(.p50_us) | median;
  def cpu($name): of($name; true) | map(.cpu_us_per_call) | median;
  {rate_of_bare: (rate("citron-1") / rate("bare-1")),
   rate_of_bare_by_cpu: (cpu("bare-1") / cpu("citron-1")),
   added_p50_us: {bare: (p50("bare-1") - p50("direct-1")),
                  citron: (p50("citron-1") - p50("direct-1"))},
   added_p50_of_bare: ((p50("citron-1") - p50("direct-1")) / (p50("bare-1") - p50("direct-1"))),
   four_loops_of_one: (rate("citron-4") / rate("citron-1")),
   bare_four_loops_of_one: (rate("bare-4") / rate("bare-1")),
   failed: (map(.failed) | add)}' "$work/results"
