#!/bin/sh
# Builds the stand-ins of the second review's scripts into the root's target/. They use the
# standard library alone, so that no network is needed.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/harness-2/Cargo.toml --target-dir target
