"""How long engines take to read prompts and to begin an answer.

Load reports count requests, but a long prompt for a large model takes a
hundred times as long as a short one for a small model. So the estimates
come from how long own requests recently waited for their first event.
"""

import math

# Seconds for a prompt token before any of the model has been observed.
DEFAULT_TOKEN_S = 2e-5
# The rate follows the fastest requests: quickly down, slowly up.
FALL = 0.3
RISE = 0.003
# Shorter prompts give no useful estimate of the time per token.
MIN_TOKENS = 300
# Time in which an observed delay decays to 1/e.
WAIT_MEMORY_S = 1.5
# Weight of a new delay against the decayed ones.
WAIT_BLEND = 0.5
# Time in which an observed wait decays to 1/e. Demand rises and falls within
# seconds.
POOL_MEMORY_S = 1.5
# A request takes longer than its expected reading at an idle server, too: the
# floor follows the shortest waits, quickly down and slowly up.
FLOOR_FALL = 0.3
FLOOR_RISE = 0.02


class PrefillRates:
    """Seconds for reading a prompt token, by service and model."""

    __slots__ = ('_token_times_s',)

    def __init__(self):
        self._token_times_s = {}

    def estimate_read_s(self, request, shared_known=False):
        """Return the estimated seconds for reading a request's prompt.

        With ``shared_known``, the server has read its shared parts.
        """
        prompt = request.prompt
        tokens = prompt.tokens
        if shared_known:
            tokens -= min(tokens, prompt.shared_tokens)
        return tokens * self._token_times_s.get(
            _get_key(request), DEFAULT_TOKEN_S
        )

    def observe(self, request, waited_s):
        """Record how long a request waited for its first event."""
        tokens = request.prompt.tokens
        if tokens < MIN_TOKENS:
            return
        key = _get_key(request)
        observed_s = waited_s / tokens
        token_s = self._token_times_s.get(key, observed_s)
        self._token_times_s[key] = token_s + (
            FALL if observed_s < token_s else RISE
        ) * (observed_s - token_s)


def _get_key(request):
    return request.service, request.model or request.prompt.model


class QueueDelays:
    """Delays of own requests at one server, beyond reading prompts."""

    __slots__ = ('_at', '_pending', '_wait_s')

    def __init__(self):
        self._wait_s = 0.0
        self._at = float('-inf')
        self._pending = {}

    def begin(self, request, expected_s, now):
        """Record a request that begins to wait for its first event."""
        self._pending[request] = now, expected_s

    def finish(self, request, now, has_begun):
        """Record the end of a wait: the answer began or was abandoned."""
        began, expected_s = self._pending.pop(request)
        excess_s = max(0.0, now - began - expected_s)
        decayed_s = self._decay_wait(now)
        if has_begun:
            blended_s = decayed_s + WAIT_BLEND * (excess_s - decayed_s)
        else:
            blended_s = max(decayed_s, excess_s)
        self._wait_s, self._at = blended_s, now

    def _decay_wait(self, now):
        return self._wait_s * math.exp((self._at - now) / WAIT_MEMORY_S)

    def estimate_wait_s(self, now):
        """Return the estimated delay in seconds of a request sent now."""
        ahead_s = 0.0
        oldest_s = 0.0
        for began, expected_s in self._pending.values():
            ahead_s += expected_s
            oldest_s = max(oldest_s, now - began - expected_s)
        return max(self._decay_wait(now), oldest_s) + ahead_s


class _Waits:
    """The waits at one pool: those that have ended, and those that last."""

    __slots__ = ('at', 'count', 'floor_s', 'pending', 'total_s')

    def __init__(self, now):
        # Sum and number of ended waits, both decayed as of ``at``.
        self.total_s = 0.0
        self.count = 0.0
        self.at = now
        # The wait at an idle server.
        self.floor_s = 0.0
        # (time of sending, expected seconds) by request.
        self.pending = {}

    def decay(self, now):
        """Let ended waits count less."""
        factor = math.exp((self.at - now) / POOL_MEMORY_S)
        self.total_s *= factor
        self.count *= factor
        self.at = now

    def add(self, wait_s, now):
        """Add a wait that has ended."""
        self.decay(now)
        self.total_s += wait_s
        self.count += 1.0
        rate = FLOOR_FALL if wait_s < self.floor_s else FLOOR_RISE
        self.floor_s += rate * (wait_s - self.floor_s)


class PoolDelays:
    """Waits for the first event by pool; a pool is any hashable value.

    One of a hundred instances sees a hundredth of each server's requests, so
    that most servers look idle to it while all of them are busy. Its own
    requests, taken together, show how busy the pool is. Servers admit urgent
    requests first, so a pool may be that of one urgency.
    """

    __slots__ = ('_pools',)

    def __init__(self):
        self._pools = {}

    def begin(self, pool, request, expected_s, now):
        """Record a request that begins to wait; it would take ``expected_s``
        at an idle server.
        """
        waits = self._pools.get(pool)
        if waits is None:
            waits = self._pools[pool] = _Waits(now)
        waits.pending[request] = now, expected_s

    def finish(self, pool, request, now):
        """Record the end of a wait, whether or not a response began."""
        waits = self._pools[pool]
        began, expected_s = waits.pending.pop(request)
        waits.add(max(0.0, now - began - expected_s), now)

    def estimate_s(self, pool, now):
        """Return by how many seconds requests sent lately waited too long.

        That is their mean wait less that at an idle server. Requests that
        wait count with what they have waited so far. If few were sent
        lately, the estimate falls to 0.
        """
        waits = self._pools.get(pool)
        if waits is None:
            return 0.0
        waits.decay(now)
        total_s, count = waits.total_s, waits.count
        for began, expected_s in waits.pending.values():
            excess_s = now - began - expected_s
            if excess_s > waits.floor_s:
                total_s += excess_s
                count += 1.0
        return max(0.0, total_s / max(count, 1.0) - waits.floor_s)
