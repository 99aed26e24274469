#!/bin/sh
# Builds the stand-ins of all cases, which are in the test files of review/harness.
set -e
cd "$(dirname "$0")/.."
go test -c -o target/review-cases ./review/harness
