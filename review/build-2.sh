#!/bin/sh
# Builds the stand-ins of the second review's scripts: they and the project's emulator
# are Python programs, which need what the build line of the deploy file installs.
root=$(cd "$(dirname "$0")/.." && pwd) || exit 2
cd "$root" || exit 2
PYTHONPATH="$root/target/deps:$root" exec python3 -c '
import compileall, sys
import anyio, attrs, h11, msgspec, yaml
import currantdyke.emulator
files = [f"review/{name}" for name in ("standins_2.py",)]
files += [f"review/{number}/case.py" for number in (6, 7)]
sys.exit(not all([compileall.compile_file(f, quiet=1) for f in files]))
'
