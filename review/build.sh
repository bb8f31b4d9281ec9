#!/bin/sh
# The stand-ins are Python with the standard library alone: nothing has to be built, only read.
set -eu
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PY'
import ast
import pathlib

for path in sorted(pathlib.Path().rglob('*.py')):
    ast.parse(path.read_text(encoding='utf-8'), str(path))
PY
