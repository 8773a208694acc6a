#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
exec timeout -k 5 110 python3 "$(dirname "$0")/case.py"
