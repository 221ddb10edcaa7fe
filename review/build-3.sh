#!/usr/bin/env bash
# Build the stand-ins of the cases 11 to 15. They use the standard library only. Several scripts may
# build them at the same time.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
built=target/review-3/stand_in_$$
rustc --edition 2024 -O -o "$built" review/stand_ins_3/main.rs
mv "$built" target/review-3/stand_in
