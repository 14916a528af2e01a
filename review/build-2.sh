#!/bin/sh
# Builds the stand-ins of review/6 and later cases, after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/yard ./review/testdata/yard
