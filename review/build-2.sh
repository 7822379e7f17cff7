#!/bin/sh
# Builds the stand-ins of review/6 to review/10, without a network. They use no library.
set -e
cd "$(dirname "$0")/.."
exec cargo build --release --offline --manifest-path review/harness/Cargo.toml \
    --target-dir target/review-2
