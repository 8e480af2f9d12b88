#!/bin/sh
# Builds the stand-ins that the scripts start. They are Python modules that
# use the packages of the deploy file's build, so there is nothing to compile:
# this only checks that they can be imported. Nothing is written.
cd "$(dirname "$0")/.." || exit 1
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="$PWD:$PWD/target/deps" \
    exec python3 -c 'import review.support.world'
