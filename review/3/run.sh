#!/usr/bin/env bash
# Exits with 1 if a worker got orders of two holders, 0 if of one, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] && [ -x target/release/teaselshunt ] || exit 2
exec target/review/standin holders review/3/record.txt
