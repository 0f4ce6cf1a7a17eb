#!/bin/sh
# Prepares what the scripts need beyond the build of the deploy file. The
# stand-ins are Python without libraries: this only checks that they compile.
cd "$(dirname "$0")" || exit 1
for file in *.py [1-5]/*.py; do
    [ -e "$file" ] || continue
    python3 -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' \
        "$file" || exit 1
done
