#!/usr/bin/env bash
# Builds figway and runs a whole deployment on this machine.
set -euo pipefail
cd "$(dirname "$0")"
cargo build --release --locked --workspace
exec target/release/testbed demo deploy/al-ramla/profiles
