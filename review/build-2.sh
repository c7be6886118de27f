#!/bin/sh
# The stand-ins of review/6 to review/10 are Python of the standard library;
# there is nothing to build but a check that this Python can read them.
cd "$(dirname "$0")" || exit 1
PYTHONPYCACHEPREFIX="$(mktemp -d)" || exit 1
export PYTHONPYCACHEPREFIX
python3 -m py_compile small_platform.py 6/case.py 7/case.py 8/case.py \
    9/case.py 10/case.py
status=$?
rm -rf "$PYTHONPYCACHEPREFIX"
exit $status
