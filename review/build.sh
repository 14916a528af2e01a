#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. target/tsmesh comes from the build line of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/rig ./review/testdata/rig
