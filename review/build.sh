#!/usr/bin/env bash
# Builds what the scripts start beside the servers: the stand-ins are Python,
# so this compiles them and checks that they find what target/deps holds.
set -euo pipefail
cd "$(dirname "$0")/.."
python3.11 -m compileall -q emulator soak review
PYTHONPATH=target/deps:.:review python3.11 -c 'import lab'
