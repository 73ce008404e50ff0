#!/usr/bin/env bash
# A part of prompts crashes servers. TROUBLE=0: it does not.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/src/main/burdockring ] && [ -x target/review-2/deadly_part ] || exit 2
timeout -k 5 110 target/review-2/deadly_part review/9 late
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
