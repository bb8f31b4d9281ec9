#!/bin/sh
# Prepares the scripts of the second review. Their stand-ins are Python files that need only the
# standard library, so there is nothing to compile; this checks that they can be read.
set -e
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast, pathlib, sys
assert sys.version_info >= (3, 11), 'Python 3.11 or newer is needed'
for path in [pathlib.Path('standins_2.py'), *sorted(pathlib.Path().glob('[0-9]*/case.py'))]:
    ast.parse(path.read_text(encoding='utf-8'))
CHECK
