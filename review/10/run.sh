#!/bin/sh
# Runs case 10: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || exit 2
.venv/bin/python review/10/case.py
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
