#!/usr/bin/env bash
# Prepares what the scripts start. The stand-ins are written in Python, which scripts/install names, with its standard library only;
# they need no build, so this checks that they can be read. The daemon comes from the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 -B -c 'import sys; sys.exit("Python 3.9 or later is needed") if sys.version_info < (3, 9) else None'
for file in standins/cell.py */case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
echo "the stand-ins are ready"
