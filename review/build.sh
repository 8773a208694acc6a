#!/bin/sh
# The stand-ins of the scripts are Python programs (lib/stand.py): only check that they can be read.
set -eu
cd "$(dirname "$0")"
for file in lib/*.py */case.py; do
	python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
