"""Structured logs: lines only for changes of state."""

import os
import sys
import traceback

import loguru
import msgspec


def _write_json(message):
    record = message.record
    line = {
        'time': record['time'].isoformat(),
        'level': record['level'].name,
        'event': record['message'],
        **record['extra'],
    }
    sys.stderr.write(msgspec.json.encode(line, enc_hook=str).decode() + '\n')


def _format_people(record):
    facts = ' '.join(f'{key}={{extra[{key}]}}' for key in record['extra'])
    return f'{{time:HH:mm:ss.SSS}} {{level:<7}} {{message}} {facts}\n'


def make_logger(chosen, **facts):
    """Return a logger bound to ``facts``, set up as the settings say."""
    loguru.logger.remove()
    if chosen.format == 'json':
        loguru.logger.add(_write_json, level=chosen.level)
    else:
        loguru.logger.add(
            sys.stderr, level=chosen.level, format=_format_people
        )
    return loguru.logger.bind(**facts)


class LineWriter:
    """Writes lines to standard output and never waits for its reader.

    A line that the pipe has no room for is dropped and counted.
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


def make_line_logger(descriptor=1, level='INFO', **facts):
    """Return a logger of JSON lines that never blocks on standard output."""
    os.set_blocking(descriptor, False)
    writer = LineWriter(descriptor)
    loguru.logger.remove()
    loguru.logger.add(
        lambda message: writer.write(_encode_line(message.record)),
        level=level,
    )
    return loguru.logger.bind(**facts)


def _encode_line(record):
    line = {
        'time': record['time'].isoformat(timespec='milliseconds'),
        'level': record['level'].name,
        'event': record['message'],
        **record['extra'],
    }
    if record['exception'] is not None:
        line['exception'] = repr(record['exception'].value)
        line['traceback'] = _format_traceback(record['exception'].traceback)
    return msgspec.json.encode(line, enc_hook=str) + b'\n'


def _format_traceback(trace):
    return [
        f'{frame.filename}:{frame.lineno} {frame.name}'
        for frame in traceback.extract_tb(trace)[-4:]
    ]
