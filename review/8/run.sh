#!/bin/sh
# The seeds are stale as the hosts start, and corrected within seed_lag_s.
# TROUBLE=0 does the same without the disruption.
TROUBLE=${TROUBLE:-1}
export TROUBLE
here=$(cd "$(dirname "$0")" && pwd) || exit 2
exec "$here/../harness-2/run-case.sh" "$here" stale-seeds
