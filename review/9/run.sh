#!/usr/bin/env bash
# HEAD requests meet a route that a new configuration took away. TROUBLE=0: none.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/src/main/burdockring ] && [ -x target/review-2/refused_head ] || exit 2
timeout -k 5 90 target/review-2/refused_head review/9
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
