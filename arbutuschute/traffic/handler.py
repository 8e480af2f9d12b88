"""The story of one request: admitted, sent, answered or refused."""

import asyncio

from arbutuschute import errors
from arbutuschute.traffic import relay
from arbutuschute.traffic import whole

# After this long into a stop, new requests are refused rather than begun:
# what runs longer than the rest of the grace time would be cut off.
STOP_ADMITS_S = 2.8
# Time that an answer needs back to the caller.
RETURN_S = 0.004


async def serve(environment, request, reply):
    """Serve a request; raise the ``Failure`` that ends it."""
    admit(environment, request)
    environment.retry_budget.record_request(request.service)
    environment.in_flight += 1
    left_s = request.deadline_at - RETURN_S - environment.now()
    try:
        async with asyncio.timeout(left_s):
            if request.route.is_stream:
                await relay.run(environment, request, reply)
            else:
                await whole.run(environment, request, reply)
    except TimeoutError:
        raise errors.DeadlinePassed(
            int((request.deadline_at - request.received_at) * 1000)
        ).mark_ran(request.known_ran) from None
    finally:
        environment.in_flight -= 1


def admit(environment, request):
    """Find the request's route and organisation, or refuse it.

    A deadline that the caller did not set comes from the route.
    """
    table = environment.table
    if table is None:
        raise errors.NotReady(environment.name)
    if is_past_stop(environment):
        raise errors.Stopping(environment.name)
    if not environment.freshness.is_valid:
        raise errors.CutOff(environment.name)
    route = table.find_route(request.host, request.path)
    request.organisation = table.find_organisation(route, request.key)
    request.route = route
    request.version = table.version
    request.service = choose_target(route, environment.random)
    limit = request.received_at + route.timeout_s
    if request.deadline_at > request.received_at:
        limit = min(limit, request.deadline_at)
    request.deadline_at = limit


def is_past_stop(environment):
    """Tell whether a stop has gone too far to begin anything new."""
    if environment.stopping_at is None:
        return False
    return environment.now() - environment.stopping_at > STOP_ADMITS_S


def choose_target(route, random):
    """Return the service that gets the request, by the route's weights."""
    targets = route.targets
    if len(targets) == 1:
        return targets[0].service
    weights = [target.weight for target in targets]
    return random.choices(targets, weights)[0].service
