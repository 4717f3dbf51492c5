#!/usr/bin/env bash
# Build dist/currantdyke, a single executable file that runs on the system Python 3.11.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf build/site dist
mkdir -p dist
.venv/bin/python -m pip install --quiet --require-hashes --target build/site \
    -r requirements.lock
.venv/bin/python -m pip install --quiet --no-deps --no-build-isolation \
    --target build/site .
find build/site -type d \( -name tests -o -name __pycache__ \) -prune -exec rm -rf {} +
.venv/bin/shiv --site-packages build/site --compressed \
    --entry-point currantdyke.cli.main:main \
    --root /tmp/currantdyke-unpacked \
    --python "/usr/bin/env python3.11" --output-file dist/currantdyke
ls -l dist/currantdyke
