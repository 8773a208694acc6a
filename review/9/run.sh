#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
PYTHONDONTWRITEBYTECODE=1 timeout -k 5 112 python3 "$(dirname "$0")/case.py"
case $? in
0) exit 0 ;;
42) exit 1 ;; # Python itself ends with 1 if a script is at fault
*) exit 2 ;;
esac
