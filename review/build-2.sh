#!/bin/sh
# Builds the stand-ins of the cases 4 to 8, which are in the test files of review/rig. The daemons come from the build of
# the deploy file.
set -e
cd "$(dirname "$0")/.."
go test -c -o target/review-cases-2 ./review/rig
