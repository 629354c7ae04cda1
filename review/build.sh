#!/bin/sh
# Checks that the stand-ins of the cases compile; they need no more than Python 3.11.
set -eu
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib

for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PY
