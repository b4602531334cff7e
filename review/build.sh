#!/bin/sh
# Builds the stand-ins of the cases under target/review: the project's own and those of the review.
# Run it after deploy/build.sh, whose libraries they use.
set -eu
cd "$(dirname "$0")/.."
test -d target/deps || { echo "run deploy/build.sh first" >&2; exit 2; }
rm -rf target/review
mkdir -p target/review
cp -R packages/lycheeslip_standins/lycheeslip_standins review/harness target/review/
python3 -m compileall -q target/review
