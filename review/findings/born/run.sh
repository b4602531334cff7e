#!/bin/sh
# Plays the case; TROUBLE=0 plays it without the disruption. Exit code: 1 broken, 0 held, 2 not run.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$folder/../../.." && pwd) || exit 2
[ -d "$root/target/deps" ] && [ -d "$root/target/review" ] || {
    echo "run deploy/build.sh and review/build.sh first" >&2
    exit 2
}
PYTHONPATH="$root/target/deps:$root/target/review" PYTHONDONTWRITEBYTECODE=1 \
    exec python3 "$folder/case.py"
