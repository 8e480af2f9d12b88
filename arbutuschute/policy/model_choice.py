"""Which of a route's models gets a request.

The small model is tried first, as it takes a tenth of the time. Its answer
comes with a confidence; if that is low, the answer is dropped and a large
model is queried. The later a large model would begin, the lower the
threshold: a better answer is worth little when it is late.
"""

import math

# Confidence from which a small model's answer is kept on idle engines. At low
# load, 30 gave bad answers to hard requests, and 70 saturated the engines.
MIN_CONFIDENCE_IDLE = 58.0
# The same when a large model would begin after the target.
MIN_CONFIDENCE_LATE = 12.0


def compute_threshold(start_share):
    """Return the confidence from which an answer is kept.

    ``start_share`` is the time until a large model begins, relative to the
    route's target.
    """
    share = min(max(start_share, 0.0), 1.0)
    return MIN_CONFIDENCE_IDLE + share * (
        MIN_CONFIDENCE_LATE - MIN_CONFIDENCE_IDLE
    )


class ModelSelector:
    """Chooses between a route's models."""

    __slots__ = ()

    def select_first(self, request):
        """Return the model to request from the server first, or None.

        None keeps the model that the prompt names.
        """
        if not request.route.models or request.prompt.model != '*':
            return None
        return request.route.models[0]

    def select_limited(self, request):
        """Return the model to request from a server with a rate limit.

        A dropped answer would use up two of the few requests.
        """
        if request.model is None:
            return None
        return request.route.models[-1]

    def select_larger(self, request, confidence, start_s):
        """Return the model to query instead, or None to keep the answer.

        ``start_s`` is when it would begin, in seconds from the arrival;
        infinite if no server may get it.
        """
        models = request.route.models
        if request.model is None or request.model == models[-1]:
            return None
        if math.isinf(start_s):
            return None
        threshold = compute_threshold(start_s / request.route.target_s)
        if confidence is None or confidence >= threshold:
            return None
        return models[-1]
