"""Cost of log lines at ten times today's load, with and without a reader.

Run it as ``python -m benchmarks.logs``. Today an instance completes about
ten requests a second, with two and a half lines each.
"""

import os
import threading
import time

from arbutuschute import logs

DURATION_S = 5.0
REQUESTS_PER_S = 100
FIELDS = {
    'server': 'i-7e4c18e7fc',
    'service': 'redaction',
    'version': 'v1',
    'load': 1.7,
    'load_age_ms': 212,
    'foreseen_ms': 91,
}


def write_request(log, number):
    """Write one request's lines; every fourth has a failed attempt."""
    request = f'{number:016x}'
    log.info('server chosen', request=request, attempt=1, **FIELDS)
    if number % 4 == 0:
        log.warning('attempt failed', request=request, **FIELDS)
        log.info('server chosen', request=request, attempt=2, **FIELDS)
    log.info('request ended', request=request, status=200, **FIELDS)


def drain(descriptor, sizes):
    """Read a pipe to its end; append the bytes of each read to ``sizes``."""
    while chunk := os.read(descriptor, 65536):
        sizes.append(len(chunk))


def run(has_reader):
    """Return (lines offered, bytes read, CPU seconds, longest seconds)."""
    read_end, write_end = os.pipe()
    sizes = []
    reader = threading.Thread(target=drain, args=(read_end, sizes))
    if has_reader:
        reader.start()
    log = logs.make_line_logger(write_end, instance='edge-a-1')
    cpu_s = longest_s = 0.0
    began = time.monotonic()
    requests = int(DURATION_S * REQUESTS_PER_S)
    for number in range(requests):
        time.sleep(
            max(0.0, began + number / REQUESTS_PER_S - time.monotonic())
        )
        at, used_at = time.monotonic(), time.thread_time()
        write_request(log, number)
        cpu_s += time.thread_time() - used_at
        longest_s = max(longest_s, time.monotonic() - at)
    os.close(write_end)
    if has_reader:
        reader.join()
    os.close(read_end)
    lines = 2 * requests + 2 * len(range(0, requests, 4))
    return lines, sum(sizes), cpu_s, longest_s


def main():
    """Print one row for a pipe with a reader and one for a pipe without."""
    print(f'{REQUESTS_PER_S} requests a second for {DURATION_S:.0f} s')
    for has_reader in (True, False):
        lines, size, cpu_s, longest_s = run(has_reader)
        print(
            f'{"read" if has_reader else "never read":>10}: '
            f'{lines / DURATION_S:.0f} lines/s offered, '
            f'{size / DURATION_S / 1024:.1f} KB/s read, '
            f'{1e6 * cpu_s / lines:.0f} us of CPU a line, '
            f'{100 * cpu_s / DURATION_S:.2f}% of a core, '
            f'longest request {1000 * longest_s:.2f} ms'
        )


if __name__ == '__main__':
    main()
