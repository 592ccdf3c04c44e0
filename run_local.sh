#!/usr/bin/env bash
# A scaled-down deployment on loopback: stand-ins, one entry VM in each zone, keys, and a mixed
# load with one table at the end. Ends everything that it started. With --composition node the entry
# VMs are citron_node, as on the users' platform, else the three daemons.
set -euo pipefail
cd "$(dirname "$0")"

usage() {
  echo "usage: ./run_local.sh [--deployment tarimas|kitaboshi] [--seconds N] [--stay]"
  echo "       ./run_local.sh --composition node [--seconds N]"
}

deployment=tarimas
seconds=10
stay=no
composition=daemons
while [ $# -gt 0 ]; do
  case "$1" in
    --deployment) deployment=${2:?}; shift 2 ;;
    --seconds) seconds=${2:?}; shift 2 ;;
    --stay) stay=yes; shift ;;
    --composition) composition=${2:?}; shift 2 ;;
    --help | -h) usage; exit 0 ;;
    *) usage >&2; exit 2 ;;
  esac
done
if [ ! -f "deployments/$deployment.json" ] || [[ ! "$seconds" =~ ^[0-9]+$ ]] ||
  [[ ! "$composition" =~ ^(daemons|node)$ ]]; then
  usage >&2
  exit 2
fi

source .ci/packages.sh
citron_install_packages
build=${CITRON_BUILD_DIR:-build}
cmake -S . -B "$build" -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >/dev/null
if [ "$composition" = node ]; then
  # The one program of the users' platform, against the stand-in of its store; one test program
  # starts the fleet, plays upstreams and callers, checks every answer and ends what it started.
  cmake --build "$build" -j "${CITRON_JOBS:-$(nproc)}" --target soak_test
  exec "$build/tests/soak/soak_test" --run_test=ACalmRun -- --seconds "$seconds"
fi
cmake --build "$build" -j "${CITRON_JOBS:-$(nproc)}" --target control_daemon entry_daemon \
  dispatch_daemon citronctl standin_platform standin_upstream citron_load

base=${CITRON_ADDRESS_BASE:-127.20}
export CITRON_PLATFORM="$base.200.1:7401"
CITRON_SECRET=$(od -An -tx1 -N24 /dev/urandom | tr -d ' \n')
export CITRON_SECRET
work=$(mktemp -d)
started=()
declare -A program_of

# stop_group PIDS...: asks each to stop, by its own id, and waits.
stop_group() {
  local pid alive
  for pid in "$@"; do kill -TERM "$pid" 2>/dev/null || true; done
  for _ in $(seq 100); do
    alive=no
    for pid in "$@"; do
      if kill -0 "$pid" 2>/dev/null; then alive=yes; fi
    done
    # With its status: in a trap a bare return gives that of what the trap interrupted.
    [ "$alive" = no ] && return 0
    sleep 0.1
  done
  for pid in "$@"; do
    if kill -KILL "$pid" 2>/dev/null; then
      echo "did not stop within 10 s: ${program_of[$pid]}" >&2
    fi
  done
}

# In the order in which an operator stops a VM, so that each daemon can still finish its work and
# give back what it holds.
stop_all() {
  trap - EXIT
  trap '' INT TERM
  set +e
  local program pid group
  for program in citron_load citron_entry citron_dispatch citron_control standin_upstream \
    standin_platform; do
    group=()
    for pid in "${started[@]}"; do
      [ "${program_of[$pid]}" = "$program" ] && group+=("$pid")
    done
    [ ${#group[@]} -gt 0 ] && stop_group "${group[@]}"
  done
  rm -rf "$work"
}
trap stop_all EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# start LOG PROGRAM ARGUMENTS...: in a session of its own, so that Ctrl-C reaches this script
# alone and the daemons stop in order.
start() {
  local log="$work/$1.log" program="$2"
  shift 2
  setsid "$build/$program" "$@" >"$log" 2>&1 &
  started+=($!)
  program_of[$!]=$program
}

# wait_for WORDS SECONDS COMMAND...
wait_for() {
  local what=$1 left=$(($2 * 5))
  shift 2
  until "$@" >/dev/null 2>&1; do
    left=$((left - 1))
    if [ "$left" -le 0 ]; then
      echo "gave up waiting for $what; the last lines of each log:" >&2
      tail -n 3 "$work"/*.log >&2
      exit 1
    fi
    sleep 0.2
  done
}

# is_served ENTRY PATH KEY: the whole way, to an upstream and back.
is_served() {
  [ "$(curl -s -m 2 -o /dev/null -w '%{http_code}' -H "Authorization: Bearer $3" \
    "http://$1$2")" = 200 ]
}

"$build/citronctl" expand "deployments/$deployment.json" --address-base "$base" --out "$work"
export CITRON_FLEET="$work/fleet.json"
start platform standin_platform --listen "$CITRON_PLATFORM" --data "$work/platform.json"
wait_for "the platform" 10 curl -sf -m 1 "http://$CITRON_PLATFORM/admin/counts"
if ! kill -0 "${started[0]}" 2>/dev/null; then
  echo "another fleet holds $CITRON_PLATFORM; set CITRON_ADDRESS_BASE, for example to 127.21" >&2
  exit 1
fi
for config in "$work"/upstreams-*.json; do
  start "$(basename "$config" .json)" standin_upstream --config "$config"
done
"$build/citronctl" apply "$work/declarations.json" --wait-ms 0 >"$work/apply.log"
vms=$(jq -r '.vms[].vm' "$work/fleet.json")
vm_count=$(jq '.vms | length' "$work/fleet.json")
for vm in $vms; do start "$vm-control" citron_control --config "$work/$vm/control.json"; done
for vm in $vms; do
  start "$vm-dispatch" citron_dispatch --config "$work/$vm/dispatch.json"
  start "$vm-entry" citron_entry --config "$work/$vm/entry.json"
done
wait_for "the configuration on every VM" 30 "$build/citronctl" status
mapfile -t entries < <(jq -r '.entries[]' "$work/load.json")
for entry in "${entries[@]}"; do
  wait_for "a look-up at $entry" 30 curl -sf -m 1 "http://$entry/v1/lookup"
done

mapfile -t workspaces < <(jq -r '.workspaces[].name' "$work/load.json")
last=$((${#workspaces[@]} - 1))
for i in "${!workspaces[@]}"; do
  # In order of revisions: once the last key is in force everywhere, all are.
  wait_ms=0
  [ "$i" = "$last" ] && wait_ms=6000
  key=$("$build/citronctl" key grant "${workspaces[i]}" --label run_local --json \
    --wait-ms "$wait_ms" | jq -r .key)
  echo "${workspaces[i]} $key" >>"$work/keys"
done

first_key=$(head -1 "$work/keys" | cut -d' ' -f2)
mapfile -t paths < <(jq -r '[.requests[] | select(.method == "GET")] | unique_by(.service)[]
  | "/\(.service)\(.path_prefix)/1?bytes=10"' "$work/load.json")
for entry in "${entries[@]}"; do
  for path in "${paths[@]}"; do
    wait_for "$path at $entry" 30 is_served "$entry" "$path" "$first_key"
  done
done

upstream_count=$(jq -s 'map(length) | add' "$work"/upstreams-*.json)
echo "$deployment, small: $vm_count VMs, $upstream_count upstreams," \
  "${#workspaces[@]} workspaces; load for $seconds s"
pages=$(jq -rs '[.[].metrics_listen] | join(",")' "$work"/*/entry.json)
"$build/citron_load" --plan "$work/load.json" --keys "$work/keys" --seconds "$seconds" \
  --metrics "$pages" >"$work/table" &
load=$!
started+=("$load")
program_of[$load]=citron_load
# In the middle of the run one upstream is drained: of the service with the longest work, as there a
# drain takes longest, the one that says that it has most in flight.
sleep "$((seconds / 2))"
longest=$(jq -r '.[0].spec.services | to_entries | max_by([.value.classes[].expected_ms] | max).key' \
  "$work/declarations.json")
drained=$(jq -rs --arg service "$longest" '.[][] | select(.service == $service)
  | "\(.id) \(.listen)"' "$work"/upstreams-*.json | while read -r id address; do
    echo "$(curl -sf -m 1 "http://$address/health" | jq '.in_flight') $id"
  done | sort -srn -k1,1 | head -1 | cut -d' ' -f2)
"$build/citronctl" drain upstream "$drained" >"$work/drain.log"
load_status=0
wait "$load" || load_status=$?
program_of[$load]=ended  # Its id may be another's by now.
cat "$work/table"
[ "$load_status" = 0 ] || exit "$load_status"
has_drained() { grep -hq " $drained drained after" "$work"/*-dispatch.log; }
wait_for "the drain of $drained" 30 has_drained
echo "drained in the middle of the run:" \
  "$(grep -ho "$drained drained after .*" "$work"/*-dispatch.log | head -1)"
"$build/citronctl" undrain upstream "$drained" >>"$work/drain.log"

if [ "$stay" = yes ]; then
  path=$(jq -r '.requests[0] | "/\(.service)\(.path_prefix)/7?bytes=64"' "$work/load.json")
  cat <<END
Up until Ctrl-C. To try, with $build/citronctl in another shell:
  export CITRON_PLATFORM=$CITRON_PLATFORM CITRON_FLEET=$CITRON_FLEET
  KEY=$first_key
  curl -s http://${entries[0]}/v1/lookup
  curl -si -H "Authorization: Bearer \$KEY" "http://${entries[0]}$path" --output - | head -12
  curl -si "http://${entries[0]}$path"     # without a key
  $build/citronctl status
Logs are in $work.
END
  while true; do sleep 1; done
fi
