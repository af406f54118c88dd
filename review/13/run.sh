#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH="target/deps:." PYTHONDONTWRITEBYTECODE=1
python3.11 -c 'import review.rig_3' || exit 2
exec python3.11 -m review.13.case
