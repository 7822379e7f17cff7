#!/bin/sh
# Builds what the scripts of the third review start, beside the programs of the deploy file.
# Run from the root of the repository, or from anywhere. Uses the standard library alone.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/case review/tool-3/main.rs
