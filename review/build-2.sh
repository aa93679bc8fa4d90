#!/bin/sh
# Builds what the scripts review/6 to review/10 start besides the balancer: one program a case, which holds its stand-ins
# of clients, upstreams and discovery. Needs rustc and its standard library alone.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for number in 6 7 8 9 10; do
    [ -d "review/$number" ] || continue
    rustc --edition 2021 -O "review/$number/case.rs" -o "target/review-2/case-$number"
done
