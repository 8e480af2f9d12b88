"""Sessions keep their version in the first half of a roll-out; no network."""

from arbutuschute.policy import rollout_records
from tests import serving

ORDER = rollout_records.Order('s', 'v2', 24.0, 7)


# Guards against a session that is forgotten while its stream runs, and then
# taken for a new one.
async def test_session_is_remembered_after_a_long_stream():
    side = serving.Side()
    (session,) = serving.find_sessions('v2', 0.05, 1)

    def run_long():
        side.clock.time += 4.0
        side.order(ORDER)
        side.clock.time += 8.0

    assert await side.serve(session, run_long) == 'v1'
    side.clock.time += 0.1
    assert await side.serve(session) == 'v1'


async def test_session_whose_time_is_over_is_a_new_one():
    side = serving.Side()
    (session,) = serving.find_sessions('v2', 0.05, 1)
    assert await side.serve(session) == 'v1'
    side.clock.time += 7.0
    side.order(ORDER)
    side.clock.time += 4.5
    assert await side.serve(session) == 'v2'


async def test_request_without_a_session_is_not_remembered():
    side = serving.Side()
    assert await side.serve('r') == 'v1'
    assert not side.environment.rollouts._memory._versions
