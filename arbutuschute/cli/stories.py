"""Stories of a request and of an instance, from the log lines of many."""

import collections
import datetime

import msgspec

# Told first in a line, or implied by the story.
_HEAD_FIELDS = ('time', 'event', 'instance', 'request', 'level')
# What happens to single requests is counted in a timeline, not listed.
_REQUEST_EVENTS = (
    'server chosen',
    'answer dropped',
    'attempt failed',
    'request ended',
)


class Line(msgspec.Struct):
    """One log line; ``at`` is by its instance's own clock."""

    at: datetime.datetime
    event: str
    instance: str
    facts: dict


def read_lines(texts, request_id):
    """Yield the ``Line`` objects about a request; others are skipped.

    Whatever stands before the JSON of a line is skipped as well.
    """
    return _read_matching(texts, 'request', request_id)


def read_instance(texts, instance):
    """Yield the ``Line`` objects that an instance wrote."""
    return _read_matching(texts, 'instance', instance)


def _read_matching(texts, field, value):
    for text in texts:
        start = text.find('{')
        if start < 0 or value not in text:
            continue
        try:
            found = msgspec.json.decode(text[start:])
            if found.get(field) == value:
                yield _make_line(found)
        except (msgspec.DecodeError, KeyError, AttributeError, ValueError):
            continue


def _make_line(found):
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


def tell(lines):
    """Return the story as text, an instance after the other.

    Clocks of instances may be apart, so times count from the first line
    of each.
    """
    by_instance = {}
    for line in lines:
        by_instance.setdefault(line.instance, []).append(line)
    parts = []
    for instance, own in sorted(by_instance.items()):
        own.sort(key=lambda line: line.at)
        parts.append(f'{instance}, from {own[0].at.isoformat()}')
        parts.extend(_tell_line(line, own[0].at) for line in own)
    return '\n'.join(parts)


def _tell_line(line, began):
    offset_ms = (line.at - began).total_seconds() * 1000
    return f'  +{offset_ms:6.0f} ms  {line.event}: {_tell_facts(line)}'


def tell_timeline(lines):
    """Return what an instance believed, change after change, as text.

    Requests that ended between two changes are counted by outcome.
    """
    parts = []
    ended = collections.Counter()
    for line in sorted(lines, key=lambda line: line.at):
        if line.event == 'request ended':
            ended[line.facts.get('outcome', 'unknown')] += 1
        if line.event in _REQUEST_EVENTS:
            continue
        parts.extend(_tell_ended(ended))
        ended.clear()
        facts = _tell_facts(line)
        parts.append(f'{line.at.isoformat()}  {line.event}: {facts}')
    parts.extend(_tell_ended(ended))
    return '\n'.join(parts)


def _tell_ended(ended):
    if ended:
        counts = ', '.join(f'{n} {name}' for name, n in ended.most_common())
        yield f'    requests ended: {counts}'


def _tell_facts(line):
    return ' '.join(f'{name}={value}' for name, value in line.facts.items())
