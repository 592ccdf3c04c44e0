#!/bin/sh
# Plays the case of a folder: exit 1 if the rule was broken, 0 if it held, 2 if
# the case couldn't run. TROUBLE=0 leaves the disruption out.
here=$(cd "$1" && pwd) || exit 2
number=$(basename "$here")
cd "$here/../.." || exit 2
[ -x target/citron_node ] && [ -x "target/review/case_$number" ] || exit 2
folder=$(mktemp -d) || exit 2
timeout -k 1 118 "target/review/case_$number" "$here" "$folder"
result=$?
rm -rf "$folder"
case $result in
  0 | 1) exit "$result" ;;
  *) exit 2 ;;
esac
