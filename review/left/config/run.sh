#!/bin/sh
# Plays the trial; exits as the cases do.
cd "$(dirname "$0")/../../.." && exec python3 review/left/config/scenario.py
