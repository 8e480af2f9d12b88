#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
cd "$(dirname "$0")" || exit 2
exec timeout -k 2 115 python3 case.py
