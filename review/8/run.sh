#!/bin/sh
# The store moves to an address that the changed settings name; later a key is taken away.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
exec "$here/../harness-2/run-case.sh" "$here" moved-store
