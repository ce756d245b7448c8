#!/bin/sh
# Builds the stand-ins of the cases. Needs no network: they have no dependencies.
set -e
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/stands/Cargo.toml --target-dir target/review
