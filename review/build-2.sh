#!/bin/sh
# Builds the stand-ins and cases of the second review; they use the standard library only.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
