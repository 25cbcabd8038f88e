#!/bin/sh
# A server leaves, and the store carries out three of its earlier writes after that.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
exec "$here/../harness-2/run-case.sh" "$here" late-entries
