"""The plain records that every other module speaks.

All are `NamedTuple`s: immutable, cheap to make, equal by value. Collections of
them are dictionaries named by their key (`endpoint_by_name`). Times named
`_at` are seconds on the monotonic clock of the process that holds the record
and are never sent to another host; durations end in `_s`.
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
    adapters: Names of the adapters to load beside it.
    replicas: Engines that hold the model over the whole fleet.
  """

  name: str
  version: str
  adapters: tuple[str, ...]
  replicas: int


class Rank(NamedTuple):
  """A class of urgency, with its targets.

  Attributes:
    name: Unique name.
    is_urgent: Whether requests go before those of ranks that are not.
    first_token_s: Target of the time to the first token.
    between_tokens_s: Target of the time between two tokens.
    deadline_s: Time to the whole answer when the caller names none.
    reserve: Share of the fleet kept for the rank in a flood, 0 to 1.
  """

  name: str
  is_urgent: bool
  first_token_s: float
  between_tokens_s: float
  deadline_s: float
  reserve: float


class Service(NamedTuple):
  """What callers ask for by name.

  Attributes:
    name: Unique name; the `model` field of a completion names it.
    kind: `KIND_MODEL` or `KIND_PLAIN`.
    model: Name of the model, empty for a plain service.
    adapter: Name of the adapter, empty for none.
    rank: Name of the rank of requests that name none.
    is_repeatable: Whether a call may be run again; false takes a claim.
    max_attempts: Attempts of one request in all.
    timeout_s: Time that one attempt may take.
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
  """A customer of the town's fleet.

  Attributes:
    name: Unique name.
    share: Part of the fleet that the tenant may claim, 0 to 1.
    services: Names of the services that it may call.
    ranks: Names of the ranks that it may use.
    token_sha256: Hex digest of the bearer token, empty to ask for none.
  """

  name: str
  share: float
  services: tuple[str, ...]
  ranks: tuple[str, ...]
  token_sha256: str


class Config(NamedTuple):
  """One accepted generation of the declared configuration.

  Attributes:
    generation: Grows with every accepted change; 0 is the empty one.
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
  """One line of the platform's lagging list of hosts.

  Attributes:
    name: Unique name.
    zone: Availability zone.
    kind: `HOST_ENTRY`, `HOST_ENGINE` or `HOST_SERVICE`.
    address: `ip:port` of its HTTP listener.
    peer_address: `ip:port` of an entry's peer socket, empty for others.
    service: Name of the plain service that it serves, empty for others.
    incarnation: Grows each time that a host of this name starts anew.
    state: `STATE_LIVE` or `STATE_LEAVING`.
    checks_fence: Whether the engine refuses old fencing numbers.
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
  """What an engine reports of its load; it lags behind the truth.

  Attributes:
    endpoint: Name of the engine.
    incarnation: Incarnation that reports.
    role: `ROLE_MIXED`, `ROLE_PREFILL` or `ROLE_DECODE`.
    models: Loaded models, `name` or `name+adapter`.
    waiting_tokens: Prompt tokens that wait for prefill.
    running: Sequences that decode.
    pieces_total: Pieces of KV memory.
    pieces_free: Pieces that are free or evictable.
    is_draining: Whether the engine refuses new work.
    prefill_tokens_per_s: Speed of prefill alone.
    decode_step_s: Time of one decode step at the present batch.
    age_s: Age of the figures when they were sent.
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
  """What an engine says of its own orders, without a lag.

  Attributes:
    endpoint: Name of the engine.
    incarnation: Grows with every start of the engine.
    role: Present role.
    models: Loaded models with versions, `name@version` or
      `name@version+adapter`.
    fence: Highest fencing number seen, 0 if it does not check.
    last_sequence: Sequence of the last order taken.
    is_changing: Whether an order is being carried out.
    is_draining: Whether it refuses new work.
    running: Requests that it holds.
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
  """One order to one engine.

  Attributes:
    endpoint: Name of the engine.
    sequence: Grows with every order to this engine.
    fence: Fencing number of the lease under which it is given.
    action: One of the `ACTION_` constants.
    model: Model to load or unload, empty for other actions.
    version: Version of the model.
    adapter: Adapter, empty for the bare model.
    role: Role to take, empty for other actions.
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
  """A completion that a caller asks for, checked against the configuration.

  Attributes:
    request_id: Unique id, the caller's or made here.
    tenant: Name of the tenant.
    rank: Name of the rank.
    service: Name of the service.
    model: Name of the model.
    adapter: Name of the adapter, empty for none.
    prompt: The prompt text.
    prompt_tokens: Estimate of its tokens.
    max_tokens: Bound on the answer's tokens.
    arrived_at: Monotonic time of arrival.
    deadline_at: Monotonic time by which the whole answer is of use.
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
  """One try of a request on one endpoint.

  Attributes:
    attempt_id: Unique id, `request_id/number`.
    endpoint: Name of the endpoint.
    address: `ip:port` of the endpoint.
    start_index: Index of the first token wanted; above 0 it resumes.
    priority: Higher is served first.
  """

  attempt_id: str
  endpoint: str
  address: str
  start_index: int
  priority: int


class Frame(NamedTuple):
  """One frame of an engine's stream.

  Attributes:
    attempt_id: The attempt that it answers.
    index: Index of the token, or the count of all tokens in the last frame.
    text: The token's text, empty in the last frame.
    is_last: Whether the answer is whole with this frame.
    finish_reason: `stop` or `length` in the last frame, else empty.
    prompt_tokens: Prompt tokens as the engine counts them, in the last frame.
    cached_tokens: Those of them that it did not compute, in the last frame.
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
    path: Path below the service, with its leading slash and query.
    content_type: Media type of the body.
    body: The body.
    idempotency_key: The caller's key, empty for none.
    deadline_at: Monotonic time by which the answer is of use.
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
  """The whole answer of a plain service.

  Attributes:
    status: HTTP status.
    content_type: Media type of the body.
    body: The body.
  """

  status: int
  content_type: str
  body: bytes
