"""What a request is likely to cost a server, learned from those that ended.

A caller states the tokens of a prompt, the maximum of output tokens and often
an estimate of them. Most answers are much shorter than the maximum, and the
estimate is right at the median only. How long a token takes depends on the
model by a factor of ten. So both are learned, by service and model.

What a server still has to do is known of own requests with their expected
tokens. Those of other instances are counted in the server's load reports and
taken for average ones. A server whose requests outgrow its memory preempts
some of them or ends, so that no request is sent to one that is expected to be
full while another has room.
"""

import msgspec

# Weight of the newest request: estimates average over about twenty.
SMOOTHING = 0.05
# Until a request of the kind has ended.
DEFAULT_OUTPUT_SHARE = 0.5
DEFAULT_TOKEN_S = 0.005
# The rest is for the error of the estimates.
USABLE_MEMORY = 0.9


class Cost(msgspec.Struct, frozen=True):
    """Expected cost of a request at a server.

    ``tokens`` is the memory that it takes at its end, ``write_s`` the time
    from its first event to its last.
    """

    tokens: float
    write_s: float


class _Kind:
    """What is learned of one kind of request."""

    __slots__ = ('output_share', 'token_s')

    def __init__(self):
        # Output tokens, as a part of those that the caller states.
        self.output_share = DEFAULT_OUTPUT_SHARE
        self.token_s = None


class Costs:
    """Learned costs by service and model."""

    __slots__ = ('_kinds', '_tokens')

    def __init__(self):
        self._kinds = {}
        # Mean tokens of a request, by service.
        self._tokens = {}

    def estimate(self, request):
        """Return the ``Cost`` of a request with the model that it has now."""
        kind = self._kinds.get(_get_key(request)) or _Kind()
        output = kind.output_share * _get_stated_output(request)
        token_s = DEFAULT_TOKEN_S if kind.token_s is None else kind.token_s
        return Cost(request.prompt.tokens + output, output * token_s)

    def get_mean_tokens(self, service):
        """Return the mean tokens of a service's requests, 0 if unknown."""
        return self._tokens.get(service, 0.0)

    def observe(self, request, output_tokens, write_s):
        """Record a complete response.

        Return its time from first to last event as a part of the expected
        one; None if it had no second event to measure.
        """
        expected = self.estimate(request)
        kind = self._kinds.setdefault(_get_key(request), _Kind())
        stated = _get_stated_output(request)
        if stated:
            share = output_tokens / stated
            kind.output_share += SMOOTHING * (share - kind.output_share)
        tokens = request.prompt.tokens + output_tokens
        mean = self._tokens.get(request.service, tokens)
        self._tokens[request.service] = mean + SMOOTHING * (tokens - mean)
        if write_s <= 0.0 or not output_tokens:
            return None
        token_s = write_s / output_tokens
        if kind.token_s is None:
            kind.token_s = token_s
        kind.token_s += SMOOTHING * (token_s - kind.token_s)
        return write_s / expected.write_s if expected.write_s else None


def _get_key(request):
    return request.service, request.model or request.prompt.model


def _get_stated_output(request):
    prompt = request.prompt
    return prompt.length_hint or prompt.output_tokens


class Backlog:
    """The expected tokens of this instance's requests at one server."""

    __slots__ = ('_tokens', 'own_tokens')

    def __init__(self):
        self._tokens = {}
        self.own_tokens = 0.0

    def begin(self, request, tokens):
        """Record a request that is sent."""
        self._tokens[request] = tokens
        self.own_tokens += tokens

    def finish(self, request):
        """Record the end of a request."""
        self.own_tokens -= self._tokens.pop(request)


def estimate_tokens(server, mean_tokens):
    """Return the tokens that a server is expected to hold.

    ``mean_tokens`` is that of a request of another instance.
    """
    return server.backlog.own_tokens + server.load.others * mean_tokens


def select_fitting(servers, tokens, mean_tokens, memory_tokens):
    """Return the servers that have room for a request of ``tokens``.

    All of them if none has, or if their memory isn't known (0): they queue
    requests, too.
    """
    if not memory_tokens:
        return servers
    limit = USABLE_MEMORY * memory_tokens - tokens
    fitting = [
        server
        for server in servers
        if estimate_tokens(server, mean_tokens) <= limit
    ]
    return fitting or servers
