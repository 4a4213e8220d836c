"""Names of the platform's protocol: headers, paths, object kinds and values.

Header names are in lower case; on the wire, case does not matter.
"""

REQUEST_ID = b'x-mulberrypick-request-id'
DEADLINE_MS = b'x-mulberrypick-deadline-ms'
PROMPT_PARTS = b'x-mulberrypick-prefix-hash'
TOKENS = b'x-mulberrypick-token-usage'
MODEL = b'x-mulberrypick-model'
LAST_EVENT = b'last-event-id'
# Id of the attempt that received the first event of the stream to be resumed.
RESUMES = b'resumes'
# Signature of an endpoint on a response that it created itself.
SIGNATURE = b'x-mulberrypick-server-signature'
EXPECTED_ENDPOINT = b'x-mulberrypick-expect-instance'
# Requests per second that an endpoint takes from all hosts together.
LIMIT = b'server-limit'
# Number of times that the store came back from an older copy.
STORE_ERA = b'store-era'
# In the answers of an endpoint that leaves.
LEAVING = b'server-leaving'
NOT_RUN = b'x-mulberrypick-not-executed'
PRIORITY = b'x-mulberrypick-request-priority'
STAGE = b'x-mulberrypick-stage'
KV_SOURCE = b'x-mulberrypick-kv-source'
RETRY_AFTER = b'retry-after'
INSTANCE = b'x-mulberrypick-instance-id'

# Headers that only the gateway may set; they are removed from requests.
SYSTEM_HEADERS = frozenset(
    (
        DEADLINE_MS,
        EXPECTED_ENDPOINT,
        PRIORITY,
        STAGE,
        KV_SOURCE,
        NOT_RUN,
        SIGNATURE,
        b'x-mulberrypick-expect-version',
        b'x-mulberrypick-pin-ms',
        b'x-mulberrypick-hold',
        b'x-mulberrypick-kv-backup',
        b'kv-fetch',
    )
)
# Hop-by-hop headers, which are not forwarded.
CONNECTION_HEADERS = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    )
)

READY_PATH = b'/mulberrypick/readyz'
OBJECTS_PATH = '/mulberrypick/objects'
KV_EVENTS_PATH = b'/mulberrypick/kv-events'
REPORT_PATH = b'/mulberrypick/report'
ORDER_PATH = b'/mulberrypick/order'
HANDLE_PATH = b'/mulberrypick/kv-handle/'
# Kinds and names of objects in the store. `config` and `servers` belong to the
# platform, the kinds that start with `mulberrypick-` to this system.
CONFIG_KIND = 'config'
CONFIG_NAME = 'main'
ENDPOINTS_KIND = 'servers'
HOSTS_KIND = 'mulberrypick-hosts'
LEASES_KIND = 'mulberrypick-leases'
REFUSALS_KIND = 'mulberrypick-refusals'
SPEEDS_KIND = 'mulberrypick-speeds'
SPEEDS_NAME = 'engines'
EVIDENCE_KIND = 'mulberrypick-evidence'
STAGES_LEASE = 'stages'
STATE_READY = 'ready'
STATE_LEAVING = 'draining'
STAGE_PREFILL = 'prefill'
STAGE_DECODE = 'decode'
KIND_SAFE = 'safe'
KIND_UNSAFE = 'unsafe'
KIND_STREAM = 'streaming'
SETTINGS_VARIABLE = 'MULBERRYPICK_NODE_FILE'
