"""Records shared by all modules.

All are `NamedTuple`s, which are immutable, cheap to create and compared by
value. Collections of records are dictionaries named after their key
(`endpoint_by_name`). Names ending in `_at` are times in seconds on the
monotonic clock of the process that holds the record, and are never sent to
another host. Names ending in `_s` are durations in seconds.
"""

from typing import NamedTuple

# Kinds of service.
KIND_MODEL = 'model'
KIND_PLAIN = 'plain'

# Kinds of host on the platform's list.
HOST_ENTRY = 'entry'
HOST_ENGINE = 'engine'
HOST_SERVICE = 'service'

# States of a host on the platform's list.
STATE_LIVE = 'live'
STATE_LEAVING = 'leaving'

# Roles of an engine.
ROLE_MIXED = 'mixed'
ROLE_PREFILL = 'prefill'
ROLE_DECODE = 'decode'

# Actions of an order to an engine.
ACTION_LOAD = 'load'
ACTION_UNLOAD = 'unload'
ACTION_ROLE = 'role'
ACTION_DRAIN = 'drain'
ACTION_UNDRAIN = 'undrain'


class Model(NamedTuple):
  """A model that engines load.

  Attributes:
    name: Unique name.
    version: Version of the weights.
    adapters: Names of the adapters to load with it.
    replicas: Number of engines of the whole fleet that hold the model.
  """

  name: str
  version: str
  adapters: tuple[str, ...]
  replicas: int


class Rank(NamedTuple):
  """A priority class with its latency targets.

  Attributes:
    name: Unique name.
    is_urgent: Whether its requests precede those of ranks that are not urgent.
    first_token_s: Target for the time to the first token.
    between_tokens_s: Target for the time between two tokens.
    deadline_s: Time to the complete answer if the caller sets no deadline.
    reserve: Fraction of the fleet kept for the rank under overload, 0 to 1.
  """

  name: str
  is_urgent: bool
  first_token_s: float
  between_tokens_s: float
  deadline_s: float
  reserve: float


class Service(NamedTuple):
  """A service that callers request by name.

  Attributes:
    name: Unique name, used in the `model` field of a completion request.
    kind: `KIND_MODEL` or `KIND_PLAIN`.
    model: Name of the model, empty for a plain service.
    adapter: Name of the adapter, empty for none.
    rank: Name of the default rank of its requests.
    is_repeatable: Whether a call may run more than once; if false, each call
      needs a claim.
    max_attempts: Maximum number of attempts for one request.
    timeout_s: Maximum duration of one attempt.
  """

  name: str
  kind: str
  model: str
  adapter: str
  rank: str
  is_repeatable: bool
  max_attempts: int
  timeout_s: float


class Tenant(NamedTuple):
  """A customer of the fleet.

  Attributes:
    name: Unique name.
    share: Fraction of the fleet that the tenant is entitled to, 0 to 1.
    services: Names of the services that it may call.
    ranks: Names of the ranks that it may use.
    token_sha256: Hex SHA-256 digest of the bearer token, empty if no token is
      required.
  """

  name: str
  share: float
  services: tuple[str, ...]
  ranks: tuple[str, ...]
  token_sha256: str


class Config(NamedTuple):
  """One accepted generation of the declared configuration.

  Attributes:
    generation: Number that increases with every accepted change; 0 for the
      empty configuration.
    model_by_name: Models.
    rank_by_name: Ranks.
    service_by_name: Services.
    tenant_by_name: Tenants.
  """

  generation: int
  model_by_name: dict[str, Model]
  rank_by_name: dict[str, Rank]
  service_by_name: dict[str, Service]
  tenant_by_name: dict[str, Tenant]


EMPTY_CONFIG = Config(0, {}, {}, {}, {})


class Host(NamedTuple):
  """One host of the platform's list, which lags behind the actual state.

  Attributes:
    name: Unique name.
    zone: Availability zone.
    kind: `HOST_ENTRY`, `HOST_ENGINE` or `HOST_SERVICE`.
    address: `ip:port` of its HTTP listener.
    peer_address: `ip:port` of an entry's peer socket, empty for other kinds.
    service: Name of the plain service that it serves, empty for other kinds.
    incarnation: Increases each time that a host of this name starts.
    state: `STATE_LIVE` or `STATE_LEAVING`.
    checks_fence: Whether the engine refuses outdated fencing numbers.
  """

  name: str
  zone: str
  kind: str
  address: str
  peer_address: str
  service: str
  incarnation: int
  state: str
  checks_fence: bool


class EngineReport(NamedTuple):
  """A load report of an engine, which lags behind the actual state.

  Attributes:
    endpoint: Name of the engine.
    incarnation: Incarnation that sent the report.
    role: `ROLE_MIXED`, `ROLE_PREFILL` or `ROLE_DECODE`.
    models: Loaded models, `name` or `name+adapter`.
    waiting_tokens: Prompt tokens waiting for prefill.
    running: Number of sequences in decode.
    pieces_total: Number of blocks of KV memory.
    pieces_free: Number of blocks that are free or evictable.
    is_draining: Whether the engine refuses new work.
    prefill_tokens_per_s: Speed of prefill without decode.
    decode_step_s: Duration of one decode step with the current batch.
    age_s: Age of the figures when the report was sent.
  """

  endpoint: str
  incarnation: int
  role: str
  models: tuple[str, ...]
  waiting_tokens: int
  running: int
  pieces_total: int
  pieces_free: int
  is_draining: bool
  prefill_tokens_per_s: float
  decode_step_s: float
  age_s: float


class EngineState(NamedTuple):
  """The current state of an engine, read from the engine itself.

  Attributes:
    endpoint: Name of the engine.
    incarnation: Increases with every start of the engine.
    role: Current role.
    models: Loaded models with versions, `name@version` or
      `name@version+adapter`.
    fence: Highest fencing number received, 0 if it does not check them.
    last_sequence: Sequence number of the last accepted order.
    is_changing: Whether an order is being carried out.
    is_draining: Whether the engine refuses new work.
    running: Number of requests on the engine.
  """

  endpoint: str
  incarnation: int
  role: str
  models: tuple[str, ...]
  fence: int
  last_sequence: int
  is_changing: bool
  is_draining: bool
  running: int


class Order(NamedTuple):
  """One order of a controller to one engine, such as to load a model.

  Attributes:
    endpoint: Name of the engine.
    sequence: Increases with every order to this engine.
    fence: Fencing number of the lease term in which it is given.
    action: One of the `ACTION_` constants.
    model: Model to load or unload, empty for other actions.
    version: Version of the model.
    adapter: Name of the adapter, empty for the base model.
    role: New role, empty for other actions.
  """

  endpoint: str
  sequence: int
  fence: int
  action: str
  model: str
  version: str
  adapter: str
  role: str


class InferenceRequest(NamedTuple):
  """A completion request, validated against the configuration.

  Attributes:
    request_id: Unique id, chosen by the caller or generated.
    tenant: Name of the tenant.
    rank: Name of the rank.
    service: Name of the service.
    model: Name of the model.
    adapter: Name of the adapter, empty for none.
    prompt: The prompt text.
    prompt_tokens: Estimated number of prompt tokens.
    max_tokens: Maximum number of tokens of the answer.
    arrived_at: Monotonic time of arrival.
    deadline_at: Monotonic time by which the complete answer is needed.
  """

  request_id: str
  tenant: str
  rank: str
  service: str
  model: str
  adapter: str
  prompt: str
  prompt_tokens: int
  max_tokens: int
  arrived_at: float
  deadline_at: float


class Attempt(NamedTuple):
  """One attempt to run a request on one endpoint.

  Attributes:
    attempt_id: Unique id, `request_id/number`.
    endpoint: Name of the endpoint.
    address: `ip:port` of the endpoint.
    start_index: Index of the first token to generate; above 0 for a resume.
    priority: Requests with a higher priority are served first.
  """

  attempt_id: str
  endpoint: str
  address: str
  start_index: int
  priority: int


class Frame(NamedTuple):
  """One frame of an engine's stream.

  Attributes:
    attempt_id: The attempt that the frame belongs to.
    index: Index of the token; in the last frame the number of all tokens.
    text: Text of the token, empty in the last frame.
    is_last: Whether this is the last frame of a complete answer.
    finish_reason: `stop` or `length` in the last frame, else empty.
    prompt_tokens: In the last frame, prompt tokens as counted by the engine.
    cached_tokens: In the last frame, number of them that were in its cache.
  """

  attempt_id: str
  index: int
  text: str
  is_last: bool
  finish_reason: str
  prompt_tokens: int = 0
  cached_tokens: int = 0


class PlainCall(NamedTuple):
  """A call to a plain service.

  Attributes:
    request_id: Unique id.
    tenant: Name of the tenant.
    rank: Name of the rank.
    service: Name of the service.
    method: HTTP method.
    path: Path below the service, with a leading slash and the query.
    content_type: Media type of the body.
    body: The body.
    idempotency_key: The caller's key, empty for none.
    deadline_at: Monotonic time by which the answer is needed.
  """

  request_id: str
  tenant: str
  rank: str
  service: str
  method: str
  path: str
  content_type: str
  body: bytes
  idempotency_key: str
  deadline_at: float


class PlainAnswer(NamedTuple):
  """The complete answer of a plain service.

  Attributes:
    status: HTTP status.
    content_type: Media type of the body.
    body: The body.
  """

  status: int
  content_type: str
  body: bytes
