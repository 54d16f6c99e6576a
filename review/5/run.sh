#!/usr/bin/env bash
# 0: the rule held; 1: it was broken; 2: the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/figway ] && [ -x target/review/case-5 ] || exit 2
target/review/case-5 review/5
code=$?
[ "$code" -le 1 ] && exit "$code"
exit 2
