"""Run the scenarios against the naive version, promise by promise.

The naive version is expected to break every promise; the exit code is 0
if it does, so that a promise without a scenario that bites is noticed.
"""

import os
import re
import subprocess
import sys

PROMISES = (
    'at-most-once',
    'billing',
    'withdrawn',
    'allowed',
    'configuration',
    'not-run',
    'whole-answer',
    'session',
    'leaving',
    'graceful-stop',
)


def count(word, text):
    found = re.search(rf'(\d+) {word}', text)
    return int(found.group(1)) if found else 0


def main():
    kept = []
    print(f'{"promise":<15} {"scenarios":>9} {"broken":>6}')
    for promise in PROMISES:
        done = subprocess.run(
            [
                sys.executable, '-m', 'pytest', '-q', '-n', '4',
                'tests/scenarios', '-m', promise, '-p', 'no:cacheprovider',
            ],
            env={
                **os.environ,
                'ARBUTUSCHUTE_ROUTER_MODULE': 'tests.naive_router',
            },
            capture_output=True,
            text=True,
        )  # fmt: skip
        failed = count('failed', done.stdout)
        total = failed + count('passed', done.stdout)
        print(f'{promise:<15} {total:>9} {failed:>6}', flush=True)
        for line in done.stdout.splitlines():
            if line.startswith('FAILED'):
                print('   ' + line.split('::')[1].split(' - ')[0])
        if not failed:
            kept.append(promise)
    if kept:
        print('kept by the naive version: ' + ', '.join(kept))
    return 1 if kept else 0


if __name__ == '__main__':
    sys.exit(main())
