"""Run the scenarios of each promise against the naive router.

The exit code is 0 if at least one scenario fails for each promise. A
promise that the naive router keeps lacks a scenario that can fail.
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


def parse_count(word, text):
    found = re.search(rf'(\d+) {word}', text)
    return int(found.group(1)) if found else 0


def main():
    unbroken = []
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
        failed = parse_count('failed', done.stdout)
        total = failed + parse_count('passed', done.stdout)
        print(f'{promise:<15} {total:>9} {failed:>6}', flush=True)
        for line in done.stdout.splitlines():
            if line.startswith('FAILED'):
                print('   ' + line.split('::')[1].split(' - ')[0])
        if not failed:
            unbroken.append(promise)
    if unbroken:
        print('kept by the naive version: ' + ', '.join(unbroken))
    return 1 if unbroken else 0


if __name__ == '__main__':
    sys.exit(main())
