#!/bin/sh
# Copies the project's stand-ins, which the scripts of review/6 to review/10 start, beside the build.
# Needs no network: their libraries are those of the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "run the build of the deploy file first: sh deploy/build.sh" >&2; exit 2; }
out=target/review-2
mkdir -p "$out"
rm -rf "$out/lycheeslip_standins"
cp -R packages/lycheeslip_standins/lycheeslip_standins "$out/"
PYTHONPATH="$out:target/deps" python3 -c \
    "import aiohttp, cbor2, msgspec, lycheeslip_standins.platform.store, lycheeslip_standins.platform.worker"
