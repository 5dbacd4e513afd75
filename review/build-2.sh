#!/usr/bin/env bash
# Check the stand-ins of the cases 6 to 10: they need Python 3.11, and nothing to build.
set -euo pipefail
cd "$(dirname "$0")"
for folder in stand_ins_2 6 7 8 9 10; do
  if [ -d "$folder" ]; then
    python3 -m compileall -q -f "$folder"
  fi
done
