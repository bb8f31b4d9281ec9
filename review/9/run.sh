#!/bin/sh
# Exits with 1 if BUDGET was broken, 0 if it held, 2 if the case couldn't run.
# Writes record.txt beside itself: what was sent, answered and run.
# TROUBLE=0 leaves out the cut; the servers lose answers all the same.
cd "$(dirname "$0")" || exit 2
exec python3 case.py
