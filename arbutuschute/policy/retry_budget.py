"""A retry budget that all instances keep without coordination.

Each instance may retry a share of its own requests, so all retries stay
below that share of all requests.
"""

import collections

# Used part of the deployment's share. The rest covers requests and retries
# that are counted in different windows.
USED_SHARE = 0.85
# At least so many instances share the deployment's slack: the number known may
# be lower than that of those that run.
MIN_SLACK_INSTANCES = 100


class RetryBudget:
    """Requests and retries by service in a sliding window.

    ``count_instances()`` returns how many instances are known to share the
    deployment's slack.
    """

    __slots__ = ('_count_instances', '_now', '_share', '_slack', '_window_s',
                 '_windows')  # fmt: skip

    def __init__(self, now, bounds, count_instances=lambda: 0):
        self._now = now
        self._count_instances = count_instances
        self._windows = {}
        self.set_bounds(bounds)

    def set_bounds(self, bounds):
        """Apply the deployment's bounds, at the start or after a change."""
        self._window_s = bounds.retry_window_s
        self._share = bounds.retry_share * USED_SHARE
        self._slack = bounds.retry_slack

    def record_request(self, service):
        """Record a caller's request."""
        self._get_window(service).requests.append(self._now())

    def try_spend(self, service):
        """Record one more retry if allowed; return whether it was."""
        window = self._get_window(service)
        window.forget(self._now() - self._window_s)
        instances = max(MIN_SLACK_INSTANCES, self._count_instances())
        allowed = self._share * len(window.requests) + self._slack / instances
        if len(window.retries) + 1 > allowed:
            return False
        window.retries.append(self._now())
        return True

    def _get_window(self, service):
        window = self._windows.get(service)
        if window is None:
            window = self._windows[service] = _Window()
        return window


class _Window:
    __slots__ = ('requests', 'retries')

    def __init__(self):
        self.retries = collections.deque()
        self.requests = collections.deque()

    def forget(self, before):
        for events in (self.retries, self.requests):
            while events and events[0] < before:
                events.popleft()
