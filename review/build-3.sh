#!/bin/sh
# Builds what the scripts of review/11 to review/15 start, into
# target/review-3. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for folder in review/1[1-5]; do
  if [ -f "$folder/case.cpp" ]; then
    c++ -std=c++20 -O1 -Wall -Wextra -pthread "$folder/case.cpp" \
      -o "target/review-3/case-${folder#review/}"
  fi
done
