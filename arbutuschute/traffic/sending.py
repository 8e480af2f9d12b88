"""Choice of a server for an attempt, and rules for retries."""

from arbutuschute import errors
from arbutuschute import logs
from arbutuschute.policy import placement

# Another attempt needs at least this much time before the deadline.
MIN_LEFT_S = 0.03
MAX_LOGGED_PARTS = 8
PAUSING_FAILURES = (errors.EngineUnreachable, errors.ServerSilent)


def choose_server(environment, request, tried):
    """Return the server for the next attempt, or raise ``NoBackendServer``.

    ``tried`` holds the names of servers tried before. Raise
    ``PromptQuarantined`` if no server may get the request.
    """
    refuse_quarantined(environment, request)
    listed = environment.directory.find(request.service)
    now = environment.now()
    live = [server for server in listed if not server.leaving]
    untried = [server for server in live if server.name not in tried]
    if not untried and request.route.is_stream:
        untried = live  # A stream may resume at a server that broke it.
    fresh = environment.rollouts.select(
        request.service, untried, request.session
    )
    usable = [server for server in fresh if server.is_open(now)]
    # If all servers are paused, a paused one is better than none.
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
        load_age_ms=logs.round_to_ms(now - chosen.load.at),
        foreseen_ms=int(1000 * chosen.queue_delays.estimate_wait_s(now)),
        listed=len(listed),
        usable=len(usable),
    )
    return chosen


def refuse_quarantined(environment, request):
    """Raise ``PromptQuarantined`` if servers crash on the prompt."""
    parts = environment.quarantine.find_refused(request.prompt_parts)
    if parts:
        raise errors.PromptQuarantined(', '.join(parts)).mark_ran(
            request.known_ran
        )


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
    """Return the seconds from arrival until a large model would start."""
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
    """Return whether to retry; if so, charge the retry budget.

    ``ran`` is what is known of the failed attempt's execution.
    """
    route = request.route
    if request.attempts >= route.max_attempts:
        return False
    if ran is not errors.Ran.NO and not route.is_retryable:
        return False
    if request.deadline_at - environment.now() < MIN_LEFT_S:
        return False
    if not environment.quarantine.may_retry(
        request.prompt_parts, request.crashes
    ):
        environment.metrics.count('repeats.after-crash')
        return False
    if not environment.retry_budget.try_spend(request.service):
        environment.metrics.count('repeats.refused')
        return False
    return True


async def check_for_crash(environment, request, server, failure):
    """Find out whether an unanswered request's server has crashed.

    Wait until that is known, as it decides on a retry.
    """
    if request.first_event_s is None:
        await environment.crash_reports.check(server, failure, request)


def is_retried(environment, request, failure):
    """Return whether to retry after a failure; charge the retry budget."""
    if isinstance(failure, errors.ServerSilent):
        return True  # The budget was charged when the time limit passed.
    return may_retry(environment, request, failure.ran)


def record_head(environment, server, head):
    """Record what a response's head says of the server."""
    if head.load is not None:
        server.record_load(head.load, head.slowness, environment.now())
    if head.rate_limit != server.rate_limit:
        server.rate_limit = head.rate_limit
        environment.log.info(
            'server limit', server=server.name, per_s=head.rate_limit
        )


def record_failure(environment, request, server, failure):
    """Record a failed attempt for the choice of servers and roll-outs."""
    request.record_ran(failure.ran)
    # A full server refuses requests; that is not a fault of its version.
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
        progress=request.progress.value,
        parts=request.prompt_parts[:MAX_LOGGED_PARTS],
    )


def finish_failed(request, failure):
    """Return the final failure, given what is known of all attempts.

    Codes that invite a retry (429, 503) are replaced if the request may
    have run.
    """
    if request.ran is errors.Ran.NO:
        return failure
    if failure.http_status in (429, 503):
        ended = errors.ServerFailed(request.service, failure.code)
        return ended.mark_ran(request.ran)
    return failure.mark_ran(request.ran)
