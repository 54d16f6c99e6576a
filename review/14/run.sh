#!/bin/sh
# Exits with 1 if the rule was broken, with 0 if it held, with 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/release/figway ] && [ -x target/review-3/cases ] || exit 2
exec target/review-3/cases nested-calls "$folder"
