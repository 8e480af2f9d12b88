"""Wilson's confidence interval of a rate, from counted successes."""

import math


def compute_bounds(count, trials, deviations):
    """Return (lower, upper) bounds of the rate behind ``count`` in ``trials``.

    ``trials`` is at least 1; ``deviations`` are standard deviations.
    """
    z = deviations
    rate = count / trials
    spread = z * math.sqrt(
        rate * (1 - rate) / trials + z * z / (4 * trials * trials)
    )
    middle = rate + z * z / (2 * trials)
    scale = 1 + z * z / trials
    return (middle - spread) / scale, (middle + spread) / scale
