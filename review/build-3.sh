#!/bin/sh
# Puts the stand-ins that the scripts of review/11 to review/14 start under target/review-3: the
# project's own ones and those of review/common-3. Run it after deploy/build.sh; it needs no network.
set -eu
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
cp -R packages/lycheeslip_standins/lycheeslip_standins target/review-3/
cp review/common-3/*.py target/review-3/
