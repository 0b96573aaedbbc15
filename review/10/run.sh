#!/bin/sh
# Exit code: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
# TROUBLE=0 plays the same without the disruption. What was sent, answered and
# run is written to record.txt in this folder.
cd "$(dirname "$0")" || exit 2
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec python3 case.py
