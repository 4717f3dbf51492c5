#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
root=$(cd "$(dirname "$0")/../.." && pwd) || exit 2
cd "$root" || exit 2
PYTHONPATH="$root/target/deps:$root" exec python3 review/7/case.py
