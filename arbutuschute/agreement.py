"""Steps of a request that use shared state: version, claim and bill."""

import asyncio

import msgspec

from arbutuschute import errors
from arbutuschute.ledgers import bills
from arbutuschute.ledgers import claims
from arbutuschute.ledgers import pins
from arbutuschute.policy import rollout
from arbutuschute.zones import lease

CLAIM_TIMEOUT_S = 5.0
OUTCOME_TIMEOUT_S = 0.5


def get_log_status(environment):
    """Return this instance's status of the log, for its lease."""
    follower = environment.config_follower
    return lease.LogStatus(
        region=environment.settings.region,
        offset=environment.configuration.offset,
        confirmed_at=follower.confirmed_at,
        store_failing=follower.failing_since is not None,
        members=tuple(environment.membership.find_neighbours()),
    )


def is_confirmed(environment):
    """Return whether the configuration is known to be current."""
    now = environment.timer.now()
    if now <= environment.confirmed_until:
        return True
    return renew_confirmation(environment, now)


def renew_confirmation(environment, now):
    """Recompute the end of the lease; return whether it is valid."""
    lease_s = environment.settings.control.lease_s
    confirmed_at = lease.find_confirmation(
        get_log_status(environment),
        now,
        lease_s,
        environment.settings.platform.region,
    )
    if confirmed_at is not None:
        # A peer with a newer configuration stops confirming ours, but its
        # earlier statement remains valid for a whole lease.
        environment.confirmed_until = max(
            environment.confirmed_until, confirmed_at + lease_s
        )
    return now <= environment.confirmed_until


def check_may_run(environment, work):
    """Raise ``Stopping`` or ``CutOff`` unless the request may run here."""
    if environment.state == 'closed':
        raise errors.Stopping(environment.name)
    if not is_confirmed(environment) and (
        work.profile.while_cut_off == 'refuse'
    ):
        environment.metrics.count('refused.cut-off')
        raise errors.CutOff(environment.name)


async def choose_version(environment, work):
    """Return the ``Version`` that the request runs on; None for services.

    Raises ``NoAllowedVersion``.
    """
    profile = work.profile
    if profile.service:
        return None
    confirmed = is_confirmed(environment)
    for model in _order_models(work):
        version = await _choose_for_model(environment, work, model)
        if version is None:
            continue
        if confirmed or rollout.is_settled(
            profile, version, environment.configuration
        ):
            return version
    raise errors.NoAllowedVersion(profile.name)


def _order_models(work):
    if work.model:
        return (work.model,)
    return work.profile.find_models()


async def _choose_for_model(environment, work, model):
    configuration = environment.configuration
    fresh = rollout.choose_version(
        work.profile,
        model,
        configuration,
        work.run_key,
        environment.halts,
    )
    if work.session is None and work.token is None:
        return fresh
    if work.token and model in work.token.versions:
        return _keep_or_replace(
            environment, work, model, work.token.versions[model]
        )
    if work.session is None or fresh is None:
        return fresh
    session = make_session_name(work, model)
    pinned = await environment.pins.pin(session, fresh.version)
    return _keep_or_replace(environment, work, model, pinned)


def _keep_or_replace(environment, work, model, version):
    """Return a session's version, else its successor, else None."""
    configuration = environment.configuration
    allowed = {entry.pair: entry for entry in work.profile.versions}
    entry = allowed.get((model, version))
    if entry and not configuration.is_withdrawn(model, version):
        return entry
    return rollout.find_successor(
        work.profile, model, version, configuration, work.run_key
    )


def make_session_name(work, model):
    """Return the key of a session's pin."""
    return '\n'.join(
        (work.organisation.name, work.profile.name, model, work.session or '')
    )


def is_pin_usable(environment, session, version):
    """Return whether a pin still names an allowed version."""
    _, profile_name, model, _ = session.split('\n', 3)
    published = environment.configuration.profiles.get(profile_name)
    if published is None or published.document is None:
        return False
    pairs = {entry.pair for entry in published.document.versions}
    return (
        model,
        version,
    ) in pairs and not environment.configuration.is_withdrawn(model, version)


def make_token(environment, work, version):
    """Return the signed session token for an answer from ``version``."""
    known = dict(work.token.versions) if work.token else {}
    known[version.model] = version.version
    token = pins.Token(work.organisation.name, work.profile.name, known)
    return pins.sign_token(token, environment.settings.session_secret)


def make_bill(environment, work, version):
    """Return a new ``Bill`` of a request; ``version`` None is a service."""
    return bills.Bill(
        id=f'{work.organisation.name}/{work.bill_id}',
        organisation=work.organisation.name,
        profile=work.profile.name,
        model=version.model if version else f'/{work.profile.service}',
        version=version.version if version else '',
        instance=f'{environment.name}/{environment.incarnation}',
    )


async def run_once(environment, work, reply, run):
    """Run at-most-once work under a claim in the log.

    Replays the stored outcome if the key was already used. Raises
    ``StoreDown``, ``KeyReused``, ``OutcomeUnknown`` or ``DeadlinePassed``.
    """
    if not _is_window_known(environment):
        raise errors.StoreDown('claims')
    claim = await _win_claim(environment, work)
    if isinstance(claim, claims.Outcome):
        environment.metrics.count('claims.replayed')
        await reply.replay(claim)
        return
    try:
        if environment.timer.now() > work.deadline_at:
            raise errors.DeadlinePassed(work.deadline_ms)
        await run(environment, work, reply)
    except BaseException:
        _record_outcome(environment, work, claim, None)
        raise
    recorded = _record_outcome(environment, work, claim, reply)
    await asyncio.wait([recorded], timeout=OUTCOME_TIMEOUT_S)


def _is_window_known(environment):
    """Return whether this instance has read all claims of the window.

    Claims that the log has lost are first written again by their instances.
    """
    follower = environment.claims_follower
    if environment.claim_commit.is_rewriting or not environment.era.is_settled:
        return False
    if follower.first is None:
        return False
    if follower.first == 0:
        return True
    window_s = environment.settings.control.claim_window_s
    return (
        follower.first_time is not None
        and follower.first_time + window_s <= environment.timer.wall()
    )


async def _win_claim(environment, work):
    """Return our winning ``Claim``, or the ``Outcome`` of another one.

    If the winning claim is released, the next one in the log wins.
    """
    claim = claims.Claim(
        id=f'{environment.name}-{environment.incarnation}-'
        f'{next(environment.sequence)}',
        organisation=work.organisation.name,
        key=work.key,
        fingerprint=work.fingerprint,
        instance=environment.name,
    )
    committed = environment.claim_commit.append(msgspec.json.encode(claim))
    now = environment.timer.now()
    try:
        async with asyncio.timeout_at(
            min(work.deadline_at, now + CLAIM_TIMEOUT_S)
        ):
            offset = await asyncio.shield(committed)
            await environment.claims_follower.wait_past(offset)
        async with asyncio.timeout_at(work.deadline_at):
            return await _wait_for_turn(environment, work, claim)
    except asyncio.TimeoutError:
        _release(environment, work, claim, committed)
        if _is_claimed_by_other(environment, claim):
            raise errors.OutcomeUnknown(work.key).mark_ran(
                errors.Ran.UNKNOWN
            ) from None
        raise errors.StoreDown('claims') from None
    except BaseException:
        _release(environment, work, claim, committed)
        raise


def _is_claimed_by_other(environment, claim):
    entry = environment.claims.find(claim.organisation, claim.key)
    winner = entry.winner if entry else None
    return winner is not None and winner.id != claim.id


async def _wait_for_turn(environment, work, claim):
    while True:
        entry = environment.claims.find(claim.organisation, claim.key)
        winner = entry.winner if entry else None
        if winner is None:
            raise errors.OutcomeUnknown(work.key).mark_ran(errors.Ran.UNKNOWN)
        if winner.id == claim.id:
            return claim
        if winner.fingerprint != claim.fingerprint:
            raise errors.KeyReused(work.key)
        if entry.outcome is not None:
            if entry.outcome.body is None:
                raise errors.OutcomeUnknown(work.key).mark_ran(
                    errors.Ran(entry.outcome.ran)
                )
            return entry.outcome
        await environment.claims_follower.wait_for_records()


def _release(environment, work, claim, committed):
    """Release a claim whose request was not sent to a server."""
    if environment.claim_commit.cancel_if_unsent(committed):
        return
    _append_outcome(environment, claim, errors.Ran.NO)


def _record_outcome(environment, work, claim, reply):
    """Queue the outcome of a claimed run; return the append's future.

    The body is omitted if it is larger than ``MAX_STORED_BODY_BYTES``.
    """
    if reply is None or reply.body is None:
        return _append_outcome(environment, claim, work.ran)
    body = reply.body
    if len(body) > claims.MAX_STORED_BODY_BYTES:
        body = None
    return _append_outcome(
        environment, claim, work.ran, reply.status, reply.content_type, body
    )


def _append_outcome(environment, claim, ran, status=0, content_type='',
                    body=None):  # fmt: skip
    outcome = claims.Outcome(
        claim=claim.id,
        organisation=claim.organisation,
        key=claim.key,
        ran=ran.value,
        status=status,
        content_type=content_type,
        body=body,
    )
    return environment.claim_commit.append(msgspec.json.encode(outcome))
