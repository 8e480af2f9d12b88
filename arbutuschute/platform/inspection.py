"""What an instance tells of itself on its metrics address.

``/explain`` describes a request in its query; any other path gets metrics.
"""

import uuid

from aiohttp import web
import msgspec

from arbutuschute import errors
from arbutuschute.platform import ingress
from arbutuschute.traffic import request as requests

EXPLAIN_PATH = '/explain'
PARAMETERS = ('host', 'path', 'method', 'key', 'session', 'model', 'tokens',
              'part', 'deadline_ms')  # fmt: skip
# Of both token counts and of the deadline; larger numbers have no meaning.
MAX_NUMBER = 10**9


async def answer(environment, raw):
    """Respond with the metrics since the start, or with an explanation."""
    if raw.path == EXPLAIN_PATH:
        return _answer_explain(environment, raw)
    # Imported at the first request, so that no start waits for it.
    from arbutuschute import exposition

    environment.metrics.totals['in_flight'] = environment.in_flight
    return web.Response(body=exposition.render(environment.metrics))


def _answer_explain(environment, raw):
    """Respond with where a request would go, as JSON.

    The query may hold an API key: it is neither logged nor repeated.
    """
    # Imported at the first request, so that no start waits for it.
    from arbutuschute.traffic import explanation

    def get_retry_after_s(request, failure):
        if failure.http_status not in errors.NOT_RUN_STATUSES:
            return None
        return min(
            ingress.get_longest_pause_s(failure),
            ingress.get_pause_limit_s(environment, request),
        )

    try:
        if environment.table is None:
            raise errors.NotReady(environment.name)
        request = _read_request(environment, raw.query)
        found = explanation.explain(environment, request, get_retry_after_s)
    except errors.Failure as failure:
        return _respond(
            failure.http_status,
            errors.describe_problem(failure),
            ingress.PROBLEM_TYPE,
        )
    except Exception as fault:
        # A fault here must not disturb the requests that are served.
        problem = errors.describe_problem(errors.Failure())
        problem['detail'] = type(fault).__name__
        return _respond(500, problem, ingress.PROBLEM_TYPE)
    return _respond(200, found, 'application/json')


def _respond(status, document, content_type):
    return web.Response(
        status=status,
        body=msgspec.json.encode(document),
        content_type=content_type,
    )


def _read_request(environment, query):
    """Return the ``Request`` that a query describes.

    Raise ``BrokenQuery`` if it can't be read.
    """
    for name in query:
        if name not in PARAMETERS:
            raise _make_fault(name, 'no parameter of this name')
        if name != 'part' and len(query.getall(name)) > 1:
            raise _make_fault(name, 'one value')
    for name in ('host', 'path'):
        if not query.get(name):
            raise _make_fault(name, 'a value')
    now = environment.now()
    request = requests.Request(
        uuid.uuid4().hex,
        query.get('method', 'POST'),
        query['path'],
        query['host'],
        now,
    )
    request.key = query.get('key')
    request.session = query.get('session') or request.id
    if 'deadline_ms' in query:
        deadline_ms = _read_number('deadline_ms', query['deadline_ms'])
        request.deadline_at = now + deadline_ms / 1000
    request.prompt = _read_prompt(query)
    return request


def _make_fault(name, expected):
    return errors.BrokenQuery(f'{name}: expected {expected}')


def _read_prompt(query):
    prompt = requests.Prompt(model=query.get('model', ''))
    counts = query.get('tokens', '0,0').split(',')
    if len(counts) != 2:
        raise _make_fault('tokens', 'two numbers, IN,OUT')
    prompt.tokens, prompt.output_tokens = (
        _read_number('tokens', count) for count in counts
    )
    parts = []
    for text in query.getall('part', ()):
        name, colon, tokens = text.rpartition(':')
        if not (colon and name.strip()):
            raise _make_fault('part', 'NAME:TOKENS')
        parts.append((name.strip(), _read_number('part', tokens)))
    prompt.parts = tuple(parts)
    return prompt


def _read_number(name, text):
    text = text.strip()
    is_number = text.isascii() and text.isdigit() and len(text) <= 10
    if not is_number or int(text) > MAX_NUMBER:
        expected = f'a whole number from 0 to {MAX_NUMBER}'
        raise _make_fault(name, expected)
    return int(text)
