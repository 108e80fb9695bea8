#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/. The deploy file's build comes first.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/rig2 ./review/rig2
