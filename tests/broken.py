"""Answers that a backend server in trouble sends, for tests of both links.

Each bears the request's id and the proof that a link asks for, and a whole
body: only the bytes under test are wrong.
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
HEADS = {'statuses': STATUSES}
# One head of each kind.
SAMPLES = dict(next(iter(heads.items())) for heads in HEADS.values())


def make_answer(head, body=b'', request_id=REQUEST_ID):
    """Return an answer with a head of ``HEADS`` and a body with a length."""
    head = head.replace(b'%s', request_id)
    return head + b'Content-Length: %d\r\n\r\n%s' % (len(body), body)
