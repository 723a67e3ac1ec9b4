#!/usr/bin/env bash
# Streams with long bodies; a replica crashes while many users come at once. Exits with 1 if a replica ran a request
# with another body than its requester's, 0 if not, and 2 if the case could not run. TROUBLE=0: without crash and burst.
# What was sent, answered and run is written to record.txt beside this script.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x target/review-2/standin ] && [ -x target/release/wigeonshelf ] || exit 2
# The node that the stand-in starts is in its process group.
set -m
target/review-2/standin kept-body "$here/record.txt" &
group=$!
trap 'kill -KILL -- "-$group" 2>/dev/null' EXIT
wait "$group"
exit $?
