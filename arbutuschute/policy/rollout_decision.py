"""When a roll-out goes on to its next step, or to its end."""

from arbutuschute.policy import rollout_records

# Part of the roll-out's time after which sessions may move to the new version.
RAMP_FROM = 0.5
# Part of the roll-out's time that a step lasts at least, to show a fault.
STEP_TIME = 0.07
# Part of the roll-out's time by which it is completed or rolled back.
END_BY = 0.9


def decide(rollout, instance, now, old_idle, has_old):
    """Return the (number, phase) of the step that is due, or None.

    ``instance`` is this one, which has nothing in flight at another version if
    ``old_idle``; ``has_old`` is whether there is one to go back to.
    """
    number = rollout.number
    if not rollout.is_announced:
        return number, rollout.phase
    if rollout.phase is not rollout_records.Phase.RUNNING:
        return None
    elapsed = (now - rollout.started_at) / rollout.order.duration_s
    if rollout.is_return:
        return _decide_return(number, elapsed, old_idle)
    if rollout.comparison.is_bad(instance):
        return number, rollout_records.Phase.ROLLED_BACK
    if elapsed < RAMP_FROM:
        return None
    is_last_step = number + 1 == len(rollout_records.SHARES)
    if not rollout.comparison.may_advance(instance, is_last_step):
        return _decide_without_trials(number, elapsed, has_old)
    if now - rollout.stepped_at < STEP_TIME * rollout.order.duration_s:
        return None
    if not is_last_step:
        return number + 1, rollout_records.Phase.RUNNING
    if old_idle or elapsed >= END_BY:
        return number, rollout_records.Phase.COMPLETED
    return None


def _decide_return(number, elapsed, old_idle):
    """Complete a return once the sessions of other versions have moved."""
    is_left = old_idle and elapsed >= RAMP_FROM + STEP_TIME
    if not is_left and elapsed < END_BY:
        return None
    return number, rollout_records.Phase.COMPLETED


def _decide_without_trials(number, elapsed, has_old):
    """Decide on a version that was not tried enough, or is a suspect."""
    if elapsed < END_BY:
        return None
    if has_old:
        return number, rollout_records.Phase.ROLLED_BACK
    return number, rollout_records.Phase.COMPLETED
