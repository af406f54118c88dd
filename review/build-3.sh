#!/usr/bin/env bash
# Checks what the scripts of the third review start: the servers, built by the
# deploy file, and the project's own stand-ins. Python needs no build for them.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:." PYTHONDONTWRITEBYTECODE=1 \
    python3.11 -c 'import oleanderwood.server, review.rig_3'
