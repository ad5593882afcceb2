#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. The daemon itself comes from the build of the deploy file.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root"
cargo build --release --locked --offline --manifest-path review/stand-ins/Cargo.toml --target-dir target/review
