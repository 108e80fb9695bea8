#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/berylroad ] && [ -x target/rig3 ] || { echo "build first: the deploy file's build, then review/build-3.sh"; exit 2; }
exec target/rig3 15 review/15
