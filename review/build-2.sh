#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. It needs only the Go toolchain; the module has no dependencies.
# The programs of the project come from the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target
GOFLAGS="${GOFLAGS:-} -buildvcs=false" go build -o ../../target/review-2 .
