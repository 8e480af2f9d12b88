"""Traces of a request or an instance, read from log lines."""

import collections
import datetime

import msgspec

from arbutuschute import decoding

# Shown before the other fields, or left out (request, level).
_HEAD_FIELDS = ('time', 'event', 'instance', 'request', 'level')
# A timeline counts the events of single requests and does not list them.
_REQUEST_EVENTS = (
    'server chosen',
    'answer dropped',
    'attempt failed',
    'no eligible server',
    'request ended',
)


class Line(msgspec.Struct):
    """One log line; ``at`` is the time by its instance's clock."""

    at: datetime.datetime
    event: str
    instance: str
    fields: dict


def read_request_lines(texts, request_id):
    """Yield a ``Line`` for each log line about a request.

    Other lines, and any prefix before the JSON of a line, are skipped.
    """
    return _read_matching(texts, 'request', request_id)


def read_instance_lines(texts, instance):
    """Yield a ``Line`` for each log line that an instance wrote."""
    return _read_matching(texts, 'instance', instance)


def _read_matching(texts, field, value):
    for text in texts:
        start = text.find('{')
        if start < 0 or value not in text:
            continue
        try:
            found = decoding.decode_json(text[start:])
            if found.get(field) == value:
                yield _decode_line(found)
        except (msgspec.DecodeError, KeyError, AttributeError, ValueError):
            continue


def _decode_line(found):
    return Line(
        datetime.datetime.fromisoformat(found['time']),
        found['event'],
        found['instance'],
        {
            name: value
            for name, value in found.items()
            if name not in _HEAD_FIELDS and value not in (None, '')
        },
    )


def format_trace(lines):
    """Return the trace of a request as text, grouped by instance.

    The instances' clocks may differ, so times count from the first line of
    each instance.
    """
    by_instance = {}
    for line in lines:
        by_instance.setdefault(line.instance, []).append(line)
    parts = []
    for instance, own_lines in sorted(by_instance.items()):
        own_lines.sort(key=lambda line: line.at)
        parts.append(f'{instance}, from {own_lines[0].at.isoformat()}')
        parts.extend(_format_line(line, own_lines[0].at) for line in own_lines)
    return '\n'.join(parts)


def _format_line(line, started_at):
    offset_ms = (line.at - started_at).total_seconds() * 1000
    return f'  +{offset_ms:6.0f} ms  {line.event}: {_format_fields(line)}'


def format_timeline(lines):
    """Return the events of an instance in order of time, as text.

    Requests that ended between two events are counted by outcome.
    """
    parts = []
    ended = collections.Counter()
    for line in sorted(lines, key=lambda line: line.at):
        if line.event == 'request ended':
            ended[line.fields.get('outcome', 'unknown')] += 1
        if line.event in _REQUEST_EVENTS:
            continue
        parts.extend(_format_ended(ended))
        ended.clear()
        fields = _format_fields(line)
        parts.append(f'{line.at.isoformat()}  {line.event}: {fields}')
    parts.extend(_format_ended(ended))
    return '\n'.join(parts)


def _format_ended(ended):
    if ended:
        counts = ', '.join(f'{n} {name}' for name, n in ended.most_common())
        yield f'    requests ended: {counts}'


def _format_fields(line):
    return ' '.join(f'{name}={value}' for name, value in line.fields.items())
