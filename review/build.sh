#!/bin/sh
# The stand-ins are plain Python and use the libraries of the deploy file's
# build; this checks that they compile and that those libraries are there.
set -e
cd "$(dirname "$0")"
for file in common/*.py */case.py */standin.py; do
    [ -e "$file" ] || continue
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
PYTHONPATH="$(cd .. && pwd)/target/deps" python3 -c 'import aiohttp, uvloop'
