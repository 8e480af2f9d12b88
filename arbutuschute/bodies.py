"""Reading of whole response bodies, which a faulty server may never end."""

from arbutuschute import errors

MAX_BODY_BYTES = 4 * 1024 * 1024


async def read_whole(read, server_name, limit_bytes=MAX_BODY_BYTES):
    """Return a whole body; ``read()`` returns its parts and then ``b''``.

    Raise ``AnswerTooLarge`` for a body of more than ``limit_bytes``.
    """
    parts = []
    size = 0
    while part := await read():
        size += len(part)
        if size > limit_bytes:
            raise errors.AnswerTooLarge(server_name, limit_bytes).mark_ran(
                errors.Ran.UNKNOWN
            )
        parts.append(part)
    return b''.join(parts)
