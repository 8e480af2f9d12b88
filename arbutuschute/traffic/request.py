"""A caller's request and the state of its handling."""

from arbutuschute import errors
from arbutuschute import progress

_RAN_ORDER = (errors.Ran.NO, errors.Ran.UNKNOWN, errors.Ran.YES)


class Prompt:
    """A caller's description of a prompt; parts are (name, tokens) pairs."""

    __slots__ = ('length_hint', 'model', 'output_tokens', 'parts', 'tokens')

    def __init__(self, model='', tokens=0, output_tokens=0, parts=()):
        self.model = model
        self.tokens = tokens
        self.output_tokens = output_tokens
        # The caller's estimate of output tokens, 0 without one.
        self.length_hint = 0
        self.parts = parts

    @property
    def shared(self):
        """The name of the last part shared with other requests, or None."""
        if len(self.parts) < 2:
            return None
        return self.parts[-2][0]

    @property
    def shared_names(self):
        """The names of the parts shared with other requests."""
        return tuple(name for name, _ in self.parts[:-1])

    @property
    def shared_tokens(self):
        """The number of tokens in parts shared with other requests."""
        return sum(tokens for _, tokens in self.parts[:-1])


class Request:
    """A request; ``deadline_at`` is in the timer's seconds."""

    __slots__ = (
        'attempts',
        'body',
        'crashes',
        'deadline_at',
        'event_gap_s',
        'excused_attempts',
        'first_event_s',
        'headers',
        'host',
        'id',
        'is_attempt_pending',
        'key',
        'last_event_id',
        'method',
        'model',
        'organisation',
        'path',
        'progress',
        'prompt',
        'ran',
        'received_at',
        'route',
        'sent_at',
        'service',
        'session',
        'target',
        'urgency',
        'version',
    )

    def __init__(self, request_id, method, target, host, received_at):
        self.id = request_id
        self.method = method
        self.target = target
        self.path = target.partition('?')[0]
        self.host = host
        self.received_at = received_at
        self.deadline_at = received_at
        self.headers = ()
        self.body = b''
        self.prompt = Prompt()
        self.key = None
        self.last_event_id = None
        self.model = None
        self.organisation = None
        self.route = None
        # When the newest attempt was sent, in the timer's seconds.
        self.sent_at = received_at
        self.service = None
        # The level for servers, 0 is the most urgent; None if all are equal.
        self.urgency = None
        # Roll-outs assign a version to a session; by default the request is
        # a session of its own.
        self.session = request_id
        self.version = 0
        self.attempts = 0
        # Attempts that did not run, or whose server has ended since.
        self.excused_attempts = 0
        # Servers that crashed before they answered.
        self.crashes = 0
        # Seconds until a stream's first event was passed on, and between the
        # events that one server sent next; None if there were none.
        self.first_event_s = None
        self.event_gap_s = None
        # Whether an attempt was sent and its outcome is unknown.
        self.is_attempt_pending = False
        self.ran = errors.Ran.NO
        self.progress = progress.Progress.NONE

    @property
    def is_in_session(self):
        """Whether the caller named a session."""
        return self.session != self.id

    @property
    def known_ran(self):
        """Whether the request has run, as far as is known (``Ran``)."""
        if self.is_attempt_pending and self.ran is errors.Ran.NO:
            return errors.Ran.UNKNOWN
        return self.ran

    @property
    def prompt_parts(self):
        """The names of the prompt's parts that other requests may share."""
        return self.prompt.shared_names

    @property
    def pool(self):
        """The servers that the request competes for, and with whom."""
        return self.service, self.urgency

    def begin_attempt(self, now):
        """Count an attempt that is about to be sent."""
        self.sent_at = now
        self.attempts += 1
        self.is_attempt_pending = True
        self.progress = progress.Progress.NONE

    def record_ran(self, ran):
        """Record an attempt's ``ran``; YES outranks UNKNOWN, UNKNOWN NO."""
        self.is_attempt_pending = False
        if _RAN_ORDER.index(ran) > _RAN_ORDER.index(self.ran):
            self.ran = ran
