#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start. Run in the root of the repository, after the build of the deploy file.
set -eu
mkdir -p target/review-2
for case in drain one; do
    rustc --edition 2024 -O -o "target/review-2/$case" "review/standins-2/$case.rs"
done
