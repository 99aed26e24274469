#!/bin/sh
# Plays the case. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
# TROUBLE=0 leaves the disruption out.
dir=$(cd "$(dirname "$0")" && pwd)
cd "$dir/../.." || exit 2
[ -x target/postmountd ] && [ -x target/review-cases-3 ] || { echo "build first: the deploy file's build, then review/build-3.sh" >&2; exit 2; }
export REVIEW_CASE=11 REVIEW_RECORD="$dir/record.txt"
exec target/review-cases-3
