#!/bin/sh
# Checks that every stand-in of the third review loads; all are Python and need no
# build beyond that of the deploy file. Run it from anywhere, after that build.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH="$PWD/target/deps:$PWD/review:$PWD" python3 - <<'PYTHON'
import ast
import pathlib

import deployment_3
import runner_3

import currantdyke.emulator
import currantdyke.gateway

for path in sorted(pathlib.Path("review").glob("1[1-5]/*.py")):
    ast.parse(path.read_text())
print("the stand-ins load")
PYTHON
