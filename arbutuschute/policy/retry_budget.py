"""A budget of repeats that all instances keep to without a message.

Each instance may repeat a share of its own requests, so the sum of all
stays below the share of all requests.
"""

import collections

# Part of the deployment's share that is used; the rest covers requests that
# were counted in different windows.
USED_SHARE = 0.85
# Instances among which the fixed part is divided; more would start at 0.
SLACK_PARTS = 100.0


class RetryBudget:
    """Requests and repeats by service in a sliding window of seconds."""

    __slots__ = ('_allowed', '_events', '_floor', '_now', '_window_s')

    def __init__(self, now, bounds):
        self._now = now
        self._events = {}
        self.set_bounds(bounds)

    def set_bounds(self, bounds):
        """Take over the deployment's bounds, at the start or changed."""
        self._window_s = bounds.retry_window_s
        self._allowed = bounds.retry_share * USED_SHARE
        self._floor = bounds.retry_slack / SLACK_PARTS

    def record_request(self, service):
        """Count a caller's request."""
        self._find(service).requests.append(self._now())

    def try_spend(self, service):
        """Count one more repeat if there is room; tell whether there was."""
        window = self._find(service)
        window.forget(self._now() - self._window_s)
        room = self._allowed * len(window.requests) + self._floor
        if len(window.retries) + 1 > room:
            return False
        window.retries.append(self._now())
        return True

    def _find(self, service):
        window = self._events.get(service)
        if window is None:
            window = self._events[service] = _Window()
        return window


class _Window:
    __slots__ = ('retries', 'requests')

    def __init__(self):
        self.retries = collections.deque()
        self.requests = collections.deque()

    def forget(self, before):
        for events in (self.retries, self.requests):
            while events and events[0] < before:
                events.popleft()
