"""Answers that a backend server in trouble sends, for tests of all clients.

Each bears the request's id and the proof that a link asks for; only the bytes
under test are wrong.
"""

REQUEST_ID = b'r-1'
OK = b'HTTP/1.1 200 OK\r\n'
FIELDS = (
    b'X-Request-Id: %s\r\nArbutuschute-Attempt-Id: %s\r\n'
    b'Arbutuschute-Response-Seal: a1.b2.c3\r\n'
)

# Heads up to the length of the body.
STATUSES = {
    f'status {status:03}': b'HTTP/1.1 %03d Odd\r\n' % status + FIELDS
    for status in (0, 1, 42, 99, 101, 600, 999)
}
STATUSES['no status'] = b'HTTP/1.1 Odd\r\n' + FIELDS
STATUSES['another version'] = b'HTTP/2.0 200 OK\r\n' + FIELDS
STATUSES['another protocol'] = b'RTSP/1.0 200 OK\r\n' + FIELDS
STATUSES['a line end without CR'] = b'HTTP/1.1 200 OK\n\n' + FIELDS
# Blanks and control bytes; CR and LF are among them.
WRONG_IN_NAMES = (0x00, 0x01, 0x09, 0x0A, 0x0B, 0x0D, 0x1F, 0x20, 0x7F, 0xE9)
WRONG_IN_VALUES = (0x00, 0x01, 0x08, 0x0A, 0x0B, 0x0D, 0x1F, 0x7F)
LINE = b'X-Note: 1\r\n'
NAMES = {
    f'{byte:02x} {place} a name': OK + FIELDS + LINE.replace(old, new)
    for byte in WRONG_IN_NAMES
    for place, old, new in (
        ('before', b'X', b'%cX' % byte),
        ('within', b'-', b'%c' % byte),
        ('after', b':', b'%c:' % byte),
    )
}
# A lenient parser joins a line that begins with a blank, here the length, to
# the line before it, and takes an LF there for the end of the head.
NAMES['20 before the length'] = OK + FIELDS + LINE + b' '
NAMES['0a before the length'] = OK + FIELDS + LINE + b'\n'
NAMES['20 before the first name'] = OK + b' ' + LINE + FIELDS
NAMES['no name'] = OK + FIELDS + b': 1\r\n'
NAMES['no colon'] = OK + FIELDS + b'X-Note\r\n'
VALUES = {
    f'{byte:02x} in a value': OK + FIELDS + LINE.replace(b'1', b'1%c1' % byte)
    for byte in WRONG_IN_VALUES
}
HEADS = {'statuses': STATUSES, 'names': NAMES, 'values': VALUES}
# Unusual heads that are no reason to lose an answer.
SOUND = {
    'as usual': OK + FIELDS,
    'no reason': b'HTTP/1.1 200\r\n' + FIELDS,
    'after a blank line': b'\r\n' + OK + FIELDS,
    'after another head': b'HTTP/1.1 103 Hints\r\n\r\n' + OK + FIELDS,
    'a repeated field': OK + FIELDS + b'Server: a\r\nServer: b\r\n',
    'no value': OK + FIELDS + b'X-Note:\r\n',
    'a tab in a value': OK + FIELDS + b'X-Note: a\tb\r\n',
    'another alphabet': OK + FIELDS + b'X-Note: caf\xe9\r\n',
    'all characters of names': OK + FIELDS + b"!#$%&'*+-.^_`|~0aZ: 1\r\n",
}
# One head of each kind.
SAMPLES = {
    'status 000': STATUSES['status 000'],
    '20 before the length': NAMES['20 before the length'],
    '01 in a value': VALUES['01 in a value'],
}

# The end of a head without a length: the body ends with its connection.
NO_LENGTH = b'\r\n'
# Transfer codings that no request asks for. The body ends with its connection.
CODINGS = {
    coding.decode(): b'Transfer-Encoding: %s\r\n\r\n' % coding
    for coding in (
        b'gzip', b'chunked, gzip', b'xchunked', b'"chunked"', b'identity', b''
    )
}  # fmt: skip
# The body ends with its chunks.
CHUNKED_CODINGS = {
    'gzip, chunked': b'Transfer-Encoding: gzip, chunked\r\n\r\n',
    'chunked twice': b'Transfer-Encoding: chunked, chunked\r\n\r\n',
    'two fields': b'Transfer-Encoding: gzip\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n',
}


def make_unframed(framing, body=b'', request_id=REQUEST_ID):
    """Return a success whose body is framed otherwise than by a length."""
    return (OK + FIELDS).replace(b'%s', request_id) + framing + body


def make_coded_answers(body):
    """Return answers by the name of their coding, which nobody undoes."""
    chunks = b'%x\r\n%s\r\n0\r\n\r\n' % (len(body), body)
    return {
        coding: make_unframed(framing, part)
        for framings, part in ((CODINGS, body), (CHUNKED_CODINGS, chunks))
        for coding, framing in framings.items()
    }


def make_answer(head, body=b'', request_id=REQUEST_ID):
    """Return an answer with a head of ``HEADS`` and a body with a length."""
    head = head.replace(b'%s', request_id)
    return head + b'Content-Length: %d\r\n\r\n%s' % (len(body), body)
