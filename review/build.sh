#!/usr/bin/env bash
# Builds the stand-ins of the scripts: plain Python, so there is only a check
# that each of them compiles. The programs under test are built by the command
# in deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q review
