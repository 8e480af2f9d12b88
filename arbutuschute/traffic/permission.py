"""Whether a request may still be sent to a server.

It was checked at its arrival. Since then it may have waited, for its turn or
for an attempt that failed, and the process or its machine may have paused.
"""

from arbutuschute import errors


def check(environment, request):
    """Raise a ``Failure`` if a permission has ended meanwhile.

    ``DeadlinePassed`` after the deadline, ``UnknownKey`` if the key was
    revoked. A request that no server has got needs a configuration that is
    known to be current: ``CutOff`` otherwise. A stream that its caller has
    begun to get is not broken off: it began while the key was valid.
    """
    if environment.now() >= request.deadline_at:
        raise make_deadline_failure(request)
    if not request.attempts and not environment.freshness.is_valid:
        raise errors.CutOff(environment.name)
    table = environment.table
    if table.version == request.version or request.first_event_s is not None:
        return
    try:
        table.find_organisation(request.route, request.key)
    except errors.UnknownKey as failure:
        raise failure.mark_ran(request.known_ran) from None


def make_deadline_failure(request):
    """Return the ``DeadlinePassed`` of a request."""
    deadline_ms = int((request.deadline_at - request.received_at) * 1000)
    return errors.DeadlinePassed(deadline_ms).mark_ran(request.known_ran)
