#!/bin/sh
# Installs dependencies and packages, byte-compiled, in target/deps, and stores the modules
# of a start in one file there; writes only to target/.
set -eu
deps=target/deps
stamp=target/requirements
if ! cmp -s deploy/requirements.txt "$stamp"; then
    rm -rf "$deps"
    python3 -m pip install -q --disable-pip-version-check --no-compile \
        --root-user-action=ignore --target "$deps" -r deploy/requirements.txt
    cp deploy/requirements.txt "$stamp"
fi
for package in packages/stoattray-core/src/stoattray_core \
    packages/stoattray-balancer/src/stoattray_balancer \
    platform/src/stoattray_platform; do
    rm -rf "$deps/$(basename "$package")"
    cp -R "$package" "$deps/"
done
find "$deps" -name __pycache__ -path '*stoattray*' -prune -exec rm -rf {} +
python3 -m compileall -q -j 0 "$deps" -x '/tests?/|_pxd|\.pyx'
PYTHONPATH="$deps" python3 -S -P -X no_debug_ranges deploy/archive_modules.py "$deps"
