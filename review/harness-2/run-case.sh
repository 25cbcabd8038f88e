#!/bin/sh
# Runs the stand-ins of one case: run-case.sh FOLDER PROGRAM. Ends with 0 if the rule held, 1 if it
# was broken and 2 if the case could not run.
REVIEW_CASE=$(cd "$1" && pwd) || exit 2
REVIEW_ROOT=$(cd "$(dirname "$0")/../.." && pwd) || exit 2
export REVIEW_CASE REVIEW_ROOT
program="$REVIEW_ROOT/target/release/$2"
if [ ! -x "$program" ] || [ ! -x "$REVIEW_ROOT/target/release/jackdawwickd" ]; then
    echo "build the program as the deploy file does, then run review/build-2.sh"
    exit 2
fi
"$program"
code=$?
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac
