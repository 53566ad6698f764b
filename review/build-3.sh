#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. It needs only the Go toolchain; the module has no dependencies.
# The programs of the project come from the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
mkdir -p ../../target/review-3
GOFLAGS="${GOFLAGS:-} -buildvcs=false" go build -o ../../target/review-3/ ./start ./late
