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
