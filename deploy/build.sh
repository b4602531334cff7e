#!/bin/sh
# Builds beside what is in use and switches by one rename, so that processes can start meanwhile.
# Libraries are installed again when their list changes, the packages' sources are copied each time.
set -eu
deps=target/deps
kept_builds=3 # processes import some modules late, from the build that they started from
mkdir -p target
build=$(mktemp -d target/build.XXXXXX)
chmod 755 "$build"
trap 'rm -rf "$build" "$build.link"' EXIT
if cmp -s deploy/requirements.txt "$deps/.requirements" && cmp -s constraints.txt "$deps/.constraints"; then
    cp -al "$deps/." "$build/"
else
    python3 -m pip install -q --disable-pip-version-check --target "$build" \
        -c constraints.txt -r deploy/requirements.txt
    cp deploy/requirements.txt "$build/.requirements"
    cp constraints.txt "$build/.constraints"
fi
rm -rf "$build"/lycheeslip "$build"/lycheeslip_common "$build"/lycheeslip_agent \
    "$build"/lycheeslip_platform
cp -R packages/lycheeslip_common/lycheeslip_common packages/lycheeslip/lycheeslip \
    packages/lycheeslip_agent/lycheeslip_agent platform/lycheeslip_platform "$build"/
python3 -m compileall -q -j 2 "$build" >/dev/null 2>&1 || true
ln -s "$(basename "$build")" "$build.link"
if [ -d "$deps" ] && [ ! -L "$deps" ]; then
    mv "$deps" "$(mktemp -d target/build.XXXXXX)/" # of a build that wasn't a link yet
fi
mv -T "$build.link" "$deps"
trap - EXIT
ls -dt target/build.??????/ | tail -n "+$((kept_builds + 1))" | xargs -r rm -rf
