#!/bin/sh
# Builds the stand-ins of the cases from review 2 on: Python sources, which
# need no more than the libraries that the deploy file's build puts in place.
set -e
cd "$(dirname "$0")"
PYTHONPATH=../target/deps python3 -c 'import aiohttp'
PYTHONDONTWRITEBYTECODE=1 python3 - support_2/standins.py [0-9]*/case.py <<'CHECK'
import sys
for path in sys.argv[1:]:
    with open(path) as source:
        compile(source.read(), path, 'exec')
CHECK
