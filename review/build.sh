#!/bin/sh
# Builds the driver and the stand-ins of the cases into the root's target/.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/cases/Cargo.toml --target-dir target
