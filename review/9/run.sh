#!/usr/bin/env bash
# Exits with 1 if the rule MIXED was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the cut out.
set -uo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
if [ ! -x target/review-lab ] || [ ! -x target/bluebelldyke ]; then
	echo "run the build of the deploy file and review/build-2.sh first" >&2
	exit 2
fi
exec target/review-lab cut-rejoin "$folder/record.txt"
