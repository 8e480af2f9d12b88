"""Reads and checks the requests of callers."""

from arbutuschute import errors
from arbutuschute.platform import names
from arbutuschute.traffic import request as requests

# More output tokens than any model writes need no more digits.
MAX_HINT_DIGITS = 8


async def read_request(environment, raw, body):
    """Return the checked ``Request``; raise ``Failure`` for bad input."""
    table = environment.table
    if table is None:
        raise errors.NotReady(environment.name)
    received_at = environment.now()
    headers = raw.headers
    _check_header_size(raw, table.limits)
    request = requests.Request(
        _read_id(headers),
        raw.method,
        raw.raw_path,
        headers.get('Host', ''),
        received_at,
    )
    request.version = table.version
    request.key = headers.get(names.API_KEY)
    deadline_ms = _read_number(headers, names.DEADLINE_MS)
    if deadline_ms is not None:
        request.deadline_at = received_at + deadline_ms / 1000
    request.last_event_id = headers.get(names.LAST_EVENT_ID)
    request.prompt = _read_prompt(headers)
    request.session = headers.get(names.SESSION, request.id)
    request.headers = _select_headers(headers)
    request.body = await body.read(
        table.limits.body_bytes, table.limits.header_s
    )
    return request


def _read_id(headers):
    """Return the only id of a request; responses are matched by it."""
    given = headers.getall(names.REQUEST_ID, [])
    if len(given) != 1 or not given[0].strip():
        raise errors.BrokenHeader(names.REQUEST_ID, 'one id')
    return given[0]


def _check_header_size(raw, limits):
    size = sum(len(name) + len(value) + 4 for name, value in raw.raw_headers)
    if size + len(raw.raw_path) > limits.header_bytes:
        raise errors.HeadersTooLarge(limits.header_bytes)


def _read_number(headers, name):
    text = headers.get(name)
    if text is None:
        return None
    if not text.isascii() or not text.isdigit():
        raise errors.BrokenHeader(name, 'a whole number from 0 on')
    return int(text)


def _read_prompt(headers):
    """Return the ``Prompt`` that the headers describe."""
    prompt = requests.Prompt(model=headers.get(names.MODEL, ''))
    try:
        counts = headers.get(names.TOKENS, '0,0').split(',')
        prompt.tokens, prompt.output_tokens = map(int, counts)
        parts = headers.get(names.PROMPT_PARTS, '')
        pairs = [entry.split(':') for entry in parts.split(',') if entry]
        prompt.parts = tuple(
            (name.strip(), int(tokens)) for name, tokens in pairs
        )
    except ValueError:
        raise errors.BrokenHeader(
            names.PROMPT_PARTS, 'NAME:TOKENS, with two token counts beside'
        ) from None
    prompt.length_hint = _read_length_hint(headers)
    return prompt


def _read_length_hint(headers):
    """Return the caller's estimate of output tokens, 0 if it is no number.

    It serves estimates only, so a bad one refuses no request.
    """
    text = headers.get(names.LENGTH_HINT, '')
    if not text.isascii() or not text.isdigit():
        return 0
    return int(text[:MAX_HINT_DIGITS])


def _select_headers(headers):
    """Return the caller's headers that are forwarded to the server."""
    dropped = {
        token.strip().lower()
        for value in headers.getall('Connection', ())
        for token in value.split(',')
    }
    dropped |= names.HOP_BY_HOP | names.OWN_REQUEST_HEADERS
    return tuple(
        (name, value)
        for name, value in headers.items()
        if name.lower() not in dropped
    )
