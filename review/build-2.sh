#!/bin/sh
# Builds the stand-ins that the scripts of the second review start. They use the standard library
# alone, so that no network is needed.
set -eu
cd "$(dirname "$0")/harness-2"
cargo build --release --offline --locked
