#!/usr/bin/env bash
# Builds the stand-ins of the scripts of all cases. They need the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standin review/1/standin/main.rs
