#!/bin/sh
# Builds the stand-ins of all scripts into target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/*/case.cpp; do
  number=$(basename "$(dirname "$source")")
  "${CXX:-c++}" -std=c++20 -O1 -pthread "$source" -o "target/review/case$number"
done
