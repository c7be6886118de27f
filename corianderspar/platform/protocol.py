"""Names of headers, paths and store keys in the platform's protocol."""

REQUEST_ID = b'x-request-id'
# Sent by upstreams with each answer; an answer without it is not theirs.
RESPONSE_STAMP = b'x-response-stamp'
NOT_RUN = b'x-not-run'
EXPECT_INSTANCE = b'x-expect-instance'
INSTANCE = b'x-instance-id'
ACCOUNT = b'x-tenant'
API_KEY = 'x-api-key'
# Milliseconds from now, not a point in time.
REMAINING_MS = b'x-deadline-ms'
# 0 to 9, 0 first; engines take requests without it for 5. They admit the more
# urgent requests first and let them preempt others.
PRIORITY = b'x-request-priority'
MAX_PRIORITY = 9
# Two integers separated by a comma: the tokens of the prompt, and the
# maximum number of tokens of the answer.
TOKEN_COUNTS = 'x-token-count'
# The caller's estimate of the number of tokens of the answer.
EXPECTED_OUTPUT = 'x-length-hint'
# The parts of the prompt in order, ID:TOKENS separated by commas. The last one
# belongs to the request itself or to its session.
PROMPT_PARTS = 'x-prompt-prefix'
LAST_EVENT_ID = b'last-event-id'
# The request id of the attempt that brought the first event of a stream.
RESUMES = 'resumes'
ACCEPT_ENCODING = b'accept-encoding'
STAGE = b'x-stage'
# Address and handle of the KV cache that another engine has prefilled.
KV_SOURCE = b'x-kv-from'

# Sent by an upstream that is about to leave, with the value 1.
LEAVING = b'server-leaving'
# Seconds, possibly with a fraction.
RETRY_AFTER = b'retry-after'
# Requests per second that an upstream accepts from all daemons together, as a
# decimal number.
LIMIT = b'server-limit'
# Milliseconds for which an engine stays cold.
COLD_MS = b'x-cold-ms'

# Headers that only this system may set. They are removed from requests of
# callers.
RESERVED_HEADERS = frozenset(
    {
        'x-tenant',
        'x-expect-instance',
        'x-expect-version',
        'x-stage',
        'x-kv-from',
        'x-kv-hold',
        'x-kv-backup',
        'kv-fetch',
        'x-pin-ms',
        'x-request-priority',
        'x-deadline-ms',
        'last-event-id',
        'x-api-key',
        'content-length',
    }
)
# Headers that concern one connection only (RFC 9110, 7.6.1).
HOP_BY_HOP_HEADERS = frozenset(
    {
        'connection',
        'keep-alive',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)

# In each answer of the store; an integer.
STORE_ERA = b'store-era'
STORE_KEY_PATH = '/-/kv-key'
STORE_RANGE_PATH = '/-/kv-range'
STORE_WATCH_PATH = '/-/kv-watch'
CONFIGURATION_KEY = 'op/config'
UPSTREAM_PREFIX = 'servers/'
# Followed by the name of a data centre.
EVACUATION_PREFIX = 'op/evacuate/'
KV_HANDLE_PATH = '/-/kv-handle/'
REPORT_PATH = '/-/report'
READY_PATH = '/-/ready'

SETTINGS_VARIABLE = 'CORIANDERSPAR_CONFIG'
