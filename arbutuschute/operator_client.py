"""What the ``arbutuschute`` commands do on the platform and the routers.

Each method returns a ``Result``: plain data for people and programs, or a
failure.
"""

import asyncio
import collections
import uuid

import aiohttp
import msgspec
from returns import result

from arbutuschute import connections
from arbutuschute.contracts import changes
from arbutuschute.contracts import fold
from arbutuschute.contracts import history
from arbutuschute import decoding
from arbutuschute import errors
from arbutuschute.ledgers import bills
from arbutuschute.ledgers import commit
from arbutuschute.links import log
from arbutuschute.machines import instances
from arbutuschute import streams

APPEND_TIMEOUT_S = 2.0
OUTCOME_TIMEOUT_S = 8.0
STATUS_TIMEOUT_S = 2.0
POLL_PERIOD_S = 0.1
OPERATOR = 'operator'


class OperatorClient:
    """An operator's client of one platform and its routers."""

    __slots__ = ('log_client', 'platform', 'session')

    def __init__(self, session, platform):
        self.session = session
        self.platform = platform
        self.log_client = log.LogClient(
            session, platform, OPERATOR, APPEND_TIMEOUT_S
        )

    async def read_configuration(self):
        """Return ``Result`` with the configuration, folded from the log."""
        state, records, answered = await history.read_start(
            self.log_client, streams.CONFIGURATION
        )
        if not answered:
            return result.Failure(errors.StoreDown('configuration'))
        if state is None:
            first = records[0].offset if records else 0
            return result.Failure(errors.ConfigurationLost(first))
        for record in records:
            fold.apply_record(state, record)
        return result.Success(state)

    async def apply_change(self, change):
        """Append a change; return ``Result`` with its ``Outcome``.

        The outcome is read from the log, also when the reply was lost. The
        change is appended again under the same id only, so that it takes
        effect at most once.
        """
        value = fold.encode_entries([change])
        loop = asyncio.get_running_loop()
        limit = loop.time() + OUTCOME_TIMEOUT_S
        while loop.time() < limit:
            await self.log_client.append(streams.CONFIGURATION, value)
            state = (await self.read_configuration()).value_or(None)
            outcome = state and state.outcomes.get(change.id)
            if outcome is not None:
                return _convert_outcome(outcome, change, state)
            await asyncio.sleep(POLL_PERIOD_S)
        command = f'arbutuschute outcome {change.id}'
        return result.Failure(errors.PublishUnknown(command))

    async def find_outcome(self, change_id):
        """Return ``Result`` with the outcome of an earlier change, by id."""
        configuration = await self.read_configuration()
        return configuration.bind(
            lambda state: (
                result.Success(state.outcomes[change_id])
                if change_id in state.outcomes
                else result.Failure(
                    errors.PublishUnknown(f'arbutuschute outcome {change_id}')
                )
            )
        )

    async def write_snapshot(self):
        """Append a snapshot; return ``Result`` with its id."""
        configuration = await self.read_configuration()
        state = configuration.value_or(None)
        if state is None:
            return configuration
        entry = fold.make_snapshot(state, OPERATOR)
        answer = await self.log_client.append(
            streams.CONFIGURATION, fold.encode_entries([entry])
        )
        return answer.map(lambda _: entry.id)

    async def list_routers(self):
        """Return ``Result`` with the live router instances."""
        listed = await instances.fetch_instances(
            self.session, self.platform, OPERATOR
        )
        return listed.map(
            lambda found: [i for i in found if i.kind == 'router']
        )

    async def query_router(self, router, path, **query):
        """Return a router's response as plain data, None if it has none."""
        try:
            async with self.session.get(
                f'{router.operators_address}/{path}',
                params=query,
                timeout=aiohttp.ClientTimeout(total=STATUS_TIMEOUT_S),
                allow_redirects=False,
            ) as response:
                body = await connections.read_all(response)
                return decoding.decode_json(body)
        except (
            aiohttp.ClientError,
            asyncio.TimeoutError,
            msgspec.DecodeError,
            OSError,
        ):
            return None

    async def query_routers(self, path, **query):
        """Return ``Result`` with the routers' responses, by name."""
        routers = await self.list_routers()
        found = routers.value_or(None)
        if found is None:
            return routers
        answers = await asyncio.gather(
            *(self.query_router(router, path, **query) for router in found)
        )
        named = zip(found, answers, strict=True)
        return result.Success({router.name: a for router, a in named})

    async def wait_until_in_force(self, offset, timeout_s):
        """Return ``Result`` with the names of the live instances.

        Fails with the names of those that don't have ``offset`` in force
        after ``timeout_s``.
        """
        loop = asyncio.get_running_loop()
        limit = loop.time() + timeout_s
        while True:
            responses = await self.query_routers('status')
            statuses = responses.value_or({})
            lagging = sorted(
                name
                for name, status in statuses.items()
                if status is None or status['offset'] < offset
            )
            if statuses and not lagging:
                return result.Success(sorted(statuses))
            if loop.time() >= limit:
                return result.Failure(
                    errors.NotInForce(', '.join(lagging) or 'unknown')
                )
            await asyncio.sleep(POLL_PERIOD_S)

    async def read_bills(self):
        """Return ``Result`` with one bill per request, by id."""
        entries = []
        position = 0
        while True:
            answer = await self.log_client.read(streams.BILLS, position)
            page = answer.value_or(None)
            if page is None:
                return answer
            for record in page.records:
                entries.extend(commit.split(record))
                position = record.offset + 1
            if not page.records or position >= page.head:
                return result.Success(bills.read_bills(entries))


def _convert_outcome(outcome, change, state):
    if outcome.accepted:
        return result.Success(outcome)
    if outcome.code == errors.RevisionConflict.code:
        name = getattr(change, 'name', None) or getattr(
            getattr(change, 'document', None), 'name', change.id
        )
        return result.Failure(
            errors.RevisionConflict(
                name,
                getattr(change, 'based_on', getattr(change, 'step', None)),
                get_revision(state, change),
            )
        )
    return result.Failure(errors.BrokenDocument(change.id, (outcome.code,)))


def get_revision(state, change):
    """Return the current revision of the object that a change is for."""
    if isinstance(change, changes.AdvanceRollout | changes.HaltRollout):
        return _get_rollout(
            state, change.profile, change.model, change.new
        ).revision
    if isinstance(change, changes.RestoreVersion):
        name = fold.name_version(change.model, change.version)
        return state.withdrawn.get(name, fold.ABSENT_REVISION)
    if isinstance(change, changes.RestoreZone):
        return state.get_evacuated().get(change.zone, fold.ABSENT_REVISION)
    if isinstance(change, changes.PublishOrganisation):
        table, name = state.organisations, change.document.name
    elif isinstance(change, changes.PublishProfile):
        table, name = state.profiles, change.document.name
    else:
        table, name = state.profiles, change.name
    entry = table.get(name)
    return entry.revision if entry else fold.ABSENT_REVISION


def find_profile(state, name):
    """Return ``Result`` with a published profile's entry, by name."""
    published = state.profiles.get(name)
    if published is None:
        return result.Failure(errors.UnknownProfile(name))
    return result.Success(published)


def _get_rollout(state, profile, model, new):
    name = fold.name_rollout(profile, model, new)
    absent = fold.Rollout(revision=fold.ABSENT_REVISION)
    return state.rollouts.get(name, absent)


def make_advance(state, profile, model, new):
    """Return the change that moves a roll-out to its next step."""
    step = _get_rollout(state, profile, model, new).step + 1
    return _make_rollout_change(
        changes.AdvanceRollout, state, profile, model, new, step=step
    )


def make_halt(state, profile, model, new, reason):
    """Return the change that halts a roll-out."""
    return _make_rollout_change(
        changes.HaltRollout, state, profile, model, new, evidence=reason
    )


def _make_rollout_change(kind, state, profile, model, new, **fields):
    return kind(
        id=make_id(),
        author=OPERATOR,
        profile=profile,
        revision=_get_rollout(state, profile, model, new).revision,
        model=model,
        new=new,
        **fields,
    )


def make_id():
    """Return a new id for a change."""
    return uuid.uuid4().hex


def sum_bills(counted):
    """Return one row per organisation, model and version, in that order."""
    rows = collections.defaultdict(lambda: [0, 0, 0.0])
    for bill in counted.values():
        if bill.state is bills.State.OPENED:
            continue
        row = rows[bill.organisation, bill.model, bill.version]
        row[0] += 1
        row[1] += bill.output_tokens
        row[2] += bill.cost
    return [
        {
            'organisation': organisation,
            'model': model,
            'version': version,
            'requests': requests,
            'output_tokens': tokens,
            'cost': round(cost, 6),
        }
        for (organisation, model, version), (requests, tokens, cost) in sorted(
            rows.items()
        )
    ]
