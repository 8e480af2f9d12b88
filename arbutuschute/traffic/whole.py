"""Requests with a complete response instead of a stream."""

from arbutuschute import errors
from arbutuschute import progress
from arbutuschute.traffic import answers
from arbutuschute.traffic import sending
from arbutuschute.traffic import timeouts

# A retryable request that has waited this many times its route's target is
# sent to another server if there is time left.
TIMEOUT_TARGETS = 1.3
# A response later than this counts as slow; a multiple of the target.
SLOW_TARGETS = 2.0


async def run(environment, request, reply):
    """Send the request until a server answers; raise the final failure.

    If the retries fail, an earlier response that reports a failure is
    returned to the caller.
    """
    tried = set()
    fallback = None
    while True:
        try:
            server = await sending.choose_server(environment, request, tried)
        except (
            errors.NoBackendServer,
            errors.RateLimited,
            errors.ServersOnHold,
        ):
            if fallback is None:
                raise
            break
        tried.add(server.name)
        sending.begin_attempt(environment, request, server)
        try:
            answer = await _exchange(environment, request, server)
        except errors.Failure as failure:
            sending.record_failure(environment, request, server, failure)
            await sending.check_for_crash(
                environment, request, server, failure
            )
            if sending.is_retried(environment, request, failure):
                continue
            if fallback is None:
                raise sending.finish_failed(request, failure) from None
            break
        if not answer.head.is_failure:
            await reply.answer(answer)
            return
        if fallback is None or not answer.head.claims_not_run:
            fallback = answer
        if not sending.may_retry(environment, request, errors.Ran.YES):
            break
    await sending.pass_on(request, reply, fallback)


async def _exchange(environment, request, server):
    """Return the ``Answer`` of one server; raise a ``Failure`` if none."""
    began = environment.now()
    server.begin(began)
    try:
        answer = await timeouts.wait_for_task(
            environment,
            request,
            server,
            _fetch(environment, request, server),
            timeouts.Limits(TIMEOUT_TARGETS * request.route.target_s),
        )
    finally:
        server.finish(environment.now())
    request.record_ran(
        errors.Ran.UNKNOWN if answer.head.claims_not_run else errors.Ran.YES
    )
    _record_answer(
        environment, request, server, answer, environment.now() - began
    )
    return answer


async def _fetch(environment, request, server):
    left_s = request.deadline_at - environment.now()
    async with environment.open_attempt(server, request, left_s) as attempt:
        sending.record_head(environment, server, attempt.head)
        if attempt.head.is_success:
            request.progress = progress.Progress.HEAD
        return answers.Answer(attempt.head, await attempt.read_whole())


def _record_answer(environment, request, server, answer, seconds):
    head = answer.head
    if head.is_success:
        environment.crash_reports.record_answer(request.prompt_parts)
    failed = head.is_failure
    if failed:
        server.record_failure(environment.now(), pauses=False)
    else:
        server.record_success()
        environment.rollouts.record(
            server, 'slow', seconds > SLOW_TARGETS * request.route.target_s
        )
        environment.rollouts.record_time(server, request.route.name, seconds)
    environment.rollouts.record(server, 'error', failed)
