"""Names in the platform's protocols: headers, paths, keys and values."""

__all__ = (
    'ATTEMPT_ID_HEADER',
    'COLD_MS_HEADER',
    'DEADLINE_MS_HEADER',
    'EXPECT_INSTANCE_HEADER',
    'EXPECT_VERSION_HEADER',
    'LAST_EVENT_ID_HEADER',
    'LENGTH_HINT_HEADER',
    'SERVER_LOAD_HEADER',
    'NOT_EXECUTED_HEADER',
    'PROMPT_PARTS_HEADER',
    'RETRY_AFTER_HEADER',
    'SERVER_LEAVING_HEADER',
    'STORE_ERA_HEADER',
    'PRIORITY_HEADER',
    'SEAL_HEADER',
    'TENANT_HEADER',
    'TOKEN_COUNT_HEADER',
    'VERSIONS_HEADER',
)

# Identifies one attempt of a caller; a repeat by the caller has another id.
ATTEMPT_ID_HEADER = 'X-Attempt-Id'
# Milliseconds that the sender will wait from now on.
DEADLINE_MS_HEADER = 'X-Deadline-Ms'
# The server's signature of a complete answer.
SEAL_HEADER = 'X-Response-Seal'
TENANT_HEADER = 'X-Tenant'
# Id of the one server that may run the request.
EXPECT_INSTANCE_HEADER = 'X-Expect-Instance'
EXPECT_VERSION_HEADER = 'X-Expect-Version'
# Running and waiting requests and slots of the server, and how long work takes there
# now in hundredths of the usual time, comma-separated. The last may be missing.
SERVER_LOAD_HEADER = 'X-Server-Load'
# Milliseconds for which a server stays cold, in its health answers.
COLD_MS_HEADER = 'X-Cold-Ms'
# Present when the server did not run the request.
NOT_EXECUTED_HEADER = 'X-Not-Executed'
# Present, as 1, in all answers of a server that is leaving.
SERVER_LEAVING_HEADER = 'Server-Leaving'
# In all answers of the store: how often it was restored from a copy, plus one.
STORE_ERA_HEADER = 'Store-Era'
# From a server: the seconds for which it wants no requests of this machine at all, not
# only when to repeat the one that it refused.
RETRY_AFTER_HEADER = 'Retry-After'
MODEL_HEADER = 'X-Model'
# Tokens of the prompt and the most tokens of the answer, comma-separated.
TOKEN_COUNT_HEADER = 'X-Token-Count'
# The parts of the prompt in order, as comma-separated ID:TOKENS. Despite its name it
# holds no hash of a prefix. The last part belongs to the request itself.
PROMPT_PARTS_HEADER = 'X-Prefix-Hash'
# 0 is the most urgent of 0 to 9.
PRIORITY_HEADER = 'X-Request-Priority'
VERSIONS_HEADER = 'X-Weight-Versions'
# The caller's estimate of the answer's tokens.
LENGTH_HINT_HEADER = 'X-Length-Hint'
LAST_EVENT_ID_HEADER = 'Last-Event-Id'
# The servers that run a request's layers, in order, as address=first-end. Despite its
# name it is no file or URL path.
CHAIN_HEADER = 'Path'
# The address of the server that kept a request from running.
AT_FAULT_HEADER = 'At-Server'
AUTHORIZATION_HEADER = 'Authorization'
BEARER_PREFIX = 'Bearer '

# Headers that apply to one connection, and those that this system sets itself.
HEADERS_NOT_FORWARDED = frozenset(
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
        AUTHORIZATION_HEADER,
        DEADLINE_MS_HEADER,
        EXPECT_INSTANCE_HEADER,
        EXPECT_VERSION_HEADER,
        CHAIN_HEADER,
        PRIORITY_HEADER,
        TENANT_HEADER,
    )
)
# Headers of answers that apply to one connection.
HEADERS_NOT_RETURNED = frozenset(
    ('connection', 'keep-alive', 'transfer-encoding', 'content-length', 'upgrade')
)

BASE_PATH = '/primrosesaddle'
READY_PATH = f'{BASE_PATH}/ready'
RESOLVE_PATH = f'{BASE_PATH}/resolve'
HEALTH_PATH = '/healthz'  # where engines answer
REPORT_PATH = f'{BASE_PATH}/report'
ORDER_PATH = f'{BASE_PATH}/order'
MANIFEST_PATH = f'{BASE_PATH}/manifest'
PIECE_PATH = f'{BASE_PATH}/piece'
STAGE_PUT_PATH = f'{BASE_PATH}/stage-put'
STAGE_GET_PATH = f'{BASE_PATH}/stage-get'
# Query parameter with the index of one piece, although its name suggests a count.
PIECE_INDEX_PARAMETER = 'sampleCount'
RANGE_PATH = f'{BASE_PATH}/kv-range'
WATCH_PATH = f'{BASE_PATH}/kv-watch'

CONFIG_KEY = 'op/config'
VERSION_PREFIX = 'op/version/'
SERVER_PREFIX = 'servers/'
# Followed by the name of a data centre whose servers are to get nothing.
EVACUATION_PREFIX = 'op/evacuate/'

STATE_READY = 'ready'
STATE_DRAINING = 'draining'
ROUTE_IDEMPOTENT = 'idempotent'
ROUTE_NON_IDEMPOTENT = 'non_idempotent'
ROUTE_STREAM = 'streaming'
