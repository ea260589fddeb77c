#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 11 to 15 start. Needs only the Rust compiler, no package and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/cases review/standins-3/main.rs
