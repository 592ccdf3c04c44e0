#!/bin/sh
# Runs the script of one case: run-2.sh N. 1: the rule was broken, 0: it held,
# 2: it couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/.." || exit 2
program=build-review-2/case-$1
[ -x "$program" ] && [ -x target/citron_node ] || exit 2
folder=$(mktemp -d) || exit 2
"$program" "$folder" "review/$1/record.txt" "${TROUBLE:-1}"
result=$?
[ -n "${KEEP:-}" ] && cp "$folder"/*.log "$KEEP"
rm -rf "$folder"
[ "$result" -le 2 ] || exit 2
exit "$result"
