"""Crashes of backend servers: found, reported and told to other instances."""

import asyncio
import collections

from arbutuschute import errors
from arbutuschute.policy import quarantine as quarantine_module
from arbutuschute import progress

# After a failure of these the server may have crashed.
BREAKING_FAILURES = (errors.AnswerBroken, errors.ServerFailed)

# A server on a running machine accepts or refuses a connection at once.
CONNECT_TIMEOUT_S = 0.4
KEPT_OPEN_S = 0.03
CHECKS = 3
# Connections to a server break within milliseconds when it crashes.
COLLECT_S = 0.05
# Later failures at the same incarnation are of the same crash.
SAME_CRASH_S = 1.0
# A crashed server isn't tried for this long, unless its entry is renewed.
CRASHED_PAUSE_S = 1.0
# Another instance may report the same answers meanwhile.
MIN_ANSWERED_DELAY_S = 0.1
MAX_ANSWERED_DELAY_S = 0.5
# Observations that are repeated for an instance that starts.
MAX_REPEATED = 32


class _Report:
    """Requests that were unanswered at one server when it broke off.

    ``at`` and ``sent_at``, when the last one was sent, are in seconds since
    the epoch.
    """

    __slots__ = ('at', 'begun', 'check', 'sent_at', 'waiting')

    def __init__(self, check, at):
        self.at = at
        self.check = check
        self.sent_at = float('-inf')
        self.begun = set()
        self.waiting = set()

    def make_crash(self, server, parts, has_begun):
        """Return the ``Crash`` of a server with these suspected parts."""
        return quarantine_module.Crash(
            server.incarnation, self.at, self.sent_at, parts, has_begun
        )


class CrashReports:
    """Finds out whether a server crashed; shares which requests were there.

    ``publish(observation)`` sends a ``Crash``, an ``Answered`` or a
    ``Verdict`` to the other instances.
    """

    __slots__ = ('_answered', '_known_groups', '_log', '_metrics', '_publish',
                 '_published', '_quarantine', '_random', '_reports',
                 '_timer')  # fmt: skip

    def __init__(self, quarantine, timer, random, log, metrics, publish):
        self._quarantine = quarantine
        self._timer = timer
        self._random = random
        self._log = log
        self._metrics = metrics
        self._publish = publish
        # Published last, for instances that start or were cut off.
        self._published = collections.deque(maxlen=MAX_REPEATED)
        self._reports = {}
        self._answered = set()
        self._known_groups = set()

    async def check(self, server, failure, request):
        """Find out whether a server that failed a request has crashed.

        ``request`` has ``prompt_parts``, the ``progress`` of the attempt,
        ``sent_at`` in the timer's seconds, and ``crashes``, which is
        increased. A request that was being answered is not the cause.
        """
        if not isinstance(failure, BREAKING_FAILURES):
            return
        if request.progress is progress.Progress.EVENTS:
            return
        report = self._reports.get(server.incarnation)
        if report is None:
            check = asyncio.ensure_future(self._confirm(server))
            report = _Report(check, self._timer.wall())
            self._reports[server.incarnation] = report
        if not await asyncio.shield(report.check):
            return
        request.crashes += 1
        sent_s_ago = self._timer.now() - request.sent_at
        report.sent_at = max(report.sent_at, self._timer.wall() - sent_s_ago)
        suspected = self._quarantine.select_unanswered(request.prompt_parts)
        has_begun = request.progress is progress.Progress.HEAD
        (report.begun if has_begun else report.waiting).update(suspected)
        self._apply(report.make_crash(server, suspected, has_begun))

    async def has_ended(self, server):
        """Return whether no process listens at a server's address.

        It then isn't tried for a while.
        """
        ended = await is_refusing_connections(server.host_port)
        self._log.info('server checked', server=server.name, crashed=ended)
        if ended:
            server.pause(self._timer.now() + CRASHED_PAUSE_S)
        return ended

    async def _confirm(self, server):
        incarnation = server.incarnation
        crashed = await self.has_ended(server)
        if crashed:
            self._metrics.count('servers.crashed')
            self._timer.call_after(
                COLLECT_S, lambda: self._share_crash(server)
            )
        self._timer.call_after(
            SAME_CRASH_S, lambda: self._reports.pop(incarnation, None)
        )
        return crashed

    def _share_crash(self, server):
        """Tell other instances of the requests that were at the server.

        Those whose response had begun are suspected before all others.
        """
        report = self._reports[server.incarnation]
        parts = tuple(sorted(report.begun or report.waiting))
        crash = report.make_crash(server, parts, bool(report.begun))
        self._log.warning(
            'server crashed',
            server=server.name,
            unanswered_parts=len(parts),
            begun=crash.has_begun,
        )
        if parts:
            self._share(crash)

    def record_answer(self, parts):
        """Record that a server has begun to answer a request's parts."""
        cleared = self._quarantine.record_answered(parts)
        if not cleared:
            return
        if not self._answered:
            delay_s = self._random.uniform(
                MIN_ANSWERED_DELAY_S, MAX_ANSWERED_DELAY_S
            )
            self._timer.call_after(delay_s, self._share_answered)
        self._answered |= cleared
        self._log_changes()

    def _share_answered(self):
        parts, self._answered = self._answered, set()
        if parts:
            self._share(quarantine_module.Answered(tuple(sorted(parts))))

    def _share(self, observation):
        self._published.append(observation)
        self._publish(observation)

    def list_published(self):
        """Return the observations that this instance published last."""
        return tuple(self._published)

    def list_verdicts(self):
        """Return a ``Verdict`` on each group of quarantined parts."""
        return self._quarantine.list_verdicts()

    def apply(self, observation):
        """Apply an observation of another instance."""
        if isinstance(observation, quarantine_module.Answered):
            self._answered.difference_update(observation.parts)
            self._quarantine.record_answered(observation.parts)
        elif isinstance(observation, quarantine_module.Verdict):
            self._quarantine.record_verdict(observation)
        elif isinstance(observation, quarantine_module.Crash):
            self._quarantine.record_crash(observation)
        self._log_changes()

    def _apply(self, crash):
        """Apply a crash seen here; publish the verdicts that it leads to."""
        self._quarantine.record_crash(crash)
        until = self._timer.wall() + quarantine_module.QUARANTINE_S
        for group in self._log_changes():
            self._share(quarantine_module.Verdict(tuple(sorted(group)), until))

    def _log_changes(self):
        """Log new and lifted quarantines; return the new ones."""
        groups = set(self._quarantine.list_groups())
        added, lifted = (
            groups - self._known_groups,
            self._known_groups - groups,
        )
        self._known_groups = groups
        for event, changed in (
            ('prompt part quarantined', added),
            ('prompt part released', lifted),
        ):
            for group in changed:
                self._metrics.count(f'quarantine.{event.split()[-1]}')
                self._log.warning(event, parts=sorted(group))
        return added


async def is_refusing_connections(address):
    """Return whether no process listens at ``address``, a (host, port) pair.

    False as well if that can't be told, as behind a lost link. A process
    that ends may close its connections before it stops listening, so a
    connection that is closed at once decides nothing.
    """
    for _ in range(CHECKS):
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                reader, writer = await asyncio.open_connection(*address)
        except ConnectionRefusedError:
            return True
        except (OSError, TimeoutError):
            return False
        is_kept = await _is_kept_open(reader)
        writer.close()
        if is_kept:
            return False
        await asyncio.sleep(KEPT_OPEN_S)
    return False


async def _is_kept_open(reader):
    """Return whether a server keeps a new connection open for a moment."""
    try:
        async with asyncio.timeout(KEPT_OPEN_S):
            await reader.read(1)
    except TimeoutError:
        return True
    except OSError:
        return False
    return False
