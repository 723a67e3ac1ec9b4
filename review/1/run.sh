#!/bin/sh
# Stops and starts a node in turn; exits with 1 if a request was lost.
cd "$(dirname "$0")/../.." || exit 2
# What was sent, answered and run is written to record.txt; TROUBLE=0 leaves the disruption out.
target/review/standin drain . review/1/record.txt "${TROUBLE:-1}"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
