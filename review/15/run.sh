#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case did not run.
cd "$(dirname "$0")" || exit 2
PYTHONPATH="$PWD/.." exec python3 scenario.py
