#!/bin/sh
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 it does
# the same without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
if [ ! -x target/tsmesh ] || [ ! -x target/probe ]; then
    echo "build target/tsmesh as in deploy/system.toml, and run review/build-3.sh" >&2
    exit 2
fi
exec target/probe -bin target/tsmesh -case stop -record "$here/record.txt"
