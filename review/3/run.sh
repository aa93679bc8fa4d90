#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd)
ROOT=$(cd "$here/../.." && pwd)
RECORD=$here/record.txt
export ROOT RECORD
program=$ROOT/target/review/case-3
[ -x "$program" ] && [ -x "$ROOT/target/release/balancer" ] || {
    echo "build first: the command of the deploy file, then review/build.sh" | tee "$RECORD"
    exit 2
}
# The program ends every process that it started; the system ends them too if the program is killed.
timeout -k 3 110 "$program"
code=$?
case $code in 0 | 1 | 2) exit $code ;; *) exit 2 ;; esac
