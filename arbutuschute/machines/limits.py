"""Rate limits of backend servers: heard, told to others and kept."""

CHECK_PERIOD_S = 1.0
# Several servers often begin to limit requests at the same moment.
COLLECT_S = 0.1


class LimitReports:
    """Tells other instances of limits, and of the demand to share them by.

    ``get_demand()`` returns requests a second by pool; ``publish(report)``
    sends a ``LimitReport`` to the other instances.
    """

    __slots__ = ('_get_demand', '_is_due', '_log', '_metrics', '_publish',
                 '_rate_limits', '_reported_at', '_timer',
                 'last_report')  # fmt: skip

    def __init__(self, rate_limits, timer, log, metrics, get_demand, publish):
        self._rate_limits = rate_limits
        self._timer = timer
        self._log = log
        self._metrics = metrics
        self._get_demand = get_demand
        self._publish = publish
        self._is_due = False
        # The report that is in force, None while there are no limits.
        self.last_report = None
        self._reported_at = timer.now()
        timer.every(CHECK_PERIOD_S).subscribe(self._renew)

    def record(self, server, per_s, is_success):
        """Record the limit in a server's response, None if it has none.

        Only a success without a limit tells that there is none any more.
        """
        if per_s is None and not is_success:
            return
        if not self._rate_limits.record(server.incarnation, per_s):
            return
        self._log.info('server limit', server=server.name, per_s=per_s)
        self._metrics.count('servers.limits')
        self._report_soon()

    def apply(self, report):
        """Apply the report of another instance.

        The others need this instance's demand as soon as there is a limit.
        """
        if not self._rate_limits.apply(report):
            return
        self._log.info(
            'server limits told',
            instance=report.instance,
            limits=len(report.limits),
        )
        if self.last_report is None:
            self._report_soon()

    def _report_soon(self):
        if not self._is_due:
            self._is_due = True
            self._timer.call_after(COLLECT_S, self._report)

    def _renew(self, now):
        if now - self._reported_at >= self._rate_limits.report_period_s:
            self._report()

    def _report(self):
        """Publish this instance's report while there are limits.

        The last one has none, for instances that start later.
        """
        self._is_due = False
        self._reported_at = self._timer.now()
        report = self._rate_limits.make_report(self._get_demand())
        if report is None and self.last_report is None:
            return
        self.last_report = report
        self._publish(report or self._rate_limits.make_empty_report())
