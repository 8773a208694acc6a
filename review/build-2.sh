#!/bin/sh
# Builds what the scripts of review/6 to review/10 start beside the build of the deploy file.
# Their stand-ins are Python programs on the standard library: checked here, built from nothing.
set -eu
cd "$(dirname "$0")"
test -x ../target/bin/mulberryd || { echo "run the build of deploy/system.toml first" >&2; exit 2; }
for file in [0-9]*/stand.py [0-9]*/case.py; do
	python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
