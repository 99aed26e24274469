#!/bin/sh
# Runs the case route-back of review/harness after the build of deploy/system.toml and review/build.sh. Exit status: 1 if the
# rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/postmountd ] && [ -x target/review-cases ] || { echo "not built" >&2; exit 2; }
REVIEW_CASE=route-back REVIEW_RECORD=review/3/record.txt exec target/review-cases
