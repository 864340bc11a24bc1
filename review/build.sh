#!/bin/sh
# Builds the stand-ins of the cases. They are Python of the standard library: compiled and imported here, no more.
set -eu
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
cd review
for case in */case.py; do
    PYTHONPATH=. ../.venv/bin/python -c "import ast, sys; ast.parse(open('$case').read())"
done
PYTHONPATH=. ../.venv/bin/python -c 'import common'
