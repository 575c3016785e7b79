#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. Run the build of the deploy file first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-lab ./review/_lab
