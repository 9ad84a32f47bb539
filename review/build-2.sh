#!/usr/bin/env bash
# Builds what the cases 6 to 10 start: the deployment (target/deps) and the
# stand-ins, which are Python modules and use only libraries of target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
bash script/build
export PYTHONPATH="$PWD/target/deps:$PWD:$PWD/review/testbed"
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import testbed'
