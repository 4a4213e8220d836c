"""Records of the gateway: opaque requests, routes, endpoints and hosts.

Times are seconds and sizes are bytes or tokens, as the names say. Nothing here
knows how any of it is written on a wire.
"""

import enum
from typing import NamedTuple


class CallKind(enum.Enum):
  """What may be done with a request again."""

  SAFE = 'safe'
  UNSAFE = 'unsafe'
  STREAM = 'stream'


class Stage(enum.Enum):
  """Which part of a generation an endpoint does; NONE for a plain service."""

  NONE = 'none'
  PREFILL = 'prefill'
  DECODE = 'decode'


class Route(NamedTuple):
  """What a configuration says of one kind of request.

  Attributes:
    name: Name of the route.
    hostname: Host that callers name.
    path_prefix: Begins and ends with a slash.
    kind: What may be repeated.
    timeout_s: Longest time until the final answer.
    target_s: Time within which an answer is worth most.
    rank: 0 is the most urgent.
    share_by_service: Weight of each service that may serve it.
    attempts: Endpoints that one request may run on.
    is_resumable: Whether a broken stream may go on elsewhere.
  """

  name: str
  hostname: str
  path_prefix: str
  kind: CallKind
  timeout_s: float
  target_s: float
  rank: int
  share_by_service: dict[str, int]
  attempts: int
  is_resumable: bool

  @property
  def is_idempotent(self) -> bool:
    """Whether it may run more than once."""
    if self.kind is CallKind.STREAM:
      return self.is_resumable
    return self.kind is CallKind.SAFE


class Service(NamedTuple):
  """A group of endpoints that do the same.

  Attributes:
    name: Name of the service.
    max_connections: Connections that one endpoint takes from all hosts.
    kv_tokens: Tokens that fit in the memory of one engine; 0 if it is plain.
    batch: Requests that one engine runs at a time; 0 if it is plain.
  """

  name: str
  max_connections: int
  kv_tokens: int
  batch: int

  @property
  def is_engine(self) -> bool:
    """Whether its endpoints are model engines."""
    return self.kv_tokens > 0


class CallerLimits(NamedTuple):
  """What callers may send.

  Attributes:
    header_bytes: Size of a head.
    body_bytes: Size of a body.
    header_s: Time for a head.
    idle_s: Time between requests.
  """

  header_bytes: int
  body_bytes: int
  header_s: float
  idle_s: float


class GatewayConfig(NamedTuple):
  """One version of the configuration, whole.

  Attributes:
    version: Grows with every change.
    routes_by_host: Routes of each host name, longest prefix first.
    service_by_name: All services.
    limits: What callers may send.
    raw: As it was read, to be handed to other hosts.
  """

  version: int
  routes_by_host: dict[str, list[Route]]
  service_by_name: dict[str, Service]
  limits: CallerLimits
  raw: bytes


class Endpoint(NamedTuple):
  """A replica as the platform lists it.

  Attributes:
    name: Its id; a restart may keep it.
    started_ms: Unix milliseconds of its start; tells restarts apart.
    service: Name of its service.
    ip: Address.
    port: Port.
    zone: Availability zone.
    slots: Requests that it runs at a time.
    is_leaving: Whether it takes no new work.
    stage: Part of a generation that it does.
  """

  name: str
  started_ms: int
  service: str
  ip: str
  port: int
  zone: str
  slots: int
  is_leaving: bool
  stage: Stage

  @property
  def incarnation(self) -> tuple[str, int]:
    """Tells this start of the endpoint from all others."""
    return (self.name, self.started_ms)


class PromptPart(NamedTuple):
  """A part of a prompt that other requests may share.

  Attributes:
    key: A hash of its id, short enough to be told to all hosts.
    tokens: Its size.
  """

  key: int
  tokens: int


class Call(NamedTuple):
  """A request as far as decisions need it.

  Attributes:
    id: Its id, made by the caller for each attempt of its own.
    route: Its route.
    service: Name of the service that it goes to.
    parts: The prompt, in order; empty for a plain call.
    prompt_tokens: Tokens to read.
    output_tokens: Tokens to write at most.
    fingerprint: Hash of what makes it crash an endpoint, if it does.
    arrived_at: When it was received, on the loop's clock.
    deadline_at: When nobody waits for it any more.
  """

  id: str
  route: Route
  service: str
  parts: tuple[PromptPart, ...]
  prompt_tokens: int
  output_tokens: int
  fingerprint: int
  arrived_at: float
  deadline_at: float


class PlatformLimits(NamedTuple):
  """Promises that the platform's settings state.

  Attributes:
    grace_s: Time between SIGTERM and SIGKILL.
    budget_ratio: Retries for each request.
    budget_slack: Retries beside these in a window, over all hosts.
    budget_window_s: The window.
  """

  grace_s: float
  budget_ratio: float
  budget_slack: float
  budget_window_s: float


class GatewayHost(NamedTuple):
  """What a process learns of its own host.

  Attributes:
    name: Name of the host.
    zone: Its availability zone.
    ip: Its address.
    listen_port: Port for callers.
    ready_ip: Address of the readiness question.
    ready_port: Port of the readiness question.
    peer_port: Port for other hosts.
    seeds: Addresses `IP:PORT` of a few other hosts, which may be old.
    store_ip: Address of the store.
    store_port: Port of the store.
    is_first_start: Whether the whole system starts for the first time.
    bounds: What is promised.
  """

  name: str
  zone: str
  ip: str
  listen_port: int
  ready_ip: str
  ready_port: int
  peer_port: int
  seeds: tuple[str, ...]
  store_ip: str
  store_port: int
  is_first_start: bool
  bounds: PlatformLimits
