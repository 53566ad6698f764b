#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. It needs only the Go toolchain; the module has no dependencies.
set -euo pipefail
cd "$(dirname "$0")/standin"
mkdir -p ../../target
GOFLAGS="${GOFLAGS:-} -buildvcs=false" go build -o ../../target/review-standin .
