#!/usr/bin/env bash
# Exits with 1 if an answer that ended early looked complete, 0 if none did, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review/standin ] && [ -x target/release/teaselshunt ] || exit 2
exec target/review/standin killed review/2/record.txt
