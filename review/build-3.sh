#!/bin/sh
# Builds the stand-ins of the scripts of the third review into target/.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/probe ./review/testdata/probe
