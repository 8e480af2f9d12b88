"""Choice of a server for an attempt, and whether there may be another."""

from arbutuschute import errors
from arbutuschute.policy import placement

# Below this much time left, another attempt could not answer any more.
LEAST_LEFT_S = 0.03
PAUSING_FAILURES = (errors.EngineUnreachable, errors.ServerSilent)


def choose_server(environment, request, tried):
    """Return the server for the next attempt, or raise ``NoBackendServer``.

    ``tried`` holds the names of servers that were asked already.
    """
    listed = environment.directory.find(request.service)
    now = environment.now()
    live = [server for server in listed if not server.leaving]
    untried = [server for server in live if server.name not in tried]
    if not untried and request.route.is_stream:
        untried = live  # What broke once may go on where it broke.
    fresh = environment.rollouts.select(
        request.service, untried, request.session
    )
    usable = [server for server in fresh if server.is_open(now)]
    # Where all are paused, the least bad is better than none.
    chosen = _choose_among(environment, request, usable or fresh)
    if chosen is None:
        raise errors.NoBackendServer(request.service).mark_ran(request.ran)
    environment.log.info(
        'server chosen',
        request=request.id,
        server=chosen.name,
        service=request.service,
        version=chosen.entry.version,
        model=request.model,
        attempt=request.attempts + 1,
        load=round(chosen.load.others + chosen.in_flight, 1),
        load_age_ms=_find_age_ms(now, chosen.load.at),
        foreseen_ms=int(1000 * chosen.queue_delays.estimate_wait_s(now)),
        listed=len(listed),
        usable=len(usable),
    )
    return chosen


def _find_age_ms(now, at):
    """Return how old a report is, None if there was none."""
    return int(1000 * (now - at)) if at > float('-inf') else None


def _choose_among(environment, request, servers):
    if not request.route.is_stream:
        return placement.choose(
            servers, environment.location, environment.random
        )
    return placement.choose_engine(
        servers,
        request,
        environment.prefill_rates,
        environment.location,
        environment.random,
        environment.now(),
    )


def estimate_large_start_s(environment, request):
    """Return the seconds until a large model would begin, from arrival."""
    now = environment.now()
    waits = [
        server.queue_delays.estimate_wait_s(now)
        for server in environment.directory.find(request.service)
        if server.is_open(now)
    ]
    model, request.model = request.model, request.route.models[-1]
    expected_s = environment.prefill_rates.estimate_read_s(request)
    request.model = model
    return now - request.received_at + min(waits, default=0.0) + expected_s


def may_retry(environment, request, ran):
    """Tell whether the request may be sent once more, and count it."""
    route = request.route
    if request.attempts >= route.max_attempts:
        return False
    if ran is not errors.Ran.NO and not route.is_retryable:
        return False
    if request.deadline_at - environment.now() < LEAST_LEFT_S:
        return False
    if not environment.retry_budget.try_spend(request.service):
        environment.metrics.count('repeats.refused')
        return False
    return True


def is_retried(environment, request, failure):
    """Tell whether a failed attempt is followed by another, and count it."""
    if isinstance(failure, errors.ServerSilent):
        return True  # It was counted when its patience ran out.
    return may_retry(environment, request, failure.ran)


def record_failure(environment, request, server, failure):
    """Take in that an attempt failed, for choice and roll-outs."""
    request.record_ran(failure.ran)
    # A server that is only full is not at fault.
    refused = isinstance(failure, errors.EngineRefused)
    if not refused:
        environment.rollouts.record(server, 'error', True)
    server.record_failure(
        environment.now(), pauses=isinstance(failure, PAUSING_FAILURES)
    )
    environment.metrics.count(f'attempts.{failure.code}')
    environment.log.warning(
        'attempt failed',
        request=request.id,
        server=server.name,
        code=failure.code,
        detail=failure.detail,
        ran=failure.ran.value,
        attempt=request.attempts,
    )


def finish_failed(request, failure):
    """Return the failure to end with, by what is known of all attempts."""
    if request.ran is errors.Ran.NO:
        return failure
    if failure.http_status in (429, 503):
        ended = errors.ServerFailed(request.service, failure.code)
        return ended.mark_ran(request.ran)
    return failure.mark_ran(request.ran)
