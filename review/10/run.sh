#!/bin/bash
# Exit code: 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
exec python3 -B "$(dirname "$(readlink -f "$0")")/case.py"
