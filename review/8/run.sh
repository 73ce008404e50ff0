#!/usr/bin/env bash
# The router that reads the list is cut off while an engine leaves. TROUBLE=0: no cut.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/src/main/burdockring ] && [ -x target/review-2/left_engine ] || exit 2
timeout -k 5 115 target/review-2/left_engine review/8/record.txt
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
