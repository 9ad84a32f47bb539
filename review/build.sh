#!/bin/bash
# Builds the stand-ins of all cases: standard library only, so that compiling
# them to bytecode is all there is to do.
set -euo pipefail
cd "$(dirname "$0")"
python3 -m compileall -q standin [1-9]
