"""Request handling: admission, deadline and choice of the target."""

import asyncio

from arbutuschute import errors
from arbutuschute.traffic import permission
from arbutuschute.traffic import relay
from arbutuschute.traffic import whole

# Requests that may outlast the grace period are admitted for this long after a
# stop began: nearly all end in the rest of it.
STOP_ADMISSION_S = 2.8
# Reserved before the deadline to return the response to the caller.
RESPONSE_MARGIN_S = 0.004


async def serve(environment, request, reply):
    """Serve a request; raise the ``Failure`` that ends it."""
    admit(environment, request)
    environment.retry_budget.record_request(request.service)
    environment.demand.record(request.service)
    environment.in_flight += 1
    environment.rollouts.begin_request(
        request.service, request.session, request.is_in_session
    )
    left_s = request.deadline_at - RESPONSE_MARGIN_S - environment.now()
    try:
        async with asyncio.timeout(left_s):
            if request.route.is_stream:
                await relay.run(environment, request, reply)
            else:
                await whole.run(environment, request, reply)
    except TimeoutError:
        raise permission.make_deadline_failure(request) from None
    finally:
        environment.in_flight -= 1
        environment.rollouts.end_request(request.service, request.session)


def admit(environment, request):
    """Set the request's route, organisation and service, or refuse it.

    The route's timeout is the default of the deadline and its upper limit.
    Raise a ``Failure`` to refuse.
    """
    table = environment.table
    if table is None:
        raise errors.NotReady(environment.name)
    if not environment.freshness.is_valid:
        raise errors.CutOff(environment.name)
    route = table.find_route(request.host, request.path)
    request.organisation = table.find_organisation(route, request.key)
    request.route = route
    request.version = table.version
    request.service = choose_target(route, environment.random)
    request.urgency = environment.urgency_levels.find(
        route, request.organisation
    )
    limit = request.received_at + route.timeout_s
    if request.deadline_at > request.received_at:
        limit = min(limit, request.deadline_at)
    request.deadline_at = limit
    if environment.stopping_at is not None:
        _check_stop(environment, request)


def _check_stop(environment, request):
    """Raise ``Stopping`` for a request that could be cut by the stop.

    One that may run once only must not be: its caller could not repeat it.
    """
    if request.deadline_at <= environment.stop_ends_at:
        return
    since_s = environment.now() - environment.stopping_at
    if since_s > STOP_ADMISSION_S or not request.route.is_retryable:
        raise errors.Stopping(environment.name)


def choose_target(route, random):
    """Return a service, sampled by the weights of the route's targets."""
    targets = route.targets
    if len(targets) == 1:
        return targets[0].service
    weights = [target.weight for target in targets]
    return random.choices(targets, weights)[0].service
