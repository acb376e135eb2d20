#!/bin/sh
# Plays the case; exits with 1 if the rule was broken, 0 if it held, 2 if
# the case could not run. With TROUBLE=0 it leaves the disruption out.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
cd "$(dirname "$0")" && exec python3 scenario.py
