#!/bin/sh
# Builds the rig of the third review's scripts. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/rig3 ./review/rig3
