#!/bin/sh
# Builds the stand-ins of the cases from 9 on, which are in the test files of review/lab3. The daemons come from the build
# of the deploy file.
set -e
cd "$(dirname "$0")/.."
go test -c -o target/review-cases-3 ./review/lab3
