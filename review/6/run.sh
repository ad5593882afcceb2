#!/usr/bin/env bash
# Runs the case: exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the crashing request.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
program=target/review-2/release/review-stand-ins-2
[ -x "$program" ] && [ -x target/release/medlarspoold ] || { echo "build first: review/build-2.sh" >&2; exit 2; }
exec timeout 115 "$program" crasher "$folder/record.txt" /history/crash-1
