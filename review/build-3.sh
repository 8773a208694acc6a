#!/bin/sh
# Builds what the scripts of review/11 to review/15 start besides the program of the deploy
# file. Their stand-ins are Python modules beside each script and need no build; this checks
# that the interpreter and the program are there.
set -eu
cd "$(dirname "$0")/.."
command -v python3 >/dev/null || { echo "python3 is missing" >&2; exit 1; }
test -x target/bin/mulberryd || { echo "target/bin/mulberryd is missing: build as the deploy file says" >&2; exit 1; }
