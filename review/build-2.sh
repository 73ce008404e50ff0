#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start, beside the build of
# the deploy file, into target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/support-2/*.cpp; do
  name=$(basename "$source" .cpp)
  "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread "$source" \
    -o "target/review-2/$name"
done
