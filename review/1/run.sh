#!/usr/bin/env bash
# Plays the case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 plays it without the disruption.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
standin=target/review/release/review-standin
[ -x "$standin" ] && [ -x target/release/alderglade-adapter ] || {
    echo "build the deploy file and review/build.sh first"
    exit 2
}
scratch=$(mktemp -d) || exit 2
trap 'rm -rf "$scratch"' EXIT
"$standin" truncated "$folder/record.txt" "$scratch"
