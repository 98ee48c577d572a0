#!/bin/bash
# Runs the case silence. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves out the disruption.
folder="$(cd "$(dirname "$0")" && pwd)"
root="$(cd "$folder/../.." && pwd)"
harness="$root/target/review/release/review-harness"
for program in "$harness" "$root/target/release/bergamot-entry"; do
    if [ ! -x "$program" ]; then
        echo "not built: $program" >&2
        exit 2
    fi
done
timeout --kill-after=2 117 "$harness" silence "$root" "$folder"
status=$?
case $status in
    0 | 1) exit $status ;;
    *) exit 2 ;;
esac
