#!/bin/sh
# Nothing of the stand-ins is compiled; this checks that they can be loaded.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps:. exec python3 -c "
import sys
assert sys.version_info >= (3, 11), 'Python 3.11 or newer is needed'
import review.standins_2.cases, review.standins_2.engine, review.standins_2.streams
"
