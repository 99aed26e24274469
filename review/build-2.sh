#!/bin/sh
# Builds the stand-ins of the cases 4 to 8 into target/. The daemons come from the build of the deploy file.
cd "$(dirname "$0")/.." || exit 1
exec go build -o target/review-rig ./review/rig
