#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, which need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
rustc --edition 2021 -O review/standins-2/main.rs -o target/review-2
