#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
program=build/review-2/case-$(basename "$here")
if [ ! -x "$program" ] || [ ! -x target/bin/hibiscusfall-entry ]; then
    echo "build the deploy file's programs and run review/build-2.sh first" >&2
    exit 2
fi
timeout 115 "$program" "$here/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
