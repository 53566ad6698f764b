#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. The programs of the project come from the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/standin-2
