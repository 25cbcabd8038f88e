#!/bin/sh
# A server leaves, and the store carries out three of its earlier writes after that.
# TROUBLE=0 does the same without the disruption.
TROUBLE=${TROUBLE:-1}
export TROUBLE
here=$(cd "$(dirname "$0")" && pwd) || exit 2
exec "$here/../harness-2/run-case.sh" "$here" late-entries
