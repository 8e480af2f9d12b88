"""Which of a route's models a request is asked of.

The small model goes first: it takes a tenth of the time, its answer comes
with its own opinion of it, and the answer is dropped for a large model's
if that opinion is low.
"""

# Confidence from which a small model's answer is kept; measured on quiet
# days, where 30 left hard requests badly answered and 70 filled the servers.
SURE_FROM = 50.0


class Models:
    """Choice of a model's size."""

    __slots__ = ()

    def choose_first(self, request):
        """Return the model to name to the server, or None."""
        if not request.route.models or request.prompt.model != '*':
            return None
        return request.route.models[0]

    def find_larger(self, request, confidence):
        """Return the model to ask instead, or None to keep the answer."""
        models = request.route.models
        if request.model is None or request.model == models[-1]:
            return None
        if confidence is None or confidence >= SURE_FROM:
            return None
        return models[-1]
