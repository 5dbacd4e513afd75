#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
here=$(cd "$(dirname "$0")" && pwd)
PYTHONPATH="$here/../.." exec python3 "$here/case.py" "$here/record.txt"
