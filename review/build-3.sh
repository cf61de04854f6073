#!/bin/sh
# Builds the stand-ins of the cases 11 to 15. They use the standard library of
# Python only, so this compiles them and needs no network.
cd "$(dirname "$0")" || exit 1
exec python3 -m compileall -q harness_3.py 11 12 13 14 15
