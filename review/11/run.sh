#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
test -x target/postmountd && test -x target/lab3 || { echo "build first: deploy/system.toml, then review/build-3.sh"; exit 2; }
exec target/lab3 -case 11 -daemons 3 -record review/11/record.txt
