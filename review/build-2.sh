#!/bin/bash
# The stand-ins of review/6 and later are scripts of Python 3 with its standard library alone; nothing has to be compiled.
# Checks that Python can run them.
cd "$(dirname "$(readlink -f "$0")")" || exit 1
for script in common-2/*.py [6-9]/*.py 10/*.py; do
    [ -e "$script" ] || continue
    python3 -B -c 'import sys; compile(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1], "exec")' "$script" || exit 1
done
python3 -B -c 'import sys; assert sys.version_info >= (3, 8), "Python 3.8 or later is needed"'
