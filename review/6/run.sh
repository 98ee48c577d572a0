#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0
# leaves the disruption out.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
folder="$(mktemp -d)" || exit 2
trap 'rm -rf "$folder"' EXIT
timeout 118 target/review-2/release/review-2 drained-while-silent "$folder" "$here/record.txt"
status=$?
case "$status" in
    0 | 1) exit "$status" ;;
    *) exit 2 ;;
esac
