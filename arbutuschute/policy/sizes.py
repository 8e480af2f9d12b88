"""Which of a route's models a request is asked of first."""


class Models:
    """Choice of a model's size."""

    __slots__ = ()

    def choose_first(self, request):
        """Return the model to name to the server, or None."""
        if not request.route.models or request.prompt.model != '*':
            return None
        return request.route.models[-1]
