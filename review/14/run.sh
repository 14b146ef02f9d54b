#!/bin/sh
# TROUBLE=0 plays the case without its disruption.
TROUBLE="${TROUBLE:-1}"
export TROUBLE
exec python3 -B "$(dirname "$0")/play.py"
