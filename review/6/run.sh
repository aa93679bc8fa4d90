#!/bin/sh
# Runs this case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. With TROUBLE=0 it does
# the same without the disruption. Needs the build of the deploy file and review/build-2.sh.
CASE_DIR=$(cd "$(dirname "$0")" && pwd) || exit 2
export CASE_DIR
cd "$CASE_DIR/../.." || exit 2
program=target/review-2/case-$(basename "$CASE_DIR")
[ -x "$program" ] && [ -x target/release/balancer ] || exit 2
exec "$program"
