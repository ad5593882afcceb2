#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
program="$root/target/review/release/review-stand-ins"
if [ ! -x "$program" ] || [ ! -x "$root/target/release/medlarspoold" ]; then
    echo "build the deploy file's build and review/build.sh first" >&2
    exit 2
fi
exec "$program" late-stops "$root" "$folder"
