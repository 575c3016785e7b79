#!/usr/bin/env bash
# Exits with 1 if the rule CONFIG was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves the bursts out.
set -uo pipefail
folder="$(cd "$(dirname "$0")" && pwd)"
cd "$folder/../.."
if [ ! -x target/review-lab3 ] || [ ! -x target/bluebelldyke ]; then
	echo "run the build of the deploy file and review/build-3.sh first" >&2
	exit 2
fi
exec target/review-lab3 moved "$folder"
