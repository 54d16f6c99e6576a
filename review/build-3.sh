#!/bin/sh
# Builds the stand-ins of the third review with the Rust toolchain alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2021 -O -o target/review-3/cases review/standins-3/main.rs
