#!/usr/bin/env bash
# Build the stand-ins of the scripts. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/stand_ins review/stand_ins/main.rs
