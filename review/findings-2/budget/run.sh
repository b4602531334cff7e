#!/bin/sh
# No case: a finding that the report names. Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")" || exit 2
PYTHONPATH="../../common-2:../../../target/review-2:../../../target/deps" exec python3 case.py
