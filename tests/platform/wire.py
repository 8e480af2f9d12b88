"""Bytes of servers' responses."""

HEAD = (
    b'HTTP/1.1 %s\r\nArbutuschute-Attempt-Id: %s\r\n'
    b'Arbutuschute-Response-Seal: a1.b2.c3\r\n'
)


def make_response(request_id, status=b'200 OK', body=b'', more=b''):
    head = HEAD % (status, request_id) + more
    return head + b'Content-Length: %d\r\n\r\n%s' % (len(body), body)


def make_refusal(request_id):
    return make_response(
        request_id, b'503 Busy', more=b'Arbutuschute-Not-Executed: 1\r\n'
    )
