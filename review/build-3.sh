#!/usr/bin/env bash
# Build the stand-ins of the cases 11 to 15. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
exec rustc --edition 2024 -O -D warnings -o target/review-3/stand_in review/stand_ins_3/main.rs
