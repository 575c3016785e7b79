#!/bin/sh
# Builds the stand-ins of the scripts into target/review. Needs the modules of go.mod and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/standins ./review/_standins
