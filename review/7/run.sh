#!/bin/sh
# A server that names a limit loses its entry in the store for a moment and comes back.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
exec "$here/../harness-2/run-case.sh" "$here" limit
