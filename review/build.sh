#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this review start. Run it after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review-standin ./review/standin
