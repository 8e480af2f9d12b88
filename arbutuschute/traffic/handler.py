"""Request handling: admission, deadline and choice of the target."""

import asyncio

from arbutuschute import errors
from arbutuschute.traffic import relay
from arbutuschute.traffic import whole

# New requests are admitted for this long after a stop began. Later ones could
# outlast the rest of the grace period and would be cut off.
STOP_ADMISSION_S = 2.8
# Reserved before the deadline to return the response to the caller.
RESPONSE_MARGIN_S = 0.004


async def serve(environment, request, reply):
    """Serve a request; raise the ``Failure`` that ends it."""
    admit(environment, request)
    environment.retry_budget.record_request(request.service)
    environment.demand.record(request.service)
    environment.in_flight += 1
    left_s = request.deadline_at - RESPONSE_MARGIN_S - environment.now()
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
    """Set the request's route, organisation and service, or refuse it.

    The route's timeout is the default of the deadline and its upper limit.
    Raise a ``Failure`` to refuse.
    """
    table = environment.table
    if table is None:
        raise errors.NotReady(environment.name)
    if is_admission_closed(environment):
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


def is_admission_closed(environment):
    """Return whether a stop has progressed too far for new requests."""
    if environment.stopping_at is None:
        return False
    return environment.now() - environment.stopping_at > STOP_ADMISSION_S


def choose_target(route, random):
    """Return a service, sampled by the weights of the route's targets."""
    targets = route.targets
    if len(targets) == 1:
        return targets[0].service
    weights = [target.weight for target in targets]
    return random.choices(targets, weights)[0].service
