"""Names on the platform's wire: headers, paths, keys and words."""

__all__ = (
    'ATTEMPT_ID',
    'DEADLINE_MS',
    'EXPECT_INSTANCE',
    'EXPECT_VERSION',
    'LAST_EVENT_ID',
    'LENGTH_HINT',
    'LOAD',
    'NOT_RUN',
    'PRIORITY',
    'SEAL',
    'TENANT',
    'TOKENS',
    'VERSIONS',
)

# Identifies one attempt of a caller; a repeat by the caller has another id.
ATTEMPT_ID = 'X-Attempt-Id'
# Milliseconds that the sender will still wait.
DEADLINE_MS = 'X-Deadline-Ms'
# The server's signature of a whole answer.
SEAL = 'X-Response-Seal'
TENANT = 'X-Tenant'
# Id of the one server that may run the request.
EXPECT_INSTANCE = 'X-Expect-Instance'
EXPECT_VERSION = 'X-Expect-Version'
# Running and waiting requests and slots of the server, comma-separated.
LOAD = 'X-Server-Load'
# Present when the server did not run the request.
NOT_RUN = 'X-Not-Executed'
MODEL = 'X-Model'
# Tokens of the prompt and the most tokens of the answer, comma-separated.
TOKENS = 'X-Token-Count'
# 0 is the most urgent of 0 to 9.
PRIORITY = 'X-Request-Priority'
VERSIONS = 'X-Weight-Versions'
# The caller's estimate of the answer's tokens.
LENGTH_HINT = 'X-Length-Hint'
LAST_EVENT_ID = 'Last-Event-Id'
# The servers that run a request's layers, in order, as address=first-end; it is no
# file or URL path.
CHAIN = 'Path'
# The address of the server that kept a request from running.
AT_FAULT = 'At-Server'
AUTHORIZATION = 'Authorization'
BEARER = 'Bearer '

# Headers of one connection, and those that this system sets itself.
NOT_FORWARDED = frozenset(
    name.lower()
    for name in (
        'Connection',
        'Keep-Alive',
        'Proxy-Authenticate',
        'Proxy-Authorization',
        'Proxy-Connection',
        'TE',
        'Trailer',
        'Transfer-Encoding',
        'Upgrade',
        'Content-Length',
        'Expect',
        AUTHORIZATION,
        DEADLINE_MS,
        EXPECT_INSTANCE,
        EXPECT_VERSION,
        CHAIN,
        PRIORITY,
        TENANT,
    )
)
# Headers of one connection on the way back.
NOT_RETURNED = frozenset(
    ('connection', 'keep-alive', 'transfer-encoding', 'content-length', 'upgrade')
)

PATH = '/primrosesaddle'
READY_PATH = f'{PATH}/ready'
RESOLVE_PATH = f'{PATH}/resolve'
REPORT_PATH = f'{PATH}/report'
ORDER_PATH = f'{PATH}/order'
MANIFEST_PATH = f'{PATH}/manifest'
PIECE_PATH = f'{PATH}/piece'
STAGE_PUT_PATH = f'{PATH}/stage-put'
STAGE_GET_PATH = f'{PATH}/stage-get'
# In a query, the index of one piece; the name suggests a count.
PIECE_INDEX = 'sampleCount'
RANGE_PATH = f'{PATH}/kv-range'
WATCH_PATH = f'{PATH}/kv-watch'

CONFIG_KEY = 'op/config'
VERSION_PREFIX = 'op/version/'
SERVER_PREFIX = 'servers/'

READY = 'ready'
DRAINING = 'draining'
KIND_IDEMPOTENT = 'idempotent'
KIND_NON_IDEMPOTENT = 'non_idempotent'
KIND_STREAM = 'streaming'
