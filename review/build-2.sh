#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They need the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/stand-ins review/stand-ins-2/main.rs
