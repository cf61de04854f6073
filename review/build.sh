#!/bin/sh
# Builds the stand-ins of the cases. They are Python files that need nothing
# but the standard library, so building them means to compile them.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m compileall -q standins.py ./*/scenario.py
