#!/usr/bin/env bash
# Builds the stand-ins of the cases, after the build of the deploy file. They have no dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline \
  --manifest-path review/stand-ins/Cargo.toml --target-dir target/review
