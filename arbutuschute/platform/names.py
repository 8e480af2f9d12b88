"""Header names of the platform, as constants named by their meaning."""

REQUEST_ID = 'Arbutuschute-Attempt-Id'
DEADLINE_MS = 'Arbutuschute-Deadline-Ms'
API_KEY = 'Arbutuschute-Key'
ORGANISATION = 'Arbutuschute-Tenant'
EXPECTED_SERVER = 'Arbutuschute-Expect-Instance'
EXPECTED_WEIGHTS = 'Arbutuschute-Expect-Version'
ORIGIN_PROOF = 'Arbutuschute-Response-Seal'
# Present if the server has not run the request.
NOT_RUN = 'Arbutuschute-Not-Executed'
# Running, waiting, slots and slowness of the machine in % (100: normal).
LOAD = 'Arbutuschute-Server-Load'
# Requests a second that the server accepts from all instances together, while
# its responses carry it.
RATE_LIMIT = 'Server-Limit'
# '1' in all responses of a server that leaves.
LEAVING = 'Server-Leaving'
# Milliseconds that the server stays cold.
COLD_MS = 'Arbutuschute-Cold-Ms'
MODEL = 'Arbutuschute-Model'
# Prompt tokens and the maximum of output tokens.
TOKENS = 'Arbutuschute-Token-Count'
# The caller's estimate of output tokens, often far off.
LENGTH_HINT = 'Arbutuschute-Length-Hint'
PROMPT_PARTS = 'Arbutuschute-Prompt-Prefix'
URGENCY = 'Arbutuschute-Request-Urgency'
CONFIDENCE = 'Arbutuschute-Confidence'
SESSION = 'Session'
LAST_EVENT_ID = 'Last-Event-Id'
RETRY_AFTER = 'Retry-After'
RESERVATION = 'Arbutuschute-Hold'
PIN_MS = 'Arbutuschute-Pin-Ms'
BACKUP = 'Arbutuschute-Kv-Backup'
COPY_SOURCE = 'Kv-From'
FETCH_SOURCE = 'Kv-Fetch'

# Headers that concern one connection only and are not forwarded.
HOP_BY_HOP = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)
# Headers that the router sets; the caller's values are dropped.
OWN_REQUEST_HEADERS = frozenset(
    name.lower()
    for name in (
        API_KEY, ORGANISATION, DEADLINE_MS, EXPECTED_SERVER,
        EXPECTED_WEIGHTS, URGENCY, RESERVATION, PIN_MS, BACKUP,
        COPY_SOURCE, FETCH_SOURCE, LAST_EVENT_ID, MODEL,
        'Content-Length', 'Host',
    )
)  # fmt: skip
