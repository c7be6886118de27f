"""Names of headers, paths and keys on the users' platform."""

REQUEST_ID = b'x-request-id'
STAMP = b'x-response-stamp'
NOT_RUN = b'x-not-run'
EXPECT_INSTANCE = b'x-expect-instance'
INSTANCE = b'x-instance-id'
ACCOUNT = b'x-tenant'
KEY = 'x-api-key'
# Milliseconds from now, not a point in time.
REMAINING = b'x-deadline-ms'
# Two numbers: tokens of the prompt, and most tokens of the answer.
SIZES = 'x-token-count'
# The caller's guess of the answer's tokens.
EXPECTED_OUTPUT = 'x-length-hint'
LAST_EVENT = b'last-event-id'
STAGE = b'x-stage'
# Address and name of a prompt that another engine read.
SOURCE = b'x-kv-from'

# Only this system may set these, whatever a caller sent.
OURS = frozenset(
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
# They concern one connection (RFC 9110, 7.6.1).
ONE_CONNECTION = frozenset(
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

STORE_KEY = '/-/kv-key'
STORE_RANGE = '/-/kv-range'
STORE_WATCH = '/-/kv-watch'
CONFIGURATION = 'op/config'
UPSTREAMS = 'servers/'
HANDLE = '/-/kv-handle/'
READY_PATH = '/-/ready'

SETTINGS_VARIABLE = 'CORIANDERSPAR_CONFIG'
