"""A request and its state while the router handles it."""

from arbutuschute.contracts import profiles
from arbutuschute import errors
from arbutuschute import progress

DEFAULT_CLASS = 'default'
_DEFAULT_WORK_CLASS = profiles.WorkClass()
_RAN_ORDER = (errors.Ran.NO, errors.Ran.UNKNOWN, errors.Ran.YES)


class Work:
    """A validated request and the state of its handling.

    ``is_rated`` says whether a cheap answer is always rated; ``ran``
    whether a server may have run the request.
    """

    __slots__ = (
        'answer_started',
        'bill_id',
        'body',
        'class_name',
        'crashes',
        'deadline_at',
        'deadline_ms',
        'fingerprint',
        'id',
        'is_rated',
        'key',
        'limit_wait_s',
        'method',
        'model',
        'organisation',
        'path',
        'profile',
        'progress',
        'prompt_parts',
        'ran',
        'received_at',
        'sent_at',
        'session',
        'stream',
        'token',
    )

    def __init__(self, work_id, organisation, profile, received_at):
        self.id = work_id
        self.bill_id = work_id
        self.organisation = organisation
        self.profile = profile
        self.received_at = received_at
        # When the newest attempt was sent, in the timer's seconds.
        self.sent_at = received_at
        self.answer_started = False
        self.body = None
        self.class_name = DEFAULT_CLASS
        # Servers that crashed before they answered.
        self.crashes = 0
        self.deadline_at = received_at
        self.deadline_ms = 0
        self.fingerprint = ''
        self.is_rated = False
        self.key = None
        # Time spent waiting for turns at servers with rate limits.
        self.limit_wait_s = 0.0
        self.method = 'POST'
        self.model = None
        self.path = ''
        self.progress = progress.Progress.NONE
        # Names of the prompt's parts that other requests may share.
        self.prompt_parts = ()
        self.ran = errors.Ran.NO
        self.session = None
        self.stream = False
        self.token = None

    @property
    def work_class(self):
        """The ``WorkClass`` that the profile defines for this request."""
        return self.profile.classes.get(self.class_name, _DEFAULT_WORK_CLASS)

    @property
    def run_key(self):
        """The key that a roll-out's share is sampled by.

        All requests of a session share one key.
        """
        if self.session:
            return f'{self.organisation.name}/{self.session}'
        return self.id

    def record_ran(self, ran):
        """Record whether an attempt ran: YES overrides UNKNOWN, both NO."""
        if _RAN_ORDER.index(ran) > _RAN_ORDER.index(self.ran):
            self.ran = ran
