#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out; standins_2/cases.py reads it.
cd "$(dirname "$0")/../.." || exit 2
TROUBLE="${TROUBLE:-1}" PYTHONPATH=target/deps:. exec python3 review/7/case.py
