#!/bin/bash
# Builds the stand-ins, clients and checks of the cases. Needs no network and no dependency.
set -eu
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/harness/Cargo.toml --target-dir target/review
