"""Which of a route's models a request is asked of.

The small model goes first: it takes a tenth of the time, its answer comes
with its own opinion of it, and the answer is dropped for a large model's
if that opinion is low. When large models begin late, an answer has to be
worse before it is dropped: late, a better one is worth little.
"""

# Confidence from which a small model's answer is kept on idle engines;
# measured on quiet days, where 30 left hard requests badly answered and 70
# filled the engines.
MIN_CONFIDENCE_IDLE = 58.0
# The same where a large model would begin after the target.
MIN_CONFIDENCE_LATE = 12.0


def compute_threshold(start_share):
    """Return the confidence from which an answer is kept.

    ``foreseen_share`` is when a large model would begin, in times of the
    route's target.
    """
    share = min(max(start_share, 0.0), 1.0)
    return MIN_CONFIDENCE_IDLE + share * (
        MIN_CONFIDENCE_LATE - MIN_CONFIDENCE_IDLE
    )


class ModelSelector:
    """Choice of a model's size."""

    __slots__ = ()

    def select_first(self, request):
        """Return the model to name to the server, or None."""
        if not request.route.models or request.prompt.model != '*':
            return None
        return request.route.models[0]

    def select_larger(self, request, confidence, start_s):
        """Return the model to ask instead, or None to keep the answer.

        ``foreseen_s`` is when it would begin, seconds from arrival.
        """
        models = request.route.models
        if request.model is None or request.model == models[-1]:
            return None
        threshold = compute_threshold(start_s / request.route.target_s)
        if confidence is None or confidence >= threshold:
            return None
        return models[-1]
