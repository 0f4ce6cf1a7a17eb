#!/bin/sh
# The stand-ins use the standard library alone: only their syntax is checked.
set -eu
cd "$(dirname "$0")"
for file in harness2.py 6/case.py 7/case.py 8/case.py 9/case.py 10/case.py; do
    [ -f "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file"
done
