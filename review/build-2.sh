#!/usr/bin/env bash
# Build the stand-ins that the scripts of review/6 to review/10 start. They need the standard library
# only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O review/stand_ins_2/main.rs -o target/review-2/stand_ins
