"""Requests with a streamed response: relayed, and resumed after a failure."""

from arbutuschute import errors
from arbutuschute import progress
from arbutuschute.traffic import events
from arbutuschute.traffic import sending
from arbutuschute.traffic import timeouts

# Time limits after which a resumable stream is moved to another server.
# Until the first event, as a multiple of the route's target.
FIRST_EVENT_TARGETS = 2.5
# A first event later than this counts as slow; a multiple of the target.
SLOW_TARGETS = 1.0
MAX_EVENT_BYTES = 256 * 1024


class _AnswerDropped(Exception):
    """The response of an unsure small model was dropped for a larger one."""


class _Stream:
    """A response stream to a caller, from one server or several in turn."""

    __slots__ = ('is_started', 'last_id', 'reply')

    def __init__(self, reply, last_id):
        self.reply = reply
        self.is_started = False
        self.last_id = last_id


async def run(environment, request, reply):
    """Relay a stream to its end; raise the ``Failure`` that ends it early."""
    stream = _Stream(reply, request.last_event_id)
    request.model = environment.model_selector.select_first(request)
    tried = set()
    while True:
        server = await sending.choose_server(environment, request, tried)
        tried.add(server.name)
        sending.begin_attempt(environment, request, server)
        try:
            final = await _attempt(environment, request, server, stream)
        except _AnswerDropped:
            tried.discard(server.name)
            continue
        except errors.PromptQuarantined:
            raise
        except errors.Failure as failure:
            sending.record_failure(environment, request, server, failure)
            await sending.check_for_crash(
                environment, request, server, failure
            )
            if sending.is_retried(environment, request, failure):
                continue
            raise sending.finish_failed(request, failure) from None
        if final is None:
            return
        if final.head.is_failure and sending.may_retry(
            environment, request, errors.Ran.YES
        ):
            continue
        await sending.pass_on(request, reply, final)
        return


async def _attempt(environment, request, server, stream):
    """Relay one server's stream; return an ``Answer`` if there is none."""
    server.begin(environment.now())
    server.backlog.begin(request, environment.costs.estimate(request).tokens)
    try:
        return await _open(environment, request, server, stream)
    finally:
        server.backlog.finish(request)
        server.finish(environment.now())


async def _open(environment, request, server, stream):
    left_s = request.deadline_at - environment.now()
    began = environment.now()
    opened = environment.open_attempt(server, request, left_s, stream.last_id)
    reading_s = environment.prefill_rates.estimate_read_s(request)
    server.queue_delays.begin(request, reading_s, began)
    environment.pool_delays.begin(request.pool, request, reading_s, began)
    limits = timeouts.compute_first_event_limits(
        FIRST_EVENT_TARGETS * request.route.target_s, reading_s
    )
    attempt = None
    try:
        attempt = await timeouts.wait_for_task(
            environment, request, server, opened.__aenter__(), limits
        )
    finally:
        now = environment.now()
        server.queue_delays.finish(request, now, attempt is not None)
        environment.pool_delays.finish(request.pool, request, now)
    try:
        head = attempt.head
        if head.is_success:
            environment.prefill_rates.observe(
                request, environment.now() - began
            )
        sending.record_head(environment, server, head)
        request.record_ran(errors.Ran.UNKNOWN)
        if not head.is_success:
            return await _read_failure(environment, server, stream, attempt)
        request.progress = progress.Progress.HEAD
        if not stream.is_started:
            _drop_if_unsure(environment, request, server, head)
        await _relay(
            environment, request, server, stream, attempt, began, limits
        )
    finally:
        await opened.__aexit__(None, None, None)
    request.record_ran(errors.Ran.YES)
    server.record_success()
    environment.rollouts.record(server, 'error', False)
    await stream.reply.end()
    return None


def _drop_if_unsure(environment, request, server, head):
    """Drop a response that hasn't started if a larger model is worth trying.

    Raise ``_AnswerDropped`` if it was dropped.
    """
    if request.model is None:
        return
    foreseen_s = sending.estimate_large_start_s(environment, request)
    larger = environment.model_selector.select_larger(
        request, head.confidence, foreseen_s
    )
    if larger is None:
        return
    if not sending.may_retry(environment, request, errors.Ran.YES):
        return
    environment.log.info(
        'answer dropped',
        request=request.id,
        server=server.name,
        model=request.model,
        confidence=head.confidence,
        foreseen_s=round(foreseen_s, 3),
        pool_delay_ms=_get_pool_delay_ms(environment, request),
        next=larger,
    )
    environment.metrics.count('answers.dropped')
    server.record_success()
    environment.rollouts.record(server, 'error', False)
    request.model = larger
    raise _AnswerDropped()


def _get_pool_delay_ms(environment, request):
    delay_s = environment.pool_delays.estimate_s(
        request.pool, environment.now()
    )
    return int(1000 * delay_s)


async def _read_failure(environment, server, stream, attempt):
    """Return the complete failure; raise if events were already relayed."""
    if stream.is_started:
        raise errors.ServerFailed(
            server.name, f'status {attempt.head.status} on resuming'
        ).mark_ran(errors.Ran.YES)
    answer = await attempt.read_answer()
    if answer.head.is_failure:
        server.record_failure(environment.now(), pauses=False)
        environment.rollouts.record(server, 'error', True)
    return answer


def _make_reader(environment, server, attempt, splitter):
    """Return a coroutine function that reads whole events, ``b''`` at the end.

    It may be cancelled and called again.
    """

    async def read_events():
        while chunk := await attempt.read():
            server.last_heard_at = environment.now()
            if whole := splitter.feed(chunk):
                return whole
            if splitter.partial_bytes > MAX_EVENT_BYTES:
                raise errors.AnswerTooLarge(
                    server.name, MAX_EVENT_BYTES
                ).mark_ran(errors.Ran.UNKNOWN)
        return b''

    return read_events


async def _relay(environment, request, server, stream, attempt, began, limits):
    splitter = events.Splitter()
    gap_meter = events.GapMeter()
    read_events = _make_reader(environment, server, attempt, splitter)
    resumed_after = stream.last_id
    longest_gap_s = 0.0
    event_count = 0
    first_at = None
    waiting_since = environment.now()
    while whole := await timeouts.wait_for(
        environment, request, server, read_events, limits
    ):
        if request.progress is not progress.Progress.EVENTS:
            _check_continuation(server, whole, resumed_after)
            request.progress = progress.Progress.EVENTS
            environment.crash_reports.record_answer(request.prompt_parts)
            first_at = environment.now()
        else:
            longest_gap_s = max(
                longest_gap_s, environment.now() - waiting_since
            )
        event_count += whole.count(events.EVENT_END)
        gap_s = gap_meter.add(whole, environment.now())
        _record_gap(environment, request, server, gap_s)
        limits = timeouts.compute_gap_limits(
            request.route.gap_target_s, longest_gap_s
        )
        await _forward(
            environment, request, server, stream, attempt, whole, began
        )
        stream.last_id = splitter.last_id or stream.last_id
        waiting_since = environment.now()
    _record_gap(environment, request, server, gap_meter.finish())
    if splitter.has_partial_event:
        raise errors.AnswerBroken(server.name).mark_ran(errors.Ran.UNKNOWN)
    if not stream.is_started:
        await stream.reply.start(attempt.head)
        stream.is_started = True
    if rest := splitter.take_rest():
        await stream.reply.write(rest)
    if resumed_after is None and event_count:
        _observe_cost(
            environment, request, event_count, waiting_since - first_at
        )


def _observe_cost(environment, request, event_count, write_s):
    """Learn from a stream that one server sent from its first event on."""
    service = environment.table.services.get(request.service)
    if service is None:
        return  # Dropped from the configuration meanwhile.
    error = environment.costs.observe(
        request, event_count * service.event_tokens, write_s
    )
    if error is not None:
        environment.metrics.observe(
            'cost_error_percent', request.service, 100 * error
        )


def _check_continuation(server, whole, resumed_after):
    """Raise if a server doesn't go on after the event that it was asked for.

    It may repeat the stream, or send the text of an error with a success.
    """
    if resumed_after is None:
        return
    if not events.is_continuation(whole, resumed_after):
        raise errors.ServerFailed(
            server.name, f'not resumed after event {resumed_after}'
        ).mark_ran(errors.Ran.UNKNOWN)


def _record_gap(environment, request, server, gap_s):
    """Record the time between a stream's events, unless it is None."""
    if gap_s is None:
        return
    request.event_gap_s = gap_s
    model = request.model or request.prompt.model
    environment.rollouts.record_time(server, model, gap_s)


async def _forward(
    environment, request, server, stream, attempt, whole, began
):
    if not stream.is_started:
        stream.is_started = True
        now = environment.now()
        waited_s = now - began
        request.first_event_s = now - request.received_at
        environment.rollouts.record(
            server, 'slow', waited_s > SLOW_TARGETS * request.route.target_s
        )
        environment.metrics.observe(
            'first_event_ms',
            request.route.name,
            1000 * request.first_event_s,
        )
        await stream.reply.start(attempt.head)
    await stream.reply.write(whole)
