#!/bin/sh
# The stand-ins are Python programs that need the standard library only, so that there
# is nothing to build; this checks that the interpreter can read all of them.
set -eu
cd "$(dirname "$0")"
exec python3 - <<'CHECK'
import ast
import pathlib

for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(), str(path))
CHECK
