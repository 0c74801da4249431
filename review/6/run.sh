#!/bin/sh
# See claim.txt. Exit code: 1 the rule was broken, 0 it held, 2 not run.
exec python3 "$(dirname "$0")/case.py"
