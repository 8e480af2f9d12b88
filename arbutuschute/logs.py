"""Structured logging: lines for changes of state only."""

import collections
import os
import sys
import time
import traceback

import loguru
import msgspec

# Limits for each event. An instance handles about ten requests a second.
LINES_PER_S = 40
FAILURE_LINES_PER_S = 120
FAILURE_LEVEL = 30


def round_to_ms(seconds):
    """Return whole milliseconds; None for None or infinity."""
    if seconds is None or seconds == float('inf'):
        return None
    return int(1000 * seconds)


def _write_json(message):
    record = message.record
    line = {
        'time': record['time'].isoformat(),
        'level': record['level'].name,
        'event': record['message'],
        **record['extra'],
    }
    _add_exception(line, record['exception'])
    sys.stderr.write(msgspec.json.encode(line, enc_hook=str).decode() + '\n')


def _format_people(record):
    fields = ' '.join(f'{key}={{extra[{key}]}}' for key in record['extra'])
    # With a function as format, the logger appends no traceback itself.
    trace = '{exception}\n' if record['exception'] is not None else ''
    return f'{{time:HH:mm:ss.SSS}} {{level:<7}} {{message}} {fields}\n{trace}'


def make_logger(chosen, **fields):
    """Return a logger bound to ``fields``, configured by the settings."""
    loguru.logger.remove()
    if chosen.format == 'json':
        loguru.logger.add(_write_json, level=chosen.level)
    else:
        loguru.logger.add(
            sys.stderr, level=chosen.level, format=_format_people
        )
    return loguru.logger.bind(**fields)


class LineBudget:
    """Limits the number of lines per event and second.

    Failures have a higher limit, so that they are still written under load.
    Omitted lines are counted, and the next line of their event states the
    count in its field ``left_out``.
    """

    __slots__ = ('_counts', '_now', '_second', 'omitted')

    def __init__(self, now):
        self._now = now
        self._second = 0
        self._counts = collections.Counter()
        self.omitted = collections.Counter()

    def admit(self, record):
        """Return whether to write a record; used as the logger's filter."""
        second = int(self._now())
        if second != self._second:
            self._second = second
            self._counts.clear()
        key = record['message'], record['level'].no >= FAILURE_LEVEL
        self._counts[key] += 1
        max_lines = FAILURE_LINES_PER_S if key[1] else LINES_PER_S
        if self._counts[key] > max_lines:
            self.omitted[record['message']] += 1
            return False
        omitted = self.omitted.pop(record['message'], 0)
        if omitted:
            record['extra']['left_out'] = omitted
        return True


class LineWriter:
    """Writes lines to a file descriptor without blocking.

    A line that does not fit into the pipe is dropped and counted.
    """

    __slots__ = ('_descriptor', 'dropped')

    def __init__(self, descriptor):
        self._descriptor = descriptor
        self.dropped = 0

    def write(self, line):
        """Write one line, or count it as dropped."""
        try:
            os.write(self._descriptor, line)
        except BlockingIOError:
            self.dropped += 1


def make_line_logger(descriptor=1, level='INFO', **fields):
    """Return a logger of JSON lines that never blocks on its output.

    ``descriptor`` is a file descriptor, standard output by default.
    """
    os.set_blocking(descriptor, False)
    writer = LineWriter(descriptor)
    loguru.logger.remove()
    loguru.logger.add(
        lambda message: writer.write(_encode_line(message.record)),
        level=level,
        filter=LineBudget(time.monotonic).admit,
    )
    return loguru.logger.bind(**fields)


def _encode_line(record):
    line = {
        'time': record['time'].isoformat(timespec='milliseconds'),
        'level': record['level'].name,
        'event': record['message'],
        **record['extra'],
    }
    _add_exception(line, record['exception'])
    return msgspec.json.encode(line, enc_hook=str) + b'\n'


def _add_exception(line, exception):
    if exception is not None:
        line['exception'] = repr(exception.value)
        line['traceback'] = _format_traceback(exception.traceback)


def _format_traceback(trace):
    return [
        f'{frame.filename}:{frame.lineno} {frame.name}'
        for frame in traceback.extract_tb(trace)[-4:]
    ]
