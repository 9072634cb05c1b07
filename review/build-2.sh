#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start. Run in the root of the repository, after the build of the deploy file.
set -eu
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/one review/6/standin/one.rs
rustc --edition 2024 -O -o target/review-2/drain review/7/standin/drain.rs
