#!/usr/bin/env bash
# A router is told to stop when it has read two requests of a connection.
# TROUBLE=0: it is not.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/src/main/burdockring ] && [ -x target/review-2/stop_read_ahead ] || exit 2
timeout -k 5 90 target/review-2/stop_read_ahead review/8
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
