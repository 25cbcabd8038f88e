#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 plays the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
for program in target/release/jackdawwickd target/release/review-cases; do
    [ -x "$program" ] || { echo "$program is missing: see review/build.sh" >&2; exit 2; }
done
exec target/release/review-cases case late-beat review/5
