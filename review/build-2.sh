#!/bin/sh
# Builds the stand-ins of the second review: Python sources, compiled with the environment of the deploy file.
cd "$(dirname "$0")/.." || exit 2
for folder in review/lib2 review/6 review/7 review/8 review/9 review/10; do
    test ! -d "$folder" || .venv/bin/python -m compileall -q "$folder" || exit 1
done
