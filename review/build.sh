#!/bin/sh
# Builds the stand-ins that the cases start: Python of the standard library alone.
cd "$(dirname "$0")" && python3 -m compileall -q lab
