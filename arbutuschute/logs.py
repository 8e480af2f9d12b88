"""Structured logs: lines only for changes of state."""

import sys

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
