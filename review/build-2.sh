#!/bin/sh
# Builds the drivers of the second review's cases, with the stand-ins of the project that they use.
set -eu
cd "$(dirname "$0")/.."
exec cargo build --release --locked --offline --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
