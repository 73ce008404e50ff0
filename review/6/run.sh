#!/usr/bin/env bash
# A server runs unsafe requests and answers some with its own 503. TROUBLE=0: none.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/src/main/burdockring ] && [ -x target/review-2/failed_after_run ] || exit 2
timeout -k 5 90 target/review-2/failed_after_run review/6
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
