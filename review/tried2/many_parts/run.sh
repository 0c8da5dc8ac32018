#!/usr/bin/env bash
# A finding that is no case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../../.." || exit 2
test -d target/deps || { echo "run the build of the deploy file first" >&2; exit 2; }
PYTHONPATH=target/deps:. exec timeout -k 5 115 python3 -m review.tried2.many_parts.case
