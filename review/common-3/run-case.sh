#!/bin/sh
# Runs one case: run-case.sh FOLDER.
set -eu
folder=$(cd "$1" && pwd)
root=$(cd "$(dirname "$0")/../.." && pwd)
cd "$root"
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$root/target/deps:$root/target/review-3" \
    exec python3 "$folder/case.py"
