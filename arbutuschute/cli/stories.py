"""The story of one request, from the log lines of many instances."""

import datetime

import msgspec

# Told first in a line, or implied by the story.
_HEAD_FIELDS = ('time', 'event', 'instance', 'request', 'level')


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
    for text in texts:
        start = text.find('{')
        if start < 0 or request_id not in text:
            continue
        try:
            found = msgspec.json.decode(text[start:])
            if found.get('request') == request_id:
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
    facts = ' '.join(f'{name}={value}' for name, value in line.facts.items())
    return f'  +{offset_ms:6.0f} ms  {line.event}: {facts}'
