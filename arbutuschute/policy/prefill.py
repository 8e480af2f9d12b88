"""How long engines take to read prompts, and to begin at all.

Load reports count requests, but a long prompt for a large model takes a
hundred times as long as a short one for a small model. What tells is how
long our own requests waited for their first event a moment ago.
"""

import math

# First guess of seconds a prompt token takes; learned per model.
FIRST_UNIT_S = 2e-5
# The unit follows the quickest requests: fast down, slowly up.
FALL = 0.3
RISE = 0.003
# Prompts below this say nothing about the time a token takes.
LEAST_TOKENS = 300
# How long a wait is thought to last once nobody reports it any more.
WAIT_MEMORY_S = 1.5
WAIT_BLEND = 0.5


class PrefillRates:
    """Seconds that a prompt token takes, by service and model."""

    __slots__ = ('_units',)

    def __init__(self):
        self._units = {}

    def estimate_read_s(self, request, shared_known=False):
        """Return the seconds that reading a request's prompt will take.

        ``shared_known`` tells that the server has its shared parts.
        """
        prompt = request.prompt
        tokens = prompt.tokens
        if shared_known:
            tokens -= min(tokens, prompt.shared_tokens)
        return tokens * self._units.get(_name(request), FIRST_UNIT_S)

    def observe(self, request, waited_s):
        """Take in how long a request waited for its first event."""
        tokens = request.prompt.tokens
        if tokens < LEAST_TOKENS:
            return
        name = _name(request)
        seen = waited_s / tokens
        unit = self._units.get(name, seen)
        self._units[name] = unit + (FALL if seen < unit else RISE) * (
            seen - unit
        )


def _name(request):
    return request.service, request.model or request.prompt.model


class QueueDelays:
    """What one server made our requests wait, beyond reading them."""

    __slots__ = ('_at', '_pending', '_wait_s')

    def __init__(self):
        self._wait_s = 0.0
        self._at = float('-inf')
        self._pending = {}

    def begin(self, request, expected_s, now):
        """Note a request that waits for its first event."""
        self._pending[request] = now, expected_s

    def finish(self, request, now, has_begun):
        """Note that it waits no more: it has begun, or was given up."""
        began, expected_s = self._pending.pop(request)
        excess_s = max(0.0, now - began - expected_s)
        remembered_s = self._remember(now)
        if has_begun:
            blended_s = remembered_s + WAIT_BLEND * (excess_s - remembered_s)
        else:
            blended_s = max(remembered_s, excess_s)
        self._wait_s, self._at = blended_s, now

    def _remember(self, now):
        return self._wait_s * math.exp((self._at - now) / WAIT_MEMORY_S)

    def estimate_wait_s(self, now):
        """Return the seconds that a request sent now would wait."""
        ahead_s = 0.0
        oldest_s = 0.0
        for began, expected_s in self._pending.values():
            ahead_s += expected_s
            oldest_s = max(oldest_s, now - began - expected_s)
        return max(self._remember(now), oldest_s) + ahead_s
