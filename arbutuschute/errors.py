"""The failures of the system, each a type with a stable code.

Callers receive a failure as a problem document (RFC 9457) whose ``ran``
member says whether the request may have run.
"""

import enum


# Statuses that promise that the request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Takes their place if the request may have run.
MAYBE_RUN_STATUS = 502


class Ran(enum.Enum):
    """Whether a backend server ran the request."""

    NO = 'no'
    YES = 'yes'
    UNKNOWN = 'unknown'


class Failure(Exception):
    """Base of all failures.

    ``code`` is stable and for programs; ``title`` and ``detail`` are for
    people. The constructor takes a value for each of ``fields``.
    """

    fields = ()
    code = 'internal'
    title = 'Internal failure'
    http_status = 500
    ran = Ran.NO
    retry_after_s = None

    def __init__(self, *values):
        if len(values) != len(self.fields):
            raise TypeError(f'{self.code}: expected {self.fields}')
        super().__init__(*values)
        for field, value in zip(self.fields, values, strict=True):
            setattr(self, field, value)

    @property
    def detail(self):
        """The names and values of the failure's fields, else its title."""
        facts = (
            f'{field.replace("_", " ")}: {getattr(self, field)}'
            for field in self.fields
        )
        return '; '.join(facts) or self.title

    def mark_ran(self, ran):
        """Set whether the request ran, and return this failure."""
        self.ran = ran
        return self

    def __str__(self):
        return f'{self.title} ({self.detail})'


def find_status(failure):
    """Return the HTTP status of a failure; its promise is true."""
    status = failure.http_status
    if status in NOT_RUN_STATUSES and failure.ran is not Ran.NO:
        return MAYBE_RUN_STATUS
    return status


def describe_problem(failure):
    """Return the RFC 9457 members of a failure as a dict."""
    return {
        'type': f'urn:arbutuschute:{failure.code}',
        'title': failure.title,
        'status': find_status(failure),
        'detail': failure.detail,
        'code': failure.code,
        'ran': failure.ran.value,
    }


def define(name, code, title, http_status, *fields, retry_after_s=None,
           base=Failure):  # fmt: skip
    """Return a failure type whose constructor takes ``fields`` in order."""
    members = {
        '__doc__': f'{title}.',
        '__module__': __name__,
        'fields': base.fields + fields,
        'code': code,
        'title': title,
        'http_status': http_status,
        'retry_after_s': retry_after_s,
    }
    return type(name, (base,), members)


# Invalid input.
BrokenSettings = define(
    'BrokenSettings', 'broken-settings', 'Settings are not valid', 500,
    'file', 'faults',
)  # fmt: skip
BrokenDocument = define(
    'BrokenDocument', 'broken-document', 'Document is not valid', 422,
    'name', 'faults',
)  # fmt: skip
UnreadableFile = define(
    'UnreadableFile', 'unreadable-file', 'File cannot be read', 500,
    'file', 'reason',
)  # fmt: skip
BrokenBody = define(
    'BrokenBody', 'broken-body', 'Request body is not valid', 400, 'reason'
)
BodyTooLarge = define(
    'BodyTooLarge', 'body-too-large', 'Request body is too large', 413,
    'limit_bytes',
)  # fmt: skip
BrokenHeader = define(
    'BrokenHeader', 'broken-header', 'Request header is not valid', 400,
    'header', 'expected',
)  # fmt: skip
BrokenQuery = define(
    'BrokenQuery', 'broken-query', 'Query is not valid', 400, 'reason'
)
MissingIdempotencyKey = define(
    'MissingIdempotencyKey', 'missing-idempotency-key',
    'This profile needs an Idempotency-Key', 400, 'profile',
)  # fmt: skip
KeyReused = define(
    'KeyReused', 'key-reused',
    'Idempotency-Key was used for a different request', 422, 'key',
)  # fmt: skip

# Authentication and permissions.
UnknownKey = define('UnknownKey', 'unknown-key', 'API key is not known', 401)
UnknownProfile = define(
    'UnknownProfile', 'unknown-profile', 'Profile is not known', 404,
    'profile',
)  # fmt: skip
ProfileNotAllowed = define(
    'ProfileNotAllowed', 'profile-not-allowed',
    'Organisation may not use this profile', 403, 'organisation', 'profile',
)  # fmt: skip
ModelNotAllowed = define(
    'ModelNotAllowed', 'model-not-allowed',
    'Profile does not allow this model', 403, 'profile', 'model',
)  # fmt: skip
NoAllowedVersion = define(
    'NoAllowedVersion', 'no-allowed-version',
    'Every version that the profile allows is withdrawn', 409, 'profile',
)  # fmt: skip

# Capacity and availability.
Overloaded = define(
    'Overloaded', 'overloaded', 'Too much work is waiting', 429,
    'organisation', retry_after_s=1,
)  # fmt: skip
DeadlinePassed = define(
    'DeadlinePassed', 'deadline-passed', 'Deadline passed', 504, 'deadline_ms'
)
NoBackendServer = define(
    'NoBackendServer', 'no-backend-server',
    'No backend server offers what the profile allows', 503, 'wanted',
    retry_after_s=1,
)  # fmt: skip
NoAllowedRegion = define(
    'NoAllowedRegion', 'no-allowed-region',
    'No backend server in a region that the request may be served in', 503,
    'allowed_regions', retry_after_s=2, base=NoBackendServer,
)  # fmt: skip
ZonesEvacuated = define(
    'ZonesEvacuated', 'zones-evacuated',
    'Every backend server for the request is in an evacuated zone', 503,
    retry_after_s=2, base=NoBackendServer,
)  # fmt: skip
CutOff = define(
    'CutOff', 'cut-off',
    'This instance cannot confirm that its configuration is current', 503,
    'instance', retry_after_s=2,
)  # fmt: skip
StoreDown = define(
    'StoreDown', 'store-down', 'The platform log does not answer', 503,
    'purpose', retry_after_s=2,
)  # fmt: skip
MemoryFull = define(
    'MemoryFull', 'memory-full',
    'This instance holds as many request bodies as it can', 503,
    'limit_bytes', retry_after_s=1,
)  # fmt: skip
RateLimited = define(
    'RateLimited', 'rate-limited',
    'Backend servers accept no more requests at the moment', 503, 'wanted',
    retry_after_s=1,
)  # fmt: skip
Stopping = define(
    'Stopping', 'stopping', 'This instance is shutting down', 503,
    'instance', retry_after_s=1,
)  # fmt: skip

Interrupted = define(
    'Interrupted', 'interrupted',
    'This instance shut down before the request ended', 502, 'instance',
)  # fmt: skip


class _Refusal(Failure):
    """A backend server's refusal.

    ``rate_limit`` is the requests a second that it said it accepts, None if
    it said nothing; ``is_leaving`` whether it said that it leaves; ``hold_s``
    for how long it wants no requests; ``cold_s`` how much longer it stays
    cold, None if it said nothing.
    """

    rate_limit = None
    is_leaving = False
    hold_s = 0.0
    cold_s = None

    def mark_stated(self, rate_limit, is_leaving, hold_s, cold_s=None):
        """Set what the server stated, and return this failure."""
        self.rate_limit = rate_limit
        self.is_leaving = is_leaving
        self.hold_s = hold_s
        self.cold_s = cold_s
        return self


# Backend servers.
EngineRefused = define(
    'EngineRefused', 'engine-refused', 'Backend server refused', 503,
    'server', 'reason', retry_after_s=1, base=_Refusal,
)  # fmt: skip
EngineUnreachable = define(
    'EngineUnreachable', 'engine-unreachable',
    'Backend server cannot be reached', 502, 'server', retry_after_s=1,
)  # fmt: skip
AnswerBroken = define(
    'AnswerBroken', 'answer-broken', 'Answer ended before its end', 502,
    'server',
)  # fmt: skip
AnswerTooLarge = define(
    'AnswerTooLarge', 'answer-too-large', 'Answer exceeds its size limit',
    502, 'limit_bytes', base=AnswerBroken,
)  # fmt: skip
AnswerCrossed = define(
    'AnswerCrossed', 'answer-crossed', 'Answer belongs to another request',
    502, 'server',
)  # fmt: skip
OutcomeUnknown = define(
    'OutcomeUnknown', 'outcome-unknown',
    'An earlier request with this key may have run', 409, 'key',
)  # fmt: skip

# Publishing.
RevisionConflict = define(
    'RevisionConflict', 'revision-conflict',
    'Another operator changed this first', 409,
    'name', 'based_on', 'current',
)  # fmt: skip
PublishUnknown = define(
    'PublishUnknown', 'publish-unknown',
    'No reply: the change may have taken effect', 504, 'settle_with',
)  # fmt: skip
NotInForce = define(
    'NotInForce', 'not-in-force',
    'Accepted, but not yet in force everywhere', 504, 'instances',
)  # fmt: skip
ConfigurationLost = define(
    'ConfigurationLost', 'configuration-lost',
    'The log no longer holds a prefix to start from', 503, 'first_offset',
)  # fmt: skip

# Routing.
NotReady = define(
    'NotReady', 'not-ready', 'This instance has no configuration yet', 503,
    'instance', retry_after_s=0.3,
)  # fmt: skip
InstanceUnreachable = define(
    'InstanceUnreachable', 'instance-unreachable',
    'Instance does not answer', 502, 'instance', 'reason',
)  # fmt: skip
UnknownRoute = define(
    'UnknownRoute', 'unknown-route', 'No route for this host and path', 404,
    'host', 'path',
)  # fmt: skip
HeadersTooLarge = define(
    'HeadersTooLarge', 'headers-too-large', 'Request headers are too large',
    431, 'limit_bytes',
)  # fmt: skip
SlowBody = define(
    'SlowBody', 'slow-body', 'Request body came too slowly', 408, 'limit_s'
)
ServerFailed = define(
    'ServerFailed', 'server-failed', 'Backend server did not answer', 502,
    'server', 'reason',
)  # fmt: skip
ServerSilent = define(
    'ServerSilent', 'server-silent', 'Backend server kept silent', 504,
    'server', 'waited_s', 'dark_s',
)  # fmt: skip
PromptQuarantined = define(
    'PromptQuarantined', 'prompt-quarantined',
    'Backend servers crashed on a part of this prompt', 503, 'parts',
    retry_after_s=60,
)  # fmt: skip
StoreGap = define(
    'StoreGap', 'store-gap', 'Records of the store are gone', 503, 'topic'
)
ReaderStarting = define(
    'ReaderStarting', 'reader-starting',
    "The zone's reader has not read the topic yet", 503, 'reader',
)  # fmt: skip
StoreRestored = define(
    'StoreRestored', 'store-restored',
    'The store was restored from an older copy', 503, 'era',
)  # fmt: skip
ReaderSilent = define(
    'ReaderSilent', 'reader-silent', "The zone's reader did not answer", 503,
    'reader', 'reason',
)  # fmt: skip

ServersOnHold = define(
    'ServersOnHold', 'servers-on-hold',
    'Every backend server asked to be left alone for a while', 503, 'wanted',
    retry_after_s=1,
)  # fmt: skip

# Tests and demos.
NoFreePort = define(
    'NoFreePort', 'no-free-port', 'All ports have been given out', 500,
    'first_port', 'ports',
)  # fmt: skip
