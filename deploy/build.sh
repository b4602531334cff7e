#!/bin/sh
# Installs libraries when their list changes, and the packages' sources every time.
set -eu
deps=target/deps
stamp=target/requirements.installed
mkdir -p "$deps"
if ! cmp -s deploy/requirements.txt "$stamp" || [ constraints.txt -nt "$stamp" ]; then
    python3 -m pip install -q --disable-pip-version-check --upgrade --target "$deps" \
        -c constraints.txt -r deploy/requirements.txt
    cp deploy/requirements.txt "$stamp"
fi
rm -rf "$deps"/lycheeslip "$deps"/lycheeslip_common "$deps"/lycheeslip_agent \
    "$deps"/lycheeslip_platform
cp -R packages/lycheeslip_common/lycheeslip_common packages/lycheeslip/lycheeslip \
    packages/lycheeslip_agent/lycheeslip_agent platform/lycheeslip_platform "$deps"/
python3 -m compileall -q -j 2 "$deps" >/dev/null 2>&1 || true
