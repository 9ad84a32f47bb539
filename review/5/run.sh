#!/bin/bash
# Exit status: 1 rule broken, 0 rule held, 2 the case couldn't run.
exec python3 "$(dirname "$0")/case.py"
