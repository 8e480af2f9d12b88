"""What instances tell each other of backend servers."""

from arbutuschute.machines import crashes
from arbutuschute.machines import limits
from arbutuschute.policy import quarantine
from arbutuschute.policy import rate_limits
from arbutuschute.zones import fleet_size


def build(environment, timer, region, publish, count_instances):
    """Add what is known of servers' crashes and limits to an environment.

    ``region`` is that of this instance; ``publish(observation)`` sends an
    observation to the other instances; ``count_instances(region)`` returns
    how many are known to run there, or everywhere for None.
    """
    now = timer.now
    environment.quarantine = quarantine.Quarantine(now, timer.wall)
    environment.crash_reports = crashes.CrashReports(
        environment.quarantine, timer, environment.random, environment.log,
        environment.metrics, publish,
    )  # fmt: skip
    environment.demand = rate_limits.Demand(now)
    environment.rate_limits = rate_limits.RateLimits(
        now, environment.name, region, count_instances
    )
    environment.limit_reports = limits.LimitReports(
        environment.rate_limits, timer, environment.log, environment.metrics,
        environment.demand.get_rates, publish,
    )  # fmt: skip


def apply(environment, observation):
    """Apply an observation of another instance."""
    if isinstance(observation, rate_limits.LimitReport):
        environment.limit_reports.apply(observation)
    elif isinstance(observation, fleet_size.ZoneSize):
        environment.fleet_size.apply(observation)
    else:
        environment.crash_reports.apply(observation)
