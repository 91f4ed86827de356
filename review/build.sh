#!/usr/bin/env bash
# Builds the stand-ins that the cases start, into the root's ignored `target`. They use the standard library alone, so no
# network is needed.
set -euo pipefail
cd "$(dirname "$0")/standins"
cargo build --release --locked --offline --target-dir ../../target/review
