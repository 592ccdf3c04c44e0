#!/bin/sh
# Builds the stand-ins of the review's scripts, after the build of the deploy
# file and with its packages alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/[1-5]/case.cc; do
  [ -f "$case" ] || continue
  number=$(basename "$(dirname "$case")")
  g++ -std=c++20 -O1 -pthread -Ireview "$case" review/play.cc \
    -o "target/review/case_$number" &
done
wait
for case in review/[1-5]/case.cc; do
  [ -f "$case" ] || continue
  [ -x "target/review/case_$(basename "$(dirname "$case")")" ]
done
