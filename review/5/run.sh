#!/usr/bin/env bash
# Runs the case: exit status 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "${BASH_SOURCE[0]}")" && pwd) || exit 2
cd "$folder/../.." || exit 2
timeout -k 3 115 "review/build/bin/case$(basename "$folder")" "review/$(basename "$folder")"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
