#!/usr/bin/env bash
# Builds the stand-ins of the cases: they are Python and need the standard library only.
set -eu
cd "$(dirname "$0")"
python3 -m compileall -q common [1-5]
