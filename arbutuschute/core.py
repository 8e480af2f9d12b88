"""Handling of one request, from its checks to its bill."""

import asyncio

import msgspec

from arbutuschute import agreement
from arbutuschute import attempts
from arbutuschute import errors
from arbutuschute import learners
from arbutuschute.ledgers import bills
from arbutuschute.links import engine
from arbutuschute.machines import fleet
from arbutuschute.machines import statements
from arbutuschute.policy import retry
from arbutuschute import pools


async def serve(environment, work, reply):
    """Serve one checked request; raise the ``Failure`` that ends it."""
    agreement.check_may_run(environment, work)
    _refuse_quarantined(environment, work)
    name, servers = await pools.find_pool(environment, work)
    environment.demand.record(name)
    queue = pools.name_queue(environment, work, name)
    async with environment.admission.enter(work, (queue, servers)):
        if work.profile.idempotent:
            await _run_and_bill(environment, work, reply)
        else:
            await agreement.run_once(environment, work, reply, _run_and_bill)


async def _run_and_bill(environment, work, reply):
    agreement.check_may_run(environment, work)
    version = await agreement.choose_version(environment, work)
    bill = RequestBill(environment, work, version)
    await bill.open()
    try:
        if learners.tries_cheap(environment, work):
            await _run_cascade(environment, work, reply, bill)
        else:
            await _run_with_retries(environment, work, reply, bill)
    except BaseException as error:
        outcome = getattr(error, 'code', 'abandoned')
        await asyncio.shield(bill.abandon(outcome))
        raise


async def _run_cascade(environment, work, reply, bill):
    """Try the cheap model; escalate unless its answer is accepted."""
    cascade = work.profile.cascade
    work.model = cascade.cheap
    buffered = learners.BufferedReply(environment, work, reply)
    try:
        await _run_with_retries(environment, work, buffered, bill)
    except errors.Failure:
        environment.metrics.count('cascade.cheap-failed')
    if buffered.is_accepted:
        await buffered.deliver(bill)
        return
    work.model = cascade.expensive
    work.answer_started = False
    await _run_with_retries(environment, work, reply, bill)


class RequestBill:
    """A request's bill: opened once, and closed before its answer ends.

    ``tokens`` counts the tokens of a streamed answer relayed so far.
    """

    __slots__ = ('_bill', '_cost', '_environment', '_work', 'tokens')

    def __init__(self, environment, work, version):
        self._environment = environment
        self._work = work
        self._bill = agreement.make_bill(environment, work, version)
        self._cost = 0.0
        self.tokens = 0

    async def open(self):
        """Replicate the opened bill before anything is sent."""
        await self._environment.bill_replicator.open(self._bill)

    def add_cost(self, version, usage):
        """Add the cost of a run whose answer is discarded."""
        self._cost += usage.completion_tokens * version.cost / 1000

    async def finish(self, version, usage):
        """Close the bill with the usage of a complete answer."""
        await self._close('answered', version, usage)

    async def abandon(self, outcome):
        """Close the bill of a request that ends without a complete answer.

        The bill of a request that did not run is withdrawn.
        """
        if self._bill is None:
            return
        if self._work.ran is errors.Ran.NO:
            self._environment.bill_replicator.withdraw(self._bill)
            self._bill = None
            return
        usage = engine.Usage(completion_tokens=self.tokens)
        await self._close(outcome, None, usage)

    async def _close(self, outcome, version, usage):
        bill, self._bill = self._bill, None
        rate = 0.0
        if version is not None:
            bill = msgspec.structs.replace(
                bill, model=version.model, version=version.version
            )
            rate = version.cost
        elif self._work.profile.service:
            self._cost += self._work.profile.service_cost
        closed = bills.close(
            bill,
            outcome,
            usage.prompt_tokens,
            usage.completion_tokens,
            usage.completion_tokens * rate / 1000 + self._cost,
        )
        await self._environment.bill_replicator.close(closed)


async def _run_with_retries(environment, work, reply, bill):
    """Attempt the request until it is answered or may not be retried.

    Version and lease are checked before each attempt: a retry is new work
    for the server that receives it.
    """
    attempt_count = excused_count = 0
    tried = set()
    last = None
    environment.retry_budget.deposit()
    while True:
        version, server = await _find_server(environment, work, tried, last)
        attempt_count += 1
        try:
            await attempts.run(environment, work, version, server, reply, bill)
            return
        except errors.Failure as failure:
            tried.add(server.name)
            last = failure
            work.record_ran(failure.ran)
            _apply_failure(environment, server, failure)
            await _check_for_crash(environment, work, server, failure)
            if failure.ran is errors.Ran.NO:
                excused_count += 1
            if not retry.may_retry(
                failure,
                attempt_count,
                excused_count,
                work.profile.idempotent,
                work.answer_started,
            ):
                raise failure.mark_ran(work.ran) from None
            if not environment.retry_budget.try_spend():
                environment.metrics.count('retries.denied')
                raise failure.mark_ran(work.ran) from None
            environment.metrics.count('retries')


def _refuse_quarantined(environment, work):
    """Raise ``PromptQuarantined`` if servers crash on the prompt."""
    parts = environment.quarantine.find_refused(work.prompt_parts)
    if parts:
        raise errors.PromptQuarantined(', '.join(parts)).mark_ran(work.ran)


async def _check_for_crash(environment, work, server, failure):
    """Find out whether an unanswered request's server has crashed.

    Raise the failure if no other server may be risked.
    """
    if work.answer_started:
        return
    await environment.crash_reports.check(server, failure, work)
    if not environment.quarantine.may_retry(work.prompt_parts, work.crashes):
        environment.metrics.count('retries.after-crash')
        raise failure.mark_ran(work.ran) from None


async def _find_server(environment, work, tried, last):
    """Return (version, server) of the next attempt.

    Wait for a turn if all open servers are at their rate limits. Version
    and lease are checked again after that.
    """
    while True:
        agreement.check_may_run(environment, work)
        _refuse_quarantined(environment, work)
        version = await agreement.choose_version(environment, work)
        server = _choose_server(environment, work, version, tried, last)
        wait_s = pools.reserve_turn(environment, server, version)
        if wait_s <= 0.0:
            return version, server
        work.limit_wait_s += wait_s
        await environment.timer.sleep(wait_s)
        agreement.check_may_run(environment, work)
        _refuse_quarantined(environment, work)
        chosen = await agreement.choose_version(environment, work)
        if (
            server.is_open(environment.timer.now())
            and chosen == version
            and pools.is_eligible(environment, work, server)
        ):
            return version, server


def _choose_server(environment, work, version, tried, last):
    """Return a server, preferring those not in ``tried``.

    If no server is open, raises the ``last`` failure, or
    ``NoBackendServer`` if there is none; ``RateLimited`` if all are at their
    rate limits and no turn comes before the deadline; the failures of
    ``pools.list_servers``, unless there is a ``last`` one.
    """
    try:
        servers = pools.list_servers(environment, work, version)
    except errors.NoBackendServer:
        if last is not None:
            raise last.mark_ran(work.ran) from None
        raise
    chosen = None
    if tried:
        untried = [server for server in servers if server.name not in tried]
        chosen = pools.choose_open(environment, untried, version)
    if chosen is None:
        chosen = pools.choose_open(environment, servers, version)
    if chosen is None:
        chosen = _choose_next_turn(environment, work, version, servers)
    if chosen is None:
        if last is not None:
            raise last.mark_ran(work.ran)
        raise errors.NoBackendServer(
            pools.name_wanted(work, version)
        ).mark_ran(work.ran)
    return chosen


def _choose_next_turn(environment, work, version, servers):
    """Return the open server whose rate limit allows a request soonest.

    None if no server is open. Raises ``RateLimited`` if the turn would come
    too late to be answered by the deadline.
    """
    now = environment.timer.now()
    expected_s = environment.admission.service_times.estimate(
        work.profile.name, work.class_name
    )
    waits = {
        server: pools.get_limit_wait_s(environment, server, version)
        for server in servers
        if server.is_open(now)
    }
    if not waits:
        return None
    soonest = min(waits, key=waits.__getitem__)
    if now + waits[soonest] + expected_s >= work.deadline_at:
        raise errors.RateLimited(pools.name_wanted(work, version)).mark_ran(
            work.ran
        )
    return soonest


def _apply_failure(environment, server, failure):
    """Pause the server or mark it as leaving, according to the failure."""
    now = environment.timer.now()
    environment.metrics.count(f'attempts.{failure.code}')
    if isinstance(failure, errors.EngineRefused):
        statements.apply(server, failure, now, environment.log)
        if failure.reason == 'leaving':
            server.leaving = True
        else:
            server.pause(now + fleet.REFUSED_PAUSE_S)
    elif isinstance(failure, errors.EngineUnreachable):
        server.pause(now + fleet.UNREACHABLE_PAUSE_S)
