#!/usr/bin/env bash
# Prepares what the scripts of cases 11 to 15 start. Their stand-ins are written in Python, which scripts/install names, with its standard library
# only; they need no build, so this checks that they can be read. The daemon comes from the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins-3/platform3.py 1[1-5]/case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$file"
done
echo "the stand-ins are ready"
